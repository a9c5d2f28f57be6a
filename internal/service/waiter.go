package service

import (
	"container/list"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// waiter is a request that waits for a permit. Exactly one grant is sent on done.
type waiter struct {
	request    PermitRequest
	enqueuedAt clock.Moment
	maxWait    clock.Milliseconds
	done       chan grant
	element    *list.Element
}

// grant is the result of a wait: a target on which a permit has been acquired, or the error with which the request is refused.
type grant struct {
	target     *Target
	inFlight   int
	acquiredAt clock.Moment
	err        error
}

// waitQueue holds waiting requests by priority.
type waitQueue struct {
	length int
	lists  [settings.LowestPriority + 1]list.List
}

func (waitQueue *waitQueue) push(waiter *waiter) {
	waiter.element = waitQueue.lists[waiter.request.Priority].PushBack(waiter)
	waitQueue.length++
}

// remove removes waiter from the queue, and reports whether it was in the queue.
func (waitQueue *waitQueue) remove(waiter *waiter) bool {
	if waiter.element == nil {
		return false
	}
	waitQueue.lists[waiter.request.Priority].Remove(waiter.element)
	waiter.element = nil
	waitQueue.length--
	return true
}

// next returns the request to serve first, without removing it: the oldest one of the most urgent priority that has any.
// Serving the newest first would keep the wait of some requests short under overload, but the overtaken ones would be refused
// late; here a request that cannot be served in time is refused on arrival.
func (waitQueue *waitQueue) next() *waiter {
	for priority := range waitQueue.lists {
		if front := waitQueue.lists[priority].Front(); front != nil {
			oldest, _ := front.Value.(*waiter)
			return oldest
		}
	}
	return nil
}

// ahead returns the number of queued requests that are served before a new request of the given priority.
func (waitQueue *waitQueue) ahead(priority settings.Priority) int {
	ahead := 0
	for before := range priority + 1 {
		ahead += waitQueue.lists[before].Len()
	}
	return ahead
}

// evictionCandidate returns the request to refuse first in favour of one with the given priority: the oldest one of the least
// urgent priority below it. It returns nil when no less urgent request waits.
func (waitQueue *waitQueue) evictionCandidate(priority settings.Priority) *waiter {
	for lower := settings.LowestPriority; lower > priority; lower-- {
		if front := waitQueue.lists[lower].Front(); front != nil {
			oldest, _ := front.Value.(*waiter)
			return oldest
		}
	}
	return nil
}
