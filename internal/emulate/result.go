package emulate

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/load"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// requestResult is the final result of a caller's request, including its retries.
type requestResult int

const (
	resultInTime requestResult = iota
	resultLate
	resultRefused
	resultExpired
	resultCount
)

// Tally counts the results of requests.
type Tally struct {
	byClass map[settings.ClassName]*[resultCount]int
	stats   *load.Stats
	// maxRefusalDelay is the longest time from the arrival of a request at an instance to its rejection.
	maxRefusalDelay clock.Milliseconds
}

func newTally() *Tally {
	return &Tally{byClass: map[settings.ClassName]*[resultCount]int{}, stats: load.NewStats()}
}

func (tally *Tally) counts(class settings.ClassName) *[resultCount]int {
	if tally.byClass[class] == nil {
		tally.byClass[class] = &[resultCount]int{}
	}
	return tally.byClass[class]
}

// count adds one request. latency is recorded only for a request with a response.
func (tally *Tally) count(class settings.ClassName, result requestResult, latency clock.Milliseconds) {
	tally.counts(class)[result]++
	switch result {
	case resultInTime, resultLate:
		tally.stats.Record(class, latency, outcome.Answered)
	case resultRefused:
		tally.stats.Record(class, latency, outcome.NotRun)
	case resultExpired, resultCount:
		tally.stats.Record(class, latency, outcome.Unknown)
	}
}

func (tally *Tally) recordRefusalDelay(delay clock.Milliseconds) {
	tally.maxRefusalDelay = max(tally.maxRefusalDelay, delay)
}

func (tally *Tally) merge(other *Tally) {
	for class, counts := range other.byClass {
		for result, number := range counts {
			tally.counts(class)[result] += number
		}
	}
	tally.stats.Merge(other.stats)
	tally.maxRefusalDelay = max(tally.maxRefusalDelay, other.maxRefusalDelay)
}

// InTime returns the fraction of a class's requests with a response within the soft timeout. An empty class means all classes.
func (tally *Tally) InTime(class settings.ClassName) float64 { return tally.share(class, resultInTime) }

// Late returns the fraction of requests with a response after the soft timeout.
func (tally *Tally) Late(class settings.ClassName) float64 { return tally.share(class, resultLate) }

// Refused returns the fraction of requests that were rejected and did not run.
func (tally *Tally) Refused(class settings.ClassName) float64 {
	return tally.share(class, resultRefused)
}

// Expired returns the fraction of requests without a response before the caller's deadline.
func (tally *Tally) Expired(class settings.ClassName) float64 {
	return tally.share(class, resultExpired)
}

// MaxRefusalDelay returns the longest time from the arrival of a request at an instance to its rejection.
func (tally *Tally) MaxRefusalDelay() clock.Milliseconds { return tally.maxRefusalDelay }

func (tally *Tally) share(class settings.ClassName, result requestResult) float64 {
	sum, matching := 0, 0
	for name, counts := range tally.byClass {
		if class != "" && class != name {
			continue
		}
		for index, number := range counts {
			sum += number
			if requestResult(index) == result {
				matching += number
			}
		}
	}
	return float64(matching) / float64(max(sum, 1))
}

// Result contains the results of an experiment by variant.
type Result struct {
	Variants []VariantResult
}

// VariantResult contains the results of one variant: Total over all rounds, and Rounds for each round.
type VariantResult struct {
	Name   string
	Total  *Tally
	Rounds []*Tally
}

// Run simulates every variant with the same seeds.
func Run(experiment *Experiment) Result {
	var result Result
	for index := range experiment.Variants {
		variant := VariantResult{Name: experiment.Variants[index].Name, Total: newTally()}
		for round := range experiment.Rounds {
			tally := simulate(experiment, &experiment.Variants[index], experiment.Seed+uint64(round))
			variant.Rounds = append(variant.Rounds, tally)
			variant.Total.merge(tally)
		}
		result.Variants = append(result.Variants, variant)
	}
	return result
}

// WriteText writes a table: each variant by class, with the lowest and highest fraction in time of all rounds, and the longest time
// from the arrival of a request at an instance to its rejection.
func (result Result) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "variant\tclass\tinTime\tlate\trefused\texpired\tleast inTime\tmost inTime\theld (ms)")
	for _, variant := range result.Variants {
		classes := append([]settings.ClassName{""}, slices.Sorted(maps.Keys(variant.Total.byClass))...)
		for _, class := range classes {
			name := string(class)
			if class == "" {
				name = "all"
			}
			lowest, highest := variant.inTimeRange(class)
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\n", variant.Name, name, variant.Total.InTime(class),
				variant.Total.Late(class), variant.Total.Refused(class), variant.Total.Expired(class), lowest, highest,
				float64(variant.Total.maxRefusalDelay))
		}
	}
	return errors.Wrap(table.Flush(), "write table")
}

func (variant VariantResult) inTimeRange(class settings.ClassName) (lowest, highest float64) {
	shares := make([]float64, 0, len(variant.Rounds))
	for _, round := range variant.Rounds {
		shares = append(shares, round.InTime(class))
	}
	return slices.Min(shares), slices.Max(shares)
}

// WriteFiles writes the latencies to report.txt, report.json and report.svg in the directory, which is created if necessary.
func (result Result) WriteFiles(directory string) error {
	var report load.Result
	for _, variant := range result.Variants {
		entry := load.VariantResult{Name: variant.Name, Total: variant.Total.stats}
		for _, round := range variant.Rounds {
			entry.Rounds = append(entry.Rounds, round.stats)
		}
		report.Variants = append(report.Variants, entry)
	}
	return report.WriteFiles(directory)
}
