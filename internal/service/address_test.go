package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A target moves to another address while requests are in flight on it. If their count started at zero, it would get more
// requests than it has slots.
func TestMovedTargetKeepsItsCount(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	config := TargetConfig{Name: "one", Address: "10.0.0.1:80", Slots: 2, Owned: true, Usable: true}
	scheduler.SetTargets([]TargetConfig{config})
	scheduler.Observe("one", LoadReading{At: manual.Now(), Slots: 2, Slowdown: 1, ColdKnown: true})
	permit, _, err := scheduler.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second), Deadline: manual.Now().Add(clock.Second)})
	require.NoError(t, err)
	config.Address = "10.0.0.2:80"
	scheduler.SetTargets([]TargetConfig{config})
	require.Equal(t, 1, fill(t, scheduler), "one of two permits is in use")
	permit.Release(Succeeded)
	targets, waiting := scheduler.State()
	require.Equal(t, 2, targets[0].OwnInFlight, "the waiting request has the released permit")
	require.Zero(t, waiting)
}
