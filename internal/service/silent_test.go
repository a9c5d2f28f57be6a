package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Servers tell that they are there and nothing more, and three instances share them. None sees what the others send. If each filled
// every server, a server with four slots and a queue of eight would get twelve requests from here and as many from the others; what it
// can't queue it never answers, and callers wait for nothing. Servers that tell are filled by what they tell.
func TestShareOfSilentServers(t *testing.T) {
	cases := []struct {
		name  string
		slots int
		told  Reading
		// owned and foreign are the requests that an instance may have on a server of its own and on another's.
		owned, foreign int
	}{
		{"four slots, silent", 4, Reading{}, 2, 1},
		{"one slot, silent", 1, Reading{}, 1, 1},
		{"eight slots, silent", 8, Reading{}, 5, 1},
		{"four slots, telling", 4, Reading{Slots: 4, Slowdown: 1}, 3, 2},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			for _, owned := range []bool{true, false} {
				manual := clock.NewManual()
				manual.Advance(clock.Minute)
				scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
				scheduler.SetOffers([]Offer{{Name: "one", Slots: testCase.slots, Owned: owned, Usable: true}})
				told := testCase.told
				told.At, told.ColdKnown = manual.Now(), true
				scheduler.Observe("one", told)
				expected := testCase.foreign
				if owned {
					expected = testCase.owned
				}
				require.Equal(t, expected, fill(t, scheduler), "owned: %v", owned)
			}
		})
	}
}

// fill takes places until there is none.
func fill(t *testing.T, scheduler *Scheduler) int {
	now := scheduler.clock.Now()
	for taken := range 100 {
		_, ticket, err := scheduler.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(10 * clock.Second)})
		if ticket != nil || err != nil {
			return taken
		}
	}
	require.Fail(t, "no end of places")
	return 0
}

// A server that tells nothing can't be learnt from, however often it is probed; each probe is load for nothing. One that has told
// is probed as often as that is worth.
func TestSilentServersAreProbedRarely(t *testing.T) {
	cases := []struct {
		name  string
		told  Reading
		pause clock.Milliseconds
	}{
		{"silent", Reading{}, silentLook},
		{"telling", Reading{Slots: 4, Slowdown: 1}, 30},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			scheduler.SetOffers([]Offer{{Name: "one", Slots: 4, Owned: true, Usable: true}})
			require.Equal(t, 30*clock.Millisecond, scheduler.NextProbe("one", 30, 45), "nothing is known yet")
			testCase.told.At = manual.Now()
			scheduler.Observe("one", testCase.told)
			require.Equal(t, testCase.pause, scheduler.NextProbe(settings.TargetName("one"), 30, 45))
		})
	}
}
