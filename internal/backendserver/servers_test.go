package backendserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const target = settings.TargetName("fees-1")

// scriptedServer starts a server that calls handle for each connection. It returns the address of the server.
func scriptedServer(t testing.TB, handle func(connection net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				handle(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

// respondOnceThenClose responds to one request on each connection, then reads a second one to its end and closes the
// connection.
func respondOnceThenClose(runs *atomic.Int64) func(net.Conn, *bufio.Reader) {
	return func(connection net.Conn, reader *bufio.Reader) {
		for number := range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.Method == http.MethodPost {
				runs.Add(1)
			}
			if number == 0 {
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}
}

func connectionSettings() settings.Connections {
	return settings.Connections{ConnectTimeout: 5 * clock.Second, IdleTimeout: 30 * clock.Second, FreshFor: clock.Second, AckTimeout: 5 * clock.Second}
}

func newServers(t testing.TB, clock *clock.Clock, address string, maxConnections int) *Servers {
	servers := NewServers(clock)
	t.Cleanup(servers.Close)
	servers.Set(target, Options{Address: address, MaxConnections: FixedLimit(maxConnections), Connections: connectionSettings()})
	return servers
}

func newPost(t testing.TB, address string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/payments", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", "payment-1")
	return request
}

// exchangeAll sends a request and reads the complete response.
func exchangeAll(servers *Servers, request *http.Request, freshOnly bool) error {
	exchange, err := servers.Send(context.Background(), target, request, freshOnly)
	if err != nil {
		return err
	}
	defer exchange.Close()
	_, err = io.Copy(io.Discard, exchange)
	return err
}

// Guards against a payment that runs twice. A reused connection fails during a payment with an Idempotency-Key. The
// standard library's pooled transport considers such a request replayable and sends it again. A connection of this package
// sends it once and reports that it may have run. The first case shows why the pooled transport can't be used.
func TestPaymentIsWrittenOnce(t *testing.T) {
	cases := []struct {
		name string
		send func(t *testing.T, address string) error
		runs int64
	}{
		{"pooled transport of the standard library", func(t *testing.T, address string) error {
			client := &http.Client{Transport: &http.Transport{}}
			response, err := client.Get("http://" + address + "/")
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			again, err := client.Do(newPost(t, address))
			if err == nil {
				again.Body.Close()
			}
			return err
		}, 2},
		{"connection of this package", func(t *testing.T, address string) error {
			servers := newServers(t, clock.New(), address, 4)
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", http.NoBody)
			require.NoError(t, err)
			require.NoError(t, exchangeAll(servers, request, false))
			err = exchangeAll(servers, newPost(t, address), true)
			var failure *Error
			require.True(t, errors.As(err, &failure))
			require.True(t, failure.Reused, "the idle connection was used")
			require.True(t, failure.Written)
			require.False(t, IsErrNotWritten(err))
			return err
		}, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var runs atomic.Int64
			_ = testCase.send(t, scriptedServer(t, respondOnceThenClose(&runs)))
			require.Equal(t, testCase.runs, runs.Load())
		})
	}
}

// The server closes an idle connection after it was selected for a payment and before the payment is written. No byte is
// sent, and the error says so, so that even a payment can safely be sent again.
func TestClosedIdleConnectionIsNotWritten(t *testing.T) {
	selected := make(chan struct{})
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		<-selected
	})
	servers := newServers(t, clock.New(), address, 1)
	require.NoError(t, exchangeAll(servers, newPost(t, address), true))
	found, _ := servers.pools.Load(target)
	connectionPool, isPool := found.(*pool)
	require.True(t, isPool)
	connectionPool.mutex.Lock()
	idle := connectionPool.idle
	connectionPool.idle = nil
	connectionPool.mutex.Unlock()
	require.Len(t, idle, 1)
	idleConnection := idle[0]
	close(selected)
	require.Eventually(t, func() bool { return idleConnection.client.Err() != nil }, time.Minute, time.Millisecond)
	_, err := connectionPool.exchange(context.Background(), idleConnection, newPost(t, address))
	require.True(t, IsErrNotWritten(err), "%v", err)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Reused)
	require.Zero(t, servers.OpenConnections(target), "the connection no longer counts towards the limit")
}

// Concurrent requests never open more connections than this instance's share. Requests above it fail with an error that
// says that they were not sent. A connection above the share would take one that another instance relies on.
func TestConnectionLimitHolds(t *testing.T) {
	const maxConnections = 3
	var open, maxOpen atomic.Int64
	release := make(chan struct{})
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if now := open.Add(1); now > maxOpen.Load() {
			maxOpen.Store(now)
		}
		defer open.Add(-1)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			<-release
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	servers := newServers(t, clock.New(), address, maxConnections)
	results := make(chan error, 20)
	var sent sync.WaitGroup
	for range 20 {
		sent.Go(func() { results <- exchangeAll(servers, newPost(t, address), true) })
	}
	rejected := 0
	for range 20 - maxConnections {
		err := <-results
		require.ErrorIs(t, err, ErrConnectionLimitReached)
		require.True(t, IsErrNotWritten(err))
		rejected++
	}
	close(release)
	sent.Wait()
	for range maxConnections {
		require.NoError(t, <-results)
	}
	require.Equal(t, 20-maxConnections, rejected)
	require.LessOrEqual(t, maxOpen.Load(), int64(maxConnections))
}

