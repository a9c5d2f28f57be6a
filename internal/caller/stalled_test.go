package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Guards against requests that end without a response because a read of the streamed body outlasts the deadline.
func TestRequestWithAStalledBodyIsAnsweredInTime(t *testing.T) {
	cases := []struct {
		name    string
		head    string
		timeout clock.Milliseconds
		end     func(*Handler)
		reason  outcome.Reason
	}{
		{"chunked body, instance drains", "Transfer-Encoding: chunked", clock.Minute, func(handler *Handler) { handler.cancelAll(errDraining) }, outcome.ReasonLeaving},
		{"long body, instance drains", "Content-Length: 100000", clock.Minute, func(handler *Handler) { handler.cancelAll(errDraining) }, outcome.ReasonLeaving},
		{"chunked body, deadline exceeded", "Transfer-Encoding: chunked", 300 * clock.Millisecond, func(*Handler) {}, outcome.ReasonDeadline},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			reached := make(chan struct{})
			address := startBackend(t, func(_ http.ResponseWriter, request *http.Request) {
				close(reached)
				_, _ = io.Copy(io.Discard, request.Body)
			})
			fixture := newFixture(t, fixtureService(), address)
			connection, err := net.Dial("tcp", fixture.address)
			require.NoError(t, err)
			t.Cleanup(func() { connection.Close() })
			_, err = fmt.Fprintf(connection, "POST /payments HTTP/1.1\r\nHost: %s\r\n%s: %d\r\n%s\r\n\r\n4\r\nfour\r\n",
				fixtureHost, outcome.HeaderTimeout, int64(testCase.timeout), testCase.head)
			require.NoError(t, err)
			<-reached
			testCase.end(fixture.handler)
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
			require.Equal(t, string(testCase.reason), response.Header.Get(outcome.HeaderReason))
		})
	}
}
