package caller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// longHeadLines is the number of lines of a long head: two such heads take more than longHeadLimits allows.
const longHeadLines = 600

// longLookup returns the text of a lookup with a long head.
func longLookup(path string) string {
	var text strings.Builder
	text.WriteString("GET " + path + " HTTP/1.1\r\nHost: " + fixtureHost + "\r\n")
	for number := range longHeadLines {
		fmt.Fprintf(&text, "p%d:\r\n", number)
	}
	return text.String() + "\r\n"
}

// newHeadFixture starts an instance whose callers' heads may take 300 KiB together.
func newHeadFixture(t *testing.T, gate *gate) *fixture {
	limits := pipelinedLimits()
	limits.MaxHeadMemory = 300 << 10
	return newPipelinedFixture(t, limits, gate.serve)
}

// requireHeadMemoryReturned waits until no head takes memory any more.
func (fixture *fixture) requireHeadMemoryReturned(t *testing.T) {
	require.Eventually(t, func() bool { return fixture.listener.connections.headMemory.Used() == 0 }, maxWait, pollInterval)
}

// requireRefused reads the next response, which states that the request has not run and closes the connection.
func (caller *pipelinedCaller) requireRefused() {
	caller.t.Helper()
	got, err := caller.receive()
	require.NoError(caller.t, err)
	require.Equal(caller.t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(caller.t, got.header.Get("Retry-After"))
	result, reason := outcome.FromHeader(got.header)
	require.Equal(caller.t, outcome.NotRun, result)
	require.Equal(caller.t, outcome.ReasonOverloaded, reason)
	require.True(caller.t, got.closes)
	next, err := caller.receive()
	require.Error(caller.t, err, "nothing follows the response, but %+v", next)
}

// Guards against an instance that runs out of memory because many callers send legal heads of very many short lines.
func TestHeadsBeyondTheMemoryAreRefused(t *testing.T) {
	for _, testCase := range []struct {
		name string
		// before is sent and answered first on the same connection.
		before string
		// head is sent while another long head is held.
		head string
	}{
		{"whole head", "", longLookup("/second")},
		{"head without an end", "", strings.TrimSuffix(longLookup("/second"), "\r\n")},
		{"head without an end on a kept connection", lookup("/short"), strings.TrimSuffix(longLookup("/second"), "\r\n")},
		{
			"head behind a body in chunks", "POST /payments/short HTTP/1.1\r\nHost: " + fixtureHost + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
			strings.TrimSuffix(longLookup("/second"), "\r\n"),
		},
		{"upload", "", strings.Replace(strings.Replace(longLookup("/payments/second"), "GET", "POST", 1), "\r\n", "\r\nContent-Length: 1000000\r\n", 1)},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			gate := newGate("/short", "/payments/short", "/third")
			fixture := newHeadFixture(t, gate)
			first, second, ordinary := fixture.dialPipelined(t), fixture.dialPipelined(t), fixture.dialPipelined(t)
			first.send(longLookup("/first"))
			gate.awaitArrived(t, 1)
			if testCase.before != "" {
				second.send(testCase.before)
				got, err := second.receive()
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, got.status)
			}
			second.send(testCase.head)
			second.requireRefused()
			require.EqualValues(t, 1, fixture.eventCount(EventHeadRefused))
			ordinary.send(lookup("/short"))
			ordinary.requireBody("/short")
			gate.release("/first")
			first.requireBody("/first")
			third := fixture.dialPipelined(t)
			require.Eventually(t, func() bool { return !fixture.listener.connections.headMemory.Scarce() }, maxWait, pollInterval)
			third.send(longLookup("/third"))
			third.requireBody("/third")
			require.NotContains(t, gate.awaitArrived(t, 1), "/second")
			fixture.requireHeadMemoryReturned(t)
		})
	}
}

// Guards against responses that are lost or out of order because a request behind others does not find memory.
func TestRequestsBehindOthersWaitForMemory(t *testing.T) {
	gate := newGate("/1", "/2", "/3", "/4")
	fixture := newHeadFixture(t, gate)
	caller := fixture.dialPipelined(t)
	caller.send(lookup("/first"), longLookup("/1"), longLookup("/2"), lookup("/3"), longLookup("/4"))
	require.Eventually(t, func() bool { return fixture.eventCount(EventPipelineScarce) > 0 }, maxWait, pollInterval)
	gate.release("/first")
	for _, path := range []string{"/first", "/1", "/2", "/3", "/4"} {
		caller.requireBody(path)
	}
	require.Zero(t, fixture.eventCount(EventHeadRefused))
	fixture.requireHeadMemoryReturned(t)
}

