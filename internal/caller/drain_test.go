package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const slotsRequest = "GET /slots HTTP/1.1\r\nHost: " + fixtureHost + "\r\n\r\n"

// drainFixture is an instance whose backend server responds on a signal.
type drainFixture struct {
	*fixture
	listener *Listener
	reached  chan struct{}
	respond  chan struct{}
}

func newDrainFixture(t *testing.T) *drainFixture {
	drainFixture := &drainFixture{reached: make(chan struct{}, 8), respond: make(chan struct{})}
	address := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		drainFixture.reached <- struct{}{}
		select {
		case <-drainFixture.respond:
		case <-request.Context().Done():
		}
		_, _ = io.WriteString(writer, "whole")
	})
	drainFixture.fixture = newUnservedFixture(t, fixtureService(), address)
	limits := settings.Callers{MaxConnections: 100, MaxHeaderSize: 8 << 10, HeaderTimeout: 30 * 1000, IdleTimeout: 60 * 1000, MaxStreams: 100}
	listener, err := Listen("127.0.0.1:0", limits, &drainFixture.registry.Events)
	require.NoError(t, err)
	drainFixture.listener = listener
	server := NewServer(drainFixture.handler, limits, &drainFixture.registry.Events)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return drainFixture
}

// callerConnection is a caller's connection to the instance.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
}

func (drainFixture *drainFixture) dial(t *testing.T) *callerConnection {
	connection, err := net.Dial("tcp", drainFixture.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(time.Minute)))
	return &callerConnection{Conn: connection, reader: bufio.NewReader(connection)}
}

func (callerConnection *callerConnection) sendRequest(t *testing.T) {
	_, err := io.WriteString(callerConnection, slotsRequest)
	require.NoError(t, err)
}

func (callerConnection *callerConnection) readResponse() (*http.Response, error) {
	response, err := http.ReadResponse(callerConnection.reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// Guards against requests that are read but never answered, and against idle connections that delay the drain.
func TestDrainAnswersWhatItReadsAndEndsTheRest(t *testing.T) {
	drainFixture := newDrainFixture(t)
	idle, busy, late, unused := drainFixture.dial(t), drainFixture.dial(t), drainFixture.dial(t), drainFixture.dial(t)
	idle.sendRequest(t)
	<-drainFixture.reached
	drainFixture.respond <- struct{}{}
	_, err := idle.readResponse()
	require.NoError(t, err)
	busy.sendRequest(t)
	<-drainFixture.reached
	drainResult := make(chan error, 1)
	drainFixture.handler.Drain(0, clock.Minute)
	go func() { drainResult <- drainFixture.listener.Drain(context.Background()) }()
	_, err = idle.readResponse()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "an idle connection is closed")
	late.sendRequest(t)
	<-drainFixture.reached
	close(drainFixture.respond)
	for _, connection := range []*callerConnection{busy, late} {
		response, err := connection.readResponse()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.True(t, response.Close, "the response says that the connection is closed")
	}
	_, err = unused.readResponse()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NoError(t, <-drainResult)
}

// Guards against requests that a draining instance accepts although they may last longer than the drain.
func TestDrainRefusesWhatItCannotFinish(t *testing.T) {
	drainFixture := newDrainFixture(t)
	connection := drainFixture.dial(t)
	drainFixture.handler.Drain(0, clock.Second)
	connection.sendRequest(t)
	response, err := connection.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.HeaderOutcome))
	require.Equal(t, string(outcome.ReasonLeaving), response.Header.Get(outcome.HeaderReason))
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, drainFixture.reached)
}

// acceptOne returns both ends of a connection to a Listener, the caller's end first.
func acceptOne(t *testing.T) (net.Conn, *guardedConnection) {
	listener, err := Listen("127.0.0.1:0", settings.Callers{MaxConnections: 1}, &newUnservedFixture(t, fixtureService()).registry.Events)
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	guarded, isGuarded := accepted.(*guardedConnection)
	require.True(t, isGuarded)
	return peer, guarded
}

// Guards against a connection that is closed as idle between the arrival of a request and its handling.
func TestClosingConnectionKeepsTheRequestThatHasArrived(t *testing.T) {
	cases := []struct {
		name    string
		before  func(*guardedConnection)
		arrived bool
		// ends means that the connection is closed instead of waiting for a request.
		ends bool
	}{
		{"idle connection without data", func(*guardedConnection) {}, false, true},
		{"request has arrived", func(*guardedConnection) {}, true, false},
		{"request is being handled", func(guarded *guardedConnection) { guarded.setState(http.StateActive) }, false, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			peer, guarded := acceptOne(t)
			guarded.setState(http.StateIdle)
			buffer := make([]byte, len(slotsRequest))
			if testCase.arrived {
				_, err := io.WriteString(peer, slotsRequest)
				require.NoError(t, err)
				_, err = io.ReadFull(guarded, buffer)
				require.NoError(t, err)
			}
			testCase.before(guarded)
			guarded.closeWhenIdle(false)
			require.NoError(t, guarded.SetReadDeadline(time.Time{}))
			_, err := io.WriteString(peer, "more")
			require.NoError(t, err)
			_, err = guarded.Read(buffer)
			require.Equal(t, testCase.ends, err != nil)
		})
	}
}

// Guards against a connection that is closed as idle although a request waits in its receive buffer.
func TestClosingConnectionKeepsTheRequestThatWaitsToBeRead(t *testing.T) {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		t.Run(state.String(), func(t *testing.T) {
			peer, guarded := acceptOne(t)
			guarded.setState(state)
			_, err := io.WriteString(peer, slotsRequest)
			require.NoError(t, err)
			raw, err := guarded.SyscallConn()
			require.NoError(t, err)
			require.NoError(t, raw.Read(func(descriptor uintptr) bool {
				count, _, _ := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
				return count > 0
			}))
			guarded.closeWhenIdle(true)
			require.NoError(t, guarded.SetReadDeadline(time.Time{}))
			_, err = io.ReadFull(guarded, make([]byte, len(slotsRequest)))
			require.NoError(t, err)
		})
	}
}

// Guards against an HTTP/2 connection without a request that delays the drain.
func TestDrainWaitsForNoMultiplexedConnection(t *testing.T) {
	drainFixture := newDrainFixture(t)
	connection := drainFixture.dial(t)
	_, err := io.WriteString(connection, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	require.NoError(t, err)
	// Reads the server's SETTINGS and WINDOW_UPDATE frames until it acknowledges the client's SETTINGS.
	const acknowledgement = "\x00\x00\x00\x04\x01\x00\x00\x00\x00"
	var received []byte
	for !bytes.Contains(received, []byte(acknowledgement)) {
		next, err := connection.reader.ReadByte()
		require.NoError(t, err)
		received = append(received, next)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, drainFixture.listener.Drain(ctx))
}
