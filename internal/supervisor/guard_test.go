package supervisor

import (
	"bytes"
	"encoding/json"
	"expvar"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// guardLine holds the fields of a log line on a panic.
type guardLine struct {
	Level      string `json:"level"`
	Component  string `json:"component"`
	Event      string `json:"event"`
	Stack      string `json:"stack"`
	Suppressed int    `json:"suppressed"`
}

// Guards against a panic that ends the process, or that nobody can find afterwards.
func TestGuardRecoversPanics(t *testing.T) {
	cases := []struct {
		name  string
		fail  func()
		event string
	}{
		{"value", func() { panic("on purpose") }, "panic in part: on purpose"},
		{"error", func() { panic(errors.New("on purpose")) }, "panic in part: on purpose"},
		{"runtime error", func() { _ = []int{}[len(os.Args)] }, "panic in part: runtime error: index out of range [" + strconv.Itoa(len(os.Args)) + "] with length 0"},
		{"long value", func() { panic(strings.Repeat("x", 1<<20)) }, "panic in part: " + strings.Repeat("x", maxPanicValueBytes)},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var log bytes.Buffer
			events := (&expvar.Map{}).Init()
			guard := NewGuard(Options{Log: zerolog.New(&log), Events: events})
			err := guard.Run("part", testCase.fail)
			var panicError *PanicError
			require.ErrorAs(t, err, &panicError)
			require.Equal(t, testCase.event, panicError.Error())
			require.Equal(t, "1", events.Get(EventPanic).String())
			var line guardLine
			require.NoError(t, json.Unmarshal(log.Bytes(), &line))
			require.Equal(t, "error", line.Level)
			require.Equal(t, "part", line.Component)
			require.Equal(t, testCase.event, line.Event)
			require.Contains(t, line.Stack, "guard_test.go")
		})
	}
}

// Guards against a goroutine of a component whose panic ends the process.
func TestGuardRecoversGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := (&expvar.Map{}).Init()
		guard := NewGuard(Options{Log: zerolog.Nop(), Events: events})
		guard.Go("goroutine", func() { panic("on purpose") })
		time.AfterFunc(time.Second, guard.Func("timer", func() { panic("on purpose") }))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, "2", events.Get(EventPanic).String())
	})
}

// Guards against a panic in every request that floods the log.
func TestGuardLimitsLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		events := (&expvar.Map{}).Init()
		guard := NewGuard(Options{Log: zerolog.New(&log), Events: events})
		for range 1000 {
			require.Error(t, guard.Run("first", func() { panic("on purpose") }))
		}
		require.Error(t, guard.Run("second", func() { panic("on purpose") }))
		time.Sleep(panicLogInterval.Duration())
		require.Error(t, guard.Run("first", func() { panic("on purpose") }))
		require.Equal(t, "1002", events.Get(EventPanic).String())
		var lines []guardLine
		for text := range strings.Lines(log.String()) {
			var line guardLine
			require.NoError(t, json.Unmarshal([]byte(text), &line))
			lines = append(lines, line)
		}
		require.Len(t, lines, 3)
		require.Equal(t, "second", lines[1].Component)
		require.Equal(t, 999, lines[2].Suppressed)
	})
}

// Guards against a test that passes although the code under test panics.
func TestNilGuardLetsPanicsPass(t *testing.T) {
	var guard *Guard
	require.NoError(t, guard.Run("part", func() {}))
	require.PanicsWithValue(t, "on purpose", func() { guard.run("part", func() { panic("on purpose") }) })
}

// failingWriter is the writer of a log that panics.
type failingWriter struct{}

// Write implements io.Writer.
func (failingWriter) Write([]byte) (int, error) {
	panic("on purpose")
}

// Guards against a log whose writer panics, with which each recovered panic would be followed by another one.
func TestPanicOfTheLogIsDropped(t *testing.T) {
	events := (&expvar.Map{}).Init()
	guard := NewGuard(Options{Log: zerolog.New(failingWriter{}), Events: events})
	require.Error(t, guard.Run("part", func() { panic("on purpose") }))
	require.Equal(t, "1", events.Get(EventPanic).String())
}
