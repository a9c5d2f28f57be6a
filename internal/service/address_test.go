package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A target moves to another address while requests are in flight on it; counted from nothing, it would get more than fits.
func TestMovedTargetKeepsItsCount(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	offer := Offer{Name: "one", Address: "10.0.0.1:80", Slots: 2, Owned: true, Usable: true}
	scheduler.SetOffers([]Offer{offer})
	scheduler.Observe("one", Reading{At: manual.Now(), Slots: 2, Slowdown: 1, ColdKnown: true})
	place, _, err := scheduler.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: manual.Now().Add(clock.Second), Deadline: manual.Now().Add(clock.Second)})
	require.NoError(t, err)
	offer.Address = "10.0.0.2:80"
	scheduler.SetOffers([]Offer{offer})
	require.Equal(t, 1, fill(t, scheduler), "one of two places is taken")
	place.Release(Succeeded)
	targets, waiting := scheduler.State()
	require.Equal(t, 2, targets[0].OwnInFlight, "the one that waited has the released place")
	require.Zero(t, waiting)
}
