package caller

import (
	"expvar"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jaywheel/jaywheel/internal/headmemory"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Events of callers' connections that exceed what the instance can keep open.
const (
	// EventConnectionsClosedIdle counts idle connections that were closed because few more could be opened.
	EventConnectionsClosedIdle = "caller.connectionsClosedIdle"
	// EventConnectionsDisplaced counts connections that were closed because the rest of a request's head did not arrive while others waited
	// for a connection.
	EventConnectionsDisplaced = "caller.connectionsDisplaced"
	// EventConnectionsRefused counts requests that were refused because too many connections were open.
	EventConnectionsRefused = "caller.connectionsRefused"
	// EventConnectionsDropped counts connections that were closed at once because too many were open even for refusing a request.
	EventConnectionsDropped = "caller.connectionsDropped"
)

// reservedConnectionShare is the share of the connections that is kept for new callers: idle connections are closed to keep it free, and
// when that does not suffice, requests on it are refused.
const reservedConnectionShare = 1.0 / 16

// maxFullTime is how long all connections may be in use before requests on further ones are refused. Until then new callers wait to be
// accepted, so that a short burst is served.
const maxFullTime = 100 * clock.Millisecond

// headPatience is how long the head of a request may take to arrive while others wait for a connection.
const headPatience = clock.Second

// searchInterval is the shortest time between two searches for connections to close while all are in use.
const searchInterval = 50 * clock.Millisecond

// Connections counts the connections of an instance's callers against their limit. It is safe for concurrent use.
type Connections struct {
	// Guard recovers panics on goroutines of the HTTP server that read, write and close the connections; nil lets them pass. It must be set
	// before the first use.
	Guard *supervisor.Guard

	limit, reserve        int64
	open, active, refused atomic.Int64
	// headMemory is the memory that the heads of requests may take together.
	headMemory *headmemory.Budget
	events     *expvar.Map
	// released is signalled when a connection ends.
	released chan struct{}
}

// NewConnections returns a count of connections of which at most limits.MaxConnections may be open.
func NewConnections(limits settings.Callers, events *expvar.Map) *Connections {
	reserve := int64(reservedConnectionShare * float64(limits.MaxConnections))
	return &Connections{
		limit: int64(limits.MaxConnections) - reserve, reserve: max(reserve, 1), events: events, released: make(chan struct{}, 1),
		headMemory: headmemory.NewBudget(limits.MaxHeadMemory),
	}
}

// ConnectionUse is how many connections of callers are open.
type ConnectionUse struct {
	// Open is the number of open connections, Active the number of those on which a request is being handled.
	Open, Active int
	// Limit is the number of connections that may be open before requests are refused.
	Limit int
	// Refused is the number of requests refused and connections closed at once since the start, because too many were open.
	Refused int64
}

// Use returns how many connections are open.
func (connections *Connections) Use() ConnectionUse {
	return ConnectionUse{
		Open: int(connections.open.Load()), Active: int(connections.active.Load()), Limit: int(connections.limit),
		Refused: connections.refused.Load(),
	}
}

// admit counts a new connection. It reports false, and does not count it, if not even a refusal can be sent on it.
func (connections *Connections) admit() bool {
	if connections.open.Add(1) <= connections.limit+connections.reserve {
		return true
	}
	connections.open.Add(-1)
	connections.countRefused(EventConnectionsDropped)
	return false
}

// countRefused counts a refused request or connection.
func (connections *Connections) countRefused(event string) {
	connections.refused.Add(1)
	connections.events.Add(event, 1)
}

// release counts the end of a connection.
func (connections *Connections) release() {
	connections.open.Add(-1)
	select {
	case connections.released <- struct{}{}:
	default:
	}
}

// full reports whether all connections that may be open are open.
func (connections *Connections) full() bool {
	return connections.open.Load() >= connections.limit
}

// overLimit reports whether more connections are open than may be, so that requests on further ones are refused.
func (connections *Connections) overLimit() bool {
	return connections.open.Load() > connections.limit
}

// scarce reports whether the connections kept for new callers are in use, so that idle ones have to be closed.
func (connections *Connections) scarce() bool {
	return connections.open.Load() > connections.limit-connections.reserve
}

// idleConnection is a connection that waits for a request.
type idleConnection struct {
	connection *guardedConnection
	since      time.Time
}

// longestIdle returns the count connections that have been idle for the longest time.
func longestIdle(idle []idleConnection, count int) []idleConnection {
	slices.SortFunc(idle, func(left, right idleConnection) int { return left.since.Compare(right.since) })
	return idle[:min(count, len(idle))]
}

// awaitConnection waits until another connection may be opened, or all have been in use for maxFullTime, or the listener is closed.
func (listener *Listener) awaitConnection() {
	if !listener.connections.full() {
		listener.fullSince = time.Time{}
		return
	}
	if listener.fullSince.IsZero() {
		listener.fullSince = time.Now()
	}
	timer := time.NewTimer(time.Until(listener.fullSince.Add(maxFullTime.Duration())))
	defer timer.Stop()
	for listener.connections.full() {
		select {
		case <-listener.connections.released:
		case <-timer.C:
			return
		case <-listener.closed:
			return
		}
	}
	listener.fullSince = time.Time{}
}

// closeLongestIdle closes the connections that have been idle, or have waited for the rest of a head, for the longest time, if connections
// are scarce.
func (listener *Listener) closeLongestIdle() {
	if !listener.connections.scarce() {
		return
	}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	// All connections are searched, so that this is done only once for several new ones.
	listener.acceptedScarce++
	now := time.Now()
	full := listener.connections.full() && now.Sub(listener.searched) >= searchInterval.Duration()
	if listener.acceptedScarce < listener.connections.reserve/2 && !full {
		return
	}
	listener.acceptedScarce, listener.searched = 0, now
	var idle []idleConnection
	for guarded := range listener.open {
		if since, isIdle := guarded.idleSince(now); isIdle {
			idle = append(idle, idleConnection{connection: guarded, since: since})
		}
	}
	closed := longestIdle(idle, int(listener.connections.reserve))
	displaced := 0
	for _, entry := range closed {
		entry.connection.closeWhenIdle(true)
		if entry.connection.displace(now) {
			displaced++
		}
	}
	listener.connections.events.Add(EventConnectionsClosedIdle, int64(len(closed)-displaced))
	listener.connections.events.Add(EventConnectionsDisplaced, int64(displaced))
}

// displace closes the connection if it has been waiting for the rest of a request's head for headPatience, and reports whether it has. It is
// not answered: the rest may arrive at this moment, and another goroutine would answer the request then.
func (guardedConnection *guardedConnection) displace(now time.Time) bool {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.state == http.StateActive || !guardedConnection.unhandledBytes.Load() || guardedConnection.multiplexed.Load() ||
		now.Sub(time.Unix(0, guardedConnection.headSince.Load())) <= headPatience.Duration() {
		return false
	}
	guardedConnection.displaced = true
	// An error means that the connection is closed already.
	_ = guardedConnection.TCPConn.SetReadDeadline(pastDeadline)
	return true
}

// exceedsLimit reports whether the connection was accepted beyond the limit and no other one has been closed since.
func (guardedConnection *guardedConnection) exceedsLimit() bool {
	if !guardedConnection.beyondLimit {
		return false
	}
	guardedConnection.beyondLimit = guardedConnection.connections.overLimit()
	return guardedConnection.beyondLimit
}

// changeState sets the state and counts the connection as active or idle. The mutex must be held.
func (guardedConnection *guardedConnection) changeState(state http.ConnState) {
	wasActive := guardedConnection.state == http.StateActive
	guardedConnection.state = state
	switch {
	case state == http.StateActive && !wasActive:
		guardedConnection.connections.active.Add(1)
	case state != http.StateActive && wasActive:
		guardedConnection.connections.active.Add(-1)
	}
	if state == http.StateIdle {
		guardedConnection.since = time.Now()
	}
}

// idleSince returns since when the connection has been waiting for a request, and whether it may be closed for that. A new connection may
// not be closed before its caller has had time to send a request.
func (guardedConnection *guardedConnection) idleSince(now time.Time) (time.Time, bool) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	switch {
	case guardedConnection.closing || guardedConnection.pipeline != nil && !guardedConnection.pipeline.idle():
		return time.Time{}, false
	case guardedConnection.state == http.StateIdle:
		return guardedConnection.since, true
	default:
		return guardedConnection.since, guardedConnection.state == http.StateNew && now.Sub(guardedConnection.since) > newConnectionTimeout.Duration()
	}
}
