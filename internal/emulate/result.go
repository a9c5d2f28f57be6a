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

// ending is how a caller's request ended.
type ending int

const (
	endedInTime ending = iota
	endedLate
	endedRefused
	endedExpired
	endings
)

// Tally counts how requests ended.
type Tally struct {
	byClass map[settings.ClassName]*[endings]int
	measure *load.Measure
	// heldLongest is how long a refused request was held at most.
	heldLongest clock.Milliseconds
}

func newTally() *Tally {
	return &Tally{byClass: map[settings.ClassName]*[endings]int{}, measure: load.NewMeasure()}
}

func (tally *Tally) counts(class settings.ClassName) *[endings]int {
	if tally.byClass[class] == nil {
		tally.byClass[class] = &[endings]int{}
	}
	return tally.byClass[class]
}

// count adds one request. latency is that of an answer.
func (tally *Tally) count(class settings.ClassName, ended ending, latency clock.Milliseconds) {
	tally.counts(class)[ended]++
	switch ended {
	case endedInTime, endedLate:
		tally.measure.Record(class, latency, outcome.Answered)
	case endedRefused:
		tally.measure.Record(class, latency, outcome.NotRun)
	case endedExpired, endings:
		tally.measure.Record(class, latency, outcome.Unknown)
	}
}

func (tally *Tally) held(length clock.Milliseconds) {
	tally.heldLongest = max(tally.heldLongest, length)
}

func (tally *Tally) merge(other *Tally) {
	for class, counts := range other.byClass {
		for ended, number := range counts {
			tally.counts(class)[ended] += number
		}
	}
	tally.measure.Merge(other.measure)
	tally.heldLongest = max(tally.heldLongest, other.heldLongest)
}

// InTime is the part of a class's requests that were answered in time; an empty class stands for all.
func (tally *Tally) InTime(class settings.ClassName) float64 { return tally.share(class, endedInTime) }

// Late requests were answered after the time within which an answer is worth most.
func (tally *Tally) Late(class settings.ClassName) float64 { return tally.share(class, endedLate) }

// Refused requests ran nowhere.
func (tally *Tally) Refused(class settings.ClassName) float64 {
	return tally.share(class, endedRefused)
}

// Expired requests had no answer within their caller's time.
func (tally *Tally) Expired(class settings.ClassName) float64 {
	return tally.share(class, endedExpired)
}

// HeldLongest is how long a request that was refused in the end was held at most.
func (tally *Tally) HeldLongest() clock.Milliseconds { return tally.heldLongest }

func (tally *Tally) share(class settings.ClassName, ended ending) float64 {
	sum, matching := 0, 0
	for name, counts := range tally.byClass {
		if class != "" && class != name {
			continue
		}
		for index, number := range counts {
			sum += number
			if ending(index) == ended {
				matching += number
			}
		}
	}
	return float64(matching) / float64(max(sum, 1))
}

// Result is what an experiment showed, by variant.
type Result struct {
	Variants []VariantResult
}

// VariantResult is one variant over all rounds.
type VariantResult struct {
	Name   string
	Whole  *Tally
	Rounds []*Tally
}

// Run plays every variant with the same seeds.
func Run(experiment *Experiment) Result {
	var result Result
	for index := range experiment.Variants {
		variant := VariantResult{Name: experiment.Variants[index].Name, Whole: newTally()}
		for round := range experiment.Rounds {
			tally := play(experiment, &experiment.Variants[index], experiment.Seed+uint64(round))
			variant.Rounds = append(variant.Rounds, tally)
			variant.Whole.merge(tally)
		}
		result.Variants = append(result.Variants, variant)
	}
	return result
}

// WriteText writes a table: each variant by class, and the spread of its share in time over the rounds.
func (result Result) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "variant\tclass\tinTime\tlate\trefused\texpired\tleast inTime\tmost inTime\theld (ms)")
	for _, variant := range result.Variants {
		classes := append([]settings.ClassName{""}, slices.Sorted(maps.Keys(variant.Whole.byClass))...)
		for _, class := range classes {
			name := string(class)
			if class == "" {
				name = "all"
			}
			least, most := variant.spread(class)
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\n", variant.Name, name, variant.Whole.InTime(class),
				variant.Whole.Late(class), variant.Whole.Refused(class), variant.Whole.Expired(class), least, most, float64(variant.Whole.heldLongest))
		}
	}
	return errors.Wrap(table.Flush(), "write table")
}

func (variant VariantResult) spread(class settings.ClassName) (least, most float64) {
	shares := make([]float64, 0, len(variant.Rounds))
	for _, round := range variant.Rounds {
		shares = append(shares, round.InTime(class))
	}
	return slices.Min(shares), slices.Max(shares)
}

// WriteFiles writes latencies as report.txt, report.json and report.svg into a directory.
func (result Result) WriteFiles(directory string) error {
	var report load.Result
	for _, variant := range result.Variants {
		entry := load.VariantResult{Name: variant.Name, Whole: variant.Whole.measure}
		for _, round := range variant.Rounds {
			entry.Rounds = append(entry.Rounds, round.measure)
		}
		report.Variants = append(report.Variants, entry)
	}
	return report.WriteFiles(directory)
}
