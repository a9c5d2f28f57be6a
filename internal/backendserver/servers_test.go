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

// scriptedServer treats each connection as its test says.
func scriptedServer(t testing.TB, treat func(connection net.Conn, reader *bufio.Reader)) string {
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
				treat(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

// answerOnceThenCut answers one request on each connection, then reads a second one whole and breaks off.
func answerOnceThenCut(runs *atomic.Int64) func(net.Conn, *bufio.Reader) {
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

func newServers(t testing.TB, clock *clock.Clock, address string, most int) *Servers {
	servers := NewServers(clock)
	t.Cleanup(servers.Close)
	servers.Set(target, Options{Address: address, ConnectionsMost: most, Connections: connectionSettings()})
	return servers
}

func newPost(t testing.TB, address string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/payments", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", "payment-1")
	return request
}

// exchangeAll sends a request and reads its whole answer.
func exchangeAll(servers *Servers, request *http.Request, freshOnly bool) error {
	exchange, err := servers.Send(context.Background(), target, request, freshOnly)
	if err != nil {
		return err
	}
	defer exchange.Close()
	_, err = io.Copy(io.Discard, exchange)
	return err
}

// A kept connection dies under a payment that carries an Idempotency-Key. The standard library's pooled transport takes
// the key for leave to send it again, and the family is charged twice; a connection of our own sends it once and says
// that it may have run. The first half shows the danger, so that nobody puts the transport back for its convenience.
func TestPaymentIsWrittenOnce(t *testing.T) {
	cases := []struct {
		name string
		send func(t *testing.T, address string) error
		runs int64
	}{
		{"the standard library's transport", func(t *testing.T, address string) error {
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
		{"a connection of our own", func(t *testing.T, address string) error {
			servers := newServers(t, clock.New(), address, 4)
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", http.NoBody)
			require.NoError(t, err)
			require.NoError(t, exchangeAll(servers, request, false))
			err = exchangeAll(servers, newPost(t, address), true)
			var failure *Error
			require.True(t, errors.As(err, &failure))
			require.True(t, failure.Reused, "the kept connection was used")
			require.True(t, failure.Written)
			require.False(t, IsErrNotWritten(err))
			return err
		}, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var runs atomic.Int64
			_ = testCase.send(t, scriptedServer(t, answerOnceThenCut(&runs)))
			require.Equal(t, testCase.runs, runs.Load())
		})
	}
}

// The server closes a kept connection after it was chosen for a payment and before the payment is written. Not a byte
// leaves on it, and the error says so, which makes it safe to send even a payment again.
func TestClosedIdleConnectionIsNotWritten(t *testing.T) {
	chosenHere := make(chan struct{})
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		<-chosenHere
	})
	servers := newServers(t, clock.New(), address, 1)
	require.NoError(t, exchangeAll(servers, newPost(t, address), true))
	found, _ := servers.pools.Load(target)
	kept, isPool := found.(*pool)
	require.True(t, isPool)
	kept.mutex.Lock()
	idle := kept.idle
	kept.idle = nil
	kept.mutex.Unlock()
	require.Len(t, idle, 1)
	chosen := idle[0]
	close(chosenHere)
	require.Eventually(t, func() bool { return chosen.client.Err() != nil }, time.Minute, time.Millisecond)
	_, err := kept.exchange(context.Background(), chosen, newPost(t, address))
	require.True(t, IsErrNotWritten(err), "%v", err)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Reused)
	require.Zero(t, servers.Open(target), "its place among the agreed connections is free again")
}

// Many requests at once never open more connections than were agreed; those for which there is none are told that they
// were not sent. One too many would take a connection that another instance counts on.
func TestAgreedConnectionsHold(t *testing.T) {
	const agreed = 3
	var open, most atomic.Int64
	release := make(chan struct{})
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if now := open.Add(1); now > most.Load() {
			most.Store(now)
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
	servers := newServers(t, clock.New(), address, agreed)
	results := make(chan error, 20)
	var sent sync.WaitGroup
	for range 20 {
		sent.Go(func() { results <- exchangeAll(servers, newPost(t, address), true) })
	}
	refused := 0
	for range 20 - agreed {
		err := <-results
		require.ErrorIs(t, err, ErrConnectionsUsed)
		require.True(t, IsErrNotWritten(err))
		refused++
	}
	close(release)
	sent.Wait()
	for range agreed {
		require.NoError(t, <-results)
	}
	require.Equal(t, 20-agreed, refused)
	require.LessOrEqual(t, most.Load(), int64(agreed))
}

// A connection that has been silent for longer than it is trusted may be dead without anyone having said so. A payment
// does not go on it; a browse, which can be sent again, does.
func TestPaymentGoesOnlyWhereLifeWasSeen(t *testing.T) {
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
		{"browse after a long silence", 10 * clock.Second, false, 1},
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

// A caller that leaves an answer half read gives its connection up; the rest of that answer would be taken for the
// start of the next one's.
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
		require.Zero(t, servers.Open(target))
	}
}

// Unused connections are closed in time; removed servers' as well.
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
	require.Equal(t, 1, servers.Open(target))
	now.Add(int64(31 * clock.Second))
	servers.CloseIdle()
	require.Zero(t, servers.Open(target))
	servers.Remove(target)
	require.ErrorIs(t, exchangeAll(servers, newPost(t, address), true), ErrUnknownTarget)
}

// Load reports may be anything. A wrong one is an error that names the target and the step, and harms nothing else.
func TestReadReport(t *testing.T) {
	cases := []struct{ name, text, problem string }{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"startedMs":5,"inFlight":3  }`, ""},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<<<<", "load report"},
		{"below zero", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + `{"inFlight":-1}`, "below zero"},
		{"an error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "status 500"},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat(" ", 100000), "more than"},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{", "unexpected EOF"},
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
			require.ErrorContains(t, err, "report to backend server fees-1")
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
			require.ErrorIs(t, err, ErrReport)
			return
		}
		require.GreaterOrEqual(t, report.InFlight, 0)
		require.GreaterOrEqual(t, report.Queued, 0)
	})
}
