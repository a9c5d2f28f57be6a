package instance

import (
	"context"
	"expvar"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/supervisor"
)

// Guards against a datagram whose handling panics on the goroutine of the event loop, which ends the process.
func TestDatagramsAreReceivedAfterAPanic(t *testing.T) {
	received := make(chan string, 10)
	events := new(expvar.Map).Init()
	transport := NewTransport(TransportOptions{
		Address: "127.0.0.1:0", Events: events, Guard: supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: events}),
		Deliver: func(datagram []byte) {
			received <- string(datagram)
			if string(datagram) == "bad" {
				panic("on purpose")
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- transport.Serve(ctx) }()
	address, err := transport.Address(ctx)
	require.NoError(t, err)
	for _, datagram := range []string{"bad", "good", "bad", "good"} {
		transport.Send(address, []byte(datagram))
		require.Equal(t, datagram, <-received)
	}
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Equal(t, "2", events.Get(supervisor.EventPanic).String())
}
