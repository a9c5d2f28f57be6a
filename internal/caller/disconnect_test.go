package caller

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against requests that reach backend servers after their callers have left, because a busy instance reads them late.
func TestRequestOfADisconnectedCallerIsNotSent(t *testing.T) {
	cases := []struct {
		name string
		head string
		end  func(*testing.T, *net.TCPConn)
	}{
		{"lookup, connection closed", "GET /look", func(t *testing.T, connection *net.TCPConn) { require.NoError(t, connection.Close()) }},
		{"payment, connection closed", "POST /payments", func(t *testing.T, connection *net.TCPConn) { require.NoError(t, connection.Close()) }},
		{"lookup, connection reset", "GET /look", func(t *testing.T, connection *net.TCPConn) {
			require.NoError(t, connection.SetLinger(0))
			require.NoError(t, connection.Close())
		}},
	}
	const callers = 50
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var reached atomic.Int64
			address := startBackend(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
			serviceSettings := fixtureService()
			serviceSettings.Queue.Length = 2 * callers
			fixture := newUnservedFixture(t, serviceSettings, address)
			limits := settings.Callers{MaxConnections: 2 * callers, MaxHeaderSize: 8 << 10, HeaderTimeout: 30 * clock.Second, IdleTimeout: clock.Minute, MaxStall: clock.Minute}
			listener, err := Listen("127.0.0.1:0", limits, &fixture.registry.Events)
			require.NoError(t, err)
			for number := range callers {
				connection, err := net.Dial("tcp", listener.Addr().String())
				require.NoError(t, err)
				_, err = fmt.Fprintf(connection, "%s/%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", testCase.head, number, fixtureHost)
				require.NoError(t, err)
				testCase.end(t, connection.(*net.TCPConn)) //nolint:forcetypeassert // TCP was dialed.
			}
			server := NewServer(fixture.handler, limits, &fixture.registry.Events)
			go func() { _ = server.Serve(listener) }()
			fixture.address = listener.Addr().String()
			t.Cleanup(func() { server.Close() })
			require.Equal(t, http.StatusOK, fixture.send(t, fixture.newRequest(t, http.MethodGet, "/look/last", nil)).status)
			require.NoError(t, listener.Drain(t.Context()), "all requests have been handled")
			require.EqualValues(t, 1, reached.Load(), "only the request of the caller that stays is sent")
		})
	}
}
