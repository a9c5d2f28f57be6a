package service

import (
	"container/list"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// waiter is a request that waits for a place. The place, or the refusal, arrives on done exactly once.
type waiter struct {
	demand  Demand
	since   clock.Moment
	longest clock.Milliseconds
	done    chan grant
	element *list.Element
}

// grant ends a wait: with a target whose place is already taken, or with the reason for which there will be none.
type grant struct {
	target *Target
	err    error
}

// waitQueue holds waiting requests by priority.
type waitQueue struct {
	length int
	lists  [settings.LowestPriority + 1]list.List
}

func (waitQueue *waitQueue) push(waiter *waiter) {
	waiter.element = waitQueue.lists[waiter.demand.Priority].PushBack(waiter)
	waitQueue.length++
}

// remove takes waiter out, and reports whether it was still waiting.
func (waitQueue *waitQueue) remove(waiter *waiter) bool {
	if waiter.element == nil {
		return false
	}
	waitQueue.lists[waiter.demand.Priority].Remove(waiter.element)
	waiter.element = nil
	waitQueue.length--
	return true
}

// next returns the request to serve first, without removing it: of the first priority that has any, the oldest, or the
// newest once the oldest has waited longer than patience. Under overload every request of a first-come order waits
// almost its whole limit and the answer comes too late for all of them; serving the newest keeps most of them quick.
func (waitQueue *waitQueue) next(now clock.Moment, patience clock.Milliseconds) *waiter {
	for priority := range waitQueue.lists {
		waiting := &waitQueue.lists[priority]
		front := waiting.Front()
		if front == nil {
			continue
		}
		oldest, _ := front.Value.(*waiter)
		if now.Since(oldest.since) <= patience {
			return oldest
		}
		newest, _ := waiting.Back().Value.(*waiter)
		return newest
	}
	return nil
}

// lowerThan returns the request that is the first to be refused in favour of one with the given priority: the oldest
// of the last priority below it. It returns nil when nothing that waits is less urgent.
func (waitQueue *waitQueue) lowerThan(priority settings.Priority) *waiter {
	for candidate := settings.LowestPriority; candidate > priority; candidate-- {
		if front := waitQueue.lists[candidate].Front(); front != nil {
			oldest, _ := front.Value.(*waiter)
			return oldest
		}
	}
	return nil
}
