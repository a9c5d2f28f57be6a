package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// multiplexedClient returns a client for unencrypted HTTP/2.
func multiplexedClient(t *testing.T) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against responses that are cut off or lose their end because their backend server pauses for longer than MaxStall.
func TestPauseWithinAnAnswerCutsNothing(t *testing.T) {
	cases := []struct {
		name   string
		client *http.Client
		last   string
	}{
		{"before the last part, HTTP/2", multiplexedClient(t), "second"},
		{"before the end, HTTP/2", multiplexedClient(t), ""},
		{"before the last part", http.DefaultClient, "second"},
		{"before the end", http.DefaultClient, ""},
	}
	shortenMaxStall(t)
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			address := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
				_, _ = io.WriteString(writer, "first,")
				_ = http.NewResponseController(writer).Flush()
				pause(request)
				_, _ = io.WriteString(writer, testCase.last)
			})
			fixture := newFixture(t, fixtureService(), address)
			response, err := testCase.client.Do(fixture.newRequest(t, http.MethodGet, "/slots", nil))
			require.NoError(t, err)
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "first,"+testCase.last, string(text))
		})
	}
}

// Guards against a data race between the HTTP/2 server, which reports a connection as idle after a stream, and the goroutine that
// reads the next frames. The race detector reports it.
func TestMultiplexedConnectionIsReadWhileItsStateChanges(t *testing.T) {
	address := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "whole") })
	fixture := newFixture(t, fixtureService(), address)
	client := multiplexedClient(t)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 50 {
				response, err := client.Do(fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody))
				if err != nil {
					t.Errorf("request over HTTP/2: %v", err)
					return
				}
				text, err := io.ReadAll(response.Body)
				assert.NoError(t, err)
				assert.NoError(t, response.Body.Close())
				assert.Equal(t, "whole", string(text))
			}
		})
	}
	group.Wait()
}

// shortenMaxStall shortens the MaxStall of fixtures for the test.
func shortenMaxStall(t *testing.T) {
	before := fixtureMaxStall
	fixtureMaxStall = clock.Second
	t.Cleanup(func() { fixtureMaxStall = before })
}

// pause waits for twice MaxStall, or until the request is cancelled.
func pause(request *http.Request) {
	select {
	case <-request.Context().Done():
	case <-time.After((2 * fixtureMaxStall).Duration()):
	}
}

// deadlineWriter is a response writer that records the read deadline of its connection.
type deadlineWriter struct {
	*httptest.ResponseRecorder

	deadline time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (deadlineWriter *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	deadlineWriter.deadline = deadline
	return nil
}

// Guards against uploads over HTTP/2 that are cut off while their backend server does not read: a read deadline must be cleared
// after the read.
func TestNoDeadlineOutlastsARead(t *testing.T) {
	writer := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	var during time.Time
	reader := readerFunc(func(buffer []byte) (int, error) {
		during = writer.deadline
		return len(buffer), nil
	})
	stream := &callerBody{reader: reader, controller: http.NewResponseController(writer), maxStall: clock.Minute}
	count, err := stream.Read(make([]byte, 8))
	require.NoError(t, err)
	require.Equal(t, 8, count)
	require.False(t, during.IsZero())
	require.Zero(t, writer.deadline)
}

// readerFunc adapts a function to io.Reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (readerFunc readerFunc) Read(buffer []byte) (int, error) {
	return readerFunc(buffer)
}
