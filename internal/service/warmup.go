package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// Warmup says how many requests a backend server bears while it warms up.
type Warmup struct {
	// InitialLimit is what it bears at first, Slots what it bears in the end.
	InitialLimit int
	FullLimit    int
	// RampDuration is the time from the one to the other.
	RampDuration clock.Milliseconds
}

// LimitAt returns what the server bears when it has been warming up for the given time. It grows in a straight line,
// rounded down.
func (warmup Warmup) LimitAt(elapsed clock.Milliseconds) int {
	if elapsed >= warmup.RampDuration {
		return warmup.FullLimit
	}
	if elapsed <= 0 {
		return warmup.InitialLimit
	}
	return warmup.InitialLimit + int(float64(warmup.FullLimit-warmup.InitialLimit)*float64(elapsed/warmup.RampDuration))
}

// WarmTargetLimit returns the limits of one instance on a warm target whose callers are sent to serving instances: an even
// share of its slots, rounded up. A target that has just slowed down then collects no more requests than it has slots;
// with twice as many places, half of them would wait in front of it instead of going elsewhere.
func WarmTargetLimit(policy Policy, slots, serving, ownMost int) TargetLimit {
	even := (slots + serving - 1) / serving
	share := min(slots, policy.shareFactor()*even, ownMost)
	return TargetLimit{Limit: share, MinShare: share, MaxOwnInFlight: ownMost}
}
