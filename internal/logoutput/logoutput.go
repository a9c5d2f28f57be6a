// Package logoutput writes to streams whose reader may be slow, stuck or gone, without keeping the process from serving or ending.
//
// # Usage
//
//	output := logoutput.New(os.Stdout, &registry.Events)
//	defer output.Close()
//	log := zerolog.New(output)
package logoutput

import (
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog/diode"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Names of the event counters for log lines.
const (
	// EventWriteFailed counts the lines that could not be written, for example because the reader of the log has gone.
	EventWriteFailed = "log.writeFailed"
	// EventLineDropped counts the lines that were dropped because the reader of the log is too slow.
	EventLineDropped = "log.lineDropped"
)

const (
	// bufferLines is the number of lines that are buffered until they are written.
	bufferLines = 2048
	// flushInterval is the interval at which buffered lines are written.
	flushInterval = 20 * clock.Millisecond
	// closeTimeout is how long the last lines may take. A process that drains has 0.3 s left when its connections are closed.
	closeTimeout = 100 * clock.Millisecond
)

// Output is a log writer that never blocks. It is safe for concurrent use.
type Output struct {
	writer    diode.Writer
	closeOnce sync.Once
}

// New returns an output that writes to the stream. It counts EventWriteFailed and EventLineDropped in events.
func New(stream io.Writer, events *expvar.Map) *Output {
	counting := countingWriter{stream: stream, events: events}
	onDrop := func(count int) { events.Add(EventLineDropped, int64(count)) }
	return &Output{writer: diode.NewWriter(counting, bufferLines, flushInterval.Duration(), onDrop)}
}

// Write implements io.Writer. The line is written in the background.
func (output *Output) Write(line []byte) (int, error) {
	return output.writer.Write(line)
}

// Close writes the buffered lines. It gives up after closeTimeout, because the write to a pipe that is full and never read never
// returns.
func (output *Output) Close() {
	output.closeOnce.Do(func() {
		doWithin(closeTimeout, func() { _ = output.writer.Close() })
	})
}

// countingWriter hides the Close of its stream, so that messages can be written to it after the log has ended.
type countingWriter struct {
	stream io.Writer
	events *expvar.Map
}

// Write implements io.Writer.
func (countingWriter countingWriter) Write(line []byte) (int, error) {
	count, err := countingWriter.stream.Write(line)
	if err != nil {
		countingWriter.events.Add(EventWriteFailed, 1)
	}
	return count, err
}

// ErrStuck is returned for a write that did not end in time.
var ErrStuck = errors.New("the output accepts nothing")

// Bounded is a writer for the last messages of a process. Each write takes closeTimeout at most.
type Bounded struct {
	stream io.Writer
}

// NewBounded returns a writer to the stream.
func NewBounded(stream io.Writer) *Bounded {
	return &Bounded{stream: stream}
}

// Write implements io.Writer. It returns ErrStuck if the write does not end in time.
func (bounded *Bounded) Write(text []byte) (int, error) {
	var count int
	var err error
	// A write that does not end in time keeps its own copy, since the caller may reuse text.
	kept := append([]byte(nil), text...)
	if !doWithin(closeTimeout, func() { count, err = bounded.stream.Write(kept) }) {
		return 0, ErrStuck
	}
	return count, err
}

// doWithin reports whether the function has returned before the timeout. It continues in the background otherwise.
func doWithin(timeout clock.Milliseconds, function func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		function()
	}()
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
