package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// Warmup describes the concurrency limit of a backend server while it warms up.
type Warmup struct {
	// InitialLimit is the limit at the start of the warm-up, FullLimit that at its end.
	InitialLimit int
	FullLimit    int
	// RampDuration is the time from InitialLimit to FullLimit.
	RampDuration clock.Milliseconds
}

// LimitAt returns the limit of a server that has been warming up for the given time. It grows linearly and is rounded down.
func (warmup Warmup) LimitAt(elapsed clock.Milliseconds) int {
	if elapsed >= warmup.RampDuration {
		return warmup.FullLimit
	}
	if elapsed <= 0 {
		return warmup.InitialLimit
	}
	return warmup.InitialLimit + int(float64(warmup.FullLimit-warmup.InitialLimit)*float64(elapsed/warmup.RampDuration))
}

// WarmTargetLimit returns the limits of one instance on a warm target whose callers are distributed among the given number of
// serving instances: an even share of its slots, rounded up. A target that has just slowed down then gets no more requests than
// it has slots. With twice as many permits, half of the requests would wait at that target instead of going to another one.
func WarmTargetLimit(policy Policy, slots, serving, maxOwnInFlight int) TargetLimit {
	evenShare := (slots + serving - 1) / serving
	share := min(slots, policy.shareFactor()*evenShare, maxOwnInFlight)
	return TargetLimit{Limit: share, MinShare: share, MaxOwnInFlight: maxOwnInFlight}
}
