package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Three instances share servers that report no load, so that none knows the requests of the others. If each filled every
// server, a server with four slots and a queue of eight would get twelve requests from each of them. It never responds to those
// that it cannot queue, and their callers wait in vain. Reporting servers are filled according to their reports.
func TestShareOfNonReportingServers(t *testing.T) {
	cases := []struct {
		name    string
		slots   int
		reading LoadReading
		// owned and notOwned are the numbers of requests that an instance may have on a server that it owns and on one that
		// it does not own.
		owned, notOwned int
	}{
		{"four slots, non-reporting", 4, LoadReading{}, 2, 1},
		{"one slot, non-reporting", 1, LoadReading{}, 1, 1},
		{"eight slots, non-reporting", 8, LoadReading{}, 5, 1},
		{"four slots, reporting", 4, LoadReading{Slots: 4, Slowdown: 1}, 3, 2},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			for _, owned := range []bool{true, false} {
				manual := clock.NewManual()
				manual.Advance(clock.Minute)
				scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
				scheduler.SetTargets([]TargetConfig{{Name: "one", Slots: testCase.slots, Owned: owned, Usable: true}})
				reading := testCase.reading
				reading.At, reading.ColdKnown = manual.Now(), true
				scheduler.Observe("one", reading)
				expected := testCase.notOwned
				if owned {
					expected = testCase.owned
				}
				require.Equal(t, expected, fill(t, scheduler), "owned: %v", owned)
			}
		})
	}
}

// fill acquires permits until none is free and returns their number.
func fill(t *testing.T, scheduler *Scheduler) int {
	now := scheduler.clock.Now()
	for acquired := range 100 {
		_, pendingPermit, err := scheduler.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(10 * clock.Second)})
		if pendingPermit != nil || err != nil {
			return acquired
		}
	}
	require.Fail(t, "permits never ran out")
	return 0
}

// Nothing can be learned from a server that reports no load, so frequent probes would only add load. A server that has
// reported its load is probed as often as that is useful.
func TestNonReportingServersAreProbedRarely(t *testing.T) {
	cases := []struct {
		name    string
		reading LoadReading
		probeIn clock.Milliseconds
	}{
		{"non-reporting", LoadReading{}, nonReportingProbeInterval},
		{"reporting", LoadReading{Slots: 4, Slowdown: 1}, 30},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			scheduler.SetTargets([]TargetConfig{{Name: "one", Slots: 4, Owned: true, Usable: true}})
			require.Equal(t, 30*clock.Millisecond, scheduler.NextProbe("one", 30, 45), "no reading yet")
			testCase.reading.At = manual.Now()
			scheduler.Observe("one", testCase.reading)
			require.Equal(t, testCase.probeIn, scheduler.NextProbe(settings.TargetName("one"), 30, 45))
		})
	}
}
