package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Weights of the choice of a target.
const (
	// slowThreshold is the slowdown from which a target counts as slow.
	slowThreshold = 2.0
	// CallerNetworkDelay is the part of a caller's time that passes on the network between caller and instance, which the
	// instance cannot measure: three one-way trips until the request arrives on a new connection, and one for the response.
	// Callers are up to 8 ms away. For nearer ones a request counts as late slightly too early, which only lowers its rank.
	CallerNetworkDelay = 34 * clock.Millisecond
	// remoteCost is the additional cost of a target in another data centre. The number of requests in flight there is known
	// only from readings, so that instances which all know of the same fast target overload it; and the links between data
	// centres are shared.
	remoteCost = 50 * clock.Millisecond
	// bytesPerMillisecond converts the usual size of a request and its response to a cost in time. 90 KB over the links
	// between data centres cost as much as a late response, 300 ms: a download goes to a slow target in the local data centre
	// rather than to a fast one in another.
	bytesPerMillisecond = 300.0
	// concurrencyCost is the additional cost of a full target compared with an empty one, as a part of the usual service
	// time. Of otherwise equal targets the emptier one is chosen, where a slow interval would affect fewer requests.
	concurrencyCost = 0.15
)

// remoteCostOf returns the cost of a target in another data centre that is added to the predicted duration.
func remoteCostOf(classStats *classStats) clock.Milliseconds {
	return remoteCost + clock.Milliseconds(classStats.transferredBytes/bytesPerMillisecond)
}

// best returns the available target with the lowest cost of those compared, and the predicted duration of a usual request on
// it. The target of an earlier attempt is returned only if there is no other.
func (scheduler *Scheduler) best(now clock.Moment, classStats *classStats, previous *Target, despiteFailures bool) (*candidate, clock.Milliseconds) {
	comparison := comparison{
		scheduler: scheduler, previous: previous, prediction: scheduler.predict(now, classStats),
	}
	if len(scheduler.ordered) > maxFullComparison {
		return comparison.bestIndexed(despiteFailures)
	}
	for _, candidate := range scheduler.ordered {
		if candidate.available(now, despiteFailures) {
			duration, longDuration := comparison.prediction.durationsOn(candidate)
			comparison.consider(candidate, duration, longDuration, candidate.config.Local)
		}
	}
	return comparison.result()
}

// longRequestFactor is the duration of a long request of a class relative to a usual one. Targets are compared by the
// predictions for a usual and a long request: where the fast interval lasts longer, fewer requests run into the next slow
// one.
const longRequestFactor = 1.5

// choiceJitter is the random part of a cost, relative to the predicted duration.
const choiceJitter = 0.02

// longRunSlowdown returns the slowdown of work that lasts for many intervals, slow and fast ones.
func (scheduler *Scheduler) longRunSlowdown() float64 {
	return 1 / scheduler.meanSpeed
}

// choose returns the target for a request, or nil if none is available or if the request should wait for a fast one.
func (scheduler *Scheduler) choose(now clock.Moment, waiter *rankedWaiter) *candidate {
	chosen, duration := scheduler.best(now, waiter.classStats, waiter.request.PreviousTarget, false)
	if chosen == nil {
		chosen, _ = scheduler.best(now, waiter.classStats, waiter.request.PreviousTarget, true)
		return chosen
	}
	if chosen.slow(now) && scheduler.shouldWaitForFast(now, waiter, chosen, duration) {
		return nil
	}
	return chosen
}

// anyFastAvailable reports whether any target that is not slow accepts a request now.
func (scheduler *Scheduler) anyFastAvailable(now clock.Moment) bool {
	scheduler.reindexDue(now)
	if scheduler.available.fastCount > 0 {
		return true
	}
	for _, slotClass := range scheduler.concurrencyModel.slotClasses {
		if slotClass.availableBeyondLimit.fastCount > 0 && slotClass.exploring() {
			return true
		}
	}
	return false
}
