package caller

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/internal/headmemory"
	"github.com/jaywheel/jaywheel/internal/linger"
	"github.com/jaywheel/jaywheel/internal/pipeline"
)

// guardedConnection is a caller's connection whose request heads are inspected by a headGuard. After closeWhenIdle, it
// ends as soon as it would wait for a request; a request that has been read is still handled.
type guardedConnection struct {
	*net.TCPConn
	guard headGuard
	// track adds the connection to those that its listener waits for, and untrack removes it; release ends its count among connections.
	track, untrack, release func()
	connections             *Connections
	// beyondLimit means that more connections than allowed were open when this one was accepted. It belongs to the goroutine that handles
	// the connection's requests.
	beyondLimit bool
	// onSent is called with the number of bytes written.
	onSent func(int64)
	// onUnfinished is called when the connection is closed within a request that was never handled.
	onUnfinished func()
	// unhandledBytes means that bytes have been read that do not belong to a handled request.
	unhandledBytes atomic.Bool
	// headMemory is what the head of the current request takes; handled means that it has been read completely.
	headMemory *headmemory.Share
	handled    atomic.Bool
	// headError is the error of all reads after the head of a request has been refused. It belongs to the goroutine that reads.
	headError error
	// refused means that the head of a request has been refused, after which nothing that net/http writes is sent: it takes the part of the
	// head that it has for a malformed request.
	refused atomic.Bool
	// headSince is since when the head of a request has been read, in nanoseconds since 1970.
	headSince atomic.Int64
	// multiplexing means that the connection may carry several requests at once (HTTP/2), and multiplexed that it does.
	multiplexing bool
	multiplexed  atomic.Bool

	// pipelining and server serve requests that the caller sends before earlier ones have been answered.
	pipelining *pipelining
	server     *http.Server
	// refusal is the response to a request whose head cannot be kept.
	refusal []byte

	mutex   sync.Mutex
	state   http.ConnState
	closing bool
	// since is when the connection was accepted or became idle.
	since time.Time
	// handling means that a handler has got a request that the HTTP server has read from the connection, and accepted that net/http has
	// found the same end of it as the guard.
	handling, accepted bool
	// ended means that no further request is read.
	ended bool
	// resetting means that the connection is closed with a TCP reset.
	resetting bool
	// readAborted means that reads fail at once.
	readAborted bool
	// displaced means that the connection is closed because its request has not arrived in time and others wait for a connection.
	displaced bool
	// closed means that Close has been called.
	closed bool
	// pipeline is nil unless requests have been received behind the one that is being handled.
	pipeline *requestPipeline
}

