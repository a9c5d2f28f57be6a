package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// timer is a moment at which something is due for an item.
type timer[T any] struct {
	item *T
	at   clock.Moment
	// place is its index in the queue plus one, 0 while it isn't queued.
	place int
}

// timerQueue is a binary heap of timers, the earliest first.
type timerQueue[T any] []*timer[T]

// set queues a timer for the given moment, or moves it there.
func (timerQueue *timerQueue[T]) set(timer *timer[T], at clock.Moment) {
	if timer.place > 0 && timer.at == at {
		return
	}
	timer.at = at
	if timer.place == 0 {
		*timerQueue = append(*timerQueue, timer)
		timer.place = len(*timerQueue)
	}
	timerQueue.sift(timer)
}

// remove takes a timer out, if it is queued.
func (timerQueue *timerQueue[T]) remove(timer *timer[T]) {
	if timer.place == 0 {
		return
	}
	queue := *timerQueue
	last := queue[len(queue)-1]
	queue[len(queue)-1] = nil
	*timerQueue = queue[:len(queue)-1]
	if last != timer {
		(*timerQueue)[timer.place-1] = last
		last.place = timer.place
		timerQueue.sift(last)
	}
	timer.place = 0
}

// first returns the earliest timer, or nil.
func (timerQueue *timerQueue[T]) first() *timer[T] {
	if len(*timerQueue) == 0 {
		return nil
	}
	return (*timerQueue)[0]
}

// sift moves a timer up or down to where its moment belongs.
func (timerQueue timerQueue[T]) sift(timer *timer[T]) {
	index := timer.place - 1
	for index > 0 {
		above := (index - 1) / 2
		if timerQueue[above].at <= timer.at {
			break
		}
		timerQueue.put(index, timerQueue[above])
		index = above
	}
	for {
		below := 2*index + 1
		if below >= len(timerQueue) {
			break
		}
		if right := below + 1; right < len(timerQueue) && timerQueue[right].at < timerQueue[below].at {
			below = right
		}
		if timerQueue[below].at >= timer.at {
			break
		}
		timerQueue.put(index, timerQueue[below])
		index = below
	}
	timerQueue.put(index, timer)
}

func (timerQueue timerQueue[T]) put(index int, timer *timer[T]) {
	timerQueue[index] = timer
	timer.place = index + 1
}
