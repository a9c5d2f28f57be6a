package emulate

import (
	"container/heap"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// engine runs actions in the order of their moments in virtual time. Actions of the same moment run in the order in which they
// were scheduled.
type engine struct {
	clock     *clock.Manual
	queue     eventQueue
	scheduled int
}

type event struct {
	at       clock.Moment
	sequence int
	action   func()
}

func newEngine() *engine {
	return &engine{clock: clock.NewManual()}
}

func (engine *engine) now() clock.Moment {
	return engine.clock.Now()
}

// after schedules an action to run after the delay. A negative delay counts as 0.
func (engine *engine) after(delay clock.Milliseconds, action func()) {
	engine.at(engine.now().Add(max(delay, 0)), action)
}

func (engine *engine) at(moment clock.Moment, action func()) {
	engine.scheduled++
	heap.Push(&engine.queue, event{at: moment, sequence: engine.scheduled, action: action})
}

// run runs all actions that are due up to the given moment, including those that they schedule.
func (engine *engine) run(until clock.Moment) {
	for len(engine.queue) > 0 && engine.queue[0].at <= until {
		next, _ := heap.Pop(&engine.queue).(event)
		engine.clock.Advance(next.at.Since(engine.now()))
		next.action()
	}
}

// eventQueue is a heap of events, ordered by moment and sequence.
type eventQueue []event

// Len implements heap.Interface.
func (eventQueue eventQueue) Len() int { return len(eventQueue) }

// Less implements heap.Interface.
func (eventQueue eventQueue) Less(left, right int) bool {
	if eventQueue[left].at != eventQueue[right].at {
		return eventQueue[left].at < eventQueue[right].at
	}
	return eventQueue[left].sequence < eventQueue[right].sequence
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
