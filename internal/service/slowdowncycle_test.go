package service

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// The slowdown of a target changes at a fixed phase of a fixed period. The cycle must be found from readings about 30 ms
// apart; where changes come at arbitrary moments, none may be found.
func TestSlowdownCycleIsLearned(t *testing.T) {
	cases := []struct {
		name   string
		period clock.Milliseconds
		steady bool
	}{
		{"150 ms", 150, true},
		{"100 ms", 100, true},
		{"235 ms", 235, true},
		{"arbitrary moments", 150, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(4, 2))
			slowdownCycles := make([]*slowdownCycle, 8)
			phases := make([]clock.Milliseconds, len(slowdownCycles))
			for number := range slowdownCycles {
				slowdownCycles[number] = &slowdownCycle{}
				phases[number] = clock.Milliseconds(random.Float64()) * testCase.period
				observeReadings(slowdownCycles[number], random, testCase.period, phases[number], testCase.steady, 9*clock.Second)
			}
			period := findPeriod(slowdownCycles, 0)
			if !testCase.steady {
				require.Zero(t, period)
				return
			}
			require.InDelta(t, float64(testCase.period), float64(period), 0.2)
			for number, slowdownCycle := range slowdownCycles {
				slowdownCycle.learnPhase(period)
				require.Equal(t, period, slowdownCycle.period)
				wrong := slowdownCycle.offset(clock.Moment(phases[number]))
				require.Less(t, max(wrong, -wrong), 10*clock.Millisecond)
			}
		})
	}
}

// observeReadings adds readings about 30 ms apart to a cycle.
func observeReadings(slowdownCycle *slowdownCycle, random *rand.Rand, period, phase clock.Milliseconds, steady bool, length clock.Milliseconds) {
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
		slowdownCycle.observe(LoadReading{At: at, Slowdown: slowdown})
	}
}

// A learned cycle becomes wrong when its target moves to another machine. It must be dropped, or requests would be sent to a
// target whose fast interval may end at any time.
func TestWrongSlowdownCycleIsDropped(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slowdownCycle := &slowdownCycle{period: 150}
	observeReadings(slowdownCycle, random, 150, 75, true, 20*clock.Second)
	require.True(t, slowdownCycle.period == 0 || slowdownCycle.preciseChanges > 0, "neither dropped nor adapted to the new phase")
}

// With a known cycle, a request is predicted by the rest of the interval; without one, the weight of a reading decreases
// over one interval.
func TestPrediction(t *testing.T) {
	candidate := &candidate{hasReading: true, reading: LoadReading{At: 1000, Slowdown: 1}}
	require.InDelta(t, 100, float64(candidate.varyingDuration(1000, 100, 3, 3)), 0.1)
	require.InDelta(t, 200, float64(candidate.varyingDuration(1075, 100, 3, 3)), 0.1)
	require.InDelta(t, 300, float64(candidate.varyingDuration(1400, 100, 3, 3)), 0.1)
	candidate.slowdownCycle = slowdownCycle{period: 150, boundary: 1000}
	require.InDelta(t, 100, float64(candidate.varyingDuration(1000, 100, 3, 3)), 0.1)
	require.InDelta(t, 75+25*3, float64(candidate.varyingDuration(1075, 100, 3, 3)), 0.1)
	candidate.reading.Slowdown = 5
	require.InDelta(t, 10+98*3, float64(candidate.varyingDuration(1140, 100, 3, 3)), 0.1)
}

// A cold target must not get more requests in any second than its rate, however many requests wait for it. A cold target
// that another instance owns must get none.
func TestColdTargetStaysWithinItsRate(t *testing.T) {
	manual := clock.NewManual()
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetTargets([]TargetConfig{
		{Name: "own", Slots: 6, Owned: true, Usable: true, ColdRate: 10, ColdFor: 3 * clock.Second},
		{Name: "other", Slots: 6, Usable: true, ColdRate: 10, ColdFor: 3 * clock.Second},
	})
	acquired := 0
	for range 100 {
		manual.Advance(20 * clock.Millisecond)
		scheduler.Observe("own", LoadReading{At: manual.Now(), Slots: 6, Slowdown: 1, ColdKnown: true, ColdFor: clock.Second})
		if permit, found := scheduler.TryAcquire(PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second)}); found {
			require.EqualValues(t, "own", permit.Target.Name)
			acquired++
			permit.Release(Cancelled)
		}
	}
	require.LessOrEqual(t, acquired, int(2*10*coldRateShare)+1)
	require.Positive(t, acquired)
}

