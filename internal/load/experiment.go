package load

import (
	"context"
	"time"
)

// Variant is one way of sending the same load.
type Variant struct {
	Name string
	Send Sender
	// Background, when set, runs while the variant sends, and ends with its context.
	Background func(ctx context.Context, round int)
}

// Experiment compares variants, which take turns.
type Experiment struct {
	Mix  Mix
	Rate float64
	Seed uint64
	// Slice is how long a variant sends before the next one does; Rounds is how often all do.
	Slice    time.Duration
	Rounds   int
	Variants []Variant
}

// Result is what an experiment measured.
type Result struct {
	Rate     float64
	Variants []VariantResult
}

// VariantResult is one variant's part.
type VariantResult struct {
	Name string
	// Total covers all rounds, Rounds each one.
	Total  *Stats
	Rounds []*Stats
}

// Run runs the experiment. Within a round every variant gets the same arrivals; the order of the variants turns from
// round to round, so that none always follows the same other.
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
			measured := experiment.Variants[index].run(ctx, round, func() *Stats { return generator.Run(ctx, experiment.Slice) })
			result.Variants[index].Rounds = append(result.Variants[index].Rounds, measured)
			result.Variants[index].Total.Merge(measured)
		}
	}
	return result
}

// run sends while what goes on beside it does.
func (variant Variant) run(ctx context.Context, round int, send func() *Stats) *Stats {
	if variant.Background == nil {
		return send()
	}
	beside, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		variant.Background(beside, round)
	}()
	measured := send()
	stop()
	<-ended
	return measured
}
