package load

import (
	"context"
	"time"
)

// Variant is one way of sending the same load.
type Variant struct {
	Name string
	Send Sender
	// Background, if set, runs while the variant sends. It must return when its context ends.
	Background func(ctx context.Context, round int)
}

// Experiment compares variants that send alternately.
type Experiment struct {
	Mix  Mix
	Rate float64
	Seed uint64
	// Slice is the time for which a variant sends before the next one, Rounds the number of times that each variant sends.
	Slice    time.Duration
	Rounds   int
	Variants []Variant
}

// Result contains the measurements of an experiment.
type Result struct {
	Rate     float64
	Variants []VariantResult
}

// VariantResult contains the measurements of one variant.
type VariantResult struct {
	Name string
	// Total contains all rounds, Rounds each single one.
	Total  *Stats
	Rounds []*Stats
}

// Run runs the experiment. Within a round all variants get the same arrivals. Each round starts with the next variant, so that
// no variant always follows the same one.
func Run(ctx context.Context, experiment Experiment) Result {
	result := Result{Rate: experiment.Rate}
	for _, variant := range experiment.Variants {
		result.Variants = append(result.Variants, VariantResult{Name: variant.Name, Total: NewStats()})
	}
	for round := range experiment.Rounds {
		for offset := range experiment.Variants {
			index := (round + offset) % len(experiment.Variants)
			generator := NewGenerator(Options{
				Mix: experiment.Mix, Rate: experiment.Rate, Seed: experiment.Seed + uint64(round), Send: experiment.Variants[index].Send,
			})
			stats := experiment.Variants[index].run(ctx, round, func() *Stats { return generator.Run(ctx, experiment.Slice) })
			result.Variants[index].Rounds = append(result.Variants[index].Rounds, stats)
			result.Variants[index].Total.Merge(stats)
		}
	}
	return result
}

// run calls send while Background runs, then cancels Background and waits for its end.
func (variant Variant) run(ctx context.Context, round int, send func() *Stats) *Stats {
	if variant.Background == nil {
		return send()
	}
	backgroundCtx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		variant.Background(backgroundCtx, round)
	}()
	stats := send()
	stop()
	<-ended
	return stats
}
