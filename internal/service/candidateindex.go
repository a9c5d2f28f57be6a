package service

import (
	"math"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A choice among many targets compares some of them: those that are open and on which requests are expected to take the least time.
// Targets are filed for that whenever something that matters has changed: a request starts or ends on them, they tell something, they
// are offered anew or found to be down. What changes by time alone, such as the end of a spell, has a timer.
//
// Filing only says which targets are compared: whether the chosen one is open is asked again.

// filing is where a candidate is filed.
type indexEntry struct {
	bucketEntry bucketEntry[candidate]
	// outlook and shared are what is predicted from until it is filed anew: they lie beside the entry, so that comparing it touches
	// little memory.
	forecast    slowdownForecast
	loadPenalty float64
	slow        bool
	// index lists it, nil when it is closed; fast is the count of open targets that aren't slow in which it is contained, nil for none.
	phaseIndex *phaseIndex
	phase      int
	fastCount  *int
	// slotClass counts it by the number of requests there, taken, nil while it isn't in use.
	slotClass *slotClass
	inFlight  int
	// change is when it must be filed anew.
	reindexTimer timer[candidate]
}

// openness is for which requests a target is open.
type availability int

const (
	availableToAll availability = iota
	// openDespiteFailures takes requests that find no other target.
	availableDespiteFailures
	availabilityCount
)

// openTargets lists open targets, those of the own data centre and the others.
type availableTargets struct {
	local, remote [availabilityCount]phaseIndex
	// fast is the number of them that aren't slow.
	fastCount int
}

// phases is the number of parts of a period by which targets are told apart.
const phaseCount = 16

// phasedIndex lists targets by the part of a period in which their slowness may change, those of which that isn't known in the last
// list, and each part by how many times longer than usual requests take there.
type phaseIndex struct {
	// notEmpty has a bit for each list that holds any.
	notEmpty uint32
	lists    [phaseCount + 1]bucketIndex[candidate]
}

// phaseOf is the part of a period in which a moment lies.
func phaseOf(at clock.Moment, period clock.Milliseconds) int {
	if period == 0 {
		return phaseCount
	}
	periods := float64(at) / float64(period)
	return min(int((periods-math.Floor(periods))*phaseCount), phaseCount-1)
}

const (
	// levelsPerDoubling makes neighbouring levels differ by 4 percent, and the last one begin at 11 times longer than usual.
	bucketsPerDoubling = 18
	// refileFade is how often a target without a cadence is filed anew while its reading loses its worth.
	fadeReindexInterval = defaultSlowdownPeriod / 4
	// tiniest keeps a moment that was worked out a rounding error too early from being due again at once.
	minReindexDelay = 1e-3 * clock.Millisecond
)

// file files a candidate by what holds now.
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

// fileTaken files a candidate of which nothing has changed but how many requests are there. One that is cold also needs a timer.
func (scheduler *Scheduler) reindexInFlight(now clock.Moment, candidate *candidate) {
	indexEntry := &candidate.indexEntry
	inFlight := candidate.ownInFlight + candidate.othersInFlight(now)
	indexEntry.loadPenalty = candidate.loadPenalty(inFlight, candidate.slotClass.concurrencyLimit)
	if candidate.config.Usable && !candidate.down {
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

// fileEnded files a candidate on which a request has ended, and all if that has changed how many a target runs well.
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

// fileAll files all candidates anew.
func (scheduler *Scheduler) reindexAll(now clock.Moment) {
	for _, candidate := range scheduler.ordered {
		scheduler.reindex(now, candidate)
	}
}

// unfile takes a candidate out that is forgotten.
func (scheduler *Scheduler) removeFromIndex(candidate *candidate) {
	candidate.indexEntry.moveTo(nil, 0)
	candidate.indexEntry.countAsFast(nil)
	candidate.indexEntry.countInFlight(nil, 0)
	scheduler.reindexTimers.remove(&candidate.indexEntry.reindexTimer)
}

// refresh files those anew for which time has changed something.
func (scheduler *Scheduler) reindexDue(now clock.Moment) {
	for first := scheduler.reindexTimers.due(now); first != nil; first = scheduler.reindexTimers.due(now) {
		scheduler.reindex(now, first)
	}
}

// list puts the candidate on the list of the phase, or on none.
func (indexEntry *indexEntry) moveTo(phaseIndex *phaseIndex, phase int) {
	if indexEntry.phaseIndex != nil && (indexEntry.phaseIndex != phaseIndex || indexEntry.phase != phase) {
		indexEntry.phaseIndex.move(indexEntry.phase, &indexEntry.bucketEntry, unlisted)
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
		indexEntry.slotClass.targetCounts[indexEntry.inFlight]--
	}
	if slotClass != nil {
		slotClass.targetCounts[inFlight]++
	}
	indexEntry.slotClass, indexEntry.inFlight = slotClass, inFlight
}

// openBy returns the list of open targets to which the candidate belongs, nil when it is closed. One that is open only while
// its slotClass finds out about one more request has a list of its own, for that begins and ends with any request.
func (scheduler *Scheduler) availableListOf(now clock.Moment, candidate *candidate, inFlight int) (*availableTargets, availability) {
	slotClass := candidate.slotClass
	switch nextLimit := slotClass.nextLimit(); {
	case !candidate.config.Usable || candidate.down || inFlight >= candidate.limitShare(nextLimit):
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

// level is by how many times longer than usual requests take there, as they are compared.
func (indexEntry *indexEntry) bucket() int {
	times := float64(indexEntry.forecast.slowdown) + 2/(1+longRequestFactor)*indexEntry.loadPenalty
	if times <= 1 {
		return 0
	}
	return min(int(bucketsPerDoubling*math.Log2(times)), levels-1)
}

// changesAt is the next moment at which the passing of time may change how the candidate is filed.
func (candidate *candidate) nextReindexAt(now clock.Moment) clock.Moment {
	next := never
	until := func(at clock.Moment) {
		if now < at {
			next = min(next, at)
		}
	}
	until(candidate.coldUntil)
	until(candidate.backoffUntil)
	until(candidate.ownedFrom)
	if candidate.config.Owned && now >= candidate.ownedFrom && candidate.cold(now) {
		next = min(next, candidate.nextColdStartAt(now))
	}
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
		until(now.Add(readingDue - slowdownCycle.sinceBoundary(now)))
	}
	return next
}
