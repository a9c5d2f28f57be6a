package backendserver

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Options configures the connections to one backend server.
type Options struct {
	// Address is the IP address and port of the backend server.
	Address string
	// MaxConnections returns this instance's share of the connections that the backend server allows.
	MaxConnections func() int
	// Connections are the connection settings of the service.
	Connections settings.Connections
}

// FixedLimit returns a function for Options.MaxConnections whose result never changes.
func FixedLimit(connections int) func() int {
	return func() int { return connections }
}

// connection is a connection to a backend server. It belongs either to the idle list of its pool or to one exchange.
type connection struct {
	client    *http.ClientConn
	socket    *socket
	address   string
	idleSince clock.Moment
	used      bool
	carried   carriedRequests
}

// pool holds the connections to one backend server.
type pool struct {
	target settings.TargetName
	clock  *clock.Clock
	dial   func(context.Context, Options) (*connection, error)
	// idlePools are the pools of all backend servers that may hold idle connections.
	idlePools *sync.Map // *pool to nothing
	// longHeads is the length of all long heads of responses.
	longHeads *atomic.Int64

	mutex   sync.Mutex
	options Options
	idle    []*connection
	open    int
	closed  bool
}

// acquire returns a connection for one exchange: the most recently used idle connection, or a new one. With freshOnly it
// skips idle connections on which nothing has been received within the freshness period of the settings: a request that
// must not run twice can't be sent again if the connection turns out to be dead. It also skips connections that have carried a request
// with the ID given by WithRequestID.
func (pool *pool) acquire(ctx context.Context, freshOnly bool) (*connection, error) {
	options, idle, err := pool.reserve(freshOnly, requestDigestOf(ctx))
	if idle != nil || err != nil {
		return idle, err
	}
	reserved := true
	defer func() {
		if reserved {
			pool.cancelReservation()
		}
	}()
	dialed, err := pool.dial(ctx, options)
	if err != nil {
		return nil, err
	}
	reserved = false
	return dialed, nil
}

// reserve returns a usable idle connection, or nil after counting a new connection that the caller must open.
func (pool *pool) reserve(freshOnly bool, digest requestDigest) (Options, *connection, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return Options{}, nil, ErrUnknownTarget
	}
	for position := len(pool.idle) - 1; position >= 0; position-- {
		candidate := pool.idle[position]
		switch pool.classify(candidate, freshOnly, digest) {
		case usable:
			pool.idle = slices.Delete(pool.idle, position, position+1)
			return pool.options, candidate, nil
		case dead:
			pool.idle = slices.Delete(pool.idle, position, position+1)
			pool.closeLocked(candidate)
		case unsuitable:
			// Other requests may still use it.
		}
	}
	maxConnections := pool.options.MaxConnections()
	if pool.open >= maxConnections && len(pool.idle) > 0 {
		// No idle connection is suitable. Close the least recently used one to open another in its place.
		pool.closeLocked(pool.idle[0])
		pool.idle = slices.Delete(pool.idle, 0, 1)
	}
	if pool.open >= maxConnections {
		return Options{}, nil, ErrConnectionLimitReached
	}
	pool.open++
	return pool.options, nil, nil
}

// idleState is the state of an idle connection.
type idleState int

const (
	usable idleState = iota
	// unsuitable means that only other requests may be sent on the connection.
	unsuitable
	dead
)

func (pool *pool) classify(candidate *connection, freshOnly bool, digest requestDigest) idleState {
	switch {
	case candidate.client.Err() != nil:
		return dead
	case freshOnly && candidate.socket.sinceLastRead(pool.clock.Now()) > pool.options.Connections.FreshFor:
		return unsuitable
	case candidate.carried.contains(digest):
		return unsuitable
	default:
		return usable
	}
}

func (pool *pool) closeLocked(connection *connection) {
	connection.socket.Conn.Close()
	connection.client.Close()
	pool.open--
}

