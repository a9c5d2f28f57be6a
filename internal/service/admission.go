package service

import (
	"container/list"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Admission.
const (
	// comeBackNoTarget is when a caller may return if a service has no target at all: the list of targets lags by about
	// a second.
	comeBackNoTarget = 500 * clock.Millisecond
	// leastComeBack keeps refused callers from returning at once, mostComeBack from staying away longer than the fleet
	// needs to recover.
	leastComeBack = 50 * clock.Millisecond
	mostComeBack  = 2 * clock.Second
	// comeBackSpread spreads the returns of callers refused at the same moment, as a part of the time.
	comeBackSpread = 0.5
	// lateWaitMost bounds the wait of a request that will be late: what can't be served soon is refused, while its
	// caller still has time to come back.
	lateWaitMost = 0.4
)

// startShares are the parts of all starts that each priority has had, on a moving average.
type startShares [settings.LowestPriority + 1]float64

func (startShares *startShares) count(started settings.Priority) {
	for priority := range startShares {
		startShares[priority] -= averageWeight * startShares[priority]
	}
	startShares[started] += averageWeight
}

// left is the part that more urgent requests leave to a priority.
func (startShares *startShares) left(priority settings.Priority) float64 {
	left := 1.0
	for _, share := range startShares[:priority] {
		left -= share
	}
	return max(left, leastShare)
}

// rankedWaiter is a request that waits for a place. The place, or the refusal, arrives on done exactly once.
type rankedWaiter struct {
	demand  Demand
	since   clock.Moment
	until   clock.Moment
	done    chan scheduledGrant
	element *list.Element
	rank    rank
}

type scheduledGrant struct {
	place Place
	err   error
}

// rank orders waiting requests: those that can still be in time by priority, then those that will be late by priority.
// An answer in time is worth ten late ones to the users, so a late one never takes its place.
type rank int

const ranks = rank(2 * (settings.LowestPriority + 1))

func rankOf(priority settings.Priority, late bool) rank {
	if late {
		return rank(priority + settings.LowestPriority + 1)
	}
	return rank(priority)
}

// rankedQueue holds waiting requests by rank.
type rankedQueue struct {
	length int
	lists  [ranks]list.List
}

func (rankedQueue *rankedQueue) push(waiter *rankedWaiter) {
	waiter.element = rankedQueue.lists[waiter.rank].PushBack(waiter)
	rankedQueue.length++
}

// remove takes waiter out, and reports whether it was still waiting.
func (rankedQueue *rankedQueue) remove(waiter *rankedWaiter) bool {
	if waiter.element == nil {
		return false
	}
	rankedQueue.lists[waiter.rank].Remove(waiter.element)
	waiter.element = nil
	rankedQueue.length--
	return true
}

// anyBefore reports whether a request in time of the given or a more urgent priority waits.
func (rankedQueue *rankedQueue) anyBefore(priority settings.Priority) bool {
	for index := range int(priority) + 1 {
		if rankedQueue.lists[index].Len() > 0 {
			return true
		}
	}
	return false
}

// ahead returns the number of requests that one of the given rank would wait for.
func (rankedQueue *rankedQueue) ahead(rank rank) int {
	ahead := 0
	for before := range rank + 1 {
		ahead += rankedQueue.lists[before].Len()
	}
	return ahead
}

// each visits the waiting requests in order until visit returns false. The visited one may be removed.
func (rankedQueue *rankedQueue) each(visit func(*rankedWaiter) bool) {
	for index := range rankedQueue.lists {
		for element := rankedQueue.lists[index].Front(); element != nil; {
			next := element.Next()
			waiter, _ := element.Value.(*rankedWaiter)
			if !visit(waiter) {
				return
			}
			element = next
		}
	}
}

// enqueue makes a request wait. One whose turn would not come in time is refused at once: its caller can come back when
// there is room, and nothing that could still be served waits behind it.
func (scheduler *Scheduler) enqueue(now clock.Moment, demand Demand) (*rankedWaiter, error) {
	work := scheduler.expect(demand.Class).work
	latestStart := demand.Aim.Add(-CallerDistance - work)
	late := now.Add(scheduler.expectedWait(rankOf(demand.Priority, false), demand.Priority)) > latestStart
	waiter := &rankedWaiter{demand: demand, since: now, done: make(chan scheduledGrant, 1), rank: rankOf(demand.Priority, late)}
	left := demand.Deadline.Since(now)
	waiter.until = now.Add(lateWaitMost * left)
	if !late {
		// When its moment has passed it goes wherever there is room; it waits on only if there is none.
		waiter.until = max(waiter.until, latestStart)
	}
	wait := scheduler.expectedWait(waiter.rank, demand.Priority)
	if late && wait > waiter.until.Since(now)*admittedShare {
		return nil, &RefusedError{Cause: ErrQueueFull, ComeBack: scheduler.comeBack(demand.Priority)}
	}
	scheduler.waiting.push(waiter)
	return waiter, nil
}

// expectedWait is how long a request of the given rank would wait: those before it, at the pace at which places become
// free for its priority. By Little's law that pace is the number of places taken by the time each is taken.
func (scheduler *Scheduler) expectedWait(rank rank, priority settings.Priority) clock.Milliseconds {
	ahead := clock.Milliseconds(scheduler.waiting.ahead(rank))
	pace := float64(max(scheduler.own, 1)) * scheduler.started.left(priority)
	return (ahead + 1) * scheduler.meanHold / clock.Milliseconds(pace) * waitBias
}

// waitBias accounts for the request's own turn: on average half of a place's time passes until the next one is free.
const waitBias = 0.5

// comeBack is when room is expected for a request that was refused now, spread by chance so that those refused together
// don't return together.
func (scheduler *Scheduler) comeBack(priority settings.Priority) clock.Milliseconds {
	wait := scheduler.expectedWait(ranks-1, priority)
	wait = min(max(wait, leastComeBack), mostComeBack)
	return wait * clock.Milliseconds(1+comeBackSpread*scheduler.random.Float64())
}
