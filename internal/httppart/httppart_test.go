package httppart

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/headmemory"
	"github.com/jaywheel/jaywheel/internal/supervisor"
)

// Timeout and interval for conditions that another goroutine fulfils.
const (
	waitTimeout = 10 * time.Second
	waitTick    = time.Millisecond
)

// Guards against dropped requests on connections that were accepted before a restart of the component.
func TestShutdownDrainsFormerListenersAsWell(t *testing.T) {
	var listeners []net.Listener
	drained := make(chan int, 2)
	server, err := New(&http.Server{}, "127.0.0.1:0", func(address string) (Listener, error) {
		listener, err := net.Listen("tcp", address)
		number := len(listeners)
		listeners = append(listeners, listener)
		drain := func(context.Context) error {
			drained <- number
			return listener.Close()
		}
		return Listener{Listener: listener, Drain: drain}, err
	})
	require.NoError(t, err)
	require.NoError(t, listeners[0].Close())
	require.ErrorIs(t, server.Serve(t.Context()), net.ErrClosed)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", server.Address())
		if err == nil {
			connection.Close()
		}
		return err == nil
	}, waitTimeout, waitTick)
	_ = server.Shutdown(t.Context())
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	close(drained)
	var drainedBy []int
	for number := range drained {
		drainedBy = append(drainedBy, number)
	}
	require.ElementsMatch(t, []int{0, 1}, drainedBy)
}

// Guards against an operator's response that is cut off because its connection is closed with the next request unread.
func TestResponseOutlastsItsConnection(t *testing.T) {
	const length = 400 << 10
	server, err := New(&http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Connection", "close")
		_, _ = writer.Write(make([]byte, length))
	})}, "127.0.0.1:0", NewListenFunc(ListenOptions{}))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	connection, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	const request = "GET / HTTP/1.1\r\nHost: operators\r\n\r\n"
	// The HTTP server reads 4 KB ahead; what follows them stays unread.
	_, err = io.WriteString(connection, strings.Repeat(request, 300))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, body, length)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// Guards against a handler that panics and whose callers get no response, or one that looks complete.
func TestPanicIsAnswered(t *testing.T) {
	cases := []struct {
		name   string
		handle http.HandlerFunc
		status int
	}{
		{"before the response", func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "100")
			panic("on purpose")
		}, http.StatusServiceUnavailable},
		{"within the response", func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("part"))
			panic("on purpose")
		}, 0},
		{"none", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }, http.StatusOK},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			guard := supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: new(expvar.Map).Init()})
			server := httptest.NewServer(NewGuardedHandler(guard, "test", testCase.handle))
			defer server.Close()
			response, err := server.Client().Get(server.URL)
			if testCase.status == 0 {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, testCase.status, response.StatusCode)
		})
	}
}

// Guards against a listener whose end panics and ends the process while requests are in flight.
func TestPanicWhileDraining(t *testing.T) {
	events := new(expvar.Map).Init()
	server, err := New(&http.Server{Handler: http.NotFoundHandler()}, "127.0.0.1:0", func(address string) (Listener, error) {
		listener, err := net.Listen("tcp", address)
		return Listener{Listener: listener, Drain: func(context.Context) error { panic("on purpose") }}, err
	})
	require.NoError(t, err)
	defer server.Close()
	server.Guard = supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: events})
	var panicError *supervisor.PanicError
	require.ErrorAs(t, server.Shutdown(t.Context()), &panicError)
	require.Equal(t, "1", events.Get(supervisor.EventPanic).String())
}

// startShort starts a server whose listener has the given options.
func startShort(t *testing.T, options ListenOptions) *Server {
	server, err := New(&http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "ready")
	})}, "127.0.0.1:0", NewListenFunc(options))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return server
}

func dialShort(t *testing.T, server *Server, text string) net.Conn {
	connection, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(connection, text)
	require.NoError(t, err)
	return connection
}

// Guards against a server that uses up the descriptors of the process, or answers nobody, because many connections to it are held open.
func TestNewConnectionsDisplaceOldOnes(t *testing.T) {
	for _, held := range []string{"", "GET / HTTP/1.1\r\nHost: ", "GET / HTTP/1.1\r\nHost: readiness\r\n\r\n"} {
		server := startShort(t, ListenOptions{MaxConnections: 4})
		var connections []net.Conn
		for range 20 {
			connections = append(connections, dialShort(t, server, held))
		}
		response, err := http.Get("http://" + server.Address())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
		_, err = io.ReadAll(connections[0])
		require.False(t, isTimeout(err), "the oldest connection is still open")
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// Guards against a process that runs out of memory because of what is sent to a server that needs only short heads.
func TestShortServerBoundsItsHeads(t *testing.T) {
	budget := headmemory.NewBudget(20 << 10)
	server := startShort(t, ListenOptions{HeadMemory: budget})
	refused := dialShort(t, server, "GET / HTTP/1.1\r\nHost: readiness\r\n"+strings.Repeat("A:\r\n", 200))
	_, err := io.ReadAll(refused)
	require.False(t, isTimeout(err), "the connection is still open")
	for range 3 {
		response, err := http.Get("http://" + server.Address())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Eventually(t, func() bool { return budget.Used() == 0 }, waitTimeout, waitTick)
}
