package backendserver

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// socket counts the bytes written to a connection and records the time of the last read. The count shows whether any byte
// of a failed request was sent, the time shows whether an idle connection is fresh enough for reuse.
type socket struct {
	net.Conn
	clock *clock.Clock
	// guard recovers panics of reads and writes: net/http calls them on its own goroutines.
	guard *supervisor.Guard

	written  atomic.Int64
	lastRead atomic.Int64
	// head is that of the response that is awaited or has not been forwarded completely, nil if there is none.
	head atomic.Pointer[head]
	// writing is the number of writes in progress, and writeFailed whether one has failed.
	writing     atomic.Int32
	writeFailed atomic.Bool
	// writeCheck is called before the next write, if it is not nil.
	writeCheck atomic.Pointer[func() error]
}

// Read implements net.Conn.
func (socket *socket) Read(buffer []byte) (count int, err error) {
	if panicError := socket.guard.Run("read from a backend server", func() { count, err = socket.read(buffer) }); panicError != nil {
		return 0, panicError
	}
	return count, err
}

func (socket *socket) read(buffer []byte) (int, error) {
	if head := socket.head.Load(); head != nil {
		if err := head.check(); err != nil {
			return 0, err
		}
	}
	count, err := socket.Conn.Read(buffer)
	if count > 0 {
		socket.lastRead.Store(int64(socket.clock.Now()))
	}
	if head := socket.head.Load(); head != nil {
		if err := head.add(buffer[:count]); err != nil {
			return 0, err
		}
	}
	if err == io.EOF && socket.mayBeReset() { //nolint:errorlint // net returns it bare.
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// mayBeReset reports whether the end of the connection that a read has found may be a reset. The kernel reports a reset once, to whichever of
// a read and a write comes first; if that is a write, reads find the end of the stream instead. A response that is delimited by the end of
// its connection would look complete although it was cut off. A peer that has only closed its side leaves the connection writable.
func (socket *socket) mayBeReset() bool {
	// The failure is recorded before the write is no longer in progress, so that it is not missed between the two.
	writing := socket.writing.Load() > 0
	return socket.writeFailed.Load() || writing && !isWritable(socket.Conn)
}

// isWritable reports whether the peer still receives on the connection, false if that is not known.
func isWritable(connection net.Conn) bool {
	provider, isProvider := connection.(syscall.Conn)
	if !isProvider {
		return false
	}
	raw, err := provider.SyscallConn()
	if err != nil {
		return false
	}
	events := int16(unix.POLLHUP)
	err = raw.Control(func(descriptor uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLOUT}}
		if _, pollErr := unix.Poll(descriptors, 0); pollErr == nil {
			events = descriptors[0].Revents
		}
	})
	return err == nil && events&(unix.POLLHUP|unix.POLLERR) == 0
}

// Write implements net.Conn.
func (socket *socket) Write(buffer []byte) (count int, err error) {
	if panicError := socket.guard.Run("write to a backend server", func() { count, err = socket.write(buffer) }); panicError != nil {
		return 0, panicError
	}
	return count, err
}

// write writes to the connection after its check. Bytes are counted before they are passed to the kernel, since a write that fails part way may
// have sent some of them.
func (socket *socket) write(buffer []byte) (int, error) {
	if check := socket.writeCheck.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	socket.written.Add(int64(len(buffer)))
	socket.writing.Add(1)
	defer socket.writing.Add(-1)
	count, err := socket.Conn.Write(buffer)
	if err != nil {
		socket.writeFailed.Store(true)
	}
	return count, err
}

// sinceLastRead returns the time since data was last received, or since the connection was opened.
func (socket *socket) sinceLastRead(now clock.Moment) clock.Milliseconds {
	return now.Since(clock.Moment(socket.lastRead.Load()))
}

// dial connects to a backend server. The kernel closes the connection when sent data remains unacknowledged for
// request.userTimeout. A middlebox may have dropped the state of this connection while new connections work, and without this
// limit a request on it would hang until its deadline.
func dial(ctx context.Context, clock *clock.Clock, address string, request *dialRequest) (*socket, error) {
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionError error
			err := raw.Control(func(descriptor uintptr) {
				optionError = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(request.userTimeout))
			})
			if err != nil {
				return err
			}
			return optionError
		},
		// With a user timeout, the kernel closes a connection after a single lost keep-alive probe. Every exchange has a deadline, and idle
		// connections are closed before the first probe.
		KeepAlive: -1,
	}
	open := request.dial
	if open == nil {
		open = dialer.DialContext
	}
	connection, err := open(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	dialed := &socket{Conn: connection, clock: clock, guard: request.guard}
	dialed.lastRead.Store(int64(clock.Now()))
	return dialed, nil
}
