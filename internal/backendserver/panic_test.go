package backendserver

import (
	"bufio"
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// brokenConn is a connection whose reads or writes panic.
type brokenConn struct {
	net.Conn

	read, write func()
}

// Read implements net.Conn.
func (brokenConn *brokenConn) Read(buffer []byte) (int, error) {
	brokenConn.read()
	return brokenConn.Conn.Read(buffer)
}

// Write implements net.Conn.
func (brokenConn *brokenConn) Write(buffer []byte) (int, error) {
	brokenConn.write()
	return brokenConn.Conn.Write(buffer)
}

// Guards against a panic while a connection is opened, read or written, partly on goroutines of net/http, which ends the process, or after
// which the connection counts as open for ever. A request of which bytes may have been sent must not count as not written.
func TestPanicOnAConnection(t *testing.T) {
	working, failNow := func() {}, func() { panic("on purpose") }
	begun := make(chan struct{}, 1)
	dialWith := func(read, write func()) DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			var dialer net.Dialer
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &brokenConn{Conn: connection, read: read, write: write}, nil
		}
	}
	check := context.Background()
	cases := []struct {
		name string
		fail func(*Servers)
		ctx  context.Context
		// passes is whether the panic reaches the caller of Send.
		passes, written bool
	}{
		{"dial", func(servers *Servers) {
			servers.Dial = func(context.Context, string, string) (net.Conn, error) { panic("on purpose") }
		}, check, false, false},
		{"result of the dial", func(servers *Servers) { servers.OnConnect = func(settings.TargetName, error) { failNow() } }, check, true, false},
		{"read", func(servers *Servers) {
			// net/http reads before it writes, and nothing would be written after the panic.
			readAfterWrite := func() {
				<-begun
				failNow()
			}
			servers.Dial = dialWith(readAfterWrite, func() { begun <- struct{}{} })
		}, check, false, true},
		{"write", func(servers *Servers) { servers.Dial = dialWith(working, failNow) }, check, false, true},
		{"check before the write", func(*Servers) {}, WithWriteCheck(check, func() error { panic("on purpose") }), false, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var runs atomic.Int64
			address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) { respondOnceThenClose(&runs)(connection, reader) })
			servers := newServers(t, clock.New(), address, 1)
			events := new(expvar.Map).Init()
			servers.Guard = supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: events})
			testCase.fail(servers)
			for range 3 {
				send := func() {
					_, err := servers.Send(testCase.ctx, target, newPost(t, address), true)
					require.Error(t, err)
					require.NotErrorIs(t, err, ErrConnectionLimitReached)
					if testCase.written {
						require.False(t, IsErrNotWritten(err))
					}
				}
				if testCase.passes {
					require.Panics(t, send)
				} else {
					send()
				}
				require.Zero(t, servers.OpenConnections(target))
			}
			servers.Dial, servers.OnConnect = nil, nil
			exchange, err := servers.Send(t.Context(), target, newPost(t, address), true)
			require.NoError(t, err)
			exchange.Close()
		})
	}
}
