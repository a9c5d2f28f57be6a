package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against uploads, with a length or chunked, whose bytes are not counted: the scheduler would treat them as empty and send
// them across data centres as if they were lookups.
func TestBodyLengthIsCounted(t *testing.T) {
	cases := []struct {
		name   string
		length int
		chunks bool
	}{
		{"none", 0, false},
		{"small", 400, false},
		{"small, chunked", 400, true},
		{"large", 60_000, false},
		{"large, chunked", 60_000, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var reader io.Reader = strings.NewReader(strings.Repeat("x", testCase.length))
			request := httptest.NewRequest(http.MethodPost, "/payments", reader)
			if testCase.chunks {
				request.ContentLength = -1
			}
			writer := httptest.NewRecorder()
			call := &call{
				request: request, writer: writer, controller: http.NewResponseController(writer),
				handler: NewHandler(Options{MaxStall: clock.Minute, Clock: clock.New()}),
				route:   routing.Route{Class: &routing.Class{Settings: settings.Class{MaxBodySize: 1 << 20}}},
			}
			call.deadline = call.now().Add(clock.Minute)
			require.Nil(t, call.body.prepare(call))
			body, _ := call.body.reader(request.ContentLength)
			_, err := io.Copy(io.Discard, body)
			require.NoError(t, err)
			require.Equal(t, testCase.length, call.body.bytesRead())
		})
	}
}

// Batches are buffered so that one that a server refused as not run can be sent to another server; a streamed one would have to
// be sent again by its caller. Guards against many batches that exhaust the instance's memory: the total length of buffered
// bodies is bounded, and bodies beyond the bound are streamed.
func TestBatchesAreHeldWithinBounds(t *testing.T) {
	const length = 300 << 10
	dialect := NewDialect()
	dialect.MaxReplayBodyBytes = 512 << 10
	handler := NewHandler(Options{MaxStall: clock.Minute, Clock: clock.New(), Dialect: dialect})
	upload := func(length int) *call {
		writer := httptest.NewRecorder()
		call := &call{
			request: httptest.NewRequest(http.MethodPost, "/sheets", strings.NewReader(strings.Repeat("x", length))),
			writer:  writer, controller: http.NewResponseController(writer), handler: handler,
			route: routing.Route{Class: &routing.Class{Settings: settings.Class{MaxBodySize: 64 << 20}}},
		}
		call.deadline = call.now().Add(clock.Minute)
		require.Nil(t, call.body.prepare(call))
		return call
	}
	require.False(t, upload(600<<10).body.replayable() && upload(600<<10).body.stream == nil, "a body longer than the dialect's limit is streamed")
	var buffered []*call
	for range maxBufferedBodyBytes / length {
		call := upload(length)
		require.True(t, call.body.replayable())
		require.Nil(t, call.body.stream)
		buffered = append(buffered, call)
	}
	require.NotNil(t, upload(length).body.stream, "a body beyond the total limit is streamed")
	require.Nil(t, upload(1<<10).body.stream, "a small body is always buffered")
	for _, call := range buffered {
		call.body.finish()
	}
	require.Zero(t, handler.bufferedBodies.used.Load())
	require.Nil(t, upload(length).body.stream)
}
