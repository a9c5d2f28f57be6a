package service

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// TargetConfig is the configuration of a target that a Scheduler may use.
type TargetConfig struct {
	Name       settings.TargetName
	Address    string
	DataCentre settings.DataCentreName
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Local is true if the target is in the data centre of this instance.
	Local bool
	// Owned is true if this instance is the owner of the target: only the owner sends requests to it while it is cold.
	Owned bool
	// Usable is false while the target is leaving or its data centre is out of service: its record is kept, but it gets no
	// requests.
	Usable bool
	// ColdRate is the number of requests per second that the target can run while it is cold.
	ColdRate float64
	// ColdFor is the time for which the target stays cold, from the time at which it was first configured with this value.
	ColdFor clock.Milliseconds
	// Unprobed is true if the target must not be probed, so that only its configuration tells whether it is cold.
	Unprobed bool
	// Started changes when the target restarts under the same name.
	Started int64
}

// Handling of failures.
const (
	// initialBackoff is the time for which a target is avoided after a first failure. It doubles with each consecutive
	// failure, up to maxPenaltyDoublings times: 100 ms to 3.2 s. A crashed target is back within seconds, a target that shed load
	// is free sooner.
	initialBackoff = 100 * clock.Millisecond
	// failureWeight is the weight of one request in the moving average of failures. About ten requests distinguish a target
	// that fails a part of its requests from a target that failed once.
	failureWeight = 0.1
	// failureCost is the cost of a failure as a multiple of the usual service time: the time until the failure is noticed
	// plus the attempt that follows.
	failureCost = 3.0
)

// Concurrency limits and cold targets.
const (
	// maxUnreservedLimit is the concurrency limit up to which instances that do not own a target may use all of it; of a
	// larger limit they leave half to the owner. Instances that fill a target without knowing of each other's requests
	// overload it, and all its requests slow down.
	maxUnreservedLimit = 2
	// nonReportingReserve is the part of the concurrency limit of a non-reporting target that is left to the instances that
	// do not own it.
	nonReportingReserve = 1
	// othersDecayTime is the time after a reading over which the requests that other instances had in flight are assumed to
	// end.
	othersDecayTime = clock.Second
	// maxReadingAge is the age from which a reading is stale: the target may have become cold or may be gone.
	maxReadingAge = 1500 * clock.Millisecond
	// coldBurst is the number of requests that may be sent to a cold target at once.
	coldBurst = 1.0
	// coldRateShare is the used share of the rate that a cold target can run. While the views of the fleet differ, two
	// instances may both act as owner of a target, and the two together must not overload it.
	coldRateShare = 0.8
	// takeoverWait is the time for which a new owner does not send to a cold target, because the previous owner may still
	// be sending to it. An instance that is cut off becomes the owner of other instances' servers after 0.9 s, but finds
	// out only after 3.2 s how small a part of the fleet is visible to it.
	takeoverWait = 2500 * clock.Millisecond
)

// candidate is one target of a Scheduler. The fields that every choice reads come first.
type candidate struct {
	indexEntry indexEntry

	// Target is the identity of the target. It is read without the lock while requests are forwarded, so it is replaced and
	// never modified.
	*Target

	// ownInFlight counts the requests that this instance has in flight on the target, activeRequests holds their records.
	ownInFlight    int
	activeRequests []*activeRequest
	// ownAtReading is the value of ownInFlight when the reading arrived.
	ownAtReading int
	// rateShare, borrowing and concurrencyModel belong to the scheduler, slotClass is the part of the model for targets with the same
	// number of slots.
	rateShare        *float64
	borrowing        *bool
	concurrencyModel *concurrencyModel
	slotClass        *slotClass
	// reading is the newest load reading, hasReading is false if there is none.
	reading    LoadReading
	hasReading bool
	// reportsLoad is true once the target has reported its load.
	reportsLoad bool
	// counted is how the target is included in the counts of the scheduler.
	counted countedTarget
	// down is true while probes fail to reach the target, downSource is whose probes these are.
	down       bool
	downSource Source
	warmth
	// ownedFrom is when this instance may start to send to the target while it is cold.
	ownedFrom clock.Moment
	// tokens is the number of requests that a cold target may get now, last refilled at tokensAt.
	tokens   float64
	tokensAt clock.Moment
	// declaration is what the target has said of itself, nil if it has said nothing.
	declaration *declaration
	// backoffUntil, consecutiveFailures and failureRate are derived from failed requests.
	backoffUntil        clock.Moment
	consecutiveFailures int
	failureRate         float64

	// slowdownCycle is when the slowdown of the target may change.
	slowdownCycle slowdownCycle
	config        TargetConfig
	// removed is whether the target is not configured any more. Its record is kept until its requests in flight have ended.
	removed bool
	// slowdownHistory holds the recent slowdowns of the target, nil before the first one. It is more than half of a candidate's memory, and
	// an instance on standby gets no readings of its thousands of targets.
	slowdownHistory *slowdownHistory
	// learningSince is when the current learning phase of the slowdown cycle started, in which the target is probed at a
	// high rate.
	learningSince clock.Moment
}

