package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/httppart"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// dialSlow opens a connection over which the caller can receive little before it reads.
func (fixture *fixture) dialSlow(t *testing.T) *pipelinedCaller {
	const receiveBuffer = 8 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	connection, err := dialer.Dial("tcp", fixture.address)
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(maxWait)))
	return newPipelinedCaller(t, connection)
}

// forOpen calls visit for each open connection, with its mutex held.
func (fixture *fixture) forOpen(visit func(*guardedConnection)) {
	fixture.listener.mutex.Lock()
	defer fixture.listener.mutex.Unlock()
	for guarded := range fixture.listener.open {
		guarded.mutex.Lock()
		visit(guarded)
		guarded.mutex.Unlock()
	}
}

// Guards against a response that is cut off because its connection ends while requests lie in it unread, or arrive afterwards, and against
// a drain that ends before callers have received everything.
func TestResponseIsReceivedBeforeItsConnectionEnds(t *testing.T) {
	const long = 400 << 10
	chunked := "POST /payments HTTP/1.1\r\nHost: " + fixtureHost + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfee\r\n0\r\n\r\n"
	continued := "POST /payments HTTP/1.1\r\nHost: " + fixtureHost + "\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
	rejected := "GET /1 HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length : 5\r\n\r\n"
	cases := []struct {
		name         string
		maxPipelined int
		// before is answered before the long response is requested; ahead is sent behind that request, late after the connection was closed.
		before, ahead, late string
	}{
		{"pipelining", 8, "", lookup("/1"), lookup("/2")},
		{"a request that arrives after the close", 8, "", "", lookup("/1")},
		{"a rejected request", 8, "", rejected, ""},
		{"no pipelining", 0, "", lookup("/1"), ""},
		{"no pipelining, a request that arrives after the close", 0, "", "", lookup("/1")},
		{"after a body in chunks", 8, chunked, lookup("/1"), lookup("/2")},
		{"a body in chunks whose caller waits to be asked for it", 8, "", continued, lookup("/2")},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			gate := newGate("/payments", "/1", "/2")
			limits := pipelinedLimits()
			limits.MaxPipelined = testCase.maxPipelined
			fixture := newPipelinedFixture(t, limits, func(writer http.ResponseWriter, request *http.Request) {
				gate.serve(writer, request)
				if request.URL.Path == "/long" {
					_, _ = writer.Write(bytes.Repeat([]byte("x"), long))
				}
			})
			caller := fixture.dialSlow(t)
			if testCase.before != "" {
				caller.send(testCase.before)
				got, err := caller.receive()
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, got.status)
				require.False(t, got.closes)
			}
			arrivedBefore := len(gate.awaitArrived(t, 0))
			caller.send(lookup("/long"), testCase.ahead)
			gate.awaitArrived(t, arrivedBefore+1)
			// The instance can send the whole response to the kernel before the caller reads any of it.
			fixture.forOpen(func(guarded *guardedConnection) { _ = guarded.SetWriteBuffer(4 * long) })
			fixture.handler.Drain(10*clock.Second, 20*clock.Second)
			drained := make(chan error, 1)
			go func() { drained <- fixture.listener.Drain(t.Context()) }()
			require.Eventually(t, fixture.isClosing, maxWait, pollInterval)
			gate.release("/long")
			require.Eventually(t, func() bool { return fixture.handler.InFlight() == 0 }, maxWait, pollInterval)
			require.Empty(t, drained, "the caller has not received the response yet")
			caller.send(testCase.late)
			got, err := caller.receive()
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, got.status)
			require.Len(t, got.body, len("/long")+long)
			for err == nil {
				_, err = caller.receive()
			}
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the connection ends without a reset")
			caller.connection.Close()
			require.NoError(t, <-drained)
		})
	}
}

// Guards against a refusal that is lost because its connection is reset while the caller still sends the body.
func TestRefusalIsReceivedByACallerThatStillSends(t *testing.T) {
	fixture := newPipelinedFixture(t, pipelinedLimits(), newGate().serve)
	const length = 8 << 20
	cases := []struct {
		name, head string
		status     int
	}{
		{"body too long", "POST /payments HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length: 8388608\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"unknown route", "POST /payments HTTP/1.1\r\nHost: else.example\r\nContent-Length: 8388608\r\n\r\n", http.StatusNotFound},
		{"no HTTP", "POST /payments HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length : 8388608\r\n\r\n", http.StatusBadRequest},
		{"head too long", "POST /payments HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			caller := fixture.dialSlow(t)
			caller.send(testCase.head)
			_, err := caller.connection.Write(make([]byte, length))
			require.NoError(t, err, "the body is read until the caller has sent it")
			got, err := caller.receive()
			require.NoError(t, err)
			require.Equal(t, testCase.status, got.status)
		})
	}
}

// Guards against responses on an HTTP/2 connection that are cut off because the process ends before the caller has received them.
func TestMultiplexedResponsesOutlastTheShutdown(t *testing.T) {
	const requests, length = 4, 200 << 10
	gate := newGate()
	fixture := newUnservedFixture(t, fixtureService(), startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		gate.serve(writer, request)
		_, _ = writer.Write(make([]byte, length))
	}), startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		gate.serve(writer, request)
		_, _ = writer.Write(make([]byte, length))
	}))
	limits := pipelinedLimits()
	listener, err := Listen("127.0.0.1:0", limits, &fixture.registry.Events)
	require.NoError(t, err)
	fixture.address, fixture.listener = listener.Addr().String(), listener
	server, err := httppart.New(NewServer(fixture.handler, limits, &fixture.registry.Events), fixture.address, func(string) (httppart.Listener, error) {
		return httppart.Listener{Listener: listener, Drain: listener.Drain}, nil
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	results := make(chan int, requests)
	for number := range requests {
		request := fixture.newRequest(t, http.MethodGet, fmt.Sprint("/", number), http.NoBody)
		go func() {
			response, err := transport.RoundTrip(request)
			if err != nil {
				results <- 0
				return
			}
			defer response.Body.Close()
			text, _ := io.ReadAll(response.Body)
			results <- len(text)
		}()
	}
	gate.awaitArrived(t, requests)
	fixture.handler.Drain(10*clock.Second, 20*clock.Second)
	shutDown := make(chan error, 1)
	go func() { shutDown <- server.Shutdown(t.Context()) }()
	require.Eventually(t, fixture.isClosing, maxWait, pollInterval)
	gate.release("/0", "/1", "/2", "/3")
	<-shutDown
	// The process would exit now.
	require.Empty(t, fixture.listener.open)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	for range requests {
		require.Equal(t, length+len("/0"), <-results)
	}
}
