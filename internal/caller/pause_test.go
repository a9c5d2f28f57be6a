package caller

import (
	"io"
	"net/http"
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
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			shorten(t)
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
func shorten(t *testing.T) {
	before := fixtureStall
	fixtureStall = 200 * clock.Millisecond
	t.Cleanup(func() { fixtureStall = before })
}

// pause lasts for several times as long as a caller may pause.
func pause(request *http.Request) {
	select {
	case <-request.Context().Done():
	case <-time.After((4 * fixtureStall).Duration()):
	}
}

// Guards against uploads on a multiplexed connection that are cut while their backend server doesn't read.
func TestPauseWithinAnUploadCutsNoStream(t *testing.T) {
	shorten(t)
	address := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		pause(request)
		count, err := io.Copy(io.Discard, request.Body)
		if err != nil || count != 64<<20 {
			writer.WriteHeader(http.StatusTeapot)
		}
	})
	serviceSettings := fixtureService()
	class := serviceSettings.Classes["pay"]
	class.BodyMost = 128 << 20
	serviceSettings.Classes["pay"] = class
	fixture := newFixture(t, serviceSettings, address)
	request := fixture.newRequest(t, http.MethodPost, "/payments", io.LimitReader(repeating{}, 64<<20))
	response, err := multiplexedClient(t).Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(text))
}

// repeating is a body without end.
type repeating struct{}

// Read implements io.Reader.
func (repeating) Read(buffer []byte) (int, error) {
	return len(buffer), nil
}
