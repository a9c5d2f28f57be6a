package supervisor

import (
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// EventPanic counts the panics that a Guard has recovered.
const EventPanic = "supervisor.panics"

const (
	// panicLogInterval is the minimum interval between two log lines on panics of one component: a fault may recur with every request.
	panicLogInterval = 10 * clock.Second
	// maxPanicValueBytes bounds the text of a panic's value in the log: it may contain what was received.
	maxPanicValueBytes = 1 << 10
)

// PanicError is a recovered panic.
type PanicError struct {
	Component string
	Value     any
}

// Error implements error.
func (panicError *PanicError) Error() string {
	text := fmt.Sprint(panicError.Value)
	return "panic in " + panicError.Component + ": " + text[:min(len(text), maxPanicValueBytes)]
}

// Guard recovers the panics of goroutines that the tree does not see: those that components start, and those of libraries that call
// functions of a component. Such a panic would end the process. Panics are counted and logged. A Guard is safe for concurrent use; a nil
// *Guard lets panics pass.
type Guard struct {
	options Options
	clock   *clock.Clock

	mutex sync.Mutex
	logs  map[string]panicLog
}

// panicLog is what has been logged of a component's panics.
type panicLog struct {
	next clock.Moment
	// suppressed is the number of panics since the last line.
	suppressed int
}

// NewGuard returns a guard that counts and logs with the given options.
func NewGuard(options Options) *Guard {
	return &Guard{options: options, clock: clock.New(), logs: map[string]panicLog{}}
}

// Run calls the function and returns its panic, if any, as a *PanicError. The component is a constant name for the log.
func (guard *Guard) Run(component string, function func()) (err error) {
	if guard != nil {
		defer func() {
			if value := recover(); value != nil {
				err = guard.Record(component, value)
			}
		}()
	}
	function()
	return nil
}

// Go calls the function in a new goroutine. Nothing may wait for the function unless it reports its end in a deferred call.
func (guard *Guard) Go(component string, function func()) {
	go guard.run(component, function)
}

// Func returns a function that calls the given one and recovers its panics.
func (guard *Guard) Func(component string, function func()) func() {
	return func() { guard.run(component, function) }
}

// run is Run for callers that have nobody to report the panic to.
func (guard *Guard) run(component string, function func()) {
	_ = guard.Run(component, function)
}

// Record counts and logs a panic that a deferred function has recovered, and returns it as an error.
func (guard *Guard) Record(component string, value any) *PanicError {
	panicError := &PanicError{Component: component, Value: value}
	if guard == nil {
		return panicError
	}
	guard.options.Events.Add(EventPanic, 1)
	if suppressed, due := guard.logDue(component); due {
		guard.log(panicError, suppressed, string(debug.Stack()))
	}
	return panicError
}

// log writes a line on a panic. A panic of the log's writer is dropped: it would replace the one that has been recovered.
func (guard *Guard) log(panicError *PanicError, suppressed int, stack string) {
	defer func() { _ = recover() }()
	guard.options.Log.Error().Str("event", panicError.Error()).Str("component", panicError.Component).Int("suppressed", suppressed).
		Str("stack", stack).Msg("a panic was recovered")
}

// logDue reports whether a panic of the component is logged now, and how many have not been logged before it.
func (guard *Guard) logDue(component string) (int, bool) {
	now := guard.clock.Now()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	log, known := guard.logs[component]
	if known && now < log.next {
		log.suppressed++
		guard.logs[component] = log
		return 0, false
	}
	guard.logs[component] = panicLog{next: now.Add(panicLogInterval)}
	return log.suppressed, true
}
