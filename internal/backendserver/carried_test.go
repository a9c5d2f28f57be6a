package backendserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against a late copy of the response to a request's first attempt that is taken for the response to its second one.
func TestRequestIsNotSentTwiceOnOneConnection(t *testing.T) {
	var connections atomic.Int64
	address := scriptedServer(t, func(connection net.Conn, reader *bufio.Reader) {
		number := connections.Add(1)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
		}
	})
	const sameAsFirst = "1"
	steps := []struct {
		name, id, connection string
	}{
		{"first attempt", "a", sameAsFirst},
		{"another request", "b", sameAsFirst},
		{"request without an ID", "", sameAsFirst},
		{"second request without an ID", "", sameAsFirst},
		{"second attempt", "a", "2"},
		{"third attempt", "a", "3"},
		{"another request on the latest connection", "c", "3"},
	}
	for _, limit := range []int{1, 4} {
		connections.Store(0)
		servers := newServers(t, clock.New(), address, limit)
		for _, step := range steps {
			ctx := t.Context()
			if step.id != "" {
				ctx = WithRequestID(ctx, step.id)
			}
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", http.NoBody)
			require.NoError(t, err)
			exchange, err := servers.Send(ctx, target, request, false)
			require.NoError(t, err)
			text, err := io.ReadAll(exchange)
			exchange.Close()
			require.NoError(t, err)
			require.Equal(t, step.connection, string(text), "%s, at most %d connections", step.name, limit)
			require.LessOrEqual(t, servers.OpenConnections(target), limit)
		}
	}
}

// Guards against connections whose memory grows with the number of requests that they have carried.
func TestConnectionRemembersTheLatestRequests(t *testing.T) {
	var carried carriedRequests
	for digest := requestDigest(1); digest <= 10*maxCarriedRequests; digest++ {
		carried.add(digest)
		require.True(t, carried.contains(digest))
		require.LessOrEqual(t, len(carried.digests), maxCarriedRequests)
	}
	require.True(t, carried.contains(9*maxCarriedRequests+1))
	require.False(t, carried.contains(9*maxCarriedRequests))
	require.False(t, carried.contains(0))
}
