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

	// queued is true while the element is in a rankedQueue; sequence is the order in which elements were added there, and turn that in
	// which those of its rank are served.
	queued         bool
	sequence, turn int
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

// rankedList is a linked list of the waiting requests of one rank, in the order in which they are served. Classes take turns: of a class
// with many waiting requests one is served for each of a class with few, so that the first does not take the room of the second.
type rankedList struct {
	first, last *rankedWaiter
	length      int
	// turn is the highest turn that has been served, lastTurns holds the last turn given to each class with waiting requests.
	turn      int
	lastTurns map[*classStats]int
}

// nextTurn returns the turn that the next request of a class gets.
func (rankedList *rankedList) nextTurn(classStats *classStats) int {
	return max(rankedList.turn, rankedList.lastTurns[classStats]) + 1
}

// countBefore returns the number of requests that are served before a new one with the given turn.
func (rankedList *rankedList) countBefore(turn int) int {
	count := rankedList.length
	for waiter := rankedList.last; waiter != nil && waiter.turn > turn; waiter = waiter.previous {
		count--
	}
	return count
}

// insert adds a request behind those of the same or an earlier turn.
func (rankedList *rankedList) insert(waiter *rankedWaiter) {
	waiter.turn = rankedList.nextTurn(waiter.classStats)
	if rankedList.lastTurns == nil {
		rankedList.lastTurns = map[*classStats]int{}
	}
	rankedList.lastTurns[waiter.classStats] = waiter.turn
	before := rankedList.last
	for before != nil && before.turn > waiter.turn {
		before = before.previous
	}
	waiter.previous = before
	if before == nil {
		waiter.next, rankedList.first = rankedList.first, waiter
	} else {
		waiter.next, before.next = before.next, waiter
	}
	if waiter.next == nil {
		rankedList.last = waiter
	} else {
		waiter.next.previous = waiter
	}
	rankedList.length++
}

// remove removes a request.
func (rankedList *rankedList) remove(waiter *rankedWaiter) {
	if waiter.previous == nil {
		rankedList.first = waiter.next
	} else {
		waiter.previous.next = waiter.next
	}
	if waiter.next == nil {
		rankedList.last = waiter.previous
	} else {
		waiter.next.previous = waiter.previous
	}
	waiter.previous, waiter.next = nil, nil
	rankedList.length--
	if rankedList.length == 0 {
		rankedList.turn = 0
		clear(rankedList.lastTurns)
	}
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
	rankedQueue.lists[waiter.rank].insert(waiter)
	rankedQueue.length++
	rankedQueue.lastSequence++
	waiter.queued, waiter.sequence = true, rankedQueue.lastSequence
	if !waiter.late() {
		waiter.overdueTimer.item = waiter
		rankedQueue.startDeadlines.set(&waiter.overdueTimer, waiter.startDeadline)
	}
}

// serve removes a request that gets a permit.
func (rankedQueue *rankedQueue) serve(waiter *rankedWaiter) {
	list := &rankedQueue.lists[waiter.rank]
	list.turn = max(list.turn, waiter.turn)
	rankedQueue.remove(waiter)
}

// remove removes waiter from the queue, and reports whether it was in the queue.
func (rankedQueue *rankedQueue) remove(waiter *rankedWaiter) bool {
	if !waiter.queued {
		return false
	}
	rankedQueue.lists[waiter.rank].remove(waiter)
	waiter.queued = false
	rankedQueue.length--
	rankedQueue.startDeadlines.remove(&waiter.overdueTimer)
	return true
}

// ahead returns the number of queued requests that are served before a new request of the given rank and class. Without a class it is the
// number of all requests of this and more urgent ranks.
func (rankedQueue *rankedQueue) ahead(rank rank, classStats *classStats) int {
	ahead := 0
	for before := range rank {
		ahead += rankedQueue.lists[before].length
	}
	list := &rankedQueue.lists[rank]
	if classStats == nil {
		return ahead + list.length
	}
	return ahead + list.countBefore(list.nextTurn(classStats))
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
