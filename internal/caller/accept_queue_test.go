package caller

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against callers that have sent requests and are reset because listening ends before their connections are accepted.
func TestDrainTakesConnectionsThatWait(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", settings.Callers{MaxConnections: 2}, &newUnservedFixture(t, fixtureService()).registry.Events)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.True(t, listener.waitForAcceptQueue(ctx), "no connection is queued")
	for range 2 {
		peer, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { peer.Close() })
	}
	require.False(t, listener.waitForAcceptQueue(ctx), "two connections are queued")
	drainResult := make(chan error, 1)
	go func() { drainResult <- listener.Drain(t.Context()) }()
	for range 2 {
		connection, err := listener.Accept()
		require.NoError(t, err)
		require.NoError(t, connection.Close())
	}
	require.NoError(t, <-drainResult)
}
