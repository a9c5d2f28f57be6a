package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Requests that start on a slow server take five times as long, whatever becomes of the server, or only until it has recovered. A
// forecast by the wrong one of the two sends requests where they are late, or lets them wait for nothing.
func TestPaceIsLearnt(t *testing.T) {
	const work = 100 * clock.Millisecond
	slow := forecast{kept: 5 * work, followed: 1.5 * work}
	cases := []struct {
		name     string
		held     func(*rand.Rand) clock.Milliseconds
		finished bool
		least    float64
		most     float64
	}{
		{"kept", func(random *rand.Rand) clock.Milliseconds {
			return slow.kept * clock.Milliseconds(1+0.3*random.NormFloat64())
		}, true, 0.85, 1},
		{"followed", func(random *rand.Rand) clock.Milliseconds {
			return slow.followed * clock.Milliseconds(1+0.3*random.NormFloat64())
		}, true, 0, 0.15},
		{"given up long after it should have been answered", func(*rand.Rand) clock.Milliseconds { return 4 * work }, false, 0.65, 0.8},
		{"given up early, which tells nothing", func(*rand.Rand) clock.Milliseconds { return work }, false, paceUnknown, paceUnknown},
		{"held up for another reason", func(*rand.Rand) clock.Milliseconds { return 100 * work }, true, 0.95, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 3))
			learnt := &pace{}
			for range 50 {
				learnt.learn(slow, work, testCase.held(random), testCase.finished)
			}
			require.GreaterOrEqual(t, learnt.keeping(), testCase.least)
			require.LessOrEqual(t, learnt.keeping(), testCase.most)
		})
	}
}

// The one server that has room is slow for another 60 of 150 ms. Where requests stay slow that start slow, a caller waits and is
// answered long before the one who doesn't; where they follow the server's pace, waiting only loses a place. A caller who can't wait
// that long takes the slow one if it can be answered there, and is refused at once if it can't.
func TestWaitForFastServer(t *testing.T) {
	cases := []struct {
		name     string
		keeping  float64
		slowdown float64
		deadline clock.Milliseconds
		waits    bool
		refused  bool
	}{
		{"slow requests stay slow", 1, 5, 2000, true, false},
		{"slow requests recover with the server", 0, 5, 2000, false, false},
		{"the server is hardly slower than usual", 1, 1.5, 2000, false, false},
		{"no time to wait, nor to be answered", 1, 2, 140, false, true},
		{"no time to wait, and enough to be answered late", 1, 2, 220, false, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			scheduler.SetOffers([]Offer{{Name: "one", Slots: 4, Owned: true, Usable: true, ColdRate: 10}})
			for range 100 {
				told := forecast{kept: 500, followed: 150}
				scheduler.pace.learn(told, 100, told.followed+clock.Milliseconds(testCase.keeping)*(told.kept-told.followed), true)
			}
			manual.Advance(clock.Second)
			reading := func(slowdown float64, steady clock.Milliseconds) Reading {
				return Reading{At: manual.Now(), Slots: 4, Slowdown: slowdown, SteadyFor: steady, Period: 150, ColdKnown: true}
			}
			scheduler.Observe("one", reading(testCase.slowdown, 60))
			now := manual.Now()
			demand := PermitRequest{Class: "look", SoftDeadline: now.Add(300), Deadline: now.Add(testCase.deadline), Priority: settings.LowestPriority}
			_, ticket, err := scheduler.AcquireOrEnqueue(demand)
			require.Equal(t, testCase.refused, err != nil)
			require.Equal(t, testCase.waits, ticket != nil)
			if !testCase.waits {
				return
			}
			manual.Advance(65 * clock.Millisecond)
			scheduler.Observe("one", reading(1, 145))
			place, found, err := ticket.Poll()
			require.NoError(t, err)
			require.True(t, found, "the server is fast now")
			require.EqualValues(t, "one", place.Target.Name)
		})
	}
}

// A server's slowness may just have changed, and its probe is under way. A request that starts on the guess is slow in one of four
// cases; one that waits a moment knows. When no word comes, it is not held any longer.
func TestWaitForLoadReading(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	share := 1.0
	known := &candidate{Target: &Target{Name: "one"}, offer: Offer{Slots: 4, Owned: true, Usable: true}, coldShare: &share}
	known.observe(Reading{At: manual.Now(), Slowdown: 1, SteadyFor: 20, Period: 150, ColdKnown: true})
	require.False(t, known.slow(manual.Now()))
	require.True(t, known.slow(manual.Now().Add(25)))
	require.InDelta(t, float64(loadReadingDelay-5), float64(known.timeUntilFast(manual.Now().Add(25))), 0.01)
	require.False(t, known.slow(manual.Now().Add(20+loadReadingDelay+1)))
}
