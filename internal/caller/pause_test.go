package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// multiplexedClient speaks HTTP/2 without encryption.
func multiplexedClient(t *testing.T) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against answers that are cut, or lose their end, in a pause of their backend server.
func TestPauseWithinAnAnswerCutsNothing(t *testing.T) {
	cases := []struct {
		name   string
		client *http.Client
		last   string
	}{
		{"before the rest, multiplexed", multiplexedClient(t), "second"},
		{"before the end, multiplexed", multiplexedClient(t), ""},
		{"before the rest", http.DefaultClient, "second"},
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

// shorten makes the longest pause of a caller short.
func shortenMaxStall(t *testing.T) {
	before := fixtureMaxStall
	fixtureMaxStall = clock.Second
	t.Cleanup(func() { fixtureMaxStall = before })
}

// pause lasts for twice as long as a caller may pause.
func pause(request *http.Request) {
	select {
	case <-request.Context().Done():
	case <-time.After((2 * fixtureMaxStall).Duration()):
	}
}

// deadlineWriter is an answer whose connection notes the deadline of its reads.
type deadlineWriter struct {
	*httptest.ResponseRecorder

	deadline time.Time
}

// SetReadDeadline is found by http.ResponseController.
func (deadlineWriter *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	deadlineWriter.deadline = deadline
	return nil
}

// Guards against uploads on a multiplexed connection that are cut while their backend server doesn't read.
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

// readerFunc is a function as a reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (readerFunc readerFunc) Read(buffer []byte) (int, error) {
	return readerFunc(buffer)
}
