package caller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// newScarceFixture starts an instance that may have 30 connections open, and two more on which it refuses requests.
func newScarceFixture(t *testing.T, gate *gate) *fixture {
	limits := pipelinedLimits()
	limits.MaxConnections = 32
	return newPipelinedFixture(t, limits, gate.serve)
}

// Guards against callers that wait unaccepted, because others keep connections open that they do not use.
func TestIdleConnectionsAreClosedForNewCallers(t *testing.T) {
	const count = 100
	open := make([]string, 0, count)
	for number := range count {
		open = append(open, fmt.Sprintf("/%d", number))
	}
	fixture := newScarceFixture(t, newGate(open...))
	var callers []*pipelinedCaller
	for _, path := range open {
		caller := fixture.dialPipelined(t)
		caller.send(lookup(path))
		caller.requireBody(path)
		callers = append(callers, caller)
	}
	require.Zero(t, fixture.eventCount(EventConnectionsRefused)+fixture.eventCount(EventConnectionsDropped))
	require.LessOrEqual(t, fixture.listener.connections.open.Load(), int64(32))
	_, err := callers[0].receive()
	require.Error(t, err, "the connection that has been idle for the longest time is closed")
	callers[count-1].send(lookup("/0"))
	callers[count-1].requireBody("/0")
}

// Guards against requests that wait until their callers give up at an instance whose connections are all in use, while others stand by.
func TestRequestsBeyondTheConnectionLimitAreRefusedAtOnce(t *testing.T) {
	gate := newGate("/later")
	fixture := newScarceFixture(t, gate)
	// Two requests run on each of the four backend servers, and the others wait for them.
	var busy []*pipelinedCaller
	for number := range 30 {
		caller := fixture.dialPipelined(t)
		caller.send(lookup(fmt.Sprintf("/%d", number)))
		busy = append(busy, caller)
	}
	require.Eventually(t, func() bool { return fixture.handler.InFlight() == 30 }, maxWait, pollInterval)
	require.Equal(t, ConnectionUse{Open: 30, Active: 30, Limit: 30}, fixture.listener.connections.Use())
	refused := fixture.dialPipelined(t)
	refused.send(lookup("/31"))
	got, err := refused.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	result, reason := outcome.FromHeader(got.header)
	require.Equal(t, outcome.NotRun, result)
	require.Equal(t, outcome.ReasonConnections, reason)
	require.True(t, got.closes)
	require.EqualValues(t, 1, fixture.listener.connections.Use().Refused)
	require.Eventually(t, func() bool { return fixture.listener.connections.open.Load() == 30 }, maxWait, pollInterval)
	// Not even refusals have room behind these, so that the connection is closed.
	for range 2 {
		fixture.dialPipelined(t)
	}
	require.Eventually(t, func() bool { return fixture.listener.connections.open.Load() == 32 }, maxWait, pollInterval)
	dropped := fixture.dialPipelined(t)
	_, err = dropped.receive()
	require.Error(t, err)
	require.EqualValues(t, 1, fixture.eventCount(EventConnectionsDropped))
	require.NoError(t, busy[0].connection.Close())
	require.NoError(t, busy[1].connection.Close())
	require.NoError(t, busy[2].connection.Close())
	require.Eventually(t, func() bool { return fixture.listener.connections.open.Load() < 30 }, maxWait, pollInterval)
	later := fixture.dialPipelined(t)
	later.send(lookup("/later"))
	for number := 3; number < 30; number++ {
		gate.release(fmt.Sprintf("/%d", number))
	}
	later.requireBody("/later")
}

// Guards against closing connections that callers use more than others, or new ones whose requests are on their way.
func TestLongestIdle(t *testing.T) {
	start := time.Unix(1000, 0)
	connections := NewConnections(settings.Callers{MaxConnections: 10}, &metrics.NewRegistry().Events)
	newConnection := func(state http.ConnState, after time.Duration) *guardedConnection {
		return &guardedConnection{connections: connections, state: state, since: start.Add(after)}
	}
	cases := []struct {
		name       string
		connection *guardedConnection
		idle       bool
	}{
		{"idle", newConnection(http.StateIdle, 0), true},
		{"in use", newConnection(http.StateActive, 0), false},
		{"accepted long ago, without a request", newConnection(http.StateNew, 0), true},
		{"accepted just now", newConnection(http.StateNew, 1900*time.Millisecond), false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			since, idle := testCase.connection.idleSince(start.Add(2 * time.Second))
			require.Equal(t, testCase.idle, idle)
			require.Equal(t, idle, since.Equal(start) && idle)
		})
	}
	first, second, third := newConnection(http.StateIdle, 1), newConnection(http.StateIdle, 2), newConnection(http.StateIdle, 3)
	sorted := longestIdle([]idleConnection{{third, third.since}, {first, first.since}, {second, second.since}}, 2)
	require.Equal(t, []idleConnection{{first, first.since}, {second, second.since}}, sorted)
}