// beginRequest records that a request is being handled.
func (guardedConnection *guardedConnection) beginRequest(request *http.Request) {
	guardedConnection.unhandledBytes.Store(false)
	guardedConnection.handled.Store(true)
	if request.ProtoMajor > 1 {
		guardedConnection.markMultiplexed()
		return
	}
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.handling = true
	guardedConnection.accepted = request.ProtoAtLeast(1, 1) && !request.Close && guardedConnection.guard.agreesWith(request)
	if requestPipeline := guardedConnection.pipeline; requestPipeline != nil {
		requestPipeline.handled, _ = requestPipeline.sequence.Start()
		requestPipeline.notify()
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

// run calls a function that the HTTP server has called on a goroutine of its own, where a panic would end the process. After a panic the
// requests behind the current one are abandoned, since they may wait for something that no longer happens.
func (guardedConnection *guardedConnection) run(function func()) error {
	guard := guardedConnection.connections.Guard
	err := guard.Run("caller's connection", function)
	if err != nil {
		_ = guard.Run("end of a caller's connection", guardedConnection.abandonRequests)
	}
	return err
}

// Read implements net.Conn.
func (guardedConnection *guardedConnection) Read(buffer []byte) (count int, err error) {
	if panicError := guardedConnection.run(func() { count, err = guardedConnection.read(buffer) }); panicError != nil {
		return 0, guardedConnection.awaitHandled(panicError)
	}
	return count, err
}

// awaitHandled waits until the request that has been read completely has been handled, or the caller has left, and returns the error of a
// read behind it. net/http cancels the request when that read ends, unless it has aborted the read itself.
func (guardedConnection *guardedConnection) awaitHandled(err error) error {
	ticker := time.NewTicker(disconnectPollInterval.Duration())
	defer ticker.Stop()
	for guardedConnection.guard.complete() && !guardedConnection.disconnected() {
		handling, aborted := guardedConnection.handlingState()
		switch {
		case aborted:
			return os.ErrDeadlineExceeded
		case !handling:
			return err
		}
		<-ticker.C
	}
	return err
}

// handlingState reports whether a request is being handled, and whether net/http has aborted the read behind it.
func (guardedConnection *guardedConnection) handlingState() (bool, bool) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	return guardedConnection.handling, guardedConnection.readAborted
}

func (guardedConnection *guardedConnection) read(buffer []byte) (int, error) {
	if guardedConnection.headError != nil {
		return 0, guardedConnection.headError
	}
	read := guardedConnection.readRequest
	if guardedConnection.pipeline != nil || guardedConnection.pipelining.enabled() && guardedConnection.guard.complete() {
		read = guardedConnection.readBehind
	}
	count, err := read(buffer)
	if count > 0 && !guardedConnection.reserveHead() {
		guardedConnection.headError = guardedConnection.refuseHead()
		return 0, guardedConnection.headError
	}
	return count, err
}

// readRequest reads bytes of the current request. Bytes behind its end are kept for later if requests may be pipelined.
func (guardedConnection *guardedConnection) readRequest(buffer []byte) (int, error) {
	count, err := guardedConnection.TCPConn.Read(buffer)
	if used := guardedConnection.guard.observe(buffer[:count]); used < count {
		if guardedConnection.pipelining.enabled() {
			guardedConnection.holdBack(buffer[used:count])
			count = used
		} else {
			guardedConnection.guard.desynchronized = true
		}
	}
	if count > 0 {
		guardedConnection.markUnhandled()
	}
	if guardedConnection.guard.sawPreface && guardedConnection.multiplexing {
		// The connection may never carry a request, which would otherwise mark it.
		guardedConnection.markMultiplexed()
	}
	return count, err
}

// Write implements net.Conn. net/http also writes while it recovers from a panic.
func (guardedConnection *guardedConnection) Write(buffer []byte) (count int, err error) {
	if panicError := guardedConnection.connections.Guard.Run("caller's connection", func() {
		if guardedConnection.refused.Load() {
			count = len(buffer)
			return
		}
		count, err = guardedConnection.TCPConn.Write(buffer)
		guardedConnection.onSent(int64(count))
	}); panicError != nil {
		return count, panicError
	}
	return count, err
}

// ReadFrom implements io.ReaderFrom.
func (guardedConnection *guardedConnection) ReadFrom(source io.Reader) (int64, error) {
	count, err := guardedConnection.TCPConn.ReadFrom(source)
	guardedConnection.onSent(count)
	return count, err
}

// SetReadDeadline implements net.Conn.
func (guardedConnection *guardedConnection) SetReadDeadline(deadline time.Time) (err error) {
	if guardedConnection.run(func() { err = guardedConnection.setReadDeadline(deadline) }) != nil {
		return guardedConnection.TCPConn.SetReadDeadline(deadline)
	}
	return err
}

func (guardedConnection *guardedConnection) setReadDeadline(deadline time.Time) error {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.closing && guardedConnection.awaitsRequest() {
		deadline = pastDeadline
	}
	guardedConnection.readAborted = !deadline.IsZero() && !deadline.After(time.Now())
	if requestPipeline := guardedConnection.pipeline; requestPipeline != nil {
		if !guardedConnection.readAborted && !deadline.IsZero() && len(requestPipeline.behind) > 0 {
			// The connection is not idle before the requests in progress have been answered.
			requestPipeline.idleTimeout = time.Until(deadline)
			deadline = time.Time{}
		}
		requestPipeline.notify()
	}
	return guardedConnection.TCPConn.SetReadDeadline(deadline)
}

// pastDeadline is a deadline that makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// awaitsRequest reports whether the connection waits for a request of which no byte has arrived.
func (guardedConnection *guardedConnection) awaitsRequest() bool {
	if guardedConnection.pipeline != nil && !guardedConnection.pipeline.idle() {
		return false
	}
	return guardedConnection.state != http.StateActive && !guardedConnection.unhandledBytes.Load() && !guardedConnection.hasUnreadBytes()
}

// hasUnreadBytes reports whether the kernel holds bytes that have not been read: a process that is short of CPU time reads them
// late.
func (guardedConnection *guardedConnection) hasUnreadBytes() bool {
	return linger.Unread(guardedConnection.TCPConn) > 0
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
	// The guard belongs to the goroutine that reads. On a multiplexed connection, which has no heads to inspect, that goroutine reads on
	// while the HTTP server reports states.
	if state == http.StateIdle && !guardedConnection.multiplexed.Load() {
		// The next bytes are the head of a request.
		guardedConnection.guard.reset()
		guardedConnection.handled.Store(false)
		guardedConnection.headMemory.Release()
		if guardedConnection.endHandling() {
			defer guardedConnection.sendResponses()
		}
	}
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.changeState(state)
	if state == http.StateActive && guardedConnection.closing {
		// The request was read while closeWhenIdle set the deadline. Its body may still arrive, and a failed read would be
		// treated as a disconnect of the caller.
		_ = guardedConnection.TCPConn.SetReadDeadline(time.Time{})
	}
}

// handleConnState is the ConnState hook of the HTTP server.
func handleConnState(connection net.Conn, state http.ConnState) {
	switch connection := connection.(type) {
	case *guardedConnection:
		_ = connection.run(func() { connection.setState(state) })
	case *pipelinedRequest:
		if state == http.StateIdle {
			_ = connection.connection.run(func() { connection.finish(pipeline.Answered) })
		}
	}
}

// reset makes the connection close with a TCP reset.
func (guardedConnection *guardedConnection) reset() {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.resetting = true
	// An error does not matter: the connection is closed in any case.
	_ = guardedConnection.SetLinger(0)
}

// Close implements net.Conn. It returns before the caller has received everything; the connection counts as open until then.
func (guardedConnection *guardedConnection) Close() (err error) {
	if panicError := guardedConnection.run(func() { err = guardedConnection.close() }); panicError != nil {
		return errors.CombineErrors(panicError, guardedConnection.end())
	}
	return err
}

func (guardedConnection *guardedConnection) close() error {
	if guardedConnection.unhandledBytes.Swap(false) {
		guardedConnection.onUnfinished()
	}
	first, lingers := guardedConnection.endRequests()
	if !first {
		return nil
	}
	guardedConnection.headMemory.Close()
	if lingers {
		guardedConnection.track()
		guardedConnection.connections.Guard.Go("end of a caller's connection", guardedConnection.lingerAndClose)
		return nil
	}
	return guardedConnection.end()
}

// end closes the connection and ends its count. It may be called more than once.
func (guardedConnection *guardedConnection) end() error {
	defer guardedConnection.untrack()
	defer guardedConnection.release()
	guardedConnection.headMemory.Close()
	return guardedConnection.TCPConn.Close()
}

// endRequests cancels the requests in progress behind the one that the HTTP server reads itself. It reports whether the connection is
// closed for the first time, and whether it has to be read on before it is closed: a reset would cut off responses that the caller has
// not received. A caller may still send requests or the rest of a body after a response that closes the connection.
func (guardedConnection *guardedConnection) endRequests() (bool, bool) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.closed {
		return false, false
	}
	guardedConnection.closed = true
	if requestPipeline := guardedConnection.pipeline; requestPipeline != nil {
		if len(requestPipeline.unread) > 0 {
			guardedConnection.pipelining.events.Add(EventPipelineUnread, 1)
		}
		guardedConnection.abandonLocked()
		guardedConnection.setUnread(nil)
	}
	switch {
	case guardedConnection.resetting, guardedConnection.displaced && linger.Unsent(guardedConnection.TCPConn) == 0:
		return true, false
	case guardedConnection.refused.Load():
		return true, true
	}
	answered := guardedConnection.state == http.StateActive && !guardedConnection.disconnected()
	return true, answered || linger.Needed(guardedConnection.TCPConn)
}

// lingerAndClose closes the connection when the caller has received everything.
func (guardedConnection *guardedConnection) lingerAndClose() {
	// An error does not matter: nothing is left to send.
	defer func() { _ = guardedConnection.end() }()
	linger.Wait(guardedConnection.TCPConn, linger.Options{MaxStall: guardedConnection.pipelining.maxStall})
}
