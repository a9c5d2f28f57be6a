package httppart

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Waits for something that happens on another goroutine.
const (
	waitMost = 10 * time.Second
	waitTick = time.Millisecond
)

// Guards against requests that are dropped on connections from before the part was started again.
func TestShutdownDrainsFormerListenersAsWell(t *testing.T) {
	var listeners []net.Listener
	drained := make(chan int, 2)
	part, err := New(&http.Server{}, "127.0.0.1:0", func(address string) (Listener, error) {
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
	require.ErrorIs(t, part.Serve(t.Context()), net.ErrClosed)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- part.Serve(ctx) }()
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", part.Address())
		if err == nil {
			connection.Close()
		}
		return err == nil
	}, waitMost, waitTick)
	_ = part.Shutdown(t.Context())
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	close(drained)
	var drainedBy []int
	for number := range drained {
		drainedBy = append(drainedBy, number)
	}
	require.ElementsMatch(t, []int{0, 1}, drainedBy)
}