// A server was just taken over from an instance that may still send to it. For takeoverWait it must get nothing while it is
// cold.
func TestNewOwnerLeavesColdTargetAlone(t *testing.T) {
	manual := clock.NewManual()
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	config := TargetConfig{Name: "one", Slots: 6, Usable: true, ColdRate: 10, ColdFor: 9 * clock.Second}
	scheduler.SetTargets([]TargetConfig{config})
	manual.Advance(clock.Second)
	config.Owned = true
	scheduler.SetTargets([]TargetConfig{config})
	manual.Advance(takeoverWait / 2)
	_, found := scheduler.TryAcquire(PermitRequest{Class: "look"})
	require.False(t, found)
}

// The servers of a data centre return cold and half as fast as usual, and their readings include that. If it was counted
// twice, they would seem slower than a warm server in a slow interval, and requests would go to that one while the cold ones
// are idle.
func TestColdTargetIsNotCountedSlowTwice(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Second)
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetTargets([]TargetConfig{
		{Name: "cold", Slots: 2, Local: true, Owned: true, Usable: true, ColdRate: 10, ColdFor: 3 * clock.Second},
		{Name: "slow", Slots: 2, Local: true, Owned: true, Usable: true, ColdRate: 10},
	})
	manual.Advance(clock.Second)
	scheduler.Observe("cold", LoadReading{At: manual.Now(), Slots: 2, Slowdown: 2, SteadyFor: 299, Period: 300, ColdKnown: true, ColdFor: 2 * clock.Second})
	scheduler.Observe("slow", LoadReading{At: manual.Now(), Slots: 2, Slowdown: 5, SteadyFor: 290, Period: 300, ColdKnown: true})
	permit, err := scheduler.Acquire(t.Context(), PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second), Deadline: manual.Now().Add(clock.Second)})
	require.NoError(t, err)
	require.EqualValues(t, "cold", permit.Target.Name)
}

// Several instances use half of the permits of a service. Each knows the number of requests of the others only from
// readings. If these arrive once per slowdown interval, two instances send requests to the same last slot, where one waits for
// the other to end. While most permits are free, more frequent probes would only add load.
func TestScarcePermitsAreProbedOften(t *testing.T) {
	cases := []struct {
		name     string
		acquired int
		probeIn  clock.Milliseconds
	}{
		{"most permits free", 2, 100 + boundaryProbeMargin},
		{"half of the permits in use", 4, busyProbeInterval},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			var configs []TargetConfig
			for _, name := range []settings.TargetName{"a", "b", "c", "d"} {
				configs = append(configs, TargetConfig{Name: name, Slots: 2, Owned: true, Usable: true})
			}
			scheduler.SetTargets(configs)
			for _, config := range configs {
				scheduler.Observe(config.Name, LoadReading{At: manual.Now(), Slots: 2, Slowdown: 1, SteadyFor: 100, Period: 150, ColdKnown: true})
			}
			scheduler.candidates["a"].slowdownCycle.preciseChanges = minPreciseChanges
			for range testCase.acquired {
				_, _, err := scheduler.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second), Deadline: manual.Now().Add(clock.Second)})
				require.NoError(t, err)
			}
			require.InDelta(t, float64(testCase.probeIn), float64(scheduler.NextProbe("a", 30, 45)), 0.01)
		})
	}
}

// newCycles returns the cycles of targets that have been observed for eight seconds.
func newCycles(targets int, period clock.Milliseconds, steady bool) []*slowdownCycle {
	random := rand.New(rand.NewPCG(1, 1))
	slowdownCycles := make([]*slowdownCycle, targets)
	for number := range slowdownCycles {
		slowdownCycles[number] = &slowdownCycle{}
		observeReadings(slowdownCycles[number], random, period, period*clock.Milliseconds(random.Float64()), steady, 8*clock.Second)
	}
	return slowdownCycles
}

// Guards against a search that takes longer than the time between two searches, because a service has thousands of targets. It is made
// while the scheduler is locked.
func TestPeriodSearchIsBounded(t *testing.T) {
	for _, targets := range []int{300, 3000, 12_000} {
		t.Run(fmt.Sprintf("%d targets", targets), func(t *testing.T) {
			slowdownCycles := newCycles(targets, 150*clock.Millisecond, true)
			changes := 0
			for _, slowdownCycle := range searchedCycles(slowdownCycles, targets/2) {
				changes += len(slowdownCycle.changes)
			}
			require.LessOrEqual(t, changes, 600, "changes that are compared with each period")
			require.InDelta(t, 150, float64(findPeriod(slowdownCycles, targets/2)), 0.2)
		})
	}
}

// BenchmarkFindPeriod measures a search that finds no period, which is repeated every second.
func BenchmarkFindPeriod(b *testing.B) {
	for _, targets := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("%d targets", targets), func(b *testing.B) {
			slowdownCycles := newCycles(targets, 150*clock.Millisecond, false)
			for b.Loop() {
				findPeriod(slowdownCycles, 0)
			}
		})
	}
}
