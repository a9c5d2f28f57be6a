package httppart

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Timeout and interval for conditions that another goroutine fulfils.
const (
	waitTimeout = 10 * time.Second
	waitTick    = time.Millisecond
)

// Guards against dropped requests on connections that were accepted before a restart of the component.
func TestShutdownDrainsFormerListenersAsWell(t *testing.T) {
	var listeners []net.Listener
	drained := make(chan int, 2)
	server, err := New(&http.Server{}, "127.0.0.1:0", func(address string) (Listener, error) {
		listener, err := net.Listen("tcp", address)
		number := len(listeners)
		listeners = append(listeners, listener)
		drain := func(context.Context) error {
			drained <- number
			return listener.Close()
		}
		return Listener{Listener: listener, Drain: drain}, err
	})
	require.NoError(t, err)
	require.NoError(t, listeners[0].Close())
	require.ErrorIs(t, server.Serve(t.Context()), net.ErrClosed)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", server.Address())
		if err == nil {
			connection.Close()
		}
		return err == nil
	}, waitTimeout, waitTick)
	_ = server.Shutdown(t.Context())
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	close(drained)
	var drainedBy []int
	for number := range drained {
		drainedBy = append(drainedBy, number)
	}
	require.ElementsMatch(t, []int{0, 1}, drainedBy)
}
