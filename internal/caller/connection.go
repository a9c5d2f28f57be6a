package caller

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// guardedConnection is a caller's connection under a headGuard. One that is retired ends where it would wait for a request; a request
// that has been read is handled all the same.
type guardedConnection struct {
	*net.TCPConn
	guard headGuard
	// forget takes the connection out of those that its listener waits for, release makes room for another one.
	untrack, releaseToken func()
	// unfinished is called when the connection ends within a request that was never handled.
	onUnfinished func()
	// pending says that bytes have arrived which belong to no handled request.
	unhandledBytes atomic.Bool
	// multiplexed says that it carries several requests at once.
	multiplexed atomic.Bool

	mutex   sync.Mutex
	state   http.ConnState
	closing bool
}

// begin notes that a request is being handled.
func (guardedConnection *guardedConnection) beginRequest(request *http.Request) {
	guardedConnection.unhandledBytes.Store(false)
	if request.ProtoMajor > 1 {
		guardedConnection.markMultiplexed()
	}
}

// multiplex notes that the connection carries several requests at once; the server ends it, not its listener.
func (guardedConnection *guardedConnection) markMultiplexed() {
	if !guardedConnection.multiplexed.Swap(true) {
		guardedConnection.untrack()
	}
}

// finish notes that a request has been handled; the bytes of its body belonged to it.
func (guardedConnection *guardedConnection) endRequest() {
	guardedConnection.unhandledBytes.Store(false)
}

// Read implements net.Conn.
func (guardedConnection *guardedConnection) Read(buffer []byte) (int, error) {
	count, err := guardedConnection.TCPConn.Read(buffer)
	guardedConnection.guard.observe(buffer[:count])
	if count > 0 {
		guardedConnection.unhandledBytes.Store(true)
	}
	if guardedConnection.guard.sawPreface {
		// A request may never come on it.
		guardedConnection.markMultiplexed()
	}
	return count, err
}

// SetReadDeadline implements net.Conn.
func (guardedConnection *guardedConnection) SetReadDeadline(deadline time.Time) error {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.closing && guardedConnection.awaitsRequest() {
		deadline = pastDeadline
	}
	return guardedConnection.TCPConn.SetReadDeadline(deadline)
}

// longAgo is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// waits reports whether the connection waits for a request of which nothing has come.
func (guardedConnection *guardedConnection) awaitsRequest() bool {
	return guardedConnection.state != http.StateActive && !guardedConnection.unhandledBytes.Load() && !guardedConnection.hasUnreadBytes()
}

// unread reports whether bytes have arrived that have not been read: a process that is short of processor time comes to them late.
func (guardedConnection *guardedConnection) hasUnreadBytes() bool {
	raw, err := guardedConnection.SyscallConn()
	if err != nil {
		return false
	}
	var count int
	var ioctlErr error
	err = raw.Control(func(descriptor uintptr) { count, ioctlErr = unix.IoctlGetInt(int(descriptor), unix.TIOCINQ) })
	return err == nil && ioctlErr == nil && count > 0
}

// retire ends the connection, if it waits for a request, or else after the request that it has. New ones are left alone unless they
// are to end as well.
func (guardedConnection *guardedConnection) closeWhenIdle(includeNew bool) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.state == http.StateNew && !includeNew || guardedConnection.multiplexed.Load() {
		return
	}
	guardedConnection.closing = true
	if guardedConnection.awaitsRequest() {
		// One that has ended already needs nothing more.
		_ = guardedConnection.TCPConn.SetReadDeadline(pastDeadline)
	}
}

// setState notes what the server does with the connection.
func (guardedConnection *guardedConnection) setState(state http.ConnState) {
	if state == http.StateIdle {
		// The next bytes are a head.
		guardedConnection.guard.reset()
	}
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.state = state
	if state == http.StateActive && guardedConnection.closing {
		// The request was read as the connection was retired. Its body may still come, and a read that fails would be taken for
		// a caller that has gone.
		_ = guardedConnection.TCPConn.SetReadDeadline(time.Time{})
	}
}

// noteState is the server's hook for changes of a connection's state.
func handleConnState(connection net.Conn, state http.ConnState) {
	if guarded, isGuarded := connection.(*guardedConnection); isGuarded {
		guarded.setState(state)
	}
}

// Close implements net.Conn.
func (guardedConnection *guardedConnection) Close() error {
	defer guardedConnection.releaseToken()
	defer guardedConnection.untrack()
	if guardedConnection.unhandledBytes.Swap(false) {
		guardedConnection.onUnfinished()
	}
	return guardedConnection.TCPConn.Close()
}
