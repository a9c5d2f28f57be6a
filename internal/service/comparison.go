package service

import (
	"math"
	"math/bits"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A choice compares all targets of a service with no more than compareAll of them. Of more targets it compares about compareMost in
// the own data centre and as many elsewhere, so that it takes the same time however many there are. They are spread over all phases:
// of equally slow targets those are best whose slowness changes last. After compareLeast those are left out that can't be
// better by more than the chance in a choice.
const (
	maxFullComparison = 16
	maxCompared       = 16
	minCompared       = 4
)

// levelTimes is how many times longer than usual requests take at least on targets of each level.
var bucketTimes = func() [levels]clock.Milliseconds {
	var times [levels]clock.Milliseconds
	for bucket := range times {
		times[bucket] = clock.Milliseconds(math.Exp2(float64(bucket) / bucketsPerDoubling))
	}
	return times
}()

// comparison finds the target with the least cost for a request.
type comparison struct {
	scheduler  *Scheduler
	prediction prediction
	// tried is passed over as long as there is another.
	tried          *Target
	triedCandidate *candidate
	triedFinish    clock.Milliseconds
	best           *candidate
	bestFinish     clock.Milliseconds
	minCost        clock.Milliseconds
	considered     int
}

// consider compares an open target with the best one so far, for which the given finishes of a usual and a long request are predicted.
func (comparison *comparison) consider(candidate *candidate, finish, long clock.Milliseconds, local bool) {
	if candidate.Target == comparison.tried {
		comparison.triedCandidate, comparison.triedFinish = candidate, finish
		return
	}
	comparison.considered++
	// A little chance keeps instances with the same view from all choosing the same target.
	cost := (finish + long) * clock.Milliseconds(1+choiceJitter*comparison.scheduler.random.Float64())
	if !local {
		cost += 2 * remoteCostOf(comparison.prediction.classStats)
	}
	if comparison.best == nil || cost < comparison.minCost {
		comparison.best, comparison.bestFinish, comparison.minCost = candidate, finish, cost
	}
}

func (comparison *comparison) considerIndexed(candidate *candidate, local bool) {
	finish, long := comparison.prediction.finishAsIndexed(candidate)
	comparison.consider(candidate, finish, long, local)
}

// result returns the best target, nil when there is none, and the time until a usual request is finished there.
func (comparison *comparison) result() (*candidate, clock.Milliseconds) {
	if comparison.best == nil {
		return comparison.triedCandidate, comparison.triedFinish
	}
	return comparison.best, comparison.bestFinish
}

// amongMany compares some of the targets that are filed as open.
func (comparison *comparison) bestIndexed(despiteFailures bool) (*candidate, clock.Milliseconds) {
	scheduler, now := comparison.scheduler, comparison.prediction.now
	scheduler.reindexDue(now)
	availability := availableToAll
	if despiteFailures {
		availability = availableDespiteFailures
	}
	for {
		comparison.compareAvailable(availability)
		chosen, finish := comparison.result()
		if chosen == nil || chosen.available(now, despiteFailures) {
			return chosen, finish
		}
		scheduler.reindex(now, chosen)
		comparison.best, comparison.triedCandidate, comparison.considered = nil, nil, 0
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

// among compares some targets of each phase, beginning with the one whose slowness may just have changed.
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
	// Those of the youngest phase and the older ones come first, then the others from the highest number on.
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

// settled reports whether enough were compared and targets of the level can't be better by more than the chance in a choice. What they cost
// at least is as slow as they are for requests that keep that, and soon as slow as usual for others.
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