// observe stores a reading unless a newer one is known.
func (candidate *candidate) observe(reading LoadReading) {
	candidate.observeWarmth(&reading)
	if candidate.hasReading && reading.At < candidate.reading.At {
		return
	}
	candidate.reportsLoad = candidate.reportsLoad || reading.ReportsLoad()
	if reading.Slots <= 0 {
		reading.Slots = candidate.config.Slots
	}
	if reading.Period > 0 {
		candidate.slowdownCycle.set(reading.At.Add(reading.SteadyFor), reading.Period)
	} else {
		hadCycle := candidate.slowdownCycle.period > 0
		candidate.slowdownCycle.observe(reading)
		if hadCycle && candidate.slowdownCycle.period == 0 {
			candidate.learningSince = reading.At.Add(relearnDuration - learnDuration)
		}
	}
	if reading.Slowdown <= 0 {
		reading.Slowdown = 1
	}
	if candidate.slowdownCycle.period > 0 {
		if candidate.slowdownHistory == nil {
			candidate.slowdownHistory = &slowdownHistory{}
		}
		candidate.slowdownHistory.record(&candidate.slowdownCycle, reading)
	}
	candidate.reading = reading
	candidate.hasReading = true
	candidate.ownAtReading = candidate.ownInFlight
	candidate.updatePeak(reading.Running + reading.Waiting)
}

// startRequest counts a request that starts on the target. count is the number of requests in flight there, including the
// new one.
func (candidate *candidate) startRequest(activeRequest *activeRequest, count int) {
	activeRequest.inFlightAtStart, activeRequest.peakInFlight = count, count
	candidate.ownInFlight++
	candidate.activeRequests = append(candidate.activeRequests, activeRequest)
	candidate.updatePeak(count)
}

// endRequest removes a request that has ended on the target, and reports whether its record was found.
func (candidate *candidate) endRequest(activeRequest *activeRequest) bool {
	candidate.ownInFlight--
	position := slices.Index(candidate.activeRequests, activeRequest)
	if position < 0 {
		return false
	}
	candidate.activeRequests = slices.Delete(candidate.activeRequests, position, position+1)
	return true
}

// updatePeak raises the peak number of requests in the records of all active requests.
func (candidate *candidate) updatePeak(count int) {
	for _, activeRequest := range candidate.activeRequests {
		activeRequest.peakInFlight = max(activeRequest.peakInFlight, count)
	}
}

// othersInFlight estimates the number of requests that other instances have in flight on the target: the number at the
// reading, less those that have ended since on average.
func (candidate *candidate) othersInFlight(now clock.Moment) int {
	age := now.Since(candidate.reading.At)
	if !candidate.hasReading || age > othersDecayTime {
		return 0
	}
	return int(float64(candidate.othersAtReading())*float64(1-age/othersDecayTime) + 0.5)
}

// othersAtReading returns the number of requests that other instances had in flight on the target at the reading.
func (candidate *candidate) othersAtReading() int {
	return max(candidate.reading.Running+candidate.reading.Waiting-candidate.ownAtReading, 0)
}

