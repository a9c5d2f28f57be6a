package service

import (
	"cmp"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// rank is the order in which waiting requests are served: first the requests that can still meet their soft deadline, by
// priority, then the late ones, by priority. A response on time is worth ten late ones to the users, so a late request never goes
// before one that is on time.
type rank int

const (
	priorityCount = rank(settings.LowestPriority + 1)
	// firstLateRank is the rank of the most urgent late requests.
	firstLateRank = priorityCount * priorityCount
	rankCount     = 2 * firstLateRank
)

// rankOf returns the rank of a request, by the priority of its team first and then by its own.
func rankOf(request PermitRequest, late bool) rank {
	urgency := rank(request.TeamPriority)*priorityCount + rank(request.Priority)
	if late {
		return firstLateRank + urgency
	}
	return urgency
}

// rankedWaiter is a request that waits for a permit. Exactly one scheduledGrant is sent on done.
type rankedWaiter struct {
	request PermitRequest
	// classStats holds the statistics of the request's class.
	classStats   *classStats
	enqueuedAt   clock.Moment
	waitDeadline clock.Moment
	// startDeadline is the latest moment at which the request must start to meet its soft deadline.
	startDeadline clock.Moment
	done          chan scheduledGrant
	rank          rank

	// queued is true while the element is in a rankedQueue; sequence is the order in which elements were added there.
	queued         bool
	sequence       int
	previous, next *rankedWaiter
	overdueTimer   timer[rankedWaiter]
}

// scheduledGrant is the result of a wait: a permit, or the error with which the request is refused.
type scheduledGrant struct {
	permit Permit
	err    error
}

// late reports whether the request has a late rank.
func (waiter *rankedWaiter) late() bool {
	return waiter.rank >= firstLateRank
}

// rankedList is a linked list of the waiting requests of one rank, in the order in which they were added.
type rankedList struct {
	first, last *rankedWaiter
	length      int
}

// rankedQueue holds waiting requests by rank.
type rankedQueue struct {
	length       int
	lastSequence int
	lists        [rankCount]rankedList
	// startDeadlines holds a timer for each request without a late rank, due at its start deadline.
	startDeadlines timerQueue[rankedWaiter]
	overdueBuffer  []*rankedWaiter
}

func (rankedQueue *rankedQueue) push(waiter *rankedWaiter) {
	list := &rankedQueue.lists[waiter.rank]
	waiter.previous, waiter.next = list.last, nil
	if list.last == nil {
		list.first = waiter
	} else {
		list.last.next = waiter
	}
	list.last = waiter
	list.length++
	rankedQueue.length++
	rankedQueue.lastSequence++
	waiter.queued, waiter.sequence = true, rankedQueue.lastSequence
	if !waiter.late() {
		waiter.overdueTimer.item = waiter
		rankedQueue.startDeadlines.set(&waiter.overdueTimer, waiter.startDeadline)
	}
}

// remove removes waiter from the queue, and reports whether it was in the queue.
func (rankedQueue *rankedQueue) remove(waiter *rankedWaiter) bool {
	if !waiter.queued {
		return false
	}
	list := &rankedQueue.lists[waiter.rank]
	if waiter.previous == nil {
		list.first = waiter.next
	} else {
		waiter.previous.next = waiter.next
	}
	if waiter.next == nil {
		list.last = waiter.previous
	} else {
		waiter.next.previous = waiter.previous
	}
	waiter.previous, waiter.next = nil, nil
	waiter.queued = false
	list.length--
	rankedQueue.length--
	rankedQueue.startDeadlines.remove(&waiter.overdueTimer)
	return true
}

// ahead returns the number of queued requests that are served before a new request of the given rank.
func (rankedQueue *rankedQueue) ahead(rank rank) int {
	ahead := 0
	for before := range rank + 1 {
		ahead += rankedQueue.lists[before].length
	}
	return ahead
}

// each calls visit for the waiting requests in order until it returns false. visit may remove the request that it is called with.
func (rankedQueue *rankedQueue) each(visit func(*rankedWaiter) bool) {
	for index := range rankedQueue.lists {
		for waiter := rankedQueue.lists[index].first; waiter != nil; {
			next := waiter.next
			if !visit(waiter) {
				return
			}
			waiter = next
		}
	}
}

// popOverdue removes the timers of the requests whose start deadline has passed and which have no late rank yet, and returns
// these requests in queue order. They stay in the queue. The next call reuses the slice.
func (rankedQueue *rankedQueue) popOverdue(now clock.Moment) []*rankedWaiter {
	found := rankedQueue.overdueBuffer[:0]
	for first := rankedQueue.startDeadlines.due(now); first != nil && first.startDeadline < now; first = rankedQueue.startDeadlines.due(now) {
		rankedQueue.startDeadlines.remove(&first.overdueTimer)
		found = append(found, first)
	}
	slices.SortFunc(found, func(left, right *rankedWaiter) int {
		return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.sequence, right.sequence))
	})
	rankedQueue.overdueBuffer = found
	return found
}
