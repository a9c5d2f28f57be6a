package service

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a target whose number of slots sizes the memory and the time of each choice: one with a thousand million slots took all
// memory of each instance, and one with the largest integer ended them.
func TestSlotsDoNotSizeMemory(t *testing.T) {
	const maxBytes = 64 << 10
	for _, slots := range []int{math.MinInt, -1, 0, 1, maxModelledSlots, maxModelledSlots + 1, 70_000, 1_000_000_000, math.MaxInt} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Second)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			scheduler.SetTargets([]TargetConfig{{Name: "odd", Slots: slots, Usable: true}, {Name: "even", Slots: slots, Usable: true}, {Name: "usual", Slots: 6, Usable: true}})
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxBytes))
			_, limit := scheduler.inFlight(manual.Now())
			require.Positive(t, limit)
			require.LessOrEqual(t, limit, 2*maxModelledSlots+6)
			for _, name := range []settings.TargetName{"odd", "even", "usual"} {
				scheduler.Observe(name, LoadReading{At: manual.Now(), Slots: slots, Slowdown: 1, ColdKnown: true, Source: FromProbe})
			}
			for range 2 {
				permit, found := scheduler.TryAcquire(PermitRequest{Class: "lookups", SoftDeadline: manual.Now().Add(clock.Second)})
				require.True(t, found)
				permit.Release(Succeeded)
			}
		})
	}
}

// Guards against a model that is kept for each number of slots that any entry has ever had.
func TestModelsOfUnusedSlotsAreDropped(t *testing.T) {
	manual := clock.NewManual()
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	for slots := range 2000 {
		scheduler.ChangeTargets([]TargetConfig{{Name: "odd", Slots: slots, Usable: true}, {Name: "usual", Slots: 6, Usable: true}}, nil)
		if slots%7 == 0 {
			scheduler.ChangeTargets(nil, []settings.TargetName{"odd"})
		}
		require.LessOrEqual(t, len(scheduler.concurrencyModel.slotClasses), keptSlotClasses+1)
		require.Len(t, scheduler.concurrencyModel.bySlots, len(scheduler.concurrencyModel.slotClasses))
	}
}

// Guards against servers that restart together, of which the instance would have to learn again how many requests they run at once.
func TestModelSurvivesRestartOfAllTargets(t *testing.T) {
	manual := clock.NewManual()
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetTargets([]TargetConfig{{Name: "one", Slots: 4, Usable: true}})
	before := scheduler.candidates["one"].slotClass
	scheduler.SetTargets(nil)
	scheduler.SetTargets([]TargetConfig{{Name: "two", Slots: 4, Usable: true}})
	require.Same(t, before, scheduler.candidates["two"].slotClass)
}

// Guards against an index out of range on one kind of machine alone: of a target whose expected time is infinite, and of a period of almost
// no time.
func TestIndexOfNumbersOutOfRange(t *testing.T) {
	const length = 16
	cases := []struct {
		number float64
		want   int
	}{
		{-1, 0}, {0, 0}, {0.9, 0}, {15, 15}, {15.9, 15}, {16, 15}, {1e300, 15}, {math.Inf(1), 15}, {math.Inf(-1), 0}, {math.NaN(), 0},
	}
	for _, testCase := range cases {
		require.Equal(t, testCase.want, indexOf(testCase.number, length), "%g", testCase.number)
	}
	for _, slowdown := range []float64{0, 1, 1e300, math.Inf(1), math.NaN()} {
		bucket := (&indexEntry{forecast: slowdownForecast{slowdown: clock.Milliseconds(slowdown)}}).bucket()
		require.GreaterOrEqual(t, bucket, 0)
		require.Less(t, bucket, bucketCount)
	}
	for _, period := range []clock.Milliseconds{math.SmallestNonzeroFloat64, 1e-30, 150, 1e300} {
		phase := phaseOf(1e12, period)
		require.GreaterOrEqual(t, phase, 0)
		require.Less(t, phase, phaseCount)
	}
}
