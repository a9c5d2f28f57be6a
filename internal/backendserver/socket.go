package backendserver

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// socket counts what passes over a connection, so that an error can tell whether a request left and a reuse can tell
// how long ago the other end last showed life.
type socket struct {
	net.Conn
	clock *clock.Clock

	written  atomic.Int64
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (socket *socket) Read(buffer []byte) (int, error) {
	count, err := socket.Conn.Read(buffer)
	if count > 0 {
		socket.lastRead.Store(int64(socket.clock.Now()))
	}
	return count, err
}

// Write implements net.Conn. Bytes count as written before they are handed to the kernel: a write that fails half way
// may have sent some of them.
func (socket *socket) Write(buffer []byte) (int, error) {
	socket.written.Add(int64(len(buffer)))
	return socket.Conn.Write(buffer)
}

// lifeSince returns the time since the other end's last byte.
func (socket *socket) lifeSince(now clock.Moment) clock.Milliseconds {
	return now.Since(clock.Moment(socket.lastRead.Load()))
}

// dial connects to a backend server. The kernel gives the connection up when sent bytes stay unacknowledged for
// silentMost: something between the two ends may have lost track of it while new connections work, and without this
// limit a request on it would hang until its deadline.
func dial(ctx context.Context, clock *clock.Clock, address string, silentMost clock.Milliseconds) (*socket, error) {
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionError error
			err := raw.Control(func(descriptor uintptr) {
				optionError = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentMost))
			})
			if err != nil {
				return err
			}
			return optionError
		},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true},
	}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	dialed := &socket{Conn: connection, clock: clock}
	dialed.lastRead.Store(int64(clock.Now()))
	return dialed, nil
}