// Guards against a refusal that a caller takes for the response to an earlier request of its connection.
func TestRefusalFollowsTheResponsesToEarlierRequests(t *testing.T) {
	gate := newGate("/2")
	fixture := newHeadFixture(t, gate)
	holder, caller := fixture.dialPipelined(t), fixture.dialPipelined(t)
	holder.send(longLookup("/held"))
	gate.awaitArrived(t, 1)
	caller.send(lookup("/1"), lookup("/2"), longLookup("/3"))
	gate.awaitArrived(t, 3)
	gate.release("/1")
	caller.requireBody("/1")
	caller.requireBody("/2")
	caller.requireRefused()
	gate.release("/held")
	holder.requireBody("/held")
	fixture.requireHeadMemoryReturned(t)
}

// Guards against memory that stays counted when callers leave within a head or behind one.
func TestHeadMemoryIsReturnedWhenCallersLeave(t *testing.T) {
	for _, text := range []string{
		strings.TrimSuffix(longLookup("/1"), "\r\n"), longLookup("/1"), lookup("/1") + lookup("/2") + longLookup("/3"),
		lookup("/1") + strings.TrimSuffix(longLookup("/2"), "\r\n"),
	} {
		fixture := newHeadFixture(t, newGate())
		for range 20 {
			caller := fixture.dialPipelined(t)
			caller.send(text)
			require.NoError(t, caller.connection.Close())
		}
		fixture.requireHeadMemoryReturned(t)
	}
}

// Guards against an instance that runs out of memory because of many requests with long heads on one HTTP/2 connection.
func TestMultiplexedHeadsBeyondTheMemoryAreRefused(t *testing.T) {
	gate := newGate()
	fixture := newHeadFixture(t, gate)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	newLong := func(path string) *http.Request {
		request := fixture.newRequest(t, http.MethodGet, path, nil)
		for number := range longHeadLines / 4 {
			request.Header.Set(fmt.Sprintf("p%d", number), "")
		}
		return request
	}
	const held = 6
	for number := range held {
		go func() {
			response, err := transport.RoundTrip(newLong(fmt.Sprintf("/%d", number)))
			if err == nil {
				response.Body.Close()
			}
		}()
	}
	gate.awaitArrived(t, held)
	response, err := transport.RoundTrip(newLong("/refused"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	for number := range held {
		gate.release(fmt.Sprintf("/%d", number))
	}
	fixture.requireHeadMemoryReturned(t)
}

// Guards against HTTP/2 at an instance that does not offer it, where its requests would not be counted.
func TestMultiplexingIsOffered(t *testing.T) {
	limits := pipelinedLimits()
	limits.MaxStreams = 0
	fixture := newPipelinedFixture(t, limits, newGate("/1").serve)
	caller := fixture.dialPipelined(t)
	caller.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	got, err := caller.receive()
	require.NoError(t, err)
	require.GreaterOrEqual(t, got.status, http.StatusBadRequest)
	require.True(t, got.closes)
	ordinary := fixture.dialPipelined(t)
	ordinary.send(lookup("/1"))
	ordinary.requireBody("/1")
}

// Guards against callers that get no connection because others do not finish the heads of their requests.
func TestIncompleteHeadsGiveWay(t *testing.T) {
	fixture := newScarceFixture(t, newGate("/1", "/2"))
	for range 40 {
		incomplete := fixture.dialPipelined(t)
		incomplete.send(strings.TrimSuffix(lookup("/1"), "\r\n"))
	}
	require.Eventually(t, func() bool { return fixture.listener.connections.open.Load() >= 30 }, maxWait, pollInterval)
	var got response
	require.Eventually(t, func() bool {
		caller := fixture.dialPipelined(t)
		caller.send(lookup("/2"))
		received, err := caller.receive()
		got = received
		return err == nil && received.status == http.StatusOK
	}, maxWait/4, pollInterval)
	require.Equal(t, "/2", got.body)
	require.Positive(t, fixture.eventCount(EventConnectionsDisplaced))
}

// Guards against traces that keep a whole request line, or another long part of a request, in memory.
func TestTracesKeepShortTexts(t *testing.T) {
	fixture := newFixture(t, fixtureService(), startBackend(t, func(http.ResponseWriter, *http.Request) {}))
	request := fixture.newRequest(t, strings.Repeat("G", 5000), "/", nil)
	request.Header.Set(outcome.HeaderRequestID, "long-method")
	fixture.send(t, request)
	request = fixture.newRequest(t, http.MethodGet, "/", nil)
	request.Header.Set(outcome.HeaderRequestID, "long-timeout")
	request.Header.Set(outcome.HeaderTimeout, strings.Repeat("9", 5000))
	fixture.send(t, request)
	for _, id := range []trace.RequestID{"long-method", "long-timeout"} {
		found, known := fixture.traces.Find(id)
		require.True(t, known)
		require.LessOrEqual(t, len(found.Method), maxMethodLength)
		require.Less(t, len(found.Error), 1000)
	}
}
