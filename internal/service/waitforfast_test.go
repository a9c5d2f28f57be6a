package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Requests that start on a slow server take five times as long, either regardless of later changes of the server, or only until
// it has recovered. A forecast by the wrong one of the two assumptions sends requests to targets on which they are late, or makes
// them wait in vain.
func TestSlowdownModelIsLearned(t *testing.T) {
	const work = 100 * clock.Millisecond
	slow := durationForecast{fixed: 5 * work, varying: 1.5 * work}
	cases := []struct {
		name     string
		duration func(*rand.Rand) clock.Milliseconds
		finished bool
		minimum  float64
		maximum  float64
	}{
		{"fixed slowdown", func(random *rand.Rand) clock.Milliseconds {
			return slow.fixed * clock.Milliseconds(1+0.3*random.NormFloat64())
		}, true, 0.85, 1},
		{"varying slowdown", func(random *rand.Rand) clock.Milliseconds {
			return slow.varying * clock.Milliseconds(1+0.3*random.NormFloat64())
		}, true, 0, 0.15},
		{"cancelled long after the varying forecast", func(*rand.Rand) clock.Milliseconds { return 4 * work }, false, 0.65, 0.8},
		{"cancelled early, which is no evidence", func(*rand.Rand) clock.Milliseconds { return work }, false, initialFixedWeight, initialFixedWeight},
		{"delayed for another reason", func(*rand.Rand) clock.Milliseconds { return 100 * work }, true, 0.95, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 3))
			learned := &slowdownModel{}
			for range 50 {
				learned.learn(slow, work, testCase.duration(random), testCase.finished)
			}
			require.GreaterOrEqual(t, learned.fixedWeight(), testCase.minimum)
			require.LessOrEqual(t, learned.fixedWeight(), testCase.maximum)
		})
	}
}

// The only server with a free permit is slow for another 60 of 150 ms. If requests that start slow stay slow, a request that
// waits ends long before one that does not. If the slowdown of requests varies with the server's, waiting only leaves a permit unused.
// A request that cannot wait that long uses the slow server if it can complete there before its deadline, and is refused
// immediately otherwise.
func TestWaitForFastServer(t *testing.T) {
	cases := []struct {
		name          string
		fixedWeight   float64
		slowdown      float64
		deadline      clock.Milliseconds
		expectWait    bool
		expectRefusal bool
	}{
		{"slow requests stay slow", 1, 5, 2000, true, false},
		{"slow requests recover with the server", 0, 5, 2000, false, false},
		{"the server is hardly slower than usual", 1, 1.5, 2000, false, false},
		{"no time to wait or to complete on the slow server", 1, 2, 140, false, true},
		{"no time to wait, enough to complete late on the slow server", 1, 2, 220, false, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			scheduler.SetTargets([]TargetConfig{{Name: "one", Slots: 4, Owned: true, Usable: true, ColdRate: 10}})
			for range 100 {
				observed := durationForecast{fixed: 500, varying: 150}
				scheduler.slowdownModel.learn(observed, 100, observed.varying+clock.Milliseconds(testCase.fixedWeight)*(observed.fixed-observed.varying), true)
			}
			manual.Advance(clock.Second)
			newReading := func(slowdown float64, steadyFor clock.Milliseconds) LoadReading {
				return LoadReading{At: manual.Now(), Slots: 4, Slowdown: slowdown, SteadyFor: steadyFor, Period: 150, ColdKnown: true}
			}
			scheduler.Observe("one", newReading(testCase.slowdown, 60))
			now := manual.Now()
			request := PermitRequest{Class: "look", SoftDeadline: now.Add(300), Deadline: now.Add(testCase.deadline), Priority: settings.LowestPriority}
			_, pendingPermit, err := scheduler.AcquireOrEnqueue(request)
			require.Equal(t, testCase.expectRefusal, err != nil)
			require.Equal(t, testCase.expectWait, pendingPermit != nil)
			if !testCase.expectWait {
				return
			}
			manual.Advance(65 * clock.Millisecond)
			scheduler.Observe("one", newReading(1, 145))
			permit, found, err := pendingPermit.Poll()
			require.NoError(t, err)
			require.True(t, found, "the server is fast now")
			require.EqualValues(t, "one", permit.Target.Name)
		})
	}
}

// A server's slowdown may just have changed, and a probe is in progress. A request that starts without waiting for the probe is
// slow in one of four cases. Requests wait for the probe's result for at most loadReadingDelay.
func TestWaitForLoadReading(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	share := 1.0
	target := &candidate{Target: &Target{Name: "one"}, config: TargetConfig{Slots: 4, Owned: true, Usable: true}, rateShare: &share}
	target.observe(LoadReading{At: manual.Now(), Slowdown: 1, SteadyFor: 20, Period: 150, ColdKnown: true})
	require.False(t, target.slow(manual.Now()))
	require.True(t, target.slow(manual.Now().Add(25)))
	require.InDelta(t, float64(loadReadingDelay-5), float64(target.timeUntilFast(manual.Now().Add(25))), 0.01)
	require.False(t, target.slow(manual.Now().Add(20+loadReadingDelay+1)))
}
