package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// bucketCount is how finely the share of taken places is told apart; one bit of a word stands for each.
const bucketCount = 64

// notIndexed is the level of a target that can take no further request.
const notIndexed = -1

// Target is one backend server as this instance sees it. All fields below its identity are guarded by the
// Dispatcher's mutex.
type Target struct {
	Name       settings.TargetName
	Address    string
	DataCentre settings.DataCentreName

	// ownInFlight counts the places that requests of this instance have taken.
	ownInFlight int
	// penaltyPermits counts places kept taken for a while after a failure.
	penaltyPermits int
	// othersInFlight counts the places that other instances said they have taken.
	othersInFlight int
	// limit is the number of places that all instances together should take.
	limit int
	// minShare is the number of places that this instance may take whatever others said, since what they said is
	// always a little old. It is 0 on a target that is not safe to overrun.
	minShare int
	// maxOwnInFlight is the number of places that this instance may never exceed.
	maxOwnInFlight int
	// consecutiveFailures counts failed requests since the last success.
	consecutiveFailures int
	// removed says that no new request may go to it; the record stays until the last one in flight has ended.
	removed bool

	// reportedLoad is the load that it told of itself, for the baselines that go by it.
	reportedLoad int

	// bucketEntry is where it stands among the targets by the share of places taken.
	bucketEntry levelEntry[Target]
}

// TargetLimit is what the control goroutine decides about a target.
type TargetLimit struct {
	// Limit is the number of places that all instances together should take.
	Limit int
	// MinShare is the number of places this instance may take whatever others take.
	MinShare int
	// MaxOwnInFlight is the number of places this instance never exceeds.
	MaxOwnInFlight int
}

// inFlight is the number of places in use as far as this instance knows.
func (target *Target) inFlight() int {
	return target.ownInFlight + target.penaltyPermits + target.othersInFlight
}

// effectiveLimit returns the limit in force: a target that keeps failing is tried by one request at a time.
func (target *Target) effectiveLimit(failing bool) int {
	if failing {
		return min(target.limit, 1)
	}
	return target.limit
}

// computeBucket returns the level at which target is to be listed.
func (target *Target) computeBucket(failing bool) int {
	mine := target.ownInFlight + target.penaltyPermits
	limit := target.effectiveLimit(failing)
	if mine >= target.maxOwnInFlight || limit == 0 {
		return notIndexed
	}
	if taken := target.inFlight(); taken < limit {
		return taken * bucketCount / limit
	}
	if !failing && mine < target.minShare {
		return bucketCount - 1
	}
	return notIndexed
}

// penalty is a place kept taken until a moment.
type penalty struct {
	target *Target
	until  clock.Moment
}
