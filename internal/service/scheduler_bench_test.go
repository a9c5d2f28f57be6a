package service

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// benchFleet is a scheduler with targets of which a quarter is slow at any moment. It owns a third of them, and half of them
// are in its data centre.
type benchFleet struct {
	scheduler      *Scheduler
	random         *rand.Rand
	now            atomic.Int64
	names          []settings.TargetName
	nextReporting  int
	permits        []Permit
	pendingPermits []*PendingPermit
}

const (
	benchPeriod = 150 * clock.Millisecond
	benchSlots  = 4
	// benchRequestDuration is the apparent duration of a request when it ends.
	benchRequestDuration = 100 * clock.Millisecond
	// benchStep is the time between two requests, in nanoseconds.
	benchStep = 20_000
	// benchRequestsPerReport is the number of requests after which the targets report whose slowdown may have changed meanwhile.
	benchRequestsPerReport = 200
)

func newBenchFleet(targets int) *benchFleet {
	fleet := &benchFleet{random: rand.New(rand.NewPCG(3, 3))}
	fleet.now.Store(60_000_000_000)
	fleet.scheduler = NewScheduler(SchedulerOptions{Clock: &clock.Clock{Now: fleet.moment}, Rand: rand.New(rand.NewPCG(1, 1))})
	configs := make([]TargetConfig, 0, targets)
	for number := range targets {
		name := settings.TargetName(fmt.Sprintf("target-%d", number))
		fleet.names = append(fleet.names, name)
		configs = append(configs, TargetConfig{Name: name, Slots: benchSlots, Local: number%2 == 0, Owned: number%3 == 0, Usable: true, ColdRate: 19})
	}
	fleet.scheduler.SetTargets(configs)
	for range fleet.names {
		fleet.report()
	}
	return fleet
}

func (fleet *benchFleet) moment() clock.Moment {
	return clock.Moment(float64(fleet.now.Load()) / 1e6)
}

// report adds a reading of the next target that is valid until its next change.
func (fleet *benchFleet) report() {
	slowdown := 1.0
	if fleet.random.IntN(4) == 0 {
		slowdown = 5
	}
	name := fleet.names[fleet.nextReporting]
	running := fleet.scheduler.candidates[name].ownInFlight
	fleet.scheduler.Observe(name, LoadReading{
		At: fleet.moment(), Running: running, Slots: benchSlots, Slowdown: slowdown, SteadyFor: benchPeriod - 10, Period: benchPeriod, ColdKnown: true,
	})
	fleet.nextReporting = (fleet.nextReporting + 1) % len(fleet.names)
}

// reportDue adds the readings that are due within the time of benchRequestsPerReport requests.
func (fleet *benchFleet) reportDue() {
	passed := clock.Milliseconds(benchRequestsPerReport) * benchStep / 1e6
	for range int(float64(len(fleet.names))*float64(passed/benchPeriod) + 1) {
		fleet.report()
	}
}

func (fleet *benchFleet) permitRequest() PermitRequest {
	now := fleet.moment()
	return PermitRequest{Class: "look", Priority: 1, SoftDeadline: now.Add(40 * clock.Second), Deadline: now.Add(60 * clock.Second)}
}

// fill acquires the given part of all permits.
func (fleet *benchFleet) fill(b *testing.B, part float64) {
	for range int(part * benchSlots * float64(len(fleet.names))) {
		permit, pendingPermit, err := fleet.scheduler.AcquireOrEnqueue(fleet.permitRequest())
		if pendingPermit != nil || err != nil {
			b.Fatal("no permit")
		}
		fleet.permits = append(fleet.permits, permit)
	}
}

// overfill acquires all permits and queues 500 more requests.
func (fleet *benchFleet) overfill(b *testing.B) {
	for len(fleet.pendingPermits) < 500 {
		permit, pendingPermit, err := fleet.scheduler.AcquireOrEnqueue(fleet.permitRequest())
		switch {
		case err != nil:
			b.Fatal(err)
		case pendingPermit != nil:
			fleet.pendingPermits = append(fleet.pendingPermits, pendingPermit)
		default:
			fleet.permits = append(fleet.permits, permit)
		}
	}
}

