package service

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// TargetConfig is what the control goroutine says of a target that a Scheduler may use.
type TargetConfig struct {
	Name       settings.TargetName
	Address    string
	DataCentre settings.DataCentreName
	// Slots is the number of requests it runs at once.
	Slots int
	// Local says that it lies in this instance's own data centre.
	Local bool
	// Owned says that this instance answers for it: it alone starts it while it is cold.
	Owned bool
	// Usable is false while the target is leaving or its data centre is out: it keeps its record and gets nothing.
	Usable bool
	// ColdRate is the number of requests a second that it bears while cold.
	ColdRate float64
	// ColdFor is how long it stays cold, as far as it is known when it is first offered.
	ColdFor clock.Milliseconds
	// Started changes when it starts anew under its name.
	Started int64
}

// Failures.
const (
	// firstAvoidance is how long a target is avoided after a first failure; it doubles with each in a row, up to
	// mostDoublings times: 100 ms to 3.2 s. A target that crashed is back within seconds, one that shed is free sooner.
	initialBackoff = 100 * clock.Millisecond
	// failureWeight is the weight of one request in the moving average of failures: some ten requests tell a target
	// that fails a part of them from one that failed once.
	failureWeight = 0.1
	// failureCosts is how many times the usual work a failure costs: the time until it is noticed and the attempt that
	// follows.
	failureCost = 3.0
)

// Room on a target.
const (
	// sharedRoom is the room above which half of it is left to the target's owner. Instances that fill a target without
	// knowing of each other slotClass it, and all that is on it slows down.
	maxUnreservedLimit = 2
	// silentShare is the room on a target that doesn't tell its load which is left to those that don't own it.
	nonReportingReserve = 1
	// othersFade is how long what others had in flight on a target is taken to last after a reading.
	othersDecayTime = clock.Second
	// staleReading is the age after which a reading tells nothing any more: the target may have become cold or gone.
	maxReadingAge = 1500 * clock.Millisecond
	// coldBurst is how many requests may go to a cold target at once.
	coldBurst = 1.0
	// coldMargin is the part of what a cold target bears that is used. While views of the fleet differ two instances may
	// take a target for theirs, and the two together must not break it.
	coldMargin = 0.8
	// takeoverWait is how long a new owner leaves a cold target alone: the owner before may still be sending to it, and an
	// instance that is cut off finds out how little of the fleet it sees only after 3.2 s, of which 0.9 s have passed when the
	// servers of another one become its own.
	takeoverWait = 2500 * clock.Millisecond
)

// candidate is one target of a Scheduler. Fields that each choice needs come first.
type candidate struct {
	indexEntry indexEntry

	// Target is who it is. Traffic reads it without the lock, so it is replaced and never changed.
	*Target

	// own counts the requests under way from here, flights holds them.
	ownInFlight    int
	activeRequests []*activeRequest
	// ownAtReading is what this instance itself had in flight there at the reading.
	ownAtReading int
	// coldShare and concurrency are the scheduler's, slotClass is what that knows of targets with as many slots.
	coldShare        *float64
	concurrencyModel *concurrencyModel
	slotClass        *slotClass
	// reading is the newest one, read tells whether there is any.
	reading    LoadReading
	hasReading bool
	// tells says that it has told its load at least once.
	reportsLoad bool
	// down says that probes find nobody there.
	down bool
	// coldUntil is when it is warm.
	coldUntil clock.Moment
	// ownedFrom is when this instance may start sending to it while it is cold.
	ownedFrom clock.Moment
	// tokens are the requests that a cold target may get now, filled up at tokensAt.
	tokens   float64
	tokensAt clock.Moment
	// avoidUntil, inARow and failRate follow from failures.
	backoffUntil        clock.Moment
	consecutiveFailures int
	failureRate         float64

	// cadence is when its slowness may change.
	slowdownCycle slowdownCycle
	config        TargetConfig
	// spells is how slow it was of late.
	slowdownHistory slowdownHistory
	// learningFrom is since when it is probed densely to learn that.
	learningSince clock.Moment
}

// observe takes a reading unless a newer one is known.
func (candidate *candidate) observe(reading LoadReading) {
	if candidate.hasReading && reading.At < candidate.reading.At {
		return
	}
	candidate.reportsLoad = candidate.reportsLoad || reading.ReportsLoad()
	if reading.ColdKnown {
		candidate.coldUntil = reading.At.Add(reading.ColdFor)
	}
	if reading.Slots <= 0 {
		reading.Slots = candidate.config.Slots
	}
	if reading.Period > 0 {
		candidate.slowdownCycle.set(reading.At.Add(reading.SteadyFor), reading.Period)
	} else {
		learnt := candidate.slowdownCycle.period > 0
		candidate.slowdownCycle.observe(reading)
		if learnt && candidate.slowdownCycle.period == 0 {
			candidate.learningSince = reading.At.Add(relearnDuration - learnDuration)
		}
	}
	if reading.Slowdown <= 0 {
		reading.Slowdown = 1
	}
	if candidate.slowdownCycle.period > 0 {
		candidate.slowdownHistory.record(&candidate.slowdownCycle, reading)
	}
	candidate.reading = reading
	candidate.hasReading = true
	candidate.ownAtReading = candidate.ownInFlight
	candidate.updatePeak(reading.Running + reading.Waiting)
}

