package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// bucketCount is the number of buckets of a bucketIndex; each has one bit of a 64-bit word.
const bucketCount = 64

// notIndexed is the bucket of an item that is in no bucket, such as a target that cannot accept another request.
const notIndexed = -1

// Target is one backend server from the point of view of this instance. All fields after its identity are guarded by the
// Dispatcher's mutex. A Scheduler uses only the identity and keeps the other state of a target in a candidate.
type Target struct {
	Name       settings.TargetName
	Address    string
	DataCentre settings.DataCentreName

	// ownInFlight is the number of permits in use by requests of this instance.
	ownInFlight int
	// penaltyPermits is the number of permits withheld for a while after failures.
	penaltyPermits int
	// othersInFlight is the number of permits in use by other instances, as last reported by them.
	othersInFlight int
	// limit is the maximum number of permits for all instances together.
	limit int
	// minShare is the number of permits that this instance may use regardless of the reports of other instances, since these
	// are always slightly out of date. It is 0 on a target that must not get more requests than its limit.
	minShare int
	// maxOwnInFlight is the maximum number of permits for this instance, which it never exceeds.
	maxOwnInFlight int
	// consecutiveFailures is the number of failed requests since the last success.
	consecutiveFailures int
	// removed is true for a target that gets no new requests. The record is kept until the last request in flight on it has
	// ended.
	removed bool

	// reportedLoad is the load that the target last reported, for the baselines that use it.
	reportedLoad int

	// bucketEntry is the target's entry in the index by utilization.
	bucketEntry bucketEntry[Target]
}

// TargetLimit holds the limits that the control goroutine sets for a target.
type TargetLimit struct {
	// Limit is the maximum number of permits for all instances together.
	Limit int
	// MinShare is the number of permits that this instance may use regardless of what other instances use.
	MinShare int
	// MaxOwnInFlight is the maximum number of permits for this instance, which it never exceeds.
	MaxOwnInFlight int
}

// inFlight returns the number of permits in use as far as this instance knows, penalties included.
func (target *Target) inFlight() int {
	return target.ownInFlight + target.penaltyPermits + target.othersInFlight
}

// effectiveLimit returns the limit in force: a throttled target gets one request at a time.
func (target *Target) effectiveLimit(throttled bool) int {
	if throttled {
		return min(target.limit, 1)
	}
	return target.limit
}

// computeBucket returns the bucket in which the target is indexed, or notIndexed.
func (target *Target) computeBucket(throttled bool) int {
	own := target.ownInFlight + target.penaltyPermits
	limit := target.effectiveLimit(throttled)
	if own >= target.maxOwnInFlight || limit == 0 {
		return notIndexed
	}
	if inFlight := target.inFlight(); inFlight < limit {
		return inFlight * bucketCount / limit
	}
	if !throttled && own < target.minShare {
		return bucketCount - 1
	}
	return notIndexed
}

// penalty is a permit that is withheld until a moment.
type penalty struct {
	target *Target
	until  clock.Moment
}
