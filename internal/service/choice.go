package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Choice.
const (
	// slowFrom is the slowdown from which a target counts as slow.
	slowFrom = 2.0
	// CallerDistance is the part of a caller's time that passes on the way between caller and instance, which is not
	// seen here: three ways until the request is here on a new connection, and one for the answer. Callers are up to 8 ms
	// away; for nearer ones a request counts as late a little too soon, which costs it its rank and nothing else.
	CallerDistance = 34 * clock.Millisecond
	// farCost is what a target in another data centre costs against one in the own: what is in flight there is known only
	// from readings, so that instances which all see the same fast target fill it; and the links between data centres
	// are shared.
	farCost = 50 * clock.Millisecond
	// bytesPerMillisecond turns the usual length of a request and its answer into time. 90 KB over the links between
	// data centres count for as much as a late answer, 300 ms: a download goes to a slow target of the own data centre rather
	// than to a fast one elsewhere.
	bytesPerMillisecond = 300.0
	// concurrencyCost is the part of the usual work that a full target costs against an empty one: with all else equal, the
	// emptier one is taken, whose spell of slowness would hit fewer.
	concurrencyCost = 0.15
)

// farCostOf is what a target in another data centre costs on top of the time that a request takes there.
func farCostOf(expected *expectation) clock.Milliseconds {
	return farCost + clock.Milliseconds(expected.size/bytesPerMillisecond)
}

// best returns the open target with the earliest finish of those compared, passing over the one that was tried as long as there is
// another.
func (scheduler *Scheduler) best(now clock.Moment, expected *expectation, tried *Target, despiteFailures bool) (*candidate, clock.Milliseconds) {
	comparison := comparison{
		scheduler: scheduler, tried: tried, prediction: scheduler.predict(now, expected),
	}
	if len(scheduler.ordered) > compareAll {
		return comparison.amongMany(despiteFailures)
	}
	for _, candidate := range scheduler.ordered {
		if candidate.open(now, despiteFailures) {
			finish, long := comparison.prediction.finishOn(candidate)
			comparison.consider(candidate, finish, long, candidate.offer.Local)
		}
	}
	return comparison.result()
}

// longTimes is how many times as long as usual a long request of a class takes. Targets are compared by how they would do
// with a usual and with a long one: where the calm lasts longer, fewer are caught by the next spell.
const longTimes = 1.5

// choiceSpread is the chance in a choice, as a part of the predicted time.
const choiceSpread = 0.02

// overSpells is how many times longer than usual work takes that lasts for many spells, slow and fast ones.
func (scheduler *Scheduler) overSpells() float64 {
	return 1 / scheduler.meanSpeed
}

// choose picks the target for a request, or nil when none is open or when it is better off waiting for a fast one.
func (scheduler *Scheduler) choose(now clock.Moment, waiter *rankedWaiter) *candidate {
	chosen, finish := scheduler.best(now, waiter.classStats, waiter.request.PreviousTarget, false)
	if chosen == nil {
		chosen, _ = scheduler.best(now, waiter.classStats, waiter.request.PreviousTarget, true)
		return chosen
	}
	if chosen.slow(now) && scheduler.shouldWaitForFast(now, waiter, chosen, finish) {
		return nil
	}
	return chosen
}

// anyOpen reports whether any target takes a request now that need not wait for it to be fast.
func (scheduler *Scheduler) anyOpen(now clock.Moment) bool {
	scheduler.refresh(now)
	if scheduler.open.fast > 0 {
		return true
	}
	for _, slotClass := range scheduler.concurrency.slotClasses {
		if slotClass.open.fast > 0 && slotClass.trying() {
			return true
		}
	}
	return false
}
