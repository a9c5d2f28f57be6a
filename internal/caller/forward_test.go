package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// runOnceThenCut responds to the first request on each connection, reads the second one completely and closes the connection.
func runOnceThenCut(runs *atomic.Int64) func(net.Conn) {
	return func(connection net.Conn) {
		defer connection.Close()
		reader := bufio.NewReader(connection)
		for number := 0; ; number++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if request.Method == http.MethodPost {
				runs.Add(1)
			}
			if number > 0 {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// Guards against a payment that runs twice: a backend server reads it on a reused connection and dies before it responds. The
// payment must not be sent again, and its outcome is unknown.
func TestPaymentOnDyingConnectionRunsOnce(t *testing.T) {
	cases := []struct{ name, key, body string }{
		{"with a key and a body", "key-1", "amount=20"},
		{"with a key and no body", "key-2", ""},
		{"without a key", "", "amount=20"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var runs atomic.Int64
			fixture := newFixture(t, fixtureService(), startRawBackend(t, runOnceThenCut(&runs)))
			require.Equal(t, http.StatusOK, fixture.send(t, fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody)).status)
			request := fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader(testCase.body))
			if testCase.key != "" {
				request.Header.Set("Idempotency-Key", testCase.key)
			}
			response := fixture.send(t, request)
			require.Equal(t, http.StatusBadGateway, response.status)
			require.Equal(t, outcome.Unknown, response.outcome)
			require.Equal(t, outcome.ReasonCutBeforeAnswer, response.reason)
			require.EqualValues(t, 1, runs.Load())
		})
	}
}

// An idempotent request whose backend server closes the connection without a response is retried on another server, and the
// caller gets a response.
func TestIdempotentRequestGoesElsewhere(t *testing.T) {
	cutting := startRawBackend(t, func(connection net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		connection.Close()
	})
	working := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.Header.Get(outcome.HeaderAttempt))
	})
	fixture := newFixture(t, fixtureService(), cutting, working)
	for range 6 {
		response := fixture.send(t, fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody))
		require.Equal(t, http.StatusOK, response.status)
		require.Equal(t, outcome.Answered, response.outcome)
	}
	require.Positive(t, fixture.registry.View().Classes["rodopa/booking/look"].Retries)
}

// A payment that an overloaded backend server refuses as not run is sent to another server, with its complete body, and runs
// there once.
func TestRefusedPaymentGoesElsewhere(t *testing.T) {
	var runs atomic.Int64
	refusing := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	working := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(writer, request.Body)
	})
	fixture := newFixture(t, fixtureService(), refusing, working)
	for number := range 8 {
		text := "amount=" + strconv.Itoa(number)
		response := fixture.send(t, fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader(text)))
		require.Equal(t, text, response.body)
		require.Equal(t, outcome.Answered, response.outcome)
	}
	require.EqualValues(t, 8, runs.Load())
}

// Guards against a truncated payment: a backend server refuses a streamed payment after it has read a part of it, and only the
// rest could be sent to another server. The request must end as not run instead.
func TestStreamedBodyIsNotSentTwice(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	refusing := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadFull(request.Body, make([]byte, len(part)/2))
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	var truncated atomic.Int64
	working := startBackend(t, func(_ http.ResponseWriter, request *http.Request) {
		if text, err := io.ReadAll(request.Body); err != nil || string(text) != part {
			truncated.Add(1)
		}
	})
	fixture := newFixture(t, fixtureService(), refusing, working)
	outcomes := map[outcome.Outcome]int{}
	for range 10 {
		outcomes[fixture.send(t, fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader(part))).outcome]++
	}
	require.Zero(t, truncated.Load())
	require.Positive(t, outcomes[outcome.NotRun])
	require.Equal(t, 10, outcomes[outcome.NotRun]+outcomes[outcome.Answered])
}

// If every backend server refuses a payment, its outcome is not run and the response has a Retry-After.
func TestAllRefuse(t *testing.T) {
	var asked atomic.Int64
	refuse := func(writer http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	fixture := newFixture(t, fixtureService(), startBackend(t, refuse), startBackend(t, refuse))
	response := fixture.send(t, fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader("x")))
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Equal(t, outcome.NotRun, response.outcome)
	require.Equal(t, outcome.ReasonServerRefused, response.reason)
	require.Equal(t, "1", response.header.Get("Retry-After"))
	require.LessOrEqual(t, asked.Load(), int64(3))
}

// A payment whose backend server refuses the connection has not run, since no byte of it was sent.
func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	fixture := newFixture(t, fixtureService(), address)
	response := fixture.send(t, fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader("x")))
	require.Equal(t, outcome.NotRun, response.outcome)
	require.Equal(t, outcome.ReasonConnect, response.reason)
}

