package fleet

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/settings"
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
		At: 4990, Running: 3, Waiting: 1, Slots: 6, Slowdown: 5, ColdKnown: true, ColdFor: 700, SteadyFor: 50, Period: 150, Source: service.FromPeer,
	}, reading)
}

// Guards against numbers that the smaller types of a message do not hold: what is left of them after a conversion is another number, and on
// another kind of machine yet another.
func TestReadingsOutOfRangeAreLimited(t *testing.T) {
	cases := []struct {
		name     string
		reading  service.LoadReading
		expected SharedReading
	}{
		{"more requests than fit", service.LoadReading{At: 1000, Running: 65_536, Waiting: 1 << 20, Slots: math.MaxInt}, SharedReading{
			Running: math.MaxUint16, Waiting: math.MaxUint16, Slots: math.MaxUint16,
		}},
		{"negative numbers", service.LoadReading{At: 1000, Running: -1, Waiting: math.MinInt, Slowdown: -1}, SharedReading{}},
		{"a high slowdown", service.LoadReading{At: 1000, Slowdown: 1e300}, SharedReading{SlowdownPercent: math.MaxUint16}},
		{"a slowdown that is not a number", service.LoadReading{At: 1000, Slowdown: math.NaN()}, SharedReading{}},
		{"an old reading", service.LoadReading{At: -1e9}, SharedReading{AgeMs: math.MaxUint16}},
		{"a reading of the future", service.LoadReading{At: 2000}, SharedReading{}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			testCase.expected.ColdMs = unknownCold
			require.Equal(t, testCase.expected, newSharedReading(0, ownReading{reading: testCase.reading}, 0, 0, 1000))
		})
	}
	cold := service.LoadReading{At: 1000, ColdKnown: true, ColdFor: 1e18}
	require.Equal(t, int32(catalog.MaxColdFor), newSharedReading(0, ownReading{reading: cold}, 0, 0, 1000).ColdMs)
}

// Guards against numbers of other instances that no server reports: a period of almost no time has the scheduler index its target again and
// again, and a cold time of weeks keeps a server from its share.
func TestReceivedReadingsOutOfRangeAreLimited(t *testing.T) {
	sharedReading := SharedReading{SlowdownPercent: math.MaxUint16, ColdMs: math.MaxInt32, SteadyMs: 1, PeriodMs: math.SmallestNonzeroFloat32}
	reading := sharedReading.loadReading(1000)
	require.Equal(t, service.LoadReading{At: 1000, Slowdown: maxSharedSlowdown, ColdKnown: true, ColdFor: catalog.MaxColdFor, Source: service.FromPeer}, reading)
}

// Guards against declarations that are changed by the transmission, or do not fit into one packet.
func TestDeclarationsRoundTrip(t *testing.T) {
	report := service.DeclarationReport{Target: "i-954b387330", Started: 1700000000000, Observed: true, Limited: true, Rate: 0.1, StatedAt: 900, Leaving: true, Sent: 7}
	shared := newSharedDeclaration(&report, 1000)
	reports := make([]SharedDeclaration, maxDeclarationsPerDatagram)
	for index := range reports {
		reports[index] = shared
	}
	text, err := Encode(&Message{Declarations: &DeclarationsMessage{Sender: math.MaxUint64, Reports: reports}})
	require.NoError(t, err)
	const maxPacketBytes = 1472
	require.LessOrEqual(t, len(text), maxPacketBytes)
	message, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, SharedDeclaration{
		Target: keyOf(report.Target), Started: report.Started, Observed: true, Limited: true, Rate: 0.1, AgeMs: 100, Leaving: true, Sent: 7,
	}, message.Declarations.Reports[0])
}

// Guards against a datagram with declarations that an instance of an earlier release takes for something else.
func TestDeclarationsAreNoMessageOfEarlierReleases(t *testing.T) {
	text, err := Encode(&Message{Declarations: &DeclarationsMessage{Sender: 7, Reports: []SharedDeclaration{{Target: 1}}}})
	require.NoError(t, err)
	require.Error(t, decoding.Unmarshal(text, &Message{}))
}

// Guards against reports of services that cannot be reached which are changed by the transmission, do not fit into one packet, or are
// taken for something else by an instance of an earlier release.
func TestReachReportsRoundTrip(t *testing.T) {
	report := ReachReport{
		Sender: "front-sofia-c-10", Incarnation: math.MaxUint64, Sequence: math.MaxUint64, Isolated: true, Services: maxReportedServices,
	}
	for range maxReportedServices {
		report.Unreachable = append(report.Unreachable, math.MaxUint32)
	}
	text, err := Encode(&Message{Reach: &report})
	require.NoError(t, err)
	const maxPacketBytes = 1472
	require.LessOrEqual(t, len(text), maxPacketBytes)
	message, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, report, *message.Reach)
	require.Error(t, decoding.Unmarshal(text, &Message{}))
}

// Guards against declarations of any sender that reaches the port: they must neither limit an unknown server nor distort a limit.
func TestInvalidDeclarationsAreIgnored(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1, math.MaxFloat64} {
		fixture := newFixture(0, 0)
		view := newView(1, 1)
		fixture.controller.applyView(view)
		controller := fixture.controller
		for _, target := range []settings.TargetName{targetName(0), "unknown"} {
			controller.receiveDeclarations(controller.options.Clock.Now(), &DeclarationsMessage{Sender: 7, Reports: []SharedDeclaration{
				{Target: keyOf(target), Observed: true, Limited: true, Rate: rate},
			}})
		}
		for _, state := range controller.services {
			targets, _ := state.scheduler.State()
			for _, target := range targets {
				require.Nil(t, target.RateLimit)
			}
		}
	}
}

// Guards against datagrams of any sender that reaches the port. An invalid datagram must neither be accepted nor end the
// process.
func FuzzDecode(f *testing.F) {
	text, err := Encode(&Message{Heartbeat: &membership.Heartbeat{Identity: membership.Identity{Name: "entry-1", Peer: "10.0.0.1:7000"}}})
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte{0x82, 0xf6, 0x80})
	declarations, err := Encode(&Message{Declarations: &DeclarationsMessage{Sender: 7, Reports: []SharedDeclaration{{Rate: math.NaN()}}}})
	require.NoError(f, err)
	f.Add(declarations)
	loans, err := Encode(&Message{Loans: &LoansMessage{Sender: "entry-1", Servers: []SharedServerLoan{{Tokens: 1}}}})
	require.NoError(f, err)
	f.Add(loans)
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
		require.True(t, message.Heartbeat != nil || len(message.Readings) > 0 || message.Quota != nil || message.Load != nil || message.Reach != nil ||
			message.Loans != nil || message.Quarantine != nil || len(message.Declarations.Reports) > 0)
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
