package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/supervisor"
)

// Guards against a panic on a goroutine with which the HTTP server reads, writes or closes a connection, which ends the process, and against
// one after which the connection counts as open for ever.
func TestPanicOnAConnection(t *testing.T) {
	cases := []struct {
		name string
		fail func(*Listener)
		// requests is what the caller sends before it closes the connection, answered the number of them that are answered at least.
		requests []string
		answered int
	}{
		{"reading behind a request", func(listener *Listener) { listener.pipelining.events = nil }, []string{lookup("/a"), lookup("/b"), lookup("/c")}, 1},
		{"closing within a request", func(listener *Listener) { listener.onUnfinished = func() { panic("on purpose") } }, []string{"GET /a HTTP/1.1\r\n"}, 0},
		{"sending a held response", func(listener *Listener) {
			sent := 0
			listener.onSent = func(int64) {
				if sent++; sent > 1 {
					panic("on purpose")
				}
			}
		}, []string{lookup("/a"), lookup("/b"), lookup("/c")}, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var arrived atomic.Int64
			release := make(chan struct{})
			fixture := newUnservedFixture(t, fixtureService(), startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/a" {
					arrived.Add(1)
					<-release
				}
				_, _ = io.WriteString(writer, request.URL.Path)
			}))
			fixture.guard()
			listener, err := Listen("127.0.0.1:0", pipelinedLimits(), &fixture.registry.Events)
			require.NoError(t, err)
			fixture.listener, fixture.address = listener, listener.Addr().String()
			listener.connections.Guard = supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: &fixture.registry.Events})
			testCase.fail(listener)
			server := NewServer(fixture.handler, pipelinedLimits(), &fixture.registry.Events)
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { server.Close() })
			caller := fixture.dialPipelined(t)
			caller.send(testCase.requests...)
			if len(testCase.requests) == 1 {
				require.NoError(t, caller.connection.CloseWrite())
			}
			if testCase.answered > 0 {
				require.Eventually(t, func() bool { return arrived.Load() > 0 }, maxWait, pollInterval)
			}
			close(release)
			answered := 0
			for ; ; answered++ {
				if _, err := caller.receive(); err != nil {
					break
				}
			}
			require.GreaterOrEqual(t, answered, testCase.answered, "the request before the panic is answered")
			caller.connection.Close()
			require.Positive(t, fixture.panics())
			require.Eventually(t, func() bool { return fixture.listener.connections.open.Load() == 0 }, maxWait, pollInterval, "the connection is closed")
			require.Eventually(t, func() bool { return fixture.handler.InFlight() == 0 }, maxWait, pollInterval)
			require.Zero(t, fixture.listener.pipelining.heldBytes.Load())
		})
	}
}
