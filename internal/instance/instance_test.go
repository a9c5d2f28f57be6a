package instance

import (
	"context"
	"expvar"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

var (
	oldKey = strings.Repeat("01", 32)
	newKey = strings.Repeat("02", 32)
)

func newSealer(t testing.TB, sealWith settings.KeyName, known map[settings.KeyName]string) *Sealer {
	sealer, err := NewSealer(settings.Keys{SealWith: sealWith, Known: known})
	require.NoError(t, err)
	return sealer
}

// A key is replaced while the fleet runs: first all instances get the new key, then all seal with it, then the old key is
// removed. Instances at adjacent steps accept each other's datagrams. Datagrams sealed with a removed or an unknown key are
// rejected.
func TestKeysAreReplacedInSteps(t *testing.T) {
	both := map[settings.KeyName]string{"old": oldKey, "new": newKey}
	steps := []*Sealer{
		newSealer(t, "old", map[settings.KeyName]string{"old": oldKey}),
		newSealer(t, "old", both),
		newSealer(t, "new", both),
		newSealer(t, "new", map[settings.KeyName]string{"new": newKey}),
	}
	for number := range len(steps) - 1 {
		for _, pair := range [][2]*Sealer{{steps[number], steps[number+1]}, {steps[number+1], steps[number]}} {
			message, err := pair[1].Open(pair[0].Seal([]byte("hello")))
			require.NoError(t, err)
			require.Equal(t, "hello", string(message))
		}
	}
	_, err := steps[3].Open(steps[0].Seal([]byte("hello")))
	require.ErrorIs(t, err, ErrSeal)
	unknownSealer := newSealer(t, "new", map[settings.KeyName]string{"new": oldKey})
	_, err = steps[3].Open(unknownSealer.Seal([]byte("hello")))
	require.ErrorIs(t, err, ErrSeal)
}

// A datagram with a changed byte, or a truncated one, is rejected.
func TestChangedDatagramsAreRefused(t *testing.T) {
	sealer := newSealer(t, "old", map[settings.KeyName]string{"old": oldKey})
	datagram := sealer.Seal([]byte("hello"))
	for position := range datagram {
		changed := append([]byte{}, datagram...)
		changed[position] ^= 1
		_, err := sealer.Open(changed)
		require.ErrorIs(t, err, ErrSeal, "byte %d", position)
	}
	for length := range datagram {
		_, err := sealer.Open(datagram[:length])
		require.ErrorIs(t, err, ErrSeal, "cut at %d", length)
	}
}

func TestHeartbeatIsDecodedAsEncoded(t *testing.T) {
	heartbeat := Heartbeat{
		From: "entry-1", Incarnation: 1764720000000, Sequence: 9, Leaving: true, Digest: 1 << 63,
		Targets: []TargetStatus{{Target: 1 << 62, Warm: true}, {Target: 7, Owned: true}},
	}
	encoded, err := encode(heartbeat)
	require.NoError(t, err)
	got, err := decode(encoded)
	require.NoError(t, err)
	require.Equal(t, heartbeat, got)
}

func FuzzOpenAndDecode(f *testing.F) {
	sealer := newSealer(f, "old", map[settings.KeyName]string{"old": oldKey})
	encoded, err := encode(Heartbeat{From: "entry-1", Targets: []TargetStatus{{Target: 1}}})
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		_, err := sealer.Open(message)
		require.ErrorIs(t, err, ErrSeal)
		heartbeat, err := decode(message)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidMessage)
			return
		}
		require.NotEmpty(t, heartbeat.From)
		require.LessOrEqual(t, len(heartbeat.Targets), MaxTargets)
	})
}

// runTransport starts a transport on loopback.
func runTransport(t *testing.T, deliver func(Heartbeat)) (*HeartbeatTransport, *expvar.Map) {
	events := (&expvar.Map{}).Init()
	transport, err := NewHeartbeatTransport(Options{
		Address: "127.0.0.1:0", Keys: settings.Keys{SealWith: "old", Known: map[settings.KeyName]string{"old": oldKey}},
		Deliver: deliver, Events: events,
	})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Serve(ctx) }()
	_, err = transport.Address(ctx)
	require.NoError(t, err)
	t.Cleanup(func() {
		stop()
		require.ErrorIs(t, <-ended, context.Canceled)
	})
	return transport, events
}

// Datagrams that are not sealed or hold no heartbeat are counted and dropped. Valid ones are delivered.
func TestTransportsExchangeHeartbeats(t *testing.T) {
	received := make(chan Heartbeat, 10)
	receiver, events := runTransport(t, func(heartbeat Heartbeat) { received <- heartbeat })
	sender, _ := runTransport(t, func(Heartbeat) {})
	address, err := receiver.Address(context.Background())
	require.NoError(t, err)
	noise, err := net.Dial("udp", address.String())
	require.NoError(t, err)
	defer noise.Close()
	sealed := sender.sealer.Seal([]byte("no heartbeat"))
	for _, datagram := range [][]byte{[]byte("noise"), {0}, sealed} {
		_, err := noise.Write(datagram)
		require.NoError(t, err)
	}
	for sequence := range 3 {
		sender.Send(address, Heartbeat{From: "entry-1", Sequence: Sequence(sequence + 1)})
		require.EqualValues(t, sequence+1, (<-received).Sequence)
	}
	require.Equal(t, "2", events.Get(EventNotSealed).String())
	require.Equal(t, "1", events.Get(EventMalformed).String())
	require.Equal(t, "3", events.Get(EventReceived).String())
}

// Guards against a transport that goes on for ever because its context has ended before the port was open.
func TestTransportEndsBeforeItHasStarted(t *testing.T) {
	transport := NewTransport(TransportOptions{Address: "127.0.0.1:0", Deliver: func([]byte) {}, Events: (&expvar.Map{}).Init()})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	require.ErrorIs(t, transport.Serve(ctx), context.Canceled)
}
