package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// fault is how a backend server handles one request. cut is the number of bytes after which the connection is closed.
type fault struct {
	kind string
	cut  int
}

// Kinds of faults.
const (
	faultNone         = "none"
	faultCloseAtOnce  = "closed before the request was read"
	faultCutRequest   = "closed within the request"
	faultCutAfterRun  = "closed after the request ran"
	faultCutResponse  = "closed within the response"
	faultRefuse       = "refused as not run"
	faultSilent       = "no response after the request ran"
	faultCloseBetween = "closed after a complete response"
)

const fullResponse = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"

// faultyServers are backend servers that share a list of faults and count runs by Idempotency-Key.
type faultyServers struct {
	mutex  sync.Mutex
	faults []fault
	runs   map[string]int
}

func (faultyServers *faultyServers) nextFault() fault {
	faultyServers.mutex.Lock()
	defer faultyServers.mutex.Unlock()
	if len(faultyServers.faults) == 0 {
		return fault{kind: faultNone}
	}
	first := faultyServers.faults[0]
	faultyServers.faults = faultyServers.faults[1:]
	return first
}

func (faultyServers *faultyServers) set(faults []fault) {
	faultyServers.mutex.Lock()
	defer faultyServers.mutex.Unlock()
	faultyServers.faults = faults
	faultyServers.runs = map[string]int{}
}

func (faultyServers *faultyServers) countRun(key string) {
	faultyServers.mutex.Lock()
	defer faultyServers.mutex.Unlock()
	faultyServers.runs[key]++
}

func (faultyServers *faultyServers) runsOf(key string) int {
	faultyServers.mutex.Lock()
	defer faultyServers.mutex.Unlock()
	return faultyServers.runs[key]
}

// handleConnection serves one connection.
func (faultyServers *faultyServers) handleConnection(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		fault := faultyServers.nextFault()
		if !faultyServers.handleRequest(connection, reader, fault) {
			return
		}
	}
}

// handleRequest handles one request and reports whether the connection stays open.
func (faultyServers *faultyServers) handleRequest(connection net.Conn, reader *bufio.Reader, fault fault) bool {
	switch fault.kind {
	case faultCloseAtOnce:
		return false
	case faultCutRequest:
		_, _ = io.CopyN(io.Discard, reader, int64(fault.cut))
		return false
	}
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if fault.kind == faultRefuse {
		_, _ = io.WriteString(connection, "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	faultyServers.countRun(request.Header.Get("Idempotency-Key"))
	switch fault.kind {
	case faultCutAfterRun:
		return false
	case faultSilent:
		_, _ = reader.Peek(1)
		return false
	case faultCutResponse:
		_, _ = io.WriteString(connection, fullResponse[:fault.cut%len(fullResponse)])
		return false
	}
	_, _ = io.WriteString(connection, fullResponse)
	return fault.kind != faultCloseBetween
}

// Backend servers fail at any byte and step of an exchange, in any order, for payments and idempotent requests. No payment may run
// twice, no request whose outcome is not run may have run, every response that ends cleanly is complete, and every request ends.
func TestAtMostOnceUnderFaults(t *testing.T) {
	servers := &faultyServers{runs: map[string]int{}}
	serviceSettings := fixtureService()
	serviceSettings.Retry.BudgetShare = 1
	serviceSettings.Queue.Wait = 5 * clock.Second
	fixture := newFixture(t, serviceSettings,
		startRawBackend(t, servers.handleConnection), startRawBackend(t, servers.handleConnection), startRawBackend(t, servers.handleConnection))
	kinds := []string{
		faultNone, faultNone, faultNone, faultCloseAtOnce, faultCutRequest, faultCutAfterRun, faultCutResponse, faultRefuse, faultCloseBetween, faultSilent,
	}
	number := 0
	rapid.Check(t, func(rapidT *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(rapidT *rapid.T) fault {
			return fault{kind: rapid.SampledFrom(kinds).Draw(rapidT, "kind"), cut: rapid.IntRange(1, 400).Draw(rapidT, "cut")}
		}), 0, 12).Draw(rapidT, "faults")
		servers.set(faults)
		for range 6 {
			number++
			key := fmt.Sprintf("key-%d", number)
			payment := rapid.Bool().Draw(rapidT, "payment")
			request := fixture.newRequest(t, http.MethodGet, "/slots", http.NoBody)
			if payment {
				body := strings.Repeat("x", rapid.SampledFrom([]int{0, 20, 40000}).Draw(rapidT, "body"))
				request = fixture.newRequest(t, http.MethodPost, "/payments", strings.NewReader(body))
			}
			request.Header.Set("Idempotency-Key", key)
			request.Header.Set(outcome.HeaderTimeout, "60")
			got, err := sendWhole(request)
			checkAtMostOnce(rapidT, payment, got, err, servers.runsOf(key))
		}
	})
}

// checkAtMostOnce compares the caller's response with the number of runs.
func checkAtMostOnce(t *rapid.T, payment bool, got response, err error, runs int) {
	if payment {
		require.LessOrEqual(t, runs, 1, "a payment ran twice")
	}
	if err != nil {
		// The caller's connection was aborted, so the outcome is unknown to the caller.
		return
	}
	switch got.outcome {
	case outcome.Answered:
		require.Equal(t, "0123456789", got.body)
		require.Positive(t, runs)
	case outcome.NotRun:
		require.Zero(t, runs, "%s", got.reason)
	case outcome.Unknown:
	}
}
