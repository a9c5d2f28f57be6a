package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

func newWarmDispatcher(targets, slots int) *Dispatcher {
	dispatcher := NewDispatcher(Options{
		Clock:  clock.New(),
		Rand:   rand.New(rand.NewPCG(1, 1)),
		Limits: Limits{QueueLength: 100, QueueWait: clock.Second, FailurePenalty: 100},
	})
	for number := range targets {
		name := settings.TargetName(fmt.Sprintf("target-%d", number))
		dispatcher.Add(name, "127.0.0.1:1", "sofia-1")
		dispatcher.SetLimit(name, TargetLimit{Limit: slots, MinShare: slots, MaxOwnInFlight: slots}, 0)
	}
	return dispatcher
}

// BenchmarkChoice measures acquiring and releasing a permit while a third of all permits are in use.
func BenchmarkChoice(b *testing.B) {
	for _, targets := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			dispatcher := newWarmDispatcher(targets, 6)
			request := PermitRequest{Deadline: clock.Moment(clock.Minute)}
			for range targets * 2 {
				if _, err := dispatcher.Acquire(context.Background(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				permit, err := dispatcher.Acquire(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				permit.Release(Succeeded)
			}
		})
	}
}

// BenchmarkChoiceParallel measures the same on all processors at once, which share one mutex.
func BenchmarkChoiceParallel(b *testing.B) {
	dispatcher := newWarmDispatcher(920, 6)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			permit, err := dispatcher.Acquire(context.Background(), PermitRequest{Deadline: clock.Moment(clock.Minute)})
			if err != nil {
				b.Error(err)
				return
			}
			permit.Release(Succeeded)
		}
	})
}
