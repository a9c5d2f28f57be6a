// Package linger ends TCP connections without cutting off what has been sent on them.
//
// A connection that is closed while bytes lie in it unread, or that receives bytes after it has been closed, is reset, and the kernel
// drops what it has not sent. Peers that send requests ahead of responses, or a body that nobody reads, would lose responses that have
// been written completely. Wait reads and discards until the peer has received everything.
//
// # Usage
//
//	if linger.Needed(connection) {
//		linger.Wait(connection, linger.Options{MaxStall: 30 * clock.Second})
//	}
//	connection.Close()
package linger

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// quietTimeout is how long the peer sends nothing, once it has received everything, before it is taken to have seen the end. A peer that
	// closes its side ends the wait at once.
	quietTimeout = 500 * clock.Millisecond
	// maxAfterReceipt is how long a peer that goes on sending is read from once it has received everything.
	maxAfterReceipt = 2 * clock.Second
	// pollInterval is how often it is checked how much the peer has received.
	pollInterval = 50 * clock.Millisecond
	// readBytes is the size of the buffer for what is discarded.
	readBytes = 4 << 10
)

// Options configures Wait.
type Options struct {
	// MaxStall is how long the peer may receive nothing while something is left to send.
	MaxStall clock.Milliseconds
}

// Unread returns the number of bytes that have been received and not read, 0 if that is not known.
func Unread(connection *net.TCPConn) int {
	return queued(connection, unix.TIOCINQ)
}

// Unsent returns the number of bytes that have been written and that the peer has not acknowledged, 0 if that is not known. The end of
// the stream counts as a byte once the sending side has been closed.
func Unsent(connection *net.TCPConn) int {
	return queued(connection, unix.TIOCOUTQ)
}

func queued(connection *net.TCPConn, request uint) int {
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) { count, _ = unix.IoctlGetInt(int(descriptor), request) })
	if err != nil {
		return 0
	}
	return count
}

// Needed reports whether the peer could lose something if the connection was closed at once.
func Needed(connection *net.TCPConn) bool {
	return Unread(connection) > 0 || Unsent(connection) > 0
}

// Wait ends the sending side, and discards what the peer sends until it has closed its side or has received everything and is quiet. It
// does not close the connection. Nothing else may read from the connection meanwhile.
func Wait(connection *net.TCPConn, options Options) {
	if connection.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, readBytes)
	wait := newWait(time.Now(), options)
	for {
		if connection.SetReadDeadline(time.Now().Add(pollInterval.Duration())) != nil {
			return
		}
		count, err := connection.Read(buffer)
		if err != nil && !isTimeout(err) {
			return
		}
		if wait.ended(time.Now(), count > 0, Unsent(connection)) {
			return
		}
	}
}

func isTimeout(err error) bool {
	netError, isNetError := err.(net.Error) //nolint:errorlint // net returns it bare.
	return isNetError && netError.Timeout()
}

// wait decides how long to wait.
type wait struct {
	options Options
	// unsent is the number of bytes left to send, -1 before it is known.
	unsent int
	// receivedAt is when the peer last received something, completeAt when it had received everything, and sentAt when it last sent something.
	receivedAt, completeAt, sentAt time.Time
}

func newWait(now time.Time, options Options) *wait {
	return &wait{options: options, unsent: -1, receivedAt: now, sentAt: now}
}

// ended reports whether the wait is over, given whether the peer has sent something and how much is left to send.
func (wait *wait) ended(now time.Time, sent bool, unsent int) bool {
	if sent {
		wait.sentAt = now
	}
	if unsent < wait.unsent || wait.unsent < 0 {
		wait.receivedAt = now
	}
	wait.unsent = unsent
	if unsent > 0 {
		return now.Sub(wait.receivedAt) > wait.options.MaxStall.Duration()
	}
	if wait.completeAt.IsZero() {
		wait.completeAt = now
	}
	quietSince := wait.completeAt
	if wait.sentAt.After(quietSince) {
		quietSince = wait.sentAt
	}
	return now.Sub(quietSince) > quietTimeout.Duration() || now.Sub(wait.completeAt) > maxAfterReceipt.Duration()
}
