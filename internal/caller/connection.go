package caller

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// guardedConnection is a caller's connection whose request heads are inspected by a headGuard. After closeWhenIdle, it
// ends as soon as it would wait for a request; a request that has been read is still handled.
type guardedConnection struct {
	*net.TCPConn
	guard headGuard
	// untrack removes the connection from those that its listener waits for; releaseToken lets the listener accept another one.
	untrack, releaseToken func()
	// onSent is called with the number of bytes written.
	onSent func(int64)
	// onUnfinished is called when the connection is closed within a request that was never handled.
	onUnfinished func()
	// unhandledBytes means that bytes have been read that do not belong to a handled request.
	unhandledBytes atomic.Bool
	// multiplexed means that the connection carries several requests at once (HTTP/2).
	multiplexed atomic.Bool

	mutex   sync.Mutex
	state   http.ConnState
	closing bool
}

// beginRequest records that a request is being handled.
func (guardedConnection *guardedConnection) beginRequest(request *http.Request) {
	guardedConnection.unhandledBytes.Store(false)
	if request.ProtoMajor > 1 {
		guardedConnection.markMultiplexed()
	}
}

// markMultiplexed records that the connection carries several requests at once. Such connections are closed by the HTTP server,
// not by the listener.
func (guardedConnection *guardedConnection) markMultiplexed() {
	if !guardedConnection.multiplexed.Swap(true) {
		guardedConnection.untrack()
	}
}

// endRequest records that a request has been handled. The bytes of its body that have been read belong to it.
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
		// The connection may never carry a request, which would otherwise mark it.
		guardedConnection.markMultiplexed()
	}
	return count, err
}

// Write implements net.Conn.
func (guardedConnection *guardedConnection) Write(buffer []byte) (int, error) {
	count, err := guardedConnection.TCPConn.Write(buffer)
	guardedConnection.onSent(int64(count))
	return count, err
}

// ReadFrom implements io.ReaderFrom.
func (guardedConnection *guardedConnection) ReadFrom(source io.Reader) (int64, error) {
	count, err := guardedConnection.TCPConn.ReadFrom(source)
	guardedConnection.onSent(count)
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

// pastDeadline is a deadline that makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// awaitsRequest reports whether the connection waits for a request of which no byte has arrived.
func (guardedConnection *guardedConnection) awaitsRequest() bool {
	return guardedConnection.state != http.StateActive && !guardedConnection.unhandledBytes.Load() && !guardedConnection.hasUnreadBytes()
}

// hasUnreadBytes reports whether the kernel holds bytes that have not been read: a process that is short of CPU time reads them
// late.
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

// disconnected reports whether the caller has closed the connection or its sending side. The HTTP server notices that only when
// its goroutine runs, which takes long in a process that is short of processor time.
func (guardedConnection *guardedConnection) disconnected() bool {
	raw, err := guardedConnection.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	err = raw.Control(func(descriptor uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		if count, pollErr := unix.Poll(descriptors, 0); pollErr == nil && count > 0 {
			events = descriptors[0].Revents
		}
	})
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// closeWhenIdle closes the connection at once if it waits for a request, otherwise after its current request. New connections,
// on which nothing has been read yet, are kept unless includeNew is set. Multiplexed connections are left to the HTTP server.
func (guardedConnection *guardedConnection) closeWhenIdle(includeNew bool) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.state == http.StateNew && !includeNew || guardedConnection.multiplexed.Load() {
		return
	}
	guardedConnection.closing = true
	if guardedConnection.awaitsRequest() {
		// An error means that the connection is closed already.
		_ = guardedConnection.TCPConn.SetReadDeadline(pastDeadline)
	}
}

// setState records the state that net/http reports for the connection.
func (guardedConnection *guardedConnection) setState(state http.ConnState) {
	if state == http.StateIdle {
		// The next bytes are the head of a request.
		guardedConnection.guard.reset()
	}
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.state = state
	if state == http.StateActive && guardedConnection.closing {
		// The request was read while closeWhenIdle set the deadline. Its body may still arrive, and a failed read would be
		// treated as a disconnect of the caller.
		_ = guardedConnection.TCPConn.SetReadDeadline(time.Time{})
	}
}

// handleConnState is the ConnState hook of the HTTP server.
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
