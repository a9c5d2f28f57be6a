package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// timer is something that is due for an item at a moment.
type timer[T any] struct {
	item *T
	// position is its index in the queue plus one, 0 while it isn't queued.
	position int
}

// timerQueue is a binary heap of timers, the earliest first.
type timerQueue[T any] []timerAt[T]

type timerAt[T any] struct {
	at    clock.Moment
	timer *timer[T]
}

// set queues a timer for the given moment, or moves it there.
func (timerQueue *timerQueue[T]) set(timer *timer[T], at clock.Moment) {
	if timer.position == 0 {
		*timerQueue = append(*timerQueue, timerAt[T]{})
		timer.position = len(*timerQueue)
	} else if (*timerQueue)[timer.position-1].at == at {
		return
	}
	timerQueue.sift(timer.position-1, timerAt[T]{at: at, timer: timer})
}

// remove takes a timer out, if it is queued.
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

// due returns the item of the earliest timer if its moment has come, or nil.
func (timerQueue timerQueue[T]) due(now clock.Moment) *T {
	if len(timerQueue) == 0 || timerQueue[0].at > now {
		return nil
	}
	return timerQueue[0].timer.item
}

// sift puts a timer that is to stand at the given index higher or lower, as its moment asks.
func (timerQueue timerQueue[T]) sift(index int, sifted timerAt[T]) {
	for index > 0 {
		above := (index - 1) / 2
		if timerQueue[above].at <= sifted.at {
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
		if timerQueue[below].at >= sifted.at {
			break
		}
		timerQueue.put(index, timerQueue[below])
		index = below
	}
	timerQueue.put(index, sifted)
}

func (timerQueue timerQueue[T]) put(index int, put timerAt[T]) {
	timerQueue[index] = put
	put.timer.position = index + 1
}
