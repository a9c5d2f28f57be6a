package backendserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against requests that reach the former address of a backend server over a connection that was in use when the
// address changed.
func TestConnectionToAFormerAddressIsNotKept(t *testing.T) {
	addressChanged := make(chan struct{})
	respondWith := func(text string, wait <-chan struct{}) func(net.Conn, *bufio.Reader) {
		return func(connection net.Conn, reader *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n")
				if wait != nil {
					<-wait
				}
				_, _ = io.WriteString(connection, text)
			}
		}
	}
	formerAddress, newAddress := scriptedServer(t, respondWith("old", addressChanged)), scriptedServer(t, respondWith("new", nil))
	servers := newServers(t, clock.New(), formerAddress, 4)
	send := func(during func()) string {
		request, err := http.NewRequest(http.MethodGet, "http://"+formerAddress+"/", http.NoBody)
		require.NoError(t, err)
		exchange, err := servers.Send(t.Context(), target, request, false)
		require.NoError(t, err)
		defer exchange.Close()
		during()
		text, err := io.ReadAll(exchange)
		require.NoError(t, err)
		return string(text)
	}
	require.Equal(t, "old", send(func() {
		servers.Set(target, Options{Address: newAddress, MaxConnections: FixedLimit(4), Connections: connectionSettings()})
		close(addressChanged)
	}))
	require.Equal(t, "new", send(func() {}))
	require.Equal(t, 1, servers.OpenConnections(target))
}
