package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/service"
)

// Readings arrive as they were taken, but for the time on the way.
func TestReadingsRoundTrip(t *testing.T) {
	own := ownReading{reading: service.Reading{At: 990, Running: 3, Waiting: 1, Slots: 6, Slowdown: 5, ColdKnown: true, ColdFor: 700}}
	shared := share(keyOf("one"), own, 40, 150, 1000)
	text, err := Encode(&Message{Readings: []SharedReading{shared}})
	require.NoError(t, err)
	message, err := Decode(text)
	require.NoError(t, err)
	reading := message.Readings[0].reading(5000)
	require.Equal(t, service.Reading{
		At: 4990, Running: 3, Waiting: 1, Slots: 6, Slowdown: 5, ColdKnown: true, ColdFor: 700, SteadyFor: 50, Period: 150,
	}, reading)
}

// Anyone who reaches the port can send anything. What makes no sense must neither be believed nor end the process.
func FuzzDecode(f *testing.F) {
	text, err := Encode(&Message{Beat: &membership.Beat{Identity: membership.Identity{Name: "entry-1", Peer: "10.0.0.1:7000"}}})
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte{0x82, 0xf6, 0x80})
	f.Fuzz(func(t *testing.T, text []byte) {
		message, err := Decode(text)
		if err != nil {
			require.ErrorIs(t, err, ErrMessage)
			return
		}
		require.True(t, message.Beat != nil || len(message.Readings) > 0)
	})
}
