package fleet

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/service"
)

// Guards against readings that are changed by the transmission, except for the transmission time.
func TestReadingsRoundTrip(t *testing.T) {
	own := ownReading{reading: service.LoadReading{At: 990, Running: 3, Waiting: 1, Slots: 6, Slowdown: 5, ColdKnown: true, ColdFor: 700}}
	sharedReading := newSharedReading(keyOf("one"), own, 40, 150, 1000)
	text, err := Encode(&Message{Readings: []SharedReading{sharedReading}})
	require.NoError(t, err)
	message, err := Decode(text)
	require.NoError(t, err)
	reading := message.Readings[0].loadReading(5000)
	require.Equal(t, service.LoadReading{
		At: 4990, Running: 3, Waiting: 1, Slots: 6, Slowdown: 5, ColdKnown: true, ColdFor: 700, SteadyFor: 50, Period: 150,
	}, reading)
}

// Guards against datagrams of any sender that reaches the port. An invalid datagram must neither be accepted nor end the
// process.
func FuzzDecode(f *testing.F) {
	text, err := Encode(&Message{Heartbeat: &membership.Heartbeat{Identity: membership.Identity{Name: "entry-1", Peer: "10.0.0.1:7000"}}})
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte{0x82, 0xf6, 0x80})
	for _, wrong := range []float32{float32(math.NaN()), float32(math.Inf(1)), -5, 1e30} {
		text, err := Encode(&Message{Readings: []SharedReading{{SteadyMs: wrong, PeriodMs: 150}, {SteadyMs: 40, PeriodMs: wrong}}})
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		message, err := Decode(text)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidMessage)
			return
		}
		require.True(t, message.Heartbeat != nil || len(message.Readings) > 0)
		for index := range message.Readings {
			reading := message.Readings[index].loadReading(1000)
			for _, figure := range []float64{float64(reading.SteadyFor), float64(reading.Period), float64(reading.ColdFor), reading.Slowdown} {
				require.False(t, math.IsNaN(figure))
				require.GreaterOrEqual(t, figure, 0.0)
				require.LessOrEqual(t, figure, 1e10)
			}
		}
	})
}
