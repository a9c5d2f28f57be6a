package backendserver

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Options describe the connections to one backend server.
type Options struct {
	// Address is its IP number and port.
	Address string
	// ConnectionsMost is this instance's share of the agreed number of connections.
	ConnectionsMost int
	// Connections are the service's settings.
	Connections settings.Connections
}

// connection is one connection to a backend server. At any time it belongs either to a pool's idle list or to one
// exchange.
type connection struct {
	client  *http.ClientConn
	socket  *socket
	address string
	idleAt  clock.Moment
	used    bool
}

// pool holds the connections to one backend server.
type pool struct {
	target settings.TargetName
	clock  *clock.Clock
	dial   func(context.Context, Options) (*connection, error)

	mutex   sync.Mutex
	options Options
	idle    []*connection
	open    int
	closed  bool
}

// take returns a connection for one exchange: the one used last, or a new one. With freshOnly an idle connection that
// has not shown life lately is passed over, since a request that must not run twice can't be sent again
// when it turns out dead.
func (pool *pool) take(ctx context.Context, freshOnly bool) (*connection, error) {
	options, idle, err := pool.reserve(freshOnly)
	if idle != nil || err != nil {
		return idle, err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Connections.ConnectTimeout.Duration())
	defer cancel()
	dialed, err := pool.dial(ctx, options)
	if err != nil {
		pool.forget()
		return nil, err
	}
	return dialed, nil
}

// reserve returns a usable idle connection, or counts a new one that the caller is to make.
func (pool *pool) reserve(freshOnly bool) (Options, *connection, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return Options{}, nil, ErrUnknownTarget
	}
	for position := len(pool.idle) - 1; position >= 0; position-- {
		candidate := pool.idle[position]
		switch pool.judge(candidate, freshOnly) {
		case usable:
			pool.idle = slices.Delete(pool.idle, position, position+1)
			return pool.options, candidate, nil
		case dead:
			pool.idle = slices.Delete(pool.idle, position, position+1)
			pool.closeLocked(candidate)
		case stale:
			// It may still serve a request that can be sent again.
		}
	}
	if pool.open >= pool.options.ConnectionsMost && len(pool.idle) > 0 {
		// All that are idle are stale; the oldest makes room.
		pool.closeLocked(pool.idle[0])
		pool.idle = slices.Delete(pool.idle, 0, 1)
	}
	if pool.open >= pool.options.ConnectionsMost {
		return Options{}, nil, ErrConnectionsUsed
	}
	pool.open++
	return pool.options, nil, nil
}

// verdict tells what an idle connection is good for.
type verdict int

const (
	usable verdict = iota
	stale
	dead
)

func (pool *pool) judge(candidate *connection, freshOnly bool) verdict {
	switch {
	case candidate.client.Err() != nil:
		return dead
	case freshOnly && candidate.socket.lifeSince(pool.clock.Now()) > pool.options.Connections.FreshFor:
		return stale
	default:
		return usable
	}
}

func (pool *pool) closeLocked(connection *connection) {
	connection.socket.Conn.Close()
	connection.client.Close()
	pool.open--
}

// forget counts a connection that could not be made.
func (pool *pool) forget() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open--
}

// put takes a connection back after an exchange.
func (pool *pool) put(connection *connection, reusable bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	outdated := pool.closed || connection.address != pool.options.Address
	if !reusable || outdated || connection.client.Err() != nil || pool.open > pool.options.ConnectionsMost {
		pool.closeLocked(connection)
		return
	}
	connection.used = true
	connection.idleAt = pool.clock.Now()
	pool.idle = append(pool.idle, connection)
}

// closeIdle closes connections that are dead or have been unused for too long. Those used longest ago stand first.
func (pool *pool) closeIdle() {
	now := pool.clock.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	kept := pool.idle[:0]
	for _, candidate := range pool.idle {
		if candidate.client.Err() != nil || now.Since(candidate.idleAt) > pool.options.Connections.IdleTimeout {
			pool.closeLocked(candidate)
			continue
		}
		kept = append(kept, candidate)
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// setOptions changes the options; connections to an address that is no longer right are closed.
func (pool *pool) setOptions(options Options) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.options.Address != options.Address {
		pool.closeAllIdle()
	}
	pool.options = options
}

func (pool *pool) closeAllIdle() {
	for _, candidate := range pool.idle {
		pool.closeLocked(candidate)
	}
	pool.idle = nil
}

// close closes what is idle; connections in use are closed when their exchange ends.
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

// socketKey is the context key under which a dial hands its socket back through the standard library.
type socketKey struct{}

// connector makes connections that the standard library reads and writes but never replaces.
type connector struct {
	clock     *clock.Clock
	transport *http.Transport
}

func newConnector(clock *clock.Clock) *connector {
	connector := &connector{clock: clock}
	connector.transport = &http.Transport{
		DisableCompression:    true,
		ExpectContinueTimeout: expectContinueTimeout.Duration(),
		DialContext:           connector.dialSocket,
	}
	return connector
}

// dialRequest travels in the context of a dial.
type dialRequest struct {
	silentMost clock.Milliseconds
	made       *socket
}

func (connector *connector) dialSocket(ctx context.Context, _, address string) (net.Conn, error) {
	request, found := ctx.Value(socketKey{}).(*dialRequest)
	if !found {
		return nil, errors.AssertionFailedf("dial without a request")
	}
	dialed, err := dial(ctx, connector.clock, address, request.silentMost)
	if err != nil {
		return nil, err
	}
	request.made = dialed
	return dialed, nil
}

func (connector *connector) connect(ctx context.Context, options Options) (*connection, error) {
	request := &dialRequest{silentMost: options.Connections.AckTimeout}
	client, err := connector.transport.NewClientConn(context.WithValue(ctx, socketKey{}, request), "http", options.Address)
	if err != nil {
		return nil, err
	}
	return &connection{client: client, socket: request.made, address: options.Address}, nil
}
