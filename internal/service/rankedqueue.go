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
	priorityCount = rank(settings.LowestPriority + 1)
	// firstLateRank is the rank of the most urgent requests that will be late.
	firstLateRank = priorityCount * priorityCount
	rankCount     = 2 * firstLateRank
)

// rankOf ranks a request by its team's priority and then by its own.
func rankOf(demand PermitRequest, late bool) rank {
	urgency := rank(demand.TeamPriority)*priorityCount + rank(demand.Priority)
	if late {
		return firstLateRank + urgency
	}
	return urgency
}

// rankedWaiter is a request that waits for a place. The place, or the refusal, arrives on done exactly once.
type rankedWaiter struct {
	request PermitRequest
	// classStats is what is known of its class.
	classStats   *expectation
	enqueuedAt   clock.Moment
	waitDeadline clock.Moment
	// startDeadline is when it must start to be in time.
	startDeadline clock.Moment
	done          chan scheduledGrant
	rank          rank

	// queued says that it is in a rankedQueue, where number tells the order in which requests were added.
	queued         bool
	sequence       int
	previous, next *rankedWaiter
	overdueTimer   timer[rankedWaiter]
}

type scheduledGrant struct {
	place Permit
	err   error
}

// late reports whether the request is past the moment at which it should have started.
func (waiter *rankedWaiter) late() bool {
	return waiter.rank >= firstLateRank
}

// rankedList holds the waiting requests of one rank in the order in which they were added.
type rankedList struct {
	first, last *rankedWaiter
	length      int
}

// rankedQueue holds waiting requests by rank.
type rankedQueue struct {
	length       int
	lastSequence int
	lists        [rankCount]rankedList
	// startDeadlines holds those that aren't late by the moment from which they are.
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

// remove takes waiter out, and reports whether it was still waiting.
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
			behind := waiter.next
			if !visit(waiter) {
				return
			}
			waiter = behind
		}
	}
}

// unmarkOverdue returns the requests whose moment to start has passed and that aren't ranked as late yet, in their order. They stay
// in the queue; the slice is used again by the next call.
func (rankedQueue *rankedQueue) unmarkOverdue(now clock.Moment) []*rankedWaiter {
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