// collect takes over the permits granted to waiting requests.
func (fleet *benchFleet) collect() {
	for len(fleet.pendingPermits) > 0 {
		permit, found, err := fleet.pendingPermits[0].Poll()
		if !found {
			return
		}
		if err == nil {
			fleet.permits = append(fleet.permits, permit)
		}
		fleet.pendingPermits = fleet.pendingPermits[1:]
	}
}

// release releases a random permit.
func (fleet *benchFleet) release() {
	position := fleet.random.IntN(len(fleet.permits))
	last := len(fleet.permits) - 1
	fleet.permits[position], fleet.permits[last] = fleet.permits[last], fleet.permits[position]
	fleet.permits[last].Release(Cancelled)
	fleet.permits = fleet.permits[:last]
}

// BenchmarkSchedulerChoice measures the admission of a request and the release of its permit. Calm: 0.4 of all permits are
// in use, and no request waits. Overloaded: requests arrive at 1.6 times the capacity, all permits are in use and 500
// requests wait; five of eight new requests get a permit later, the others give up. The readings of targets are not
// measured.
func BenchmarkSchedulerChoice(b *testing.B) {
	for _, targets := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("calm/targets=%d", targets), func(b *testing.B) {
			fleet := newBenchFleet(targets)
			fleet.fill(b, 0.4)
			b.ReportAllocs()
			for count := 1; b.Loop(); count++ {
				permit, pendingPermit, err := fleet.scheduler.AcquireOrEnqueue(fleet.permitRequest())
				if pendingPermit != nil || err != nil {
					b.Fatal("no permit")
				}
				permit.acquiredAt = permit.acquiredAt.Add(-benchRequestDuration)
				permit.Release(Succeeded)
				fleet.pause(b, count)
			}
		})
		b.Run(fmt.Sprintf("overloaded/targets=%d", targets), func(b *testing.B) {
			fleet := newBenchFleet(targets)
			fleet.overfill(b)
			b.ReportAllocs()
			for count := 1; b.Loop(); count++ {
				if count%8 < 5 {
					fleet.release()
					fleet.collect()
				}
				_, pendingPermit, err := fleet.scheduler.AcquireOrEnqueue(fleet.permitRequest())
				if err != nil {
					b.Fatal(err)
				}
				if count%8 < 5 {
					fleet.pendingPermits = append(fleet.pendingPermits, pendingPermit)
				} else if _, err = pendingPermit.Cancel(); err == nil {
					b.Fatal("a permit for a request that gave up")
				}
				fleet.pause(b, count)
			}
		})
	}
}

// pause advances the clock. Every benchRequestsPerReport requests, targets report their load, which is not measured.
func (fleet *benchFleet) pause(b *testing.B, count int) {
	fleet.now.Add(benchStep)
	if count%benchRequestsPerReport != 0 {
		return
	}
	b.StopTimer()
	fleet.reportDue()
	fleet.collect()
	b.StartTimer()
}

// BenchmarkSchedulerChoiceParallel measures the same from all CPUs at once, which share one mutex. With 0.2 of all permits
// in use, each of them finds a fast target even among 20.
func BenchmarkSchedulerChoiceParallel(b *testing.B) {
	for _, targets := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			fleet := newBenchFleet(targets)
			fleet.fill(b, 0.2)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					permit, pendingPermit, err := fleet.scheduler.AcquireOrEnqueue(fleet.permitRequest())
					if pendingPermit != nil || err != nil {
						b.Error("no permit")
						return
					}
					permit.acquiredAt = permit.acquiredAt.Add(-benchRequestDuration)
					permit.Release(Succeeded)
				}
			})
		})
	}
}

// BenchmarkSchedulerObserve measures the cost of a reading.
func BenchmarkSchedulerObserve(b *testing.B) {
	for _, targets := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			fleet := newBenchFleet(targets)
			fleet.fill(b, 0.4)
			step := int64(float64(benchPeriod) * 1e6 / float64(targets))
			b.ReportAllocs()
			for b.Loop() {
				fleet.now.Add(step)
				fleet.report()
			}
		})
	}
}
