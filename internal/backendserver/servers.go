package backendserver

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// expectContinueTimeout is how long a request body is held back for a "100 Continue".
const expectContinueTimeout = clock.Second

// Servers holds the connections to every backend server. It is safe for concurrent use.
type Servers struct {
	clock     *clock.Clock
	connector *connector
	pools     sync.Map // settings.TargetName to *pool
}

// NewServers returns an empty set.
func NewServers(clock *clock.Clock) *Servers {
	return &Servers{clock: clock, connector: newConnector(clock)}
}

// Set makes a backend server known or changes its options.
func (servers *Servers) Set(target settings.TargetName, options Options) {
	if found, known := servers.pools.Load(target); known {
		found.(*pool).setOptions(options) //nolint:forcetypeassert // The map holds nothing else.
		return
	}
	servers.pools.Store(target, &pool{
		target:  target,
		clock:   servers.clock,
		dial:    servers.connector.connect,
		options: options,
	})
}

// Remove forgets a backend server. Exchanges under way go on.
func (servers *Servers) Remove(target settings.TargetName) {
	if found, known := servers.pools.LoadAndDelete(target); known {
		found.(*pool).close() //nolint:forcetypeassert // The map holds nothing else.
	}
}

// CloseIdle closes connections that are dead or unused for too long.
func (servers *Servers) CloseIdle() {
	servers.each((*pool).closeIdle)
}

// Close closes every idle connection and forgets every backend server.
func (servers *Servers) Close() {
	servers.each((*pool).close)
	servers.pools.Clear()
}

// OpenConnections returns the number of connections open to a backend server.
func (servers *Servers) OpenConnections(target settings.TargetName) int {
	found, known := servers.pools.Load(target)
	if !known {
		return 0
	}
	return found.(*pool).openCount() //nolint:forcetypeassert // The map holds nothing else.
}

func (servers *Servers) each(action func(*pool)) {
	servers.pools.Range(func(_, found any) bool {
		action(found.(*pool)) //nolint:forcetypeassert // The map holds nothing else.
		return true
	})
}

// Exchange is one request and its answer on one connection. Close must be called once the answer has been read.
type Exchange struct {
	// Response is the answer; its Body is to be read to the end or else the connection is closed.
	Response *http.Response
	// Reused tells whether the connection had carried a request before.
	Reused bool

	pool       *pool
	connection *connection
	whole      bool
	closed     bool
}

// Send writes the request on a connection to target, once, and returns when the answer's header has arrived. With
// freshOnly only a new connection, or one that has just shown life, is used. The error is an *Error.
func (servers *Servers) Send(ctx context.Context, target settings.TargetName, request *http.Request, freshOnly bool) (*Exchange, error) {
	found, known := servers.pools.Load(target)
	if !known {
		return nil, &Error{Step: StepConnect, Target: target, Cause: ErrUnknownTarget}
	}
	pool := found.(*pool) //nolint:forcetypeassert // The map holds nothing else.
	taken, err := pool.take(ctx, freshOnly)
	if err != nil {
		return nil, &Error{Step: StepConnect, Target: target, Cause: err}
	}
	return pool.exchange(ctx, taken, request)
}

// exchange sends the request on a connection that belongs to it alone, once.
func (pool *pool) exchange(ctx context.Context, taken *connection, request *http.Request) (*Exchange, error) {
	before := taken.socket.written.Load()
	reused := taken.used
	response, err := taken.client.RoundTrip(request.WithContext(ctx)) //nolint:bodyclose // Exchange.Close does.
	if err != nil {
		// Closing the socket first makes sure that not one more byte of the request leaves after the count is read.
		taken.socket.Conn.Close()
		written := taken.socket.written.Load() != before
		pool.put(taken, false)
		return nil, &Error{Step: stepOf(written), Target: pool.target, Written: written, Reused: reused, Cause: err}
	}
	return &Exchange{Response: response, Reused: reused, pool: pool, connection: taken}, nil
}

func stepOf(written bool) Step {
	if written {
		return StepResponse
	}
	return StepWrite
}

// Read reads the answer's body; it notes when the end has been reached.
func (exchange *Exchange) Read(buffer []byte) (int, error) {
	count, err := exchange.Response.Body.Read(buffer)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it bare.
		exchange.whole = true
	}
	return count, err
}

// FullyRead reports whether the answer was read to its end.
func (exchange *Exchange) FullyRead() bool {
	return exchange.whole
}

// Close gives the connection back when the answer was read to its end, and closes it otherwise: what is left of the
// answer would be taken for the start of the next one.
func (exchange *Exchange) Close() {
	if exchange.closed {
		return
	}
	exchange.closed = true
	exchange.Response.Body.Close()
	exchange.pool.put(exchange.connection, exchange.whole)
}
