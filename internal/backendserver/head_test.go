package backendserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against responses whose heads fill the memory of an instance: heads, informational responses and trailers without end.
func TestEndlessHeadsAreNotRead(t *testing.T) {
	cases := []struct {
		name string
		// start is sent once, and the repeated text, which may contain a number, until the connection is closed.
		start, repeated string
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "H-%d: v\r\n"},
		{"one line", "HTTP/1.1 200 OK\r\nLong: ", "%d"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </%d>\r\n\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "H-%d: v\r\n"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, err := io.WriteString(connection, testCase.start)
				for number := 0; err == nil; number++ {
					_, err = fmt.Fprintf(connection, testCase.repeated, number)
				}
			})
			var read atomic.Int64
			servers := NewServers(clock.New())
			defer servers.Close()
			servers.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				var dialer net.Dialer
				dialed, err := dialer.DialContext(ctx, network, address)
				return &countedConnection{Conn: dialed, read: &read}, err
			}
			servers.Set(target, Options{Address: address, MaxConnections: FixedLimit(1), Connections: connectionSettings()})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil }})
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", http.NoBody)
			require.NoError(t, err)
			exchange, err := servers.Send(ctx, target, request, false)
			if err == nil {
				_, err = io.Copy(io.Discard, exchange)
				exchange.Close()
			}
			require.Error(t, err)
			require.LessOrEqual(t, read.Load(), int64(maxHeadBytes+netReadBytes))
			require.Zero(t, servers.longHeads.Load())
			require.Zero(t, servers.OpenConnections(target))
		})
	}
}

// netReadBytes is the size of the buffer with which net/http reads a connection.
const netReadBytes = 4 << 10

// countedConnection counts the bytes that are read.
type countedConnection struct {
	net.Conn

	read *atomic.Int64
}

// Read implements net.Conn.
func (countedConnection *countedConnection) Read(buffer []byte) (int, error) {
	count, err := countedConnection.Conn.Read(buffer)
	countedConnection.read.Add(int64(count))
	return count, err
}

// Guards against many long heads at once that fill the memory of an instance, and against a count that stays when they are gone.
func TestLongHeadsAreBoundedTogether(t *testing.T) {
	const length = 20 << 10
	response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nLong: " + strings.Repeat("x", length) + "\r\n\r\nok"
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(connection, response)
		}
	})
	servers := newServers(t, clock.New(), address, 200)
	for range 2 {
		var open []*Exchange
		for range 200 {
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", http.NoBody)
			require.NoError(t, err)
			exchange, err := servers.Send(t.Context(), target, request, false)
			if err != nil {
				require.ErrorIs(t, err, errLongHeads)
				break
			}
			open = append(open, exchange)
			require.LessOrEqual(t, servers.longHeads.Load(), int64(maxLongHeadsBytes))
		}
		require.Greater(t, len(open), maxLongHeadsBytes/length/2)
		require.Less(t, len(open), 200)
		for _, exchange := range open {
			text, err := io.ReadAll(exchange)
			require.NoError(t, err)
			require.Equal(t, "ok", string(text))
			exchange.Close()
		}
		require.Zero(t, servers.longHeads.Load())
	}
}
