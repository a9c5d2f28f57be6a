package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// reportedQuantiles are the quantiles of a report, in percent.
var reportedQuantiles = []float64{50, 90, 99, 99.9}

// WriteText writes a table: the results of each variant in total and by class, and the range of its p50 and p99 over the rounds.
func (result Result) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%.0f calls/s, latency from the scheduled time, in ms\n\n", result.Rate)
	fmt.Fprintln(table, "variant\tclass\tanswered\tnotRun\tunknown\tnotSent\tp50\tp90\tp99\tp99.9\tmost")
	for _, variant := range result.Variants {
		total := variant.Total
		fmt.Fprintf(table, "%s\tall\t%d\t%d\t%d\t%d", variant.Name, total.Answered, total.NotRun, total.Unknown, total.NotSent)
		writeQuantiles(table, total.All)
		for _, class := range slices.Sorted(maps.Keys(total.Classes)) {
			fmt.Fprintf(table, "%s\t%s\t%d\t\t\t", variant.Name, class, total.Classes[class].TotalCount())
			writeQuantiles(table, total.Classes[class])
		}
	}
	fmt.Fprintln(table, "\nvariant\tquantile\tleast of rounds\tmedian of rounds\tmost of rounds")
	for _, variant := range result.Variants {
		for _, percent := range []float64{50, 99} {
			lowest, median, highest := variant.quantileRange(percent)
			fmt.Fprintf(table, "%s\tp%g\t%.3f\t%.3f\t%.3f\n", variant.Name, percent, lowest, median, highest)
		}
	}
	result.writeRatios(table)
	return table.Flush()
}

// writeRatios compares each variant with the first one, round by round.
func (result Result) writeRatios(out io.Writer) {
	if len(result.Variants) < 2 {
		return
	}
	base := result.Variants[0]
	fmt.Fprintln(out, "\nround by round\tquantile\tmedian of ratios\tmedian of differences (ms)")
	for _, variant := range result.Variants[1:] {
		for _, percent := range []float64{50, 99} {
			var ratios, differences []float64
			for round := range variant.Rounds {
				own, other := quantile(variant.Rounds[round].All, percent), quantile(base.Rounds[round].All, percent)
				ratios = append(ratios, own/max(other, 0.001))
				differences = append(differences, own-other)
			}
			fmt.Fprintf(out, "%s against %s\tp%g\t%.2f\t%.3f\n", variant.Name, base.Name, percent, medianOf(ratios), medianOf(differences))
		}
	}
}

func writeQuantiles(out io.Writer, histogram *hdrhistogram.Histogram) {
	for _, percent := range reportedQuantiles {
		fmt.Fprintf(out, "\t%.3f", quantile(histogram, percent))
	}
	fmt.Fprintf(out, "\t%.3f\n", float64(histogram.Max())/microsecondsPerMilli)
}

func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// quantileRange returns the lowest, median and highest value of a quantile over the rounds.
func (variant VariantResult) quantileRange(percent float64) (lowest, median, highest float64) {
	var values []float64
	for _, round := range variant.Rounds {
		values = append(values, quantile(round.All, percent))
	}
	if len(values) == 0 {
		return 0, 0, 0
	}
	return slices.Min(values), medianOf(values), slices.Max(values)
}

// jsonVariant is a variant in a JSON report.
type jsonVariant struct {
	Name      string                                    `json:"name"`
	Answered  int64                                     `json:"answered"`
	NotRun    int64                                     `json:"notRun"`
	Unknown   int64                                     `json:"unknown"`
	NotSent   int64                                     `json:"notSent"`
	LatencyMs map[string]float64                        `json:"latencyMs"`
	ClassesMs map[settings.ClassName]map[string]float64 `json:"classesMs"`
	RoundsMs  []map[string]float64                      `json:"roundsMs"`
}

// WriteJSON writes the results as JSON.
func (result Result) WriteJSON(out io.Writer) error {
	report := struct {
		Rate     float64       `json:"callsPerSecond"`
		Variants []jsonVariant `json:"variants"`
	}{Rate: result.Rate}
	for _, variant := range result.Variants {
		entry := jsonVariant{
			Name: variant.Name, Answered: variant.Total.Answered, NotRun: variant.Total.NotRun, Unknown: variant.Total.Unknown,
			NotSent: variant.Total.NotSent, LatencyMs: quantileMap(variant.Total.All), ClassesMs: map[settings.ClassName]map[string]float64{},
		}
		for class, histogram := range variant.Total.Classes {
			entry.ClassesMs[class] = quantileMap(histogram)
		}
		for _, round := range variant.Rounds {
			entry.RoundsMs = append(entry.RoundsMs, quantileMap(round.All))
		}
		report.Variants = append(report.Variants, entry)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write report")
}

func quantileMap(histogram *hdrhistogram.Histogram) map[string]float64 {
	values := map[string]float64{}
	for _, percent := range reportedQuantiles {
		values[fmt.Sprintf("p%g", percent)] = quantile(histogram, percent)
	}
	return values
}

// maxNines is the number of nines at the end of a plot's axis: 99.99 %.
const maxNines = 4

// WritePlot draws latency against the quantile of calls, with the same width for each nine, as an image file.
func (result Result) WritePlot(path string) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("Latency at %.0f calls/s", result.Rate)
	drawing.X.Label.Text = "nines of calls (1 = 90%, 2 = 99%, 3 = 99.9%)"
	drawing.Y.Label.Text = "latency (ms, logarithmic)"
	drawing.Y.Scale = plot.LogScale{}
	drawing.Y.Tick.Marker = plot.LogTicks{Prec: 3}
	drawing.Add(plotter.NewGrid())
	for index, variant := range result.Variants {
		line, err := plotter.NewLine(tailPoints(variant.Total.All))
		if err != nil {
			return errors.Wrapf(err, "plot variant %s", variant.Name)
		}
		line.Color = plotutil.Color(index)
		drawing.Add(line)
		drawing.Legend.Add(variant.Name, line)
	}
	drawing.Legend.Left = true
	drawing.Legend.Top = true
	return errors.Wrap(drawing.Save(18*vg.Centimeter, 11*vg.Centimeter, path), "write plot")
}

// tailPoints returns the plotted points: nines and latency in milliseconds.
func tailPoints(histogram *hdrhistogram.Histogram) plotter.XYs {
	const pointsPerNine = 20
	var points plotter.XYs
	share := 1.0
	for step := range maxNines*pointsPerNine + 1 {
		nines := float64(step) / pointsPerNine
		value := quantile(histogram, 100*(1-share))
		points = append(points, plotter.XY{X: nines, Y: max(value, 0.001)})
		share *= slowerShareFactor
	}
	return points
}

// slowerShareFactor is the factor by which the share of slower calls shrinks with each step, 20 steps per nine: 10 to the power of -1/20.
const slowerShareFactor = 0.8912509381337456

// WriteFiles writes the report to report.txt, report.json and report.svg in the directory, which is created if necessary.
func (result Result) WriteFiles(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "write report")
	}
	text, textErr := os.Create(filepath.Join(directory, "report.txt"))
	structured, jsonErr := os.Create(filepath.Join(directory, "report.json"))
	if err := cmp.Or(textErr, jsonErr); err != nil {
		return errors.Wrap(err, "write report")
	}
	defer text.Close()
	defer structured.Close()
	return errors.Join(result.WriteText(text), result.WriteJSON(structured), result.WritePlot(filepath.Join(directory, "report.svg")))
}
