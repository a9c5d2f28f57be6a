package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// timer schedules an item for a moment in a timerQueue.
type timer[T any] struct {
	item *T
	// position is the index in the queue plus one, 0 while the timer is not queued.
	position int
}

// timerQueue is a binary min-heap of timers, ordered by their moment.
type timerQueue[T any] []timerAt[T]

// timerAt is an element of a timerQueue.
type timerAt[T any] struct {
	at    clock.Moment
	timer *timer[T]
}

// set queues a timer for the given moment, or moves it there if it is queued already.
func (timerQueue *timerQueue[T]) set(timer *timer[T], at clock.Moment) {
	if timer.position == 0 {
		*timerQueue = append(*timerQueue, timerAt[T]{})
		timer.position = len(*timerQueue)
	} else if (*timerQueue)[timer.position-1].at == at {
		return
	}
	timerQueue.sift(timer.position-1, timerAt[T]{at: at, timer: timer})
}

// remove removes a timer from the queue, if it is queued.
func (timerQueue *timerQueue[T]) remove(timer *timer[T]) {
	if timer.position == 0 {
		return
	}
	queue := *timerQueue
	last := queue[len(queue)-1]
	queue[len(queue)-1] = timerAt[T]{}
	*timerQueue = queue[:len(queue)-1]
	if last.timer != timer {
		timerQueue.sift(timer.position-1, last)
	}
	timer.position = 0
}

// due returns the item of the earliest timer if its moment has been reached, or nil.
func (timerQueue timerQueue[T]) due(now clock.Moment) *T {
	if len(timerQueue) == 0 || timerQueue[0].at > now {
		return nil
	}
	return timerQueue[0].timer.item
}

// sift moves an element from the given index up or down to its position in the heap order.
func (timerQueue timerQueue[T]) sift(index int, entry timerAt[T]) {
	for index > 0 {
		parent := (index - 1) / 2
		if timerQueue[parent].at <= entry.at {
			break
		}
		timerQueue.put(index, timerQueue[parent])
		index = parent
	}
	for {
		child := 2*index + 1
		if child >= len(timerQueue) {
			break
		}
		if right := child + 1; right < len(timerQueue) && timerQueue[right].at < timerQueue[child].at {
			child = right
		}
		if timerQueue[child].at >= entry.at {
			break
		}
		timerQueue.put(index, timerQueue[child])
		index = child
	}
	timerQueue.put(index, entry)
}

// put stores an element at the given index and records the index in its timer.
func (timerQueue timerQueue[T]) put(index int, entry timerAt[T]) {
	timerQueue[index] = entry
	entry.timer.position = index + 1
}
