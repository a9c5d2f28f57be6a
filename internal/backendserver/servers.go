package backendserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// expectContinueTimeout is how long sending a request body is delayed while waiting for a "100 Continue" response.
const expectContinueTimeout = clock.Second

// Servers holds the connection pools of all backend servers. It is safe for concurrent use.
type Servers struct {
	// OnConnect is called with the result of each attempt to open a connection, except for those that end because nobody waits for
	// them any more. It must not block, and must be set before the first use. It may be nil.
	OnConnect func(settings.TargetName, error)
	// Dial opens a TCP connection; nil selects that of package net. It must be set before the first use.
	Dial DialFunc
	// Guard recovers panics on the goroutines of net/http that read and write connections; nil lets them pass. It must be set before the
	// first use.
	Guard *supervisor.Guard

	clock     *clock.Clock
	connector *connector
	pools     sync.Map // settings.TargetName to *pool
	// longHeads is the length of all long heads of responses, in bytes.
	longHeads atomic.Int64
	// idlePools are the pools that may hold idle connections: a few of the thousands of an instance on standby.
	idlePools sync.Map // *pool to nothing
}

// NewServers returns a Servers without any backend server.
func NewServers(clock *clock.Clock) *Servers {
	return &Servers{clock: clock, connector: newConnector(clock)}
}

// DialFunc opens a connection to an IP address and port with the given network of package net.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connect opens a connection to a backend server and reports the result to OnConnect.
func (servers *Servers) connect(ctx context.Context, target settings.TargetName, options Options) (*connection, error) {
	limited, cancel := context.WithTimeout(ctx, options.Connections.ConnectTimeout.Duration())
	defer cancel()
	dialed, err := servers.connector.connect(limited, options, &dialRequest{userTimeout: options.Connections.AckTimeout, dial: servers.Dial, guard: servers.Guard})
	if servers.OnConnect != nil && (err == nil || ctx.Err() == nil) {
		servers.OnConnect(target, err)
	}
	return dialed, err
}

// Set adds a backend server or replaces its options.
func (servers *Servers) Set(target settings.TargetName, options Options) {
	if found, known := servers.pools.Load(target); known {
		found.(*pool).setOptions(options) //nolint:forcetypeassert // The map holds nothing else.
		return
	}
	servers.pools.Store(target, &pool{
		target:    target,
		clock:     servers.clock,
		idlePools: &servers.idlePools,
		longHeads: &servers.longHeads,
		dial: func(ctx context.Context, options Options) (*connection, error) {
			return servers.connect(ctx, target, options)
		},
		options: options,
	})
}

// Check opens a connection to a backend server and closes it. The result is reported to OnConnect.
func (servers *Servers) Check(ctx context.Context, target settings.TargetName) {
	found, known := servers.pools.Load(target)
	if !known {
		return
	}
	options := found.(*pool).currentOptions() //nolint:forcetypeassert // The map holds nothing else.
	if opened, err := servers.connect(ctx, target, options); err == nil {
		opened.socket.Conn.Close()
		opened.client.Close()
	}
}

// ListenState is whether a backend server accepts connections.
type ListenState int

// The states of a listener.
const (
	// ListenUnknown means that the attempt to connect had no result, as for a server that is cut off.
	ListenUnknown ListenState = iota
	Listening
	// NotListening means that the machine refused the connection: no process listens at the address.
	NotListening
)

// CheckListening opens a connection to a backend server, closes it and returns whether the server listens. The result is reported to
// OnConnect.
func (servers *Servers) CheckListening(ctx context.Context, target settings.TargetName) ListenState {
	found, known := servers.pools.Load(target)
	if !known {
		return ListenUnknown
	}
	opened, err := servers.connect(ctx, target, found.(*pool).currentOptions()) //nolint:forcetypeassert // The map holds nothing else.
	switch {
	case err == nil:
		opened.socket.Conn.Close()
		opened.client.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	default:
		return ListenUnknown
	}
}

// Remove removes a backend server. Exchanges in progress continue.
func (servers *Servers) Remove(target settings.TargetName) {
	if found, known := servers.pools.LoadAndDelete(target); known {
		found.(*pool).close() //nolint:forcetypeassert // The map holds nothing else.
	}
}

// CloseIdle closes the idle connections that are dead or have exceeded the idle timeout.
func (servers *Servers) CloseIdle() {
	servers.idlePools.Range(func(found, _ any) bool {
		found.(*pool).closeIdle() //nolint:forcetypeassert // The map holds nothing else.
		return true
	})
}