// An idle connection on which nothing has been received for longer than the freshness period may be dead without an error
// on this side. A payment is not sent on it; a browsing request, which can be sent again, is.
func TestPaymentUsesFreshConnection(t *testing.T) {
	var connections atomic.Int64
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		connections.Add(1)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	cases := []struct {
		name      string
		silence   clock.Milliseconds
		freshOnly bool
		want      int64
	}{
		{"browsing after a long silence", 10 * clock.Second, false, 1},
		{"payment after a short silence", clock.Second / 2, true, 1},
		{"payment after a long silence", 10 * clock.Second, true, 2},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			connections.Store(0)
			var now atomic.Int64
			manual := &clock.Clock{Now: func() clock.Moment { return clock.Moment(now.Load()) }}
			servers := newServers(t, manual, address, 1)
			require.NoError(t, exchangeAll(servers, newPost(t, address), true))
			now.Add(int64(testCase.silence))
			require.NoError(t, exchangeAll(servers, newPost(t, address), testCase.freshOnly))
			require.Equal(t, testCase.want, connections.Load())
		})
	}
}

// Guards against reuse of a connection whose response was not read to the end: the rest of the response would be read as
// the start of the next one.
func TestHalfReadAnswerIsNotReused(t *testing.T) {
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for number := 1; ; number++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"+request.URL.Query().Get("id"))
		}
	})
	servers := newServers(t, clock.New(), address, 2)
	for _, id := range []string{"aaaaaa", "bbbbbb", "cccccc"} {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+"/?id="+id, http.NoBody)
		require.NoError(t, err)
		exchange, err := servers.Send(context.Background(), target, request, false)
		require.NoError(t, err)
		half := make([]byte, 3)
		_, err = io.ReadFull(exchange, half)
		require.NoError(t, err)
		require.Equal(t, id[:3], string(half))
		exchange.Close()
		require.Zero(t, servers.OpenConnections(target))
	}
}

// Idle connections are closed after the idle timeout. A removed server is unknown.
func TestIdleConnectionsAreClosed(t *testing.T) {
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var now atomic.Int64
	servers := newServers(t, &clock.Clock{Now: func() clock.Moment { return clock.Moment(now.Load()) }}, address, 2)
	require.NoError(t, exchangeAll(servers, newPost(t, address), true))
	servers.CloseIdle()
	require.Equal(t, 1, servers.OpenConnections(target))
	now.Add(int64(31 * clock.Second))
	servers.CloseIdle()
	require.Zero(t, servers.OpenConnections(target))
	servers.Remove(target)
	require.ErrorIs(t, exchangeAll(servers, newPost(t, address), true), ErrUnknownTarget)
}

// A malformed or invalid load report gives an error that names the target and the step.
func TestReadReport(t *testing.T) {
	cases := []struct{ name, text, problem string }{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"startedMs":5,"inFlight":3  }`, ""},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<<<<", "load report"},
		{"below zero", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + `{"inFlight":-1}`, "below zero"},
		{"error status", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "status 500"},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat(" ", 100000), "more than"},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{", "unexpected EOF"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(connection, testCase.text)
			})
			report, err := newServers(t, clock.New(), address, 1).ReadReport(context.Background(), target, "/load")
			if testCase.problem == "" {
				require.NoError(t, err)
				require.Equal(t, Report{StartedMs: 5, InFlight: 3}, report)
				return
			}
			require.ErrorContains(t, err, testCase.problem)
			require.ErrorContains(t, err, "report step at backend server fees-1")
		})
	}
}

func FuzzParseReport(f *testing.F) {
	f.Add(200, []byte(`{"startedMs":1,"inFlight":2,"queued":0,"draining":false}`))
	f.Add(200, []byte(`{"inFlight":1e99}`))
	f.Add(503, []byte(`[]`))
	f.Fuzz(func(t *testing.T, status int, text []byte) {
		report, err := parseReport(status, text)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidReport)
			return
		}
		require.GreaterOrEqual(t, report.InFlight, 0)
		require.GreaterOrEqual(t, report.Queued, 0)
	})
}

// Guards against a server that is taken for one that has ended because it reset a connection or is cut off.
func TestCheckListening(t *testing.T) {
	listening := scriptedServer(t, func(connection net.Conn, _ *bufio.Reader) { connection.Close() })
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended.Close()
	cases := []struct {
		name    string
		address string
		dial    DialFunc
		state   ListenState
	}{
		{"listens, and closes each connection", listening, nil, Listening},
		{"has ended", ended.Addr().String(), nil, NotListening},
		{"cut off", listening, func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, ListenUnknown},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			servers := NewServers(clock.New())
			servers.Dial = testCase.dial
			servers.Set(target, Options{Address: testCase.address, MaxConnections: FixedLimit(1), Connections: connectionSettings()})
			require.Equal(t, testCase.state, servers.CheckListening(t.Context(), target))
		})
	}
	require.Equal(t, ListenUnknown, NewServers(clock.New()).CheckListening(t.Context(), "unknown"))
}
