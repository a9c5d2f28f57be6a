package caller

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/internal/httppart"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// newConnectionTimeout is how long a draining listener waits for the first request on connections that have sent nothing yet.
const newConnectionTimeout = clock.Second

// Before listening ends, the kernel's queue of connections to accept is polled every acceptQueuePollInterval until it is empty,
// for at most acceptQueueTimeout.
const (
	acceptQueueTimeout      = 200 * clock.Millisecond
	acceptQueuePollInterval = 2 * clock.Millisecond
)

// Listener accepts callers' connections. When few more can be opened it closes idle ones, and when too many are in use, requests on
// further ones are refused.
type Listener struct {
	*net.TCPListener
	connections *Connections
	closed      chan struct{}
	closeOnce   sync.Once
	// fullSince is since when all connections have been in use, zero while they are not. It belongs to the goroutine that accepts.
	fullSince    time.Time
	onUnfinished func()
	onSent       func(int64)
	pipelining   *pipelining

	mutex sync.Mutex
	// open contains the open connections that are not known to be multiplexed, and those whose callers have not received everything yet.
	open                map[*guardedConnection]struct{}
	accepting, draining bool
	// acceptedScarce is the number of connections accepted while they were scarce since idle ones were last searched for.
	acceptedScarce int64
	// searched is when idle connections were last searched for.
	searched time.Time
	// drained is closed when the listener is draining and no connection is open.
	drained chan struct{}
}

// Listen listens for callers on the TCP address, and limits the number of open connections to limits.MaxConnections. It counts
// EventUnfinished and EventSentBytes in events. It returns an error if the address cannot be resolved or listened on.
func Listen(address string, limits settings.Callers, events *expvar.Map) (*Listener, error) {
	return listen(address, limits, NewConnections(limits, events), events)
}

func listen(address string, limits settings.Callers, connections *Connections, events *expvar.Map) (*Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return &Listener{
		TCPListener: listener, connections: connections, closed: make(chan struct{}), drained: make(chan struct{}),
		open: map[*guardedConnection]struct{}{}, onUnfinished: func() { events.Add(EventUnfinished, 1) },
		onSent: func(count int64) { events.Add(EventSentBytes, count) }, pipelining: newPipelining(limits, events),
	}, nil
}

// NewListenFunc returns a function that listens for callers, in the form that a supervised HTTP server takes. All its listeners count
// their connections in connections.
func NewListenFunc(limits settings.Callers, connections *Connections, events *expvar.Map) func(address string) (httppart.Listener, error) {
	return func(address string) (httppart.Listener, error) {
		listener, err := listen(address, limits, connections, events)
		if err != nil {
			return httppart.Listener{}, err
		}
		return httppart.Listener{Listener: listener, Drain: listener.Drain}, nil
	}
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		listener.awaitConnection()
		guarded, err := listener.acceptOne()
		if err != nil {
			return nil, err
		}
		if guarded != nil {
			return guarded, nil
		}
	}
}

// acceptOne accepts a connection. It returns nil if it had to close it at once.
func (listener *Listener) acceptOne() (*guardedConnection, error) {
	listener.setAccepting(true)
	defer listener.setAccepting(false)
	connection, err := listener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	admitted := listener.connections.admit()
	listener.closeLongestIdle()
	if !admitted {
		// No request has been read. An error does not matter.
		_ = connection.Close()
		return nil, nil
	}
	return listener.track(connection), nil
}

// track adds an accepted connection to those that are open.
func (listener *Listener) track(connection *net.TCPConn) *guardedConnection {
	guarded := &guardedConnection{
		TCPConn: connection, connections: listener.connections, pipelining: listener.pipelining, onUnfinished: listener.onUnfinished,
		onSent: listener.onSent, release: sync.OnceFunc(listener.connections.release), since: time.Now(),
		beyondLimit: listener.connections.overLimit(), headMemory: listener.connections.headMemory.NewShare(),
	}
	guarded.track = func() { listener.addOpen(guarded) }
	guarded.untrack = func() { listener.untrack(guarded) }
	guarded.guard.reset()
	guarded.track()
	return guarded
}

// addOpen adds a connection to those that are open, also one that was removed because it is multiplexed.
func (listener *Listener) addOpen(guarded *guardedConnection) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.open[guarded] = struct{}{}
	select {
	case <-listener.drained:
		listener.drained = make(chan struct{})
	default:
	}
}

func (listener *Listener) setAccepting(accepting bool) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.accepting = accepting
	listener.checkDrained()
}

func (listener *Listener) untrack(guarded *guardedConnection) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	delete(listener.open, guarded)
	listener.checkDrained()
}

// checkDrained closes drained if the listener is draining and no connection is open or being accepted.
func (listener *Listener) checkDrained() {
	if !listener.draining || listener.accepting || len(listener.open) > 0 {
		return
	}
	select {
	case <-listener.drained:
	default:
		close(listener.drained)
	}
}

// Close implements net.Listener.
func (listener *Listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.TCPListener.Close()
}

// Drain waits briefly until the connections that are already queued have been accepted, stops listening, closes connections that
// wait for a request, and returns when all others have been closed after their current request and their callers have received
// everything. It returns an error if ctx is done before that.
// http.Server.Shutdown, which closes multiplexed connections gracefully, must be called after Drain: it drops requests that have
// been read but not handled yet. Another Drain waits for the connections that it has closed.
func (listener *Listener) Drain(ctx context.Context) error {
	listener.waitForAcceptQueue(ctx)
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "stop listening for callers")
	}
	drained := listener.closeWhenIdle(false)
	timer := time.NewTimer(newConnectionTimeout.Duration())
	defer timer.Stop()
	for {
		select {
		case <-drained:
			return nil
		case <-timer.C:
			listener.closeWhenIdle(true)
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for callers' connections to end")
		}
	}
}

// waitForAcceptQueue waits, for at most acceptQueueTimeout, until the kernel's queue of connections to accept is empty, and reports
// whether it is: queued connections are reset when listening ends, although their callers may have sent requests.
func (listener *Listener) waitForAcceptQueue(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptQueueTimeout.Duration())
	defer cancel()
	ticker := time.NewTicker(acceptQueuePollInterval.Duration())
	defer ticker.Stop()
	for listener.hasQueuedConnection() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// hasQueuedConnection reports whether a connection waits to be accepted.
func (listener *Listener) hasQueuedConnection() bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	var count int
	err = raw.Control(func(descriptor uintptr) {
		count, _ = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
	})
	return err == nil && count > 0
}

// closeWhenIdle marks the listener as draining and calls closeWhenIdle for each open connection. The returned channel is closed when none
// is open any more.
func (listener *Listener) closeWhenIdle(includeNew bool) <-chan struct{} {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.draining = true
	for guarded := range listener.open {
		guarded.closeWhenIdle(includeNew)
	}
	listener.checkDrained()
	return listener.drained
}