// cancelReservation subtracts a reserved connection that could not be opened.
func (pool *pool) cancelReservation() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
}

// release returns a connection to the pool after an exchange, or closes it if it can't be reused.
func (pool *pool) release(connection *connection, reusable bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	outdated := pool.closed || connection.address != pool.options.Address
	if !reusable || outdated || connection.client.Err() != nil || pool.open > pool.options.MaxConnections() {
		pool.closeLocked(connection)
		return
	}
	connection.used = true
	connection.idleSince = pool.clock.Now()
	if len(pool.idle) == 0 {
		pool.idlePools.Store(pool, struct{}{})
	}
	pool.idle = append(pool.idle, connection)
}

// closeIdle closes the idle connections that are dead or have exceeded the idle timeout. The idle list is ordered from the
// least to the most recently used connection.
func (pool *pool) closeIdle() {
	now := pool.clock.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	remaining := pool.idle[:0]
	for _, candidate := range pool.idle {
		if candidate.client.Err() != nil || now.Since(candidate.idleSince) > pool.options.Connections.IdleTimeout {
			pool.closeLocked(candidate)
			continue
		}
		remaining = append(remaining, candidate)
	}
	clear(pool.idle[len(remaining):])
	pool.idle = remaining
	if len(remaining) == 0 {
		pool.idlePools.Delete(pool)
	}
}

// setOptions replaces the options. If the address has changed, it closes the idle connections to the old address.
func (pool *pool) setOptions(options Options) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.options.Address != options.Address {
		pool.closeAllIdle()
	}
	pool.options = options
}

func (pool *pool) currentOptions() Options {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.options
}

func (pool *pool) closeAllIdle() {
	for _, candidate := range pool.idle {
		pool.closeLocked(candidate)
	}
	pool.idle = nil
}

// close closes the idle connections. Connections in use are closed when their exchange ends.
func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	pool.closeAllIdle()
}

func (pool *pool) openCount() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.open
}

// socketKey is the context key of the dialRequest through which dialSocket returns its socket to connect. The standard
// library calls dialSocket in between.
type socketKey struct{}

// connector opens connections on which the standard library speaks HTTP, but which it neither pools nor replaces.
type connector struct {
	clock     *clock.Clock
	transport *http.Transport
}

func newConnector(clock *clock.Clock) *connector {
	connector := &connector{clock: clock}
	connector.transport = &http.Transport{
		DisableCompression: true,
		// Heads are counted by the socket, together with the informational responses before them.
		MaxResponseHeaderBytes: maxHeadBytes,
		ExpectContinueTimeout:  expectContinueTimeout.Duration(),
		DialContext:            connector.dialSocket,
	}
	return connector
}

// dialRequest holds the parameters and the result of a dial. It is passed in the context.
type dialRequest struct {
	userTimeout clock.Milliseconds
	// dial replaces the dialer of package net if it is not nil.
	dial   DialFunc
	guard  *supervisor.Guard
	socket *socket
}

func (connector *connector) dialSocket(ctx context.Context, _, address string) (net.Conn, error) {
	request, found := ctx.Value(socketKey{}).(*dialRequest)
	if !found {
		return nil, errors.AssertionFailedf("no dial request in the context")
	}
	var dialed *socket
	var err error
	if panicError := request.guard.Run("dial", func() { dialed, err = dial(ctx, connector.clock, address, request) }); panicError != nil {
		return nil, panicError
	}
	if err != nil {
		return nil, err
	}
	request.socket = dialed
	return dialed, nil
}

func (connector *connector) connect(ctx context.Context, options Options, request *dialRequest) (*connection, error) {
	client, err := connector.transport.NewClientConn(context.WithValue(ctx, socketKey{}, request), "http", options.Address)
	if err != nil {
		return nil, err
	}
	return &connection{client: client, socket: request.socket, address: options.Address}, nil
}