// takeOff counts a request that starts there as the given one.
func (candidate *candidate) startRequest(activeRequest *activeRequest, count int) {
	activeRequest.inFlightAtStart, activeRequest.peakInFlight = count, count
	candidate.ownInFlight++
	candidate.activeRequests = append(candidate.activeRequests, activeRequest)
	candidate.updatePeak(count)
}

// land counts a request that has ended there, and reports whether it was known.
func (candidate *candidate) endRequest(activeRequest *activeRequest) bool {
	candidate.ownInFlight--
	position := slices.Index(candidate.activeRequests, activeRequest)
	if position < 0 {
		return false
	}
	candidate.activeRequests = slices.Delete(candidate.activeRequests, position, position+1)
	return true
}

// notePeak tells the requests under way how many there are.
func (candidate *candidate) updatePeak(count int) {
	for _, activeRequest := range candidate.activeRequests {
		activeRequest.peakInFlight = max(activeRequest.peakInFlight, count)
	}
}

// others estimates what others have in flight there: what the reading told, less what has ended since on average.
func (candidate *candidate) othersInFlight(now clock.Moment) int {
	age := now.Since(candidate.reading.At)
	if !candidate.hasReading || age > othersDecayTime {
		return 0
	}
	return int(float64(candidate.othersAtReading())*float64(1-age/othersDecayTime) + 0.5)
}

// othersTold is what others had in flight there when it told.
func (candidate *candidate) othersAtReading() int {
	return max(candidate.reading.Running+candidate.reading.Waiting-candidate.ownAtReading, 0)
}

// room is the number of requests that may be in flight there at once.
func (candidate *candidate) concurrencyLimit() int {
	return candidate.slotClass.currentLimit()
}

// cold reports whether the target bears only its cold rate, or may.
func (candidate *candidate) cold(now clock.Moment) bool {
	return now < candidate.coldUntil || candidate.config.Owned && candidate.stale(now)
}

// stale reports whether so long nothing was heard of the target that it may have turned cold meanwhile.
func (candidate *candidate) stale(now clock.Moment) bool {
	return !candidate.hasReading || now.Since(candidate.reading.At) > maxReadingAge
}

// mayStart reports whether one more request may be sent to a cold target now.
func (candidate *candidate) coldStartAllowed(now clock.Moment) bool {
	if !candidate.config.Owned || now < candidate.ownedFrom {
		return false
	}
	candidate.refill(now)
	return candidate.tokens >= 1
}

// coldRate is the number of requests a second that this instance may send there while it is cold.
func (candidate *candidate) coldRate() float64 {
	return candidate.config.ColdRate * coldMargin * *candidate.coldShare
}

// startsAt is when a cold target may get one more request, never if it may already.
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

// share is the part of the room that this instance may fill. What others have in flight on a target is known from what it tells; on one
// that tells nothing each instance keeps to a part of its own, or together they would send it more than it can queue.
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

// open reports whether a request may be sent there now.
func (candidate *candidate) available(now clock.Moment, despiteFailures bool) bool {
	return candidate.availableWithLimit(now, candidate.concurrencyLimit(), despiteFailures)
}

// openWith reports whether a request may be sent there now if the given number may be in flight at once.
func (candidate *candidate) availableWithLimit(now clock.Moment, limit int, despiteFailures bool) bool {
	if !candidate.config.Usable || candidate.down {
		return false
	}
	if !despiteFailures && candidate.consecutiveFailures >= failuresUntilTrickle || candidate.stale(now) {
		// Nothing is known of it, or nothing good; one request at a time does no harm and tells more.
		limit = 1
	}
	if candidate.ownInFlight+candidate.othersInFlight(now) >= candidate.limitShare(limit) {
		return false
	}
	if !despiteFailures && now < candidate.backoffUntil {
		return false
	}
	return !candidate.cold(now) || candidate.coldStartAllowed(now)
}

// fail counts a failed request.
func (candidate *candidate) recordFailure(now clock.Moment) {
	candidate.failureRate += failureWeight * (1 - candidate.failureRate)
	candidate.consecutiveFailures++
	doublings := min(candidate.consecutiveFailures-1, mostDoublings)
	candidate.backoffUntil = now.Add(initialBackoff * clock.Milliseconds(int(1)<<doublings))
}

// succeed counts a request that went well.
func (candidate *candidate) recordSuccess() {
	candidate.failureRate -= failureWeight * candidate.failureRate
	candidate.consecutiveFailures = 0
	candidate.backoffUntil = 0
}
