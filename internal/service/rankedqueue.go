package service

import (
	"cmp"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// rank orders waiting requests: those that can still be in time by priority, then those that will be late by priority.
// An answer in time is worth ten late ones to the users, so a late one never takes its place.
type rank int

const (
	priorities = rank(settings.LowestPriority + 1)
	// firstLate is the rank of the most urgent requests that will be late.
	firstLate = priorities * priorities
	ranks     = 2 * firstLate
)

// rankOf ranks a request by its team's priority and then by its own.
func rankOf(demand PermitRequest, late bool) rank {
	urgency := rank(demand.TeamPriority)*priorities + rank(demand.Priority)
	if late {
		return firstLate + urgency
	}
	return urgency
}

// rankedWaiter is a request that waits for a place. The place, or the refusal, arrives on done exactly once.
type rankedWaiter struct {
	demand PermitRequest
	// expected is what is known of its class.
	expected *expectation
	since    clock.Moment
	until    clock.Moment
	// latest is when it must start to be in time.
	latest clock.Moment
	done   chan scheduledGrant
	rank   rank

	// queued says that it is in a rankedQueue, where number tells the order in which requests were added.
	queued           bool
	number           int
	previous, behind *rankedWaiter
	overdue          timer[rankedWaiter]
}

type scheduledGrant struct {
	place Permit
	err   error
}

// late reports whether the request is past the moment at which it should have started.
func (waiter *rankedWaiter) late() bool {
	return waiter.rank >= firstLate
}

// rankedList holds the waiting requests of one rank in the order in which they were added.
type rankedList struct {
	first, last *rankedWaiter
	length      int
}

// rankedQueue holds waiting requests by rank.
type rankedQueue struct {
	length int
	added  int
	lists  [ranks]rankedList
	// overdue holds those that aren't late by the moment from which they are.
	overdue timerQueue[rankedWaiter]
	found   []*rankedWaiter
}

func (rankedQueue *rankedQueue) push(waiter *rankedWaiter) {
	list := &rankedQueue.lists[waiter.rank]
	waiter.previous, waiter.behind = list.last, nil
	if list.last == nil {
		list.first = waiter
	} else {
		list.last.behind = waiter
	}
	list.last = waiter
	list.length++
	rankedQueue.length++
	rankedQueue.added++
	waiter.queued, waiter.number = true, rankedQueue.added
	if !waiter.late() {
		waiter.overdue.item = waiter
		rankedQueue.overdue.set(&waiter.overdue, waiter.latest)
	}
}

// remove takes waiter out, and reports whether it was still waiting.
func (rankedQueue *rankedQueue) remove(waiter *rankedWaiter) bool {
	if !waiter.queued {
		return false
	}
	list := &rankedQueue.lists[waiter.rank]
	if waiter.previous == nil {
		list.first = waiter.behind
	} else {
		waiter.previous.behind = waiter.behind
	}
	if waiter.behind == nil {
		list.last = waiter.previous
	} else {
		waiter.behind.previous = waiter.previous
	}
	waiter.previous, waiter.behind = nil, nil
	waiter.queued = false
	list.length--
	rankedQueue.length--
	rankedQueue.overdue.remove(&waiter.overdue)
	return true
}

// ahead returns the number of requests that one of the given rank would wait for.
func (rankedQueue *rankedQueue) ahead(rank rank) int {
	ahead := 0
	for before := range rank + 1 {
		ahead += rankedQueue.lists[before].length
	}
	return ahead
}

// each visits the waiting requests in order until visit returns false. The visited one may be removed.
func (rankedQueue *rankedQueue) each(visit func(*rankedWaiter) bool) {
	for index := range rankedQueue.lists {
		for waiter := rankedQueue.lists[index].first; waiter != nil; {
			behind := waiter.behind
			if !visit(waiter) {
				return
			}
			waiter = behind
		}
	}
}

// overdueAt returns the requests whose moment to start has passed and that aren't ranked as late yet, in their order. They stay
// in the queue; the slice is used again by the next call.
func (rankedQueue *rankedQueue) overdueAt(now clock.Moment) []*rankedWaiter {
	found := rankedQueue.found[:0]
	for first := rankedQueue.overdue.due(now); first != nil && first.latest < now; first = rankedQueue.overdue.due(now) {
		rankedQueue.overdue.remove(&first.overdue)
		found = append(found, first)
	}
	slices.SortFunc(found, func(left, right *rankedWaiter) int {
		return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.number, right.number))
	})
	rankedQueue.found = found
	return found
}
