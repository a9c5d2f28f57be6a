package caller

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Guards against an overloaded instance that keeps requests until their callers' deadlines although it cannot answer them in time.
func TestOverloadedInstanceRefusesWhatItCannotAnswerInTime(t *testing.T) {
	cases := []struct {
		name              string
		lateness, timeout clock.Milliseconds
		status            int
	}{
		{"not overloaded", 0, clock.Second, http.StatusOK},
		{"waits are short", 130 * clock.Millisecond, clock.Second, http.StatusOK},
		{"waits exceed the timeout", 300 * clock.Millisecond, clock.Second, http.StatusServiceUnavailable},
		{"the caller has time", 300 * clock.Millisecond, 20 * clock.Second, http.StatusOK},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var timeoutReceived atomic.Int64
			address := startBackend(t, func(_ http.ResponseWriter, request *http.Request) {
				received, err := strconv.ParseInt(request.Header.Get(outcome.HeaderTimeout), 10, 64)
				if err == nil {
					timeoutReceived.Store(received)
				}
			})
			fixture := newFixture(t, fixtureService(), address)
			fixture.handler.options.Lateness = func() clock.Milliseconds { return testCase.lateness }
			request := fixture.newRequest(t, http.MethodGet, "/look/1", nil)
			request.Header.Set(outcome.HeaderTimeout, strconv.Itoa(int(testCase.timeout)))
			got := fixture.send(t, request)
			require.Equal(t, testCase.status, got.status)
			if testCase.status == http.StatusOK {
				require.LessOrEqual(t, timeoutReceived.Load(), int64(testCase.timeout-testCase.lateness), "the server gets no more time than is left")
				return
			}
			require.Equal(t, outcome.NotRun, got.outcome)
			require.Equal(t, outcome.ReasonOverloaded, got.reason)
			require.NotEmpty(t, got.header.Get("Retry-After"))
			require.Zero(t, timeoutReceived.Load())
		})
	}
}
