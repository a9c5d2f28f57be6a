package backendserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// resetConnection is a connection to a server that answers an upload at once with a response without a length, sends a part of its body
// and resets the connection. The kernel reports the reset once: here to the write of the upload, so that reads find the end of the stream.
type resetConnection struct {
	net.Conn

	response *strings.Reader
	// requested is closed when the head of the request has been written, writeFails when the write of the upload fails, and readEnds when a read
	// has found the end of the stream.
	requested, writeFails, readEnds chan struct{}
	requestOnce, failOnce, endOnce  sync.Once
}

// Read implements net.Conn.
func (connection *resetConnection) Read(buffer []byte) (int, error) {
	<-connection.requested
	if connection.response.Len() > 0 {
		return connection.response.Read(buffer)
	}
	<-connection.writeFails
	connection.endOnce.Do(func() { close(connection.readEnds) })
	return 0, io.EOF
}

// Close implements net.Conn.
func (*resetConnection) Close() error {
	return nil
}

// failedFirst is the connection whose write has returned when a read finds the end, and endedFirst the one whose write has not.
type failedFirst struct{ *resetConnection }

type endedFirst struct{ *resetConnection }

// Write implements net.Conn.
func (connection failedFirst) Write([]byte) (int, error) {
	connection.requestOnce.Do(func() { close(connection.requested) })
	defer time.AfterFunc(10*time.Millisecond, func() { connection.failOnce.Do(func() { close(connection.writeFails) }) })
	return 0, syscall.ECONNRESET
}

// Write implements net.Conn.
func (connection endedFirst) Write([]byte) (int, error) {
	connection.requestOnce.Do(func() { close(connection.requested) })
	connection.failOnce.Do(func() { close(connection.writeFails) })
	<-connection.readEnds
	return 0, syscall.ECONNRESET
}

// Guards against a part of a response that a caller takes for the whole one, because the reset of the connection was reported to the write of
// the request.
func TestResetReportedToTheWriteCutsTheResponse(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, testCase := range []struct {
			name string
			wrap func(*resetConnection) net.Conn
		}{
			{"the write fails first", func(connection *resetConnection) net.Conn { return failedFirst{connection} }},
			{"the read ends first", func(connection *resetConnection) net.Conn { return endedFirst{connection} }},
		} {
			t.Run(protocol+", "+testCase.name, func(t *testing.T) {
				for range 50 {
					servers := NewServers(clock.New())
					servers.Dial = func(context.Context, string, string) (net.Conn, error) {
						return testCase.wrap(&resetConnection{
							response: strings.NewReader(protocol + " 200 OK\r\n\r\na part"), requested: make(chan struct{}), writeFails: make(chan struct{}), readEnds: make(chan struct{}),
						}), nil
					}
					servers.Set(target, Options{Address: "127.0.0.1:1", MaxConnections: FixedLimit(1), Connections: connectionSettings()})
					request, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:1/", strings.NewReader(strings.Repeat("x", 1<<20)))
					require.NoError(t, err)
					exchange, err := servers.Send(t.Context(), target, request, false)
					if err == nil {
						_, err = io.ReadAll(exchange)
						exchange.Close()
					}
					require.Error(t, err, "the response looks complete")
					servers.Close()
				}
			})
		}
	}
}

// Guards against a sound response that counts as cut off, because its server has answered an upload early and has closed its side.
func TestEarlyResponseThatEndsWithTheServersSideIsComplete(t *testing.T) {
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nall of it")
		_ = connection.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // TCP was accepted.
		_, _ = io.Copy(io.Discard, connection)
	})
	for range 20 {
		servers := newServers(t, clock.New(), address, 1)
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", io.LimitReader(endlessReader{}, 4<<20))
		require.NoError(t, err)
		exchange, err := servers.Send(t.Context(), target, request, false)
		require.NoError(t, err)
		text, err := io.ReadAll(exchange)
		require.NoError(t, err)
		require.Equal(t, "all of it", string(text))
		exchange.Close()
	}
}

type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(buffer []byte) (int, error) {
	return len(buffer), nil
}

// Guards against the same with real sockets, where it depends on the scheduler whether a read or a write gets the report of the reset.
func TestEarlyResponseThatIsResetIsCut(t *testing.T) {
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\na part")
		_ = connection.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // TCP was accepted.
	})
	for range 200 {
		servers := newServers(t, clock.New(), address, 1)
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", io.LimitReader(endlessReader{}, 4<<20))
		require.NoError(t, err)
		exchange, err := servers.Send(t.Context(), target, request, false)
		if err == nil {
			_, err = io.ReadAll(exchange)
			exchange.Close()
		}
		require.Error(t, err, "the response looks complete")
		servers.Close()
	}
}
