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
	compareAll   = 16
	compareMost  = 16
	compareLeast = 4
)

// levelTimes is how many times longer than usual requests take at least on targets of each level.
var levelTimes = func() [bucketCount]clock.Milliseconds {
	var times [bucketCount]clock.Milliseconds
	for level := range times {
		times[level] = clock.Milliseconds(math.Exp2(float64(level) / levelsPerDoubling))
	}
	return times
}()

// comparison finds the target with the least cost for a request.
type comparison struct {
	scheduler  *Scheduler
	prediction prediction
	// tried is passed over as long as there is another.
	tried       *Target
	triedBefore *candidate
	triedFinish clock.Milliseconds
	best        *candidate
	bestFinish  clock.Milliseconds
	leastCost   clock.Milliseconds
	considered  int
}

// consider compares an open target with the best one so far, for which the given finishes of a usual and a long request are predicted.
func (comparison *comparison) consider(candidate *candidate, finish, long clock.Milliseconds, local bool) {
	if candidate.Target == comparison.tried {
		comparison.triedBefore, comparison.triedFinish = candidate, finish
		return
	}
	comparison.considered++
	// A little chance keeps instances with the same view from all choosing the same target.
	cost := (finish + long) * clock.Milliseconds(1+choiceSpread*comparison.scheduler.random.Float64())
	if !local {
		cost += 2 * farCostOf(comparison.prediction.expected)
	}
	if comparison.best == nil || cost < comparison.leastCost {
		comparison.best, comparison.bestFinish, comparison.leastCost = candidate, finish, cost
	}
}

func (comparison *comparison) considerFiled(candidate *candidate, local bool) {
	finish, long := comparison.prediction.finishAsFiled(candidate)
	comparison.consider(candidate, finish, long, local)
}

// result returns the best target, nil when there is none, and the time until a usual request is finished there.
func (comparison *comparison) result() (*candidate, clock.Milliseconds) {
	if comparison.best == nil {
		return comparison.triedBefore, comparison.triedFinish
	}
	return comparison.best, comparison.bestFinish
}

// amongMany compares some of the targets that are filed as open.
func (comparison *comparison) amongMany(despiteFailures bool) (*candidate, clock.Milliseconds) {
	scheduler, now := comparison.scheduler, comparison.prediction.now
	scheduler.refresh(now)
	openness := openToAll
	if despiteFailures {
		openness = openDespiteFailures
	}
	for {
		comparison.amongOpen(openness)
		chosen, finish := comparison.result()
		if chosen == nil || chosen.open(now, despiteFailures) {
			return chosen, finish
		}
		scheduler.file(now, chosen)
		comparison.best, comparison.triedBefore, comparison.considered = nil, nil, 0
	}
}

func (comparison *comparison) amongOpen(openness openness) {
	scheduler := comparison.scheduler
	comparison.among(&scheduler.open.near[openness], true)
	for _, slotClass := range scheduler.concurrency.slotClasses {
		if slotClass.trying() {
			comparison.among(&slotClass.open.near[openness], true)
		}
	}
	comparison.among(&scheduler.open.far[openness], false)
	for _, slotClass := range scheduler.concurrency.slotClasses {
		if slotClass.trying() {
			comparison.among(&slotClass.open.far[openness], false)
		}
	}
}

// among compares some targets of each phase, beginning with the one whose slowness may just have changed.
func (comparison *comparison) among(index *phasedIndex, local bool) {
	further := clock.Milliseconds(0)
	if !local {
		further = 2 * farCostOf(comparison.prediction.expected)
	}
	if index.notEmpty == 0 || comparison.settled(further, 0) {
		return
	}
	scheduler := comparison.scheduler
	most := (compareMost + bits.OnesCount32(index.notEmpty) - 1) / bits.OnesCount32(index.notEmpty)
	// Those of the youngest phase and the older ones come first, then the others from the highest number on.
	upTo := uint32(2)<<phaseOf(comparison.prediction.now, scheduler.period) - 1
	for _, remaining := range [...]uint32{index.notEmpty & upTo, index.notEmpty &^ upTo} {
		for ; remaining != 0; remaining &^= 1 << (bits.Len32(remaining) - 1) {
			listed := &index.lists[bits.Len32(remaining)-1]
			if comparison.settled(further, listed.lowest()) {
				continue
			}
			if most == 1 {
				comparison.considerFiled(listed.any(scheduler.random), local)
				continue
			}
			scheduler.compared = listed.gather(scheduler.random, scheduler.compared[:0], most)
			for _, candidate := range scheduler.compared {
				comparison.considerFiled(candidate, local)
			}
		}
	}
}

// settled reports whether enough were compared and targets of the level can't be better by more than the chance in a choice. What they cost
// at least is as slow as they are for requests that keep that, and soon as slow as usual for others.
func (comparison *comparison) settled(further clock.Milliseconds, level int) bool {
	if comparison.considered < compareLeast {
		return false
	}
	prediction := &comparison.prediction
	kept := levelTimes[level]
	followed := min(kept, clock.Milliseconds(prediction.overSpells))
	least := (1 + longTimes) * prediction.expected.work * (followed + prediction.keeping*(kept-followed))
	return further+(1+choiceSpread)*least >= comparison.leastCost
}
