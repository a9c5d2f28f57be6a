package emulate

import (
	"container/heap"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// engine does things in the order of their moments in virtual time; things of one moment in the order in which they were asked for.
type engine struct {
	clock *clock.Manual
	queue eventQueue
	asked int
}

type event struct {
	at     clock.Moment
	number int
	do     func()
}

func newEngine() *engine {
	return &engine{clock: clock.NewManual()}
}

func (engine *engine) now() clock.Moment {
	return engine.clock.Now()
}

// after has something done a while from now.
func (engine *engine) after(length clock.Milliseconds, do func()) {
	engine.at(engine.now().Add(max(length, 0)), do)
}

func (engine *engine) at(moment clock.Moment, do func()) {
	engine.asked++
	heap.Push(&engine.queue, event{at: moment, number: engine.asked, do: do})
}

// run does everything up to a moment.
func (engine *engine) run(until clock.Moment) {
	for len(engine.queue) > 0 && engine.queue[0].at <= until {
		next, _ := heap.Pop(&engine.queue).(event)
		engine.clock.Advance(next.at.Since(engine.now()))
		next.do()
	}
}

// eventQueue is a heap of events.
type eventQueue []event

// Len implements heap.Interface.
func (eventQueue eventQueue) Len() int { return len(eventQueue) }

// Less implements heap.Interface.
func (eventQueue eventQueue) Less(left, right int) bool {
	if eventQueue[left].at != eventQueue[right].at {
		return eventQueue[left].at < eventQueue[right].at
	}
	return eventQueue[left].number < eventQueue[right].number
}

// Swap implements heap.Interface.
func (eventQueue eventQueue) Swap(left, right int) {
	eventQueue[left], eventQueue[right] = eventQueue[right], eventQueue[left]
}

// Push implements heap.Interface.
func (eventQueue *eventQueue) Push(added any) {
	next, _ := added.(event)
	*eventQueue = append(*eventQueue, next)
}

// Pop implements heap.Interface.
func (eventQueue *eventQueue) Pop() any {
	last := (*eventQueue)[len(*eventQueue)-1]
	*eventQueue = (*eventQueue)[:len(*eventQueue)-1]
	return last
}
