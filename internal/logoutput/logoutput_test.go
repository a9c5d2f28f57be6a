package logoutput

import (
	"bytes"
	"expvar"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
)

// stream is an output that fails with err, or blocks until release is closed.
type stream struct {
	release chan struct{}
	err     error

	mutex sync.Mutex
	text  bytes.Buffer
}

func (stream *stream) Write(line []byte) (int, error) {
	if stream.release != nil {
		<-stream.release
	}
	if stream.err != nil {
		return 0, stream.err
	}
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.text.Write(line)
}

func newEvents() *expvar.Map {
	return &metrics.NewRegistry().Events
}

// Guards against log lines that are lost when the process ends, and against a stream that is closed before its last message.
func TestCloseWritesTheBufferedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream, events := &stream{}, newEvents()
		output := New(stream, events)
		for range 100 {
			_, err := output.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		output.Close()
		output.Close()
		require.Equal(t, 100, bytes.Count(stream.text.Bytes(), []byte("line\n")))
		require.Zero(t, metrics.EventCount(events, EventLineDropped))
	})
}

// Guards against a log that is lost without a trace.
func TestFailedWritesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := newEvents()
		output := New(&stream{err: syscall.EPIPE}, events)
		for range 3 {
			_, err := output.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		output.Close()
		require.Equal(t, int64(3), metrics.EventCount(events, EventWriteFailed))
	})
}

// Guards against requests and a shutdown that wait for a stuck reader of the log.
func TestStuckStreamBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream, events := &stream{release: make(chan struct{})}, newEvents()
		output := New(stream, events)
		const lines = 3 * bufferLines
		for range lines {
			_, err := output.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		output.Close()
		_, err := NewBounded(stream).Write([]byte("last message"))
		require.ErrorIs(t, err, ErrStuck)
		close(stream.release)
		synctest.Wait()
		require.Positive(t, metrics.EventCount(events, EventLineDropped))
		written := bytes.Count(stream.text.Bytes(), []byte("line\n"))
		require.Equal(t, int64(lines), int64(written)+metrics.EventCount(events, EventLineDropped))
	})
}

func TestBoundedWrites(t *testing.T) {
	stream := &stream{}
	count, err := NewBounded(stream).Write([]byte("message"))
	require.NoError(t, err)
	require.Equal(t, 7, count)
	require.Equal(t, "message", stream.text.String())
}

// Guards against a flood of lines that peers cause, and against a panic of a handler that leaves no trace.
func TestLibraryLines(t *testing.T) {
	var text bytes.Buffer
	events := newEvents()
	counter := &lineCounter{events: events, log: zerolog.New(&text)}
	for _, line := range []string{"Unsolicited response received on idle HTTP channel\n", "http: panic serving 10.0.0.1:80: nil map\ngoroutine 1\n"} {
		count, err := counter.Write([]byte(line))
		require.NoError(t, err)
		require.Len(t, line, count)
	}
	require.Equal(t, int64(2), metrics.EventCount(events, EventLibraryLine))
	require.NotContains(t, text.String(), "Unsolicited")
	require.Contains(t, text.String(), "nil map")
}