// If a backend server does not respond within the caller's timeout, the request ends with reason deadline, and its outcome is
// unknown.
func TestDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	given := make(chan string, 1)
	silent := startBackend(t, func(_ http.ResponseWriter, request *http.Request) {
		given <- request.Header.Get(outcome.HeaderTimeout)
		<-release
	})
	fixture := newFixture(t, fixtureService(), silent)
	request := fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader("x"))
	request.Header.Set(outcome.HeaderTimeout, "100")
	response := fixture.send(t, request)
	require.Equal(t, http.StatusGatewayTimeout, response.status)
	require.Equal(t, outcome.Unknown, response.outcome)
	require.Equal(t, outcome.ReasonDeadline, response.reason)
	passed, err := strconv.Atoi(<-given)
	require.NoError(t, err)
	require.LessOrEqual(t, passed, 100, "the forwarded timeout must not exceed the caller's")
	require.Positive(t, passed)
}

// If the caller disconnects while its request runs, the request to the backend server is cancelled.
func TestCallerGoes(t *testing.T) {
	arrived := make(chan struct{})
	cancelled := make(chan struct{})
	backend := startBackend(t, func(_ http.ResponseWriter, request *http.Request) {
		close(arrived)
		<-request.Context().Done()
		close(cancelled)
	})
	fixture := newFixture(t, fixtureService(), backend)
	connection, err := net.Dial("tcp", fixture.address)
	require.NoError(t, err)
	_, err = io.WriteString(connection, "GET /slots HTTP/1.1\r\nHost: "+fixtureHost+"\r\nJaywheel-Request-Id: gone\r\n\r\n")
	require.NoError(t, err)
	<-arrived
	connection.Close()
	<-cancelled
}

// Guards against a caller that stops reading a response and so holds a permit of the backend server indefinitely. The request is
// aborted after MaxStall.
func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
	fixtureMaxStall = 50 * clock.Millisecond
	t.Cleanup(func() { fixtureMaxStall = 30 * clock.Second })
	cancelled := make(chan struct{})
	backend := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		defer close(cancelled)
		block := make([]byte, 1<<20)
		for {
			if _, err := writer.Write(block); err != nil {
				return
			}
		}
	})
	fixture := newFixture(t, fixtureService(), backend)
	connection, err := net.Dial("tcp", fixture.address)
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /slots HTTP/1.1\r\nHost: "+fixtureHost+"\r\n\r\n")
	require.NoError(t, err)
	<-cancelled
}

// Guards against retries that multiply in nested calls, which are up to nine levels deep: a request that is already a retry is
// not retried.
func TestRetryIsNotRetried(t *testing.T) {
	var asked atomic.Int64
	cutting := startRawBackend(t, func(connection net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		asked.Add(1)
		connection.Close()
	})
	fixture := newFixture(t, fixtureService(), cutting, cutting)
	request := fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody)
	request.Header.Set(outcome.HeaderAttempt, "1")
	response := fixture.send(t, request)
	require.Equal(t, outcome.Unknown, response.outcome)
	require.EqualValues(t, 1, asked.Load())
}

// The trace of a request contains each attempt: here one that was cut off and one that another server answered.
func TestRequestTrace(t *testing.T) {
	cutting := startRawBackend(t, func(connection net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		connection.Close()
	})
	working := startBackend(t, func(http.ResponseWriter, *http.Request) {})
	fixture := newFixture(t, fixtureService(), cutting, working)
	for number := range 10 {
		id := "story-" + strconv.Itoa(number)
		request := fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody)
		request.Header.Set(outcome.HeaderRequestID, id)
		require.Equal(t, id, fixture.send(t, request).header.Get(outcome.HeaderRequestID))
		requestTrace, found := fixture.traces.Find(trace.RequestID(id))
		require.True(t, found)
		last := requestTrace.Attempts[len(requestTrace.Attempts)-1]
		require.Equal(t, trace.ResultAnswered, last.Result)
		require.EqualValues(t, working, last.Target)
		if len(requestTrace.Attempts) == 2 {
			require.Equal(t, trace.ResultNoResponse, requestTrace.Attempts[0].Result)
			require.EqualValues(t, cutting, requestTrace.Attempts[0].Target)
			require.Equal(t, 2, requestTrace.Attempts[0].Considered)
			return
		}
	}
	t.Fatal("no first attempt went to the server that cuts connections")
}

// Guards against a caller who is refused because one backend server has ended, while another could serve the request: nothing has arrived
// at a server that refuses the connection, so the retry budget does not apply.
func TestRefusedConnectionIsRetriedWithoutBudget(t *testing.T) {
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ended.Close())
	sound := startBackend(t, func(http.ResponseWriter, *http.Request) {})
	fixture := newFixture(t, fixtureService(), ended.Addr().String(), sound)
	for fixture.table.Services()[0].Budget.TryWithdraw(service.Retry{}) {
		continue
	}
	for range 20 {
		require.Equal(t, http.StatusOK, fixture.send(t, fixture.newRequest(t, "GET", "/slots", http.NoBody)).status)
		require.Equal(t, http.StatusOK, fixture.send(t, fixture.newRequest(t, "POST", "/payments/1", http.NoBody)).status)
	}
}
