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

// Guards against requests that go to a backend server's former address on a connection that was in use when the server moved.
func TestConnectionToAFormerAddressIsNotKept(t *testing.T) {
	moved := make(chan struct{})
	answers := func(text string, wait <-chan struct{}) func(net.Conn, *bufio.Reader) {
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
	former, present := scriptedServer(t, answers("old", moved)), scriptedServer(t, answers("new", nil))
	servers := newServers(t, clock.New(), former, 4)
	ask := func(during func()) string {
		request, err := http.NewRequest(http.MethodGet, "http://"+former+"/", http.NoBody)
		require.NoError(t, err)
		exchange, err := servers.Send(t.Context(), target, request, false)
		require.NoError(t, err)
		defer exchange.Close()
		during()
		text, err := io.ReadAll(exchange)
		require.NoError(t, err)
		return string(text)
	}
	require.Equal(t, "old", ask(func() {
		servers.Set(target, Options{Address: present, MaxConnections: 4, Connections: connectionSettings()})
		close(moved)
	}))
	require.Equal(t, "new", ask(func() {}))
	require.Equal(t, 1, servers.OpenConnections(target))
}
