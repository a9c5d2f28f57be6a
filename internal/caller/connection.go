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
	forget, release func()
	// unfinished is called when the connection ends within a request that was never handled.
	unfinished func()
	// pending says that bytes have arrived which belong to no handled request.
	pending atomic.Bool
	// multiplexed says that it carries several requests at once.
	multiplexed atomic.Bool

	mutex   sync.Mutex
	state   http.ConnState
	retired bool
}

// begin notes that a request is being handled.
func (guardedConnection *guardedConnection) begin(request *http.Request) {
	guardedConnection.pending.Store(false)
	if request.ProtoMajor > 1 {
		guardedConnection.multiplex()
	}
}

// multiplex notes that the connection carries several requests at once; the server ends it, not its listener.
func (guardedConnection *guardedConnection) multiplex() {
	if !guardedConnection.multiplexed.Swap(true) {
		guardedConnection.forget()
	}
}

// finish notes that a request has been handled; the bytes of its body belonged to it.
func (guardedConnection *guardedConnection) finish() {
	guardedConnection.pending.Store(false)
}

// Read implements net.Conn.
func (guardedConnection *guardedConnection) Read(buffer []byte) (int, error) {
	count, err := guardedConnection.TCPConn.Read(buffer)
	guardedConnection.guard.observe(buffer[:count])
	if count > 0 {
		guardedConnection.pending.Store(true)
	}
	if guardedConnection.guard.sawPreface {
		// A request may never come on it.
		guardedConnection.multiplex()
	}
	return count, err
}

// SetReadDeadline implements net.Conn.
func (guardedConnection *guardedConnection) SetReadDeadline(deadline time.Time) error {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.retired && guardedConnection.waits() {
		deadline = longAgo
	}
	return guardedConnection.TCPConn.SetReadDeadline(deadline)
}

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// waits reports whether the connection waits for a request of which nothing has come.
func (guardedConnection *guardedConnection) waits() bool {
	return guardedConnection.state != http.StateActive && !guardedConnection.pending.Load() && !guardedConnection.unread()
}

// unread reports whether bytes have arrived that have not been read: a process that is short of processor time comes to them late.
func (guardedConnection *guardedConnection) unread() bool {
	raw, err := guardedConnection.SyscallConn()
	if err != nil {
		return false
	}
	var count int
	var failed error
	err = raw.Control(func(descriptor uintptr) { count, failed = unix.IoctlGetInt(int(descriptor), unix.TIOCINQ) })
	return err == nil && failed == nil && count > 0
}

// retire ends the connection, if it waits for a request, or else after the request that it has. New ones are left alone unless they
// are to end as well.
func (guardedConnection *guardedConnection) retire(newAsWell bool) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.state == http.StateNew && !newAsWell || guardedConnection.multiplexed.Load() {
		return
	}
	guardedConnection.retired = true
	if guardedConnection.waits() {
		// One that has ended already needs nothing more.
		_ = guardedConnection.TCPConn.SetReadDeadline(longAgo)
	}
}

// setState notes what the server does with the connection.
func (guardedConnection *guardedConnection) setState(state http.ConnState) {
	if state == http.StateIdle {
		// The next bytes are a head.
		guardedConnection.guard.restart()
	}
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.state = state
	if state == http.StateActive && guardedConnection.retired {
		// The request was read as the connection was retired. Its body may still come, and a read that fails would be taken for
		// a caller that has gone.
		_ = guardedConnection.TCPConn.SetReadDeadline(time.Time{})
	}
}

// noteState is the server's hook for changes of a connection's state.
func noteState(connection net.Conn, state http.ConnState) {
	if guarded, isGuarded := connection.(*guardedConnection); isGuarded {
		guarded.setState(state)
	}
}

// Close implements net.Conn.
func (guardedConnection *guardedConnection) Close() error {
	defer guardedConnection.release()
	defer guardedConnection.forget()
	if guardedConnection.pending.Swap(false) {
		guardedConnection.unfinished()
	}
	return guardedConnection.TCPConn.Close()
}