// concurrencyLimit returns the number of requests that may be in flight on the target at once.
func (candidate *candidate) concurrencyLimit() int {
	return candidate.slotClass.currentLimit()
}

// cold reports whether requests are expected to take as long as on a cold target.
func (candidate *candidate) cold(now clock.Moment) bool {
	return now < candidate.coldUntil || candidate.config.Owned && candidate.stale(now) && !candidate.config.Unprobed
}

// stale reports whether there is no reading, or the last one is so old that the target may have become cold since.
func (candidate *candidate) stale(now clock.Moment) bool {
	return !candidate.hasReading || now.Since(candidate.reading.At) > maxReadingAge
}

// coldStartAllowed reports whether one more request may be sent to a cold target now.
func (candidate *candidate) coldStartAllowed(now clock.Moment) bool {
	if !candidate.config.Owned || now < candidate.ownedFrom {
		return false
	}
	candidate.refill(now)
	return candidate.tokens >= 1
}

// coldRate returns the number of requests per second that this instance may send to the target while it is cold.
func (candidate *candidate) coldRate() float64 {
	return candidate.config.ColdRate * coldRateShare * *candidate.rateShare
}

// nextColdStartAt returns when a cold target may next get a request, or the value never if it may get one now.
func (candidate *candidate) nextColdStartAt(now clock.Moment) clock.Moment {
	candidate.refill(now)
	if candidate.tokens >= 1 {
		return never
	}
	return now.Add(clock.Milliseconds((1-candidate.tokens)/candidate.coldRate()) * clock.Second)
}

func (candidate *candidate) refill(now clock.Moment) {
	earned := float64(now.Since(candidate.tokensAt)/clock.Second) * candidate.coldRate()
	candidate.tokens = min(candidate.tokens+earned, coldBurst)
	candidate.tokensAt = now
}

// limitShare returns the part of the concurrency limit that this instance may use. The number of requests that other instances
// have in flight is known from the reports of the target. On a non-reporting target every instance keeps to a share of its
// own, since all instances together would otherwise send more requests than the target can queue.
func (candidate *candidate) limitShare(limit int) int {
	switch {
	case !candidate.hasReading || candidate.reportsLoad:
		if !candidate.config.Owned && limit > maxUnreservedLimit {
			return (limit + 1) / 2
		}
		return limit
	case candidate.config.Owned:
		return max(limit-nonReportingReserve, 1)
	default:
		return min(limit, nonReportingReserve)
	}
}

// available reports whether a request may be sent to the target now.
func (candidate *candidate) available(now clock.Moment, despiteFailures bool) bool {
	return candidate.availableWithLimit(now, candidate.concurrencyLimit(), despiteFailures)
}

// availableWithLimit reports whether a request may be sent to the target now under the given concurrency limit.
func (candidate *candidate) availableWithLimit(now clock.Moment, limit int, despiteFailures bool) bool {
	if !candidate.usable() || candidate.down || now < candidate.restUntil() {
		return false
	}
	if !despiteFailures && candidate.consecutiveFailures >= failuresUntilThrottled || candidate.stale(now) {
		// The state of the target is unknown or bad. One request at a time does no harm and shows its state.
		limit = 1
	}
	if candidate.ownInFlight+candidate.othersInFlight(now) >= candidate.limitShare(limit) {
		return false
	}
	if !despiteFailures && now < candidate.backoffUntil || !candidate.limitAllows(now) {
		return false
	}
	return !candidate.mayBeCold(now) || candidate.coldStartAllowed(now)
}

// recordFailure counts a failed request.
func (candidate *candidate) recordFailure(now clock.Moment) {
	candidate.failureRate += failureWeight * (1 - candidate.failureRate)
	candidate.consecutiveFailures++
	doublings := min(candidate.consecutiveFailures-1, maxPenaltyDoublings)
	candidate.backoffUntil = now.Add(initialBackoff * clock.Milliseconds(int(1)<<doublings))
}

// recordSuccess counts a successful request.
func (candidate *candidate) recordSuccess() {
	candidate.failureRate -= failureWeight * candidate.failureRate
	candidate.consecutiveFailures = 0
	candidate.backoffUntil = 0
}
