package service

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against requests that start on a slow target, the only one of which an instance knows that it is warm, although others could be
// asked at once: after a loss of all power, and at an instance that has just begun to serve.
func TestRequestsAskOtherTargetsBeforeTheyStartOnASlowOne(t *testing.T) {
	cases := []struct {
		name string
		// asked is the slowdown of the targets that are asked, 0 if they do not respond.
		asked float64
		// unknown is whether there are other targets that can be asked.
		unknown bool
		// waits is whether the request waits at first, fast whether it starts on a fast target then.
		waits, fast bool
	}{
		{"others turn out to be fast", 1, true, true, true},
		{"others turn out to be slow", 5, true, true, false},
		{"others do not respond", 0, true, true, false},
		{"no others", 0, false, false, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			manual := clock.NewManual()
			manual.Advance(clock.Minute)
			scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
			configs := []TargetConfig{{Name: "slow", Slots: 6, Usable: true, Local: true}}
			for number := range 9 {
				if testCase.unknown {
					configs = append(configs, TargetConfig{Name: settings.TargetName(fmt.Sprintf("unknown-%d", number)), Slots: 6, Usable: true, Local: true})
				}
			}
			scheduler.SetTargets(configs)
			observe := func(name settings.TargetName, slowdown float64) {
				scheduler.Observe(name, LoadReading{At: manual.Now(), Slots: 6, Slowdown: slowdown, ColdKnown: true, Source: FromCheck})
			}
			observe("slow", 5)
			manual.Advance(100 * clock.Millisecond)
			now := manual.Now()
			permit, pending, err := scheduler.AcquireOrEnqueue(PermitRequest{Class: "look", Deadline: now.Add(2500), SoftDeadline: now.Add(800)})
			require.NoError(t, err)
			require.Equal(t, testCase.waits, pending != nil)
			for range 30 {
				if pending == nil {
					break
				}
				scheduler.Sweep()
				for _, name := range scheduler.TakeUnknown() {
					if testCase.asked > 0 {
						observe(name, testCase.asked)
					}
				}
				manual.Advance(10 * clock.Millisecond)
				scheduler.Sweep()
				granted, ended, err := pending.Poll()
				require.NoError(t, err)
				if ended {
					permit, pending = granted, nil
				}
			}
			require.NotNil(t, permit.Target, "the request has not started after 300 ms")
			require.Equal(t, testCase.fast, permit.LoadReading.Slowdown == 1)
		})
	}
}
