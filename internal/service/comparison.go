package service

import (
	"math"
	"math/bits"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Up to maxFullComparison targets of a service are all compared. Of more targets, about maxCompared are compared in the
// local data centre and as many in the remote ones, so that a choice takes the same time for any number of targets. They are
// spread over all phases: of equally slow targets, those whose slowdown changes last are best. After minCompared, targets
// are left out that cannot be better by more than choiceJitter.
const (
	maxFullComparison = 16
	maxCompared       = 16
	minCompared       = 4
)

// bucketTimes is the least expected time of the targets of each bucket, relative to the usual one.
var bucketTimes = func() [bucketCount]clock.Milliseconds {
	var times [bucketCount]clock.Milliseconds
	for bucket := range times {
		times[bucket] = clock.Milliseconds(math.Exp2(float64(bucket) / bucketsPerDoubling))
	}
	return times
}()

// borrowedTokenPreference is the part of its cost by which a limited target is preferred while a borrowed token for it is held: tokens
// that are not used soon have to be returned, and are missing elsewhere.
const borrowedTokenPreference = 0.05

// comparison finds the target with the lowest cost for a request.
type comparison struct {
	scheduler  *Scheduler
	prediction prediction
	// previous is the target of an earlier attempt, chosen only if there is no other.
	previous          *Target
	previousCandidate *candidate
	previousDuration  clock.Milliseconds
	best              *candidate
	bestDuration      clock.Milliseconds
	minCost           clock.Milliseconds
	considered        int
}

// consider compares an available target with the best one so far. duration and longDuration are the predicted
// durations of a usual and a long request on it.
func (comparison *comparison) consider(candidate *candidate, duration, longDuration clock.Milliseconds, local bool) {
	if candidate.Target == comparison.previous {
		comparison.previousCandidate, comparison.previousDuration = candidate, duration
		return
	}
	comparison.considered++
	// The jitter keeps instances with the same view from all choosing the same target.
	cost := (duration + longDuration) * clock.Milliseconds(1+choiceJitter*comparison.scheduler.random.Float64())
	if !local {
		cost += 2 * remoteCostOf(comparison.prediction.classStats)
	}
	if *candidate.borrowing && candidate.limited() {
		cost *= 1 - borrowedTokenPreference
	}
	if comparison.best == nil || cost < comparison.minCost {
		comparison.best, comparison.bestDuration, comparison.minCost = candidate, duration, cost
	}
}

func (comparison *comparison) considerIndexed(candidate *candidate, local bool) {
	duration, longDuration := comparison.prediction.durationsAsIndexed(candidate)
	comparison.consider(candidate, duration, longDuration, local)
}

// result returns the best target, nil if there is none, and the predicted duration of a usual request on it.
func (comparison *comparison) result() (*candidate, clock.Milliseconds) {
	if comparison.best == nil {
		return comparison.previousCandidate, comparison.previousDuration
	}
	return comparison.best, comparison.bestDuration
}

// bestIndexed compares some of the targets that are indexed as available.
func (comparison *comparison) bestIndexed(despiteFailures bool) (*candidate, clock.Milliseconds) {
	scheduler, now := comparison.scheduler, comparison.prediction.now
	scheduler.reindexDue(now)
	availability := availableToAll
	if despiteFailures {
		availability = availableDespiteFailures
	}
	for {
		comparison.compareAvailable(availability)
		chosen, duration := comparison.result()
		if chosen == nil || chosen.available(now, despiteFailures) {
			return chosen, duration
		}
		scheduler.reindex(now, chosen)
		comparison.best, comparison.previousCandidate, comparison.considered = nil, nil, 0
	}
}

func (comparison *comparison) compareAvailable(availability availability) {
	scheduler := comparison.scheduler
	comparison.compareList(&scheduler.available.local[availability], true)
	for _, slotClass := range scheduler.concurrencyModel.slotClasses {
		if slotClass.exploring() {
			comparison.compareList(&slotClass.availableBeyondLimit.local[availability], true)
		}
	}
	comparison.compareList(&scheduler.available.remote[availability], false)
	for _, slotClass := range scheduler.concurrencyModel.slotClasses {
		if slotClass.exploring() {
			comparison.compareList(&slotClass.availableBeyondLimit.remote[availability], false)
		}
	}
}

// compareList compares some targets of each phase, starting with the phase in which the slowdown may just have changed.
func (comparison *comparison) compareList(phaseIndex *phaseIndex, local bool) {
	extraCost := clock.Milliseconds(0)
	if !local {
		extraCost = 2 * remoteCostOf(comparison.prediction.classStats)
	}
	if phaseIndex.notEmpty == 0 || comparison.sufficient(extraCost, 0) {
		return
	}
	scheduler := comparison.scheduler
	perPhase := (maxCompared + bits.OnesCount32(phaseIndex.notEmpty) - 1) / bits.OnesCount32(phaseIndex.notEmpty)
	// The lists of the current phase and the earlier ones come first, the latest phase first, then the others from the
	// highest number down.
	upToCurrent := uint32(2)<<phaseOf(comparison.prediction.now, scheduler.slowdownPeriod) - 1
	for _, remaining := range [...]uint32{phaseIndex.notEmpty & upToCurrent, phaseIndex.notEmpty &^ upToCurrent} {
		for ; remaining != 0; remaining &^= 1 << (bits.Len32(remaining) - 1) {
			bucketIndex := &phaseIndex.lists[bits.Len32(remaining)-1]
			if comparison.sufficient(extraCost, bucketIndex.lowest()) {
				continue
			}
			if perPhase == 1 {
				comparison.considerIndexed(bucketIndex.randomLowest(scheduler.random), local)
				continue
			}
			scheduler.compareBuffer = bucketIndex.collectLowest(scheduler.random, scheduler.compareBuffer[:0], perPhase)
			for _, candidate := range scheduler.compareBuffer {
				comparison.considerIndexed(candidate, local)
			}
		}
	}
}

// sufficient reports whether enough targets were compared, and targets of the given bucket cannot be better by more than
// choiceJitter. The lower bound of their cost assumes the slowdown of the bucket for requests with a fixed slowdown, and at
// most the long-run slowdown for the others.
func (comparison *comparison) sufficient(extraCost clock.Milliseconds, bucket int) bool {
	if comparison.considered < minCompared {
		return false
	}
	prediction := &comparison.prediction
	fixed := bucketTimes[bucket]
	varying := min(fixed, clock.Milliseconds(prediction.longRunSlowdown))
	lowerBound := (1 + longRequestFactor) * prediction.classStats.serviceTime * (varying + prediction.fixedWeight*(fixed-varying))
	return extraCost+(1+choiceJitter)*lowerBound >= comparison.minCost
}
