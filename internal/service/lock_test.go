package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against a lock that is still held after a panic, with which no request would get a permit any more.
func TestLocksAreReleasedAfterAPanic(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Second)
	const noPriority = 99
	dispatcher := NewDispatcher(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1)), Limits: Limits{QueueLength: 1, QueueWait: clock.Second}})
	dispatcher.Add("one", "10.0.0.1:80", "sofia-1")
	dispatcher.SetLimit("one", TargetLimit{Limit: 2, MinShare: 2, MaxOwnInFlight: 2}, 0)
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	cases := []struct {
		name     string
		fail     func()
		unlocked func() bool
	}{
		{"acquire from the dispatcher", func() {
			_, _ = dispatcher.Acquire(t.Context(), PermitRequest{Priority: noPriority, Deadline: manual.Now().Add(clock.Second)})
		}, func() bool { return dispatcher.mutex.TryLock() }},
		{"end of a wait", func() {
			scheduler.random = nil
			pendingPermit := PendingPermit{scheduler: scheduler}
			_, _ = pendingPermit.Cancel()
		}, func() bool { return scheduler.mutex.TryLock() }},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			require.Panics(t, testCase.fail)
			require.True(t, testCase.unlocked())
		})
	}
}