// Close closes all idle connections and removes all backend servers.
func (servers *Servers) Close() {
	servers.forEach((*pool).close)
	servers.pools.Clear()
}

// OpenConnections returns the number of open connections to a backend server, idle or in use.
func (servers *Servers) OpenConnections(target settings.TargetName) int {
	found, known := servers.pools.Load(target)
	if !known {
		return 0
	}
	return found.(*pool).openCount() //nolint:forcetypeassert // The map holds nothing else.
}

func (servers *Servers) forEach(action func(*pool)) {
	servers.pools.Range(func(_, found any) bool {
		action(found.(*pool)) //nolint:forcetypeassert // The map holds nothing else.
		return true
	})
}

// Exchange is one request and its response on one connection. Close must be called after the response has been read.
type Exchange struct {
	// Response is the response of the backend server. Close closes the connection unless the body has been read to the end
	// with Exchange.Read.
	Response *http.Response
	// Reused reports whether the connection had carried a request before.
	Reused bool

	pool       *pool
	connection *connection
	fullyRead  bool
	closed     bool
}

// writeCheckKey is the context key of a write check.
type writeCheckKey struct{}

// WithWriteCheck returns a context for Send under which check is called immediately before the first byte of the request is
// written. The time between Send and that write is long when the process is short of processor time. If check returns an error,
// nothing is written, and the error of Send wraps it.
func WithWriteCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, writeCheckKey{}, check)
}

// Send writes the request once on a connection to target and returns when the response header has arrived. With freshOnly
// it uses a new connection, or one on which data has been received within the freshness period of the settings. WithRequestID excludes
// further connections. The error is an *Error.
func (servers *Servers) Send(ctx context.Context, target settings.TargetName, request *http.Request, freshOnly bool) (*Exchange, error) {
	found, known := servers.pools.Load(target)
	if !known {
		return nil, &Error{Step: StepConnect, Target: target, Cause: ErrUnknownTarget}
	}
	pool := found.(*pool) //nolint:forcetypeassert // The map holds nothing else.
	connection, err := pool.acquire(ctx, freshOnly)
	if err != nil {
		return nil, &Error{Step: StepConnect, Target: target, Cause: err}
	}
	return pool.exchange(ctx, connection, request)
}

// exchange sends the request once on a connection that nothing else uses.
func (pool *pool) exchange(ctx context.Context, connection *connection, request *http.Request) (*Exchange, error) {
	before := connection.socket.written.Load()
	reused := connection.used
	connection.carried.add(requestDigestOf(ctx))
	if check, found := ctx.Value(writeCheckKey{}).(func() error); found {
		connection.socket.writeCheck.Store(&check)
	}
	head := &head{longHeads: pool.longHeads}
	connection.socket.head.Store(head)
	returned := false
	defer func() {
		if !returned {
			// A panic must not keep the connection counted.
			head.release()
			pool.release(connection, false)
		}
	}()
	response, err := connection.client.RoundTrip(request.WithContext(ctx)) //nolint:bodyclose // Exchange.Close does.
	head.end()
	if err == nil {
		if err = checkFraming(response); err != nil {
			response.Body.Close()
		}
	}
	returned = true
	if err != nil {
		defer head.release()
		// Close the socket before reading the count, so that no byte of the request is sent after the read.
		connection.socket.Conn.Close()
		written := connection.socket.written.Load() != before
		pool.release(connection, false)
		return nil, &Error{Step: failedStep(written), Target: pool.target, Written: written, Reused: reused, Cause: err}
	}
	return &Exchange{Response: response, Reused: reused, pool: pool, connection: connection}, nil
}

func failedStep(written bool) Step {
	if written {
		return StepResponse
	}
	return StepWrite
}

// Read reads from the response body and records whether its end has been reached.
func (exchange *Exchange) Read(buffer []byte) (int, error) {
	count, err := exchange.Response.Body.Read(buffer)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it bare.
		exchange.fullyRead = true
	}
	return count, err
}

// FullyRead reports whether the response body was read to its end.
func (exchange *Exchange) FullyRead() bool {
	return exchange.fullyRead
}

// Close returns the connection to its pool if the response was read to its end. Otherwise it closes the connection, since
// the rest of the response would be read as the start of the next one.
func (exchange *Exchange) Close() {
	if exchange.closed {
		return
	}
	exchange.closed = true
	reusable := false
	defer func() { exchange.pool.release(exchange.connection, reusable) }()
	exchange.Response.Body.Close()
	if head := exchange.connection.socket.head.Swap(nil); head != nil {
		head.release()
	}
	reusable = exchange.fullyRead
}
