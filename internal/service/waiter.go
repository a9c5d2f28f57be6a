package service

import (
	"container/list"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// waiter is a request that waits for a place. The place, or the refusal, arrives on done exactly once.
type waiter struct {
	request    PermitRequest
	enqueuedAt clock.Moment
	maxWait    clock.Milliseconds
	done       chan grant
	element    *list.Element
}

// grant ends a wait: with a target whose place is already taken, or with the reason for which there will be none.
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

// remove takes waiter out, and reports whether it was still waiting.
func (waitQueue *waitQueue) remove(waiter *waiter) bool {
	if waiter.element == nil {
		return false
	}
	waitQueue.lists[waiter.request.Priority].Remove(waiter.element)
	waiter.element = nil
	waitQueue.length--
	return true
}

// next returns the request to serve first, without removing it: the oldest of the first priority that has any. Serving
// the newest first would keep some quick under overload, but those that are overtaken would be refused late; here a
// request that can't be served in time is refused when it comes.
func (waitQueue *waitQueue) next() *waiter {
	for priority := range waitQueue.lists {
		if front := waitQueue.lists[priority].Front(); front != nil {
			oldest, _ := front.Value.(*waiter)
			return oldest
		}
	}
	return nil
}

// ahead returns the number of requests that a newcomer of the given priority would wait for.
func (waitQueue *waitQueue) ahead(priority settings.Priority) int {
	ahead := 0
	for before := range priority + 1 {
		ahead += waitQueue.lists[before].Len()
	}
	return ahead
}

// evictionCandidate returns the request that is the first to be refused in favour of one with the given priority: the oldest
// of the last priority below it. It returns nil when nothing that waits is less urgent.
func (waitQueue *waitQueue) evictionCandidate(priority settings.Priority) *waiter {
	for candidate := settings.LowestPriority; candidate > priority; candidate-- {
		if front := waitQueue.lists[candidate].Front(); front != nil {
			oldest, _ := front.Value.(*waiter)
			return oldest
		}
	}
	return nil
}
