package service

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// benchFleet is a scheduler with targets of which a quarter is slow at any moment. A third of them is its own, and half of them lies in
// its data centre.
type benchFleet struct {
	scheduler *Scheduler
	random    *rand.Rand
	now       atomic.Int64
	names     []settings.TargetName
	nextTold  int
	held      []Permit
	waiting   []*PendingPermit
}

const (
	benchPeriod = 150 * clock.Millisecond
	benchSlots  = 4
	// benchHeld is how long a request seems to have been under way when it ends.
	benchHeld = 100 * clock.Millisecond
	// benchStep is the time between two requests, in nanoseconds.
	benchStep = 20_000
	// benchTell is the number of requests after which those targets tell whose slowness may have changed meanwhile.
	benchTell = 200
)

func newBenchFleet(targets int) *benchFleet {
	fleet := &benchFleet{random: rand.New(rand.NewPCG(3, 3))}
	fleet.now.Store(60_000_000_000)
	fleet.scheduler = NewScheduler(SchedulerOptions{Clock: &clock.Clock{Now: fleet.moment}, Rand: rand.New(rand.NewPCG(1, 1))})
	offers := make([]Offer, 0, targets)
	for number := range targets {
		name := settings.TargetName(fmt.Sprintf("target-%d", number))
		fleet.names = append(fleet.names, name)
		offers = append(offers, Offer{Name: name, Slots: benchSlots, Local: number%2 == 0, Owned: number%3 == 0, Usable: true, ColdRate: 19})
	}
	fleet.scheduler.SetOffers(offers)
	for range fleet.names {
		fleet.tell()
	}
	return fleet
}

func (fleet *benchFleet) moment() clock.Moment {
	return clock.Moment(float64(fleet.now.Load()) / 1e6)
}

// tell has the next target tell how it is until its next change.
func (fleet *benchFleet) tell() {
	slowdown := 1.0
	if fleet.random.IntN(4) == 0 {
		slowdown = 5
	}
	name := fleet.names[fleet.nextTold]
	running := fleet.scheduler.candidates[name].own
	fleet.scheduler.Observe(name, Reading{
		At: fleet.moment(), Running: running, Slots: benchSlots, Slowdown: slowdown, SteadyFor: benchPeriod - 10, Period: benchPeriod, ColdKnown: true,
	})
	fleet.nextTold = (fleet.nextTold + 1) % len(fleet.names)
}

// tellDue has those targets tell that do so within the time of benchTell requests.
func (fleet *benchFleet) tellDue() {
	passed := clock.Milliseconds(benchTell) * benchStep / 1e6
	for range int(float64(len(fleet.names))*float64(passed/benchPeriod) + 1) {
		fleet.tell()
	}
}

func (fleet *benchFleet) demand() PermitRequest {
	now := fleet.moment()
	return PermitRequest{Class: "look", Priority: 1, SoftDeadline: now.Add(40 * clock.Second), Deadline: now.Add(60 * clock.Second)}
}

// fill takes the given part of what fits.
func (fleet *benchFleet) fill(b *testing.B, part float64) {
	for range int(part * benchSlots * float64(len(fleet.names))) {
		place, ticket, err := fleet.scheduler.AcquireOrEnqueue(fleet.demand())
		if ticket != nil || err != nil {
			b.Fatal("no place")
		}
		fleet.held = append(fleet.held, place)
	}
}

// overfill takes all places, and has 500 requests wait.
func (fleet *benchFleet) overfill(b *testing.B) {
	for len(fleet.waiting) < 500 {
		place, ticket, err := fleet.scheduler.AcquireOrEnqueue(fleet.demand())
		switch {
		case err != nil:
			b.Fatal(err)
		case ticket != nil:
			fleet.waiting = append(fleet.waiting, ticket)
		default:
			fleet.held = append(fleet.held, place)
		}
	}
}

// collect takes over the places of requests that waited for them.
func (fleet *benchFleet) collect() {
	for len(fleet.waiting) > 0 {
		place, found, err := fleet.waiting[0].Poll()
		if !found {
			return
		}
		if err == nil {
			fleet.held = append(fleet.held, place)
		}
		fleet.waiting = fleet.waiting[1:]
	}
}

// release gives any place back.
func (fleet *benchFleet) release() {
	position := fleet.random.IntN(len(fleet.held))
	last := len(fleet.held) - 1
	fleet.held[position], fleet.held[last] = fleet.held[last], fleet.held[position]
	fleet.held[last].Release(Cancelled)
	fleet.held = fleet.held[:last]
}

// BenchmarkSchedulerChoice measures a request's entry and its release. Calm: 0.4 of what fits is in flight, and no request waits.
// Overloaded: 1.6 times what fits comes, all places are taken and 500 requests wait; five of eight that come get a place later, the
// others give up. What targets tell meanwhile isn't counted.
func BenchmarkSchedulerChoice(b *testing.B) {
	for _, targets := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("calm/targets=%d", targets), func(b *testing.B) {
			fleet := newBenchFleet(targets)
			fleet.fill(b, 0.4)
			b.ReportAllocs()
			for count := 1; b.Loop(); count++ {
				place, ticket, err := fleet.scheduler.AcquireOrEnqueue(fleet.demand())
				if ticket != nil || err != nil {
					b.Fatal("no place")
				}
				place.acquiredAt = place.acquiredAt.Add(-benchHeld)
				place.Release(Succeeded)
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
				_, ticket, err := fleet.scheduler.AcquireOrEnqueue(fleet.demand())
				if err != nil {
					b.Fatal(err)
				}
				if count%8 < 5 {
					fleet.waiting = append(fleet.waiting, ticket)
				} else if _, err = ticket.Cancel(); err == nil {
					b.Fatal("a place for one that gave up")
				}
				fleet.pause(b, count)
			}
		})
	}
}

// pause lets time pass, and now and then targets tell how they are, which isn't measured.
func (fleet *benchFleet) pause(b *testing.B, count int) {
	fleet.now.Add(benchStep)
	if count%benchTell != 0 {
		return
	}
	b.StopTimer()
	fleet.tellDue()
	fleet.collect()
	b.StartTimer()
}

// BenchmarkSchedulerChoiceParallel measures the same from all processors at once, which share one mutex. With 0.2 of what fits in flight each
// of them finds a fast target also among 20.
func BenchmarkSchedulerChoiceParallel(b *testing.B) {
	for _, targets := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			fleet := newBenchFleet(targets)
			fleet.fill(b, 0.2)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					place, ticket, err := fleet.scheduler.AcquireOrEnqueue(fleet.demand())
					if ticket != nil || err != nil {
						b.Error("no place")
						return
					}
					place.acquiredAt = place.acquiredAt.Add(-benchHeld)
					place.Release(Succeeded)
				}
			})
		})
	}
}

// BenchmarkSchedulerObserve measures what a target's word costs.
func BenchmarkSchedulerObserve(b *testing.B) {
	for _, targets := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			fleet := newBenchFleet(targets)
			fleet.fill(b, 0.4)
			step := int64(float64(benchPeriod) * 1e6 / float64(targets))
			b.ReportAllocs()
			for b.Loop() {
				fleet.now.Add(step)
				fleet.tell()
			}
		})
	}
}
