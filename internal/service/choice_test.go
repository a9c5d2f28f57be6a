package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Short lookups and batches of 60 KB go to the same service. Its local servers are half in use, while those in another data
// centre are idle. A lookup goes to the server that is expected to complete it first; a batch stays local, since it would fill the link between the
// data centres, which all callers share.
func TestLongBodiesStayInLocalDataCentre(t *testing.T) {
	cases := []struct {
		name   string
		size   int
		expect settings.TargetName
	}{
		{"lookup", 400, "far"},
		{"batch", 60_000, "home"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			newRequest := func() PermitRequest {
				return PermitRequest{Class: "one", SoftDeadline: manual.Now().Add(clock.Second), Deadline: manual.Now().Add(5 * clock.Second)}
			}
			home := TargetConfig{Name: "home", Slots: 8, Local: true, Owned: true, Usable: true}
			scheduler.SetTargets([]TargetConfig{home})
			for range 200 {
				scheduler.Observe("home", LoadReading{At: manual.Now(), Slowdown: 1, ColdKnown: true})
				permit, _, err := scheduler.AcquireOrEnqueue(newRequest())
				require.NoError(t, err)
				manual.Advance(200 * clock.Millisecond)
				permit.TransferredBytes = testCase.size
				permit.Release(Succeeded)
			}
			scheduler.SetTargets([]TargetConfig{home, {Name: "far", Slots: 8, Usable: true}})
			scheduler.Observe("home", LoadReading{At: manual.Now(), Slowdown: 1.4, ColdKnown: true})
			scheduler.Observe("far", LoadReading{At: manual.Now(), Slowdown: 1, ColdKnown: true})
			permit, _, err := scheduler.AcquireOrEnqueue(newRequest())
			require.NoError(t, err)
			require.Equal(t, testCase.expect, permit.Target.Name)
		})
	}
}
