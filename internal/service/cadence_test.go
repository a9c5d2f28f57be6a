package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// A target changes its slowness at a fixed phase of a fixed period. Probed at intervals, with some delay, its cadence must
// be found; where changes come at just any moment, none may be.
func TestCadenceIsLearnt(t *testing.T) {
	cases := []struct {
		name   string
		period clock.Milliseconds
		steady bool
	}{
		{"150 ms", 150, true},
		{"100 ms", 100, true},
		{"235 ms", 235, true},
		{"any moment", 150, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(4, 2))
			targets := make([]*cadence, 8)
			phases := make([]clock.Milliseconds, len(targets))
			for number := range targets {
				targets[number] = &cadence{}
				phases[number] = clock.Milliseconds(random.Float64()) * testCase.period
				observeFor(targets[number], random, testCase.period, phases[number], testCase.steady, 9*clock.Second)
			}
			period := findPeriod(targets)
			if !testCase.steady {
				require.Zero(t, period)
				return
			}
			require.InDelta(t, float64(testCase.period), float64(period), 0.2)
			for number, target := range targets {
				target.learn(period)
				require.Equal(t, period, target.period)
				wrong := target.offset(clock.Moment(phases[number]))
				require.Less(t, max(wrong, -wrong), 10*clock.Millisecond)
			}
		})
	}
}

// observeFor lets a cadence see readings some 30 ms apart.
func observeFor(target *cadence, random *rand.Rand, period, phase clock.Milliseconds, steady bool, length clock.Milliseconds) {
	slowdown, next := 1.0, clock.Moment(phase)
	for at := clock.Moment(0); at < clock.Moment(length); at = at.Add(28 + clock.Milliseconds(4*random.Float64())) {
		for next <= at {
			slowdown = 1
			if random.Float64() < 0.3 {
				slowdown = 5
			}
			step := period
			if !steady {
				step = period * clock.Milliseconds(random.ExpFloat64())
			}
			next = next.Add(step)
		}
		target.observe(Reading{At: at, Slowdown: slowdown})
	}
}

// A cadence that was learnt is wrong now, for the target has moved to another machine. Requests would be placed by a calm
// that ends at any time; it must be dropped.
func TestWrongCadenceIsDropped(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	target := &cadence{period: 150}
	observeFor(target, random, 150, 75, true, 20*clock.Second)
	require.True(t, target.period == 0 || target.settled > 0, "neither dropped nor followed to the new phase")
}

// With a cadence, a request goes where the calm lasts; without one, a reading loses its worth over a spell.
func TestPrediction(t *testing.T) {
	known := &candidate{read: true, reading: Reading{At: 1000, Slowdown: 1}}
	require.InDelta(t, 100, float64(known.timeFor(1000, 100, 3, 3)), 0.1)
	require.InDelta(t, 200, float64(known.timeFor(1075, 100, 3, 3)), 0.1)
	require.InDelta(t, 300, float64(known.timeFor(1400, 100, 3, 3)), 0.1)
	known.cadence = cadence{period: 150, boundary: 1000}
	require.InDelta(t, 100, float64(known.timeFor(1000, 100, 3, 3)), 0.1)
	require.InDelta(t, 75+25*3, float64(known.timeFor(1075, 100, 3, 3)), 0.1)
	known.reading.Slowdown = 5
	require.InDelta(t, 10+98*3, float64(known.timeFor(1140, 100, 3, 3)), 0.1)
}

// A target is cold. Over any second it gets no more than it bears, however many requests wait for it; one that another
// instance answers for gets none from here.
func TestColdTargetGetsWhatItBears(t *testing.T) {
	manual := clock.NewManual()
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetOffers([]Offer{
		{Name: "own", Slots: 6, Owned: true, Usable: true, ColdRate: 10, ColdFor: 3 * clock.Second},
		{Name: "other", Slots: 6, Usable: true, ColdRate: 10, ColdFor: 3 * clock.Second},
	})
	taken := 0
	for range 100 {
		manual.Advance(20 * clock.Millisecond)
		scheduler.Observe("own", Reading{At: manual.Now(), Slots: 6, Slowdown: 1, ColdKnown: true, ColdFor: clock.Second})
		if place, found := scheduler.TryTake(PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second)}); found {
			require.EqualValues(t, "own", place.Target.Name)
			taken++
			place.Release(Cancelled)
		}
	}
	require.LessOrEqual(t, taken, int(2*10*coldMargin)+1)
	require.Positive(t, taken)
}

// A server was just taken over from an instance that may still send to it. For a second it gets nothing while it is cold.
func TestNewOwnerLeavesColdTargetAlone(t *testing.T) {
	manual := clock.NewManual()
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	offer := Offer{Name: "one", Slots: 6, Usable: true, ColdRate: 10, ColdFor: 9 * clock.Second}
	scheduler.SetOffers([]Offer{offer})
	manual.Advance(clock.Second)
	offer.Owned = true
	scheduler.SetOffers([]Offer{offer})
	manual.Advance(takeoverWait / 2)
	_, found := scheduler.TryTake(PermitRequest{Class: "look"})
	require.False(t, found)
}

// A data centre's servers are back, cold and half as fast as usual, and what they say of themselves includes that. Counted
// twice, they seem slower than a warm server in a slow spell, and callers wait on that one while the cold ones idle.
func TestColdTargetIsNotCountedSlowTwice(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Second)
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetOffers([]Offer{
		{Name: "cold", Slots: 2, Local: true, Owned: true, Usable: true, ColdRate: 10, ColdFor: 3 * clock.Second},
		{Name: "slow", Slots: 2, Local: true, Owned: true, Usable: true, ColdRate: 10},
	})
	manual.Advance(clock.Second)
	scheduler.Observe("cold", Reading{At: manual.Now(), Slots: 2, Slowdown: 2, SteadyFor: 299, Period: 300, ColdKnown: true, ColdFor: 2 * clock.Second})
	scheduler.Observe("slow", Reading{At: manual.Now(), Slots: 2, Slowdown: 5, SteadyFor: 290, Period: 300, ColdKnown: true})
	place, err := scheduler.Take(t.Context(), PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second), Deadline: manual.Now().Add(clock.Second)})
	require.NoError(t, err)
	require.EqualValues(t, "cold", place.Target.Name)
}

// Half of the places of a service are taken by several instances. Each knows what the others have in flight only from readings, and when
// those come once in a spell, two of them send requests to the same last place, where one waits for the other to end. While places
// are plenty, the same probes would only be load.
func TestScarcePlacesAreLookedAtOften(t *testing.T) {
	cases := []struct {
		name    string
		taken   int
		looksIn clock.Milliseconds
	}{
		{"plenty", 2, 100 + edgeMargin},
		{"scarce", 4, busyLook},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			var offers []Offer
			for _, name := range []settings.TargetName{"a", "b", "c", "d"} {
				offers = append(offers, Offer{Name: name, Slots: 2, Owned: true, Usable: true})
			}
			scheduler.SetOffers(offers)
			for _, offer := range offers {
				scheduler.Observe(offer.Name, Reading{At: manual.Now(), Slots: 2, Slowdown: 1, SteadyFor: 100, Period: 150, ColdKnown: true})
			}
			scheduler.candidates["a"].cadence.settled = settledFrom
			for range testCase.taken {
				_, _, err := scheduler.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second), Deadline: manual.Now().Add(clock.Second)})
				require.NoError(t, err)
			}
			require.InDelta(t, float64(testCase.looksIn), float64(scheduler.NextProbe("a", 30, 45)), 0.01)
		})
	}
}
