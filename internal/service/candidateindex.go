package service

import (
	"math"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A choice among many targets compares only some of them: available targets on which requests are expected to take the least
// time. The targets are indexed for this, and reindexed whenever something relevant changes: a request starts or ends, a
// reading arrives, the configuration changes, or a probe fails. Changes that come with time alone, such as the end of a
// slowdown interval, have a timer.
//
// The index only determines which targets are compared: whether the chosen target is available is checked again.

// indexEntry is the position of a candidate in the index.
type indexEntry struct {
	bucketEntry bucketEntry[candidate]
	// forecast and loadPenalty are the inputs of predictions until the candidate is reindexed. They are stored beside the
	// entry so that a comparison reads little memory.
	forecast    slowdownForecast
	loadPenalty float64
	slow        bool
	// phaseIndex lists the candidate, nil while it is not available; fastCount is the counter of available fast targets that
	// includes it, nil if none does.
	phaseIndex *phaseIndex
	phase      int
	fastCount  *int
	// slotClass counts the candidate under its number of requests, inFlight; it is nil while the candidate is not in use.
	slotClass *slotClass
	inFlight  int
	// reindexTimer is due when the candidate has to be reindexed.
	reindexTimer timer[candidate]
}

// availability states which requests may be sent to a target.
type availability int

const (
	// availableToAll targets accept every request.
	availableToAll availability = iota
	// availableDespiteFailures targets accept only requests that have no other available target.
	availableDespiteFailures
	availabilityCount
)

// availableTargets lists the available targets of the local data centre and of the remote ones.
type availableTargets struct {
	local, remote [availabilityCount]phaseIndex
	// fastCount is the number of listed targets that are not slow.
	fastCount int
}

// phaseCount is the number of equal parts into which a period is divided.
const phaseCount = 16

// phaseIndex lists targets by the part of a period in which their slowdown may change, and within each part by expected time
// relative to the usual one. The last list holds the targets whose phase is unknown.
type phaseIndex struct {
	// notEmpty has one bit for each list, set if the list is not empty.
	notEmpty uint32
	lists    [phaseCount + 1]bucketIndex[candidate]
}

// phaseOf returns the part of a period in which a moment falls.
func phaseOf(at clock.Moment, period clock.Milliseconds) int {
	if period == 0 {
		return phaseCount
	}
	periods := float64(at) / float64(period)
	return indexOf((periods-math.Floor(periods))*phaseCount, phaseCount)
}

// indexOf converts a number to an index of a list of the given length: to the nearest one if it is out of range, to 0 if it is NaN. The
// result of Go's conversion is negative on x86-64 then.
func indexOf(number float64, length int) int {
	switch {
	case number >= float64(length):
		return length - 1
	case number > 0:
		return int(number)
	default:
		return 0
	}
}

const (
	// bucketsPerDoubling makes neighbouring buckets differ by 4 percent, and the last one begin at 11 times the usual time.
	bucketsPerDoubling = 18
	// fadeReindexInterval is how often a target without a known slowdown cycle is reindexed while the weight of its reading
	// decreases.
	fadeReindexInterval = defaultSlowdownPeriod / 4
	// minReindexDelay prevents a timer that a rounding error set too early from being due again at once.
	minReindexDelay = 1e-3 * clock.Millisecond
)

// reindex updates the forecast, the position and the timer of a candidate.
func (scheduler *Scheduler) reindex(now clock.Moment, candidate *candidate) {
	indexEntry := &candidate.indexEntry
	indexEntry.forecast = candidate.forecastSlowdown(now, scheduler.meanSlowdown)
	indexEntry.slow = candidate.slow(now)
	scheduler.reindexInFlight(now, candidate)
	if reindexAt := candidate.nextReindexAt(now); reindexAt == never {
		scheduler.reindexTimers.remove(&indexEntry.reindexTimer)
	} else {
		scheduler.reindexTimers.set(&indexEntry.reindexTimer, max(reindexAt, now.Add(minReindexDelay)))
	}
}

// reindexInFlight updates the position of a candidate of which only the number of requests has changed. A cold candidate
// also needs its timer updated, which only reindex does.
func (scheduler *Scheduler) reindexInFlight(now clock.Moment, candidate *candidate) {
	indexEntry := &candidate.indexEntry
	inFlight := candidate.ownInFlight + candidate.othersInFlight(now)
	indexEntry.loadPenalty = candidate.loadPenalty(inFlight, candidate.slotClass.concurrencyLimit)
	if candidate.usable() && !candidate.down {
		indexEntry.countInFlight(candidate.slotClass, inFlight)
	} else {
		indexEntry.countInFlight(nil, 0)
	}
	availableTargets, availability := scheduler.availableListOf(now, candidate, inFlight)
	switch {
	case availableTargets == nil || len(scheduler.ordered) <= maxFullComparison:
		indexEntry.moveTo(nil, 0)
	case candidate.config.Local:
		indexEntry.moveTo(&availableTargets.local[availability], phaseOf(candidate.slowdownCycle.boundary, candidate.slowdownCycle.period))
	default:
		indexEntry.moveTo(&availableTargets.remote[availability], phaseOf(candidate.slowdownCycle.boundary, candidate.slowdownCycle.period))
	}
	if availableTargets == nil || indexEntry.slow {
		indexEntry.countAsFast(nil)
	} else {
		indexEntry.countAsFast(&availableTargets.fastCount)
	}
}

// reindexAfterRequest updates the position of a candidate on which a request has ended, and of all candidates if the
// concurrency limit has changed with it.
func (scheduler *Scheduler) reindexAfterRequest(now clock.Moment, candidate *candidate, result Result) {
	slotClass := candidate.slotClass
	switch {
	case slotClass.indexedLimit != slotClass.concurrencyLimit:
		slotClass.indexedLimit = slotClass.concurrencyLimit
		scheduler.reindexAll(now)
	case result == Failed:
		scheduler.reindex(now, candidate)
	default:
		scheduler.reindexInFlight(now, candidate)
	}
}

func (scheduler *Scheduler) reindexAll(now clock.Moment) {
	for _, candidate := range scheduler.ordered {
		scheduler.reindex(now, candidate)
	}
}

// removeFromIndex removes a candidate from the index before its record is deleted.
func (scheduler *Scheduler) removeFromIndex(candidate *candidate) {
	candidate.indexEntry.moveTo(nil, 0)
	candidate.indexEntry.countAsFast(nil)
	candidate.indexEntry.countInFlight(nil, 0)
	scheduler.reindexTimers.remove(&candidate.indexEntry.reindexTimer)
}

// reindexDue reindexes the candidates whose timer is due.
func (scheduler *Scheduler) reindexDue(now clock.Moment) {
	for first := scheduler.reindexTimers.due(now); first != nil; first = scheduler.reindexTimers.due(now) {
		scheduler.reindex(now, first)
	}
}

// moveTo moves the candidate to the list of the given phase, or to no list if phaseIndex is nil.
func (indexEntry *indexEntry) moveTo(phaseIndex *phaseIndex, phase int) {
	if indexEntry.phaseIndex != nil && (indexEntry.phaseIndex != phaseIndex || indexEntry.phase != phase) {
		indexEntry.phaseIndex.move(indexEntry.phase, &indexEntry.bucketEntry, notIndexed)
	}
	indexEntry.phaseIndex, indexEntry.phase = phaseIndex, phase
	if phaseIndex != nil {
		phaseIndex.move(phase, &indexEntry.bucketEntry, indexEntry.bucket())
	}
}

func (phaseIndex *phaseIndex) move(phase int, entry *bucketEntry[candidate], bucket int) {
	bucketIndex := &phaseIndex.lists[phase]
	bucketIndex.move(entry, bucket)
	if bucketIndex.notEmpty == 0 {
		phaseIndex.notEmpty &^= 1 << phase
	} else {
		phaseIndex.notEmpty |= 1 << phase
	}
}

func (indexEntry *indexEntry) countAsFast(fastCount *int) {
	if indexEntry.fastCount == fastCount {
		return
	}
	if indexEntry.fastCount != nil {
		*indexEntry.fastCount--
	}
	if fastCount != nil {
		*fastCount++
	}
	indexEntry.fastCount = fastCount
}

func (indexEntry *indexEntry) countInFlight(slotClass *slotClass, inFlight int) {
	if slotClass != nil {
		inFlight = min(max(inFlight, 0), len(slotClass.targetCounts)-1)
	}
	if indexEntry.slotClass == slotClass && indexEntry.inFlight == inFlight {
		return
	}
	if indexEntry.slotClass != nil {
		indexEntry.slotClass.addTargets(indexEntry.inFlight, -1)
	}
	if slotClass != nil {
		slotClass.addTargets(inFlight, 1)
	}
	indexEntry.slotClass, indexEntry.inFlight = slotClass, inFlight
}

// availableListOf returns the list of available targets to which the candidate belongs, nil if it is not available. A
// candidate that is available only while its slotClass explores one more request is in a separate list, because exploration
// starts and ends with any request.
func (scheduler *Scheduler) availableListOf(now clock.Moment, candidate *candidate, inFlight int) (*availableTargets, availability) {
	slotClass := candidate.slotClass
	switch nextLimit := slotClass.nextLimit(); {
	case !candidate.usable() || candidate.down || inFlight >= candidate.limitShare(nextLimit):
		return nil, availableToAll
	case candidate.availableWithLimit(now, slotClass.concurrencyLimit, false):
		return &scheduler.available, availableToAll
	case candidate.availableWithLimit(now, nextLimit, false):
		return &slotClass.availableBeyondLimit, availableToAll
	case candidate.availableWithLimit(now, slotClass.concurrencyLimit, true):
		return &scheduler.available, availableDespiteFailures
	case candidate.availableWithLimit(now, nextLimit, true):
		return &slotClass.availableBeyondLimit, availableDespiteFailures
	}
	return nil, availableToAll
}

// bucket returns the bucket for the expected time relative to the usual one, averaged over a usual and a long request.
func (indexEntry *indexEntry) bucket() int {
	times := float64(indexEntry.forecast.slowdown) + 2/(1+longRequestFactor)*indexEntry.loadPenalty
	if times <= 1 {
		return 0
	}
	return indexOf(bucketsPerDoubling*math.Log2(times), bucketCount)
}

// nextReindexAt returns the next moment at which the passing of time may change the position of the candidate.
func (candidate *candidate) nextReindexAt(now clock.Moment) clock.Moment {
	next := never
	until := func(at clock.Moment) {
		if now < at {
			next = min(next, at)
		}
	}
	until(candidate.coldUntil)
	until(candidate.backoffUntil)
	until(candidate.restUntil())
	until(candidate.ownedFrom)
	if candidate.config.Owned && now >= candidate.ownedFrom && candidate.mayBeCold(now) {
		next = min(next, candidate.nextColdStartAt(now))
	}
	next = min(next, candidate.limitAllowsAt(now))
	if candidate.limited() {
		until(candidate.declaration.loans.Expires())
	}
	until(candidate.statedUntil.Add(minReindexDelay))
	if !candidate.hasReading || candidate.stale(now) {
		return next
	}
	readAt := candidate.reading.At
	until(readAt.Add(maxReadingAge + minReindexDelay))
	if others := candidate.othersInFlight(now); others > 0 {
		next = min(next, readAt.Add(othersDecayTime*clock.Milliseconds(1-(float64(others)-0.5)/float64(candidate.othersAtReading()))))
	}
	slowdownCycle := &candidate.slowdownCycle
	if slowdownCycle.period == 0 {
		if fadedAt := readAt.Add(defaultSlowdownPeriod); now < fadedAt {
			next = min(next, fadedAt, now.Add(fadeReindexInterval))
		}
		return next
	}
	switch since := slowdownCycle.intervalAt(now) - slowdownCycle.intervalAt(readAt); {
	case since <= 0:
		until(now.Add(slowdownCycle.untilBoundary(now)))
	case since == 1:
		until(now.Add(loadReadingDelay - slowdownCycle.sinceBoundary(now)))
	}
	return next
}
