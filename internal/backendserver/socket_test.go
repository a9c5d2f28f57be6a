package backendserver

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against sound connections that the kernel closes because one keep-alive probe was lost: the user timeout, which lost paths
// need, decides on these probes as well.
func TestUserTimeoutDoesNotDecideOnKeepAliveProbes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := dial(t.Context(), clock.New(), listener.Addr().String(), &dialRequest{userTimeout: 700 * clock.Millisecond})
	require.NoError(t, err)
	defer dialed.Conn.Close()
	connection, isTCP := dialed.Conn.(*net.TCPConn)
	require.True(t, isTCP)
	raw, err := connection.SyscallConn()
	require.NoError(t, err)
	var keepAlive, userTimeout int
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		keepAlive, _ = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		userTimeout, _ = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.Zero(t, keepAlive)
	require.Equal(t, 700, userTimeout)
}
