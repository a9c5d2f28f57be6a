package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against an instance that reports the wrong load: too low while work waits for the processor, or full after a single pause.
func TestLoadMeter(t *testing.T) {
	type interval struct {
		processor, lateness clock.Milliseconds
		sent                int64
	}
	cases := []struct {
		name        string
		intervals   []interval
		utilization membership.Utilization
		lateness    clock.Milliseconds
	}{
		{"idle", []interval{{2, 0, 0}, {2, 0, 0}, {2, 0, 0}, {2, 0, 0}}, 25, 0},
		{"half used", []interval{{40, 90, 0}, {40, 90, 0}, {40, 90, 0}, {40, 90, 0}}, 500, 0},
		{"all used", []interval{{80, 90, 0}, {80, 90, 0}, {80, 90, 0}, {80, 90, 0}}, 1000, 0},
		{"more than all used", []interval{{90, 0, 0}, {90, 0, 0}, {90, 0, 0}, {90, 0, 0}}, 1000, 0},
		{"one pause", []interval{{4, 0, 0}, {4, 0, 0}, {4, 0, 0}, {4, 3000, 0}}, 50, 0},
		{"slow processor", []interval{{20, 0, 0}, {20, 0, 0}, {20, 300, 0}, {20, 200, 0}}, 1000, 200},
		{"link three quarters used", []interval{{4, 0, 234375}, {4, 0, 234375}, {4, 0, 234375}, {4, 0, 234375}}, 750, 0},
		{"slow processor, over", []interval{{20, 300, 0}, {20, 300, 0}, {20, 300, 0}, {20, 0, 0}}, 250, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var used clock.Milliseconds
			var sent int64
			// The link carries 10 megabits per second.
			options := Options{
				Self: membership.Identity{Size: 320}, ProcessorTime: func() clock.Milliseconds { return used }, SentBytes: func() int64 { return sent }, LinkRate: 1250,
			}
			meter := newLoadMeter(options)
			now := clock.Moment(0)
			meter.reset(now)
			for _, interval := range testCase.intervals {
				now = now.Add(loadSampleInterval)
				used += interval.processor
				sent += interval.sent
				meter.recordTick(interval.lateness)
				require.True(t, meter.sample(now))
				require.False(t, meter.sample(now.Add(clock.Millisecond)))
			}
			require.Equal(t, testCase.utilization, meter.utilization())
			require.Equal(t, testCase.lateness, meter.sustainedLateness())
		})
	}
}

// Guards against an instance that runs out of callers' connections although its processor and its link are hardly used, and against one
// that counts connections that callers keep open without using them.
func TestLoadMeterCountsConnections(t *testing.T) {
	cases := []struct {
		name        string
		use         ConnectionUse
		utilization membership.Utilization
	}{
		{"limit not known", ConnectionUse{Open: 10, Active: 10}, 0},
		{"idle", ConnectionUse{Open: 100, Active: 10, Limit: 100}, 100},
		{"three quarters in use", ConnectionUse{Open: 80, Active: 75, Limit: 100}, 750},
		{"beyond the limit", ConnectionUse{Open: 106, Active: 106, Limit: 100}, 1000},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			meter := newLoadMeter(Options{Self: membership.Identity{Size: 320}})
			meter.reset(0)
			require.True(t, meter.sample(clock.Moment(0).Add(loadSampleInterval)))
			meter.connections = testCase.use
			require.Equal(t, testCase.utilization, meter.utilization())
		})
	}
}

// Guards against an instance that owns so many servers that probing them leaves no processor time for requests.
func TestProbesStayWithinTheirShareOfTheProcessor(t *testing.T) {
	cases := []struct {
		name              string
		size, targets     int
		shortest, longest clock.Milliseconds
	}{
		{"few servers", 320, 12, 0, 0},
		{"a thousand servers", 320, 1000, 1000, maxProbePause},
		{"more than can be probed in time", 160, 6000, maxProbePause, maxProbePause},
		{"a large instance", 800, 200, 0, 0},
		{"a large instance with many", 800, 600, 250, 300},
		{"more than half of a large instance on their own schedule", 800, 334, 140, 150},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(0)
			fixture.controller.options.Self.Size = testCase.size
			fixture.controller.view = newView(testCase.targets, 1)
			fixture.controller.owned = map[settings.TargetName]bool{}
			for server := range fixture.controller.view.Servers.All() {
				fixture.controller.owned[server.Name] = true
			}
			fixture.controller.setMinProbePause()
			pause := clock.Milliseconds(fixture.controller.minProbePause.Load())
			require.GreaterOrEqual(t, pause, testCase.shortest)
			require.LessOrEqual(t, pause, testCase.longest)
		})
	}
}

// Guards against small instances that serve in a large fleet and have no processor time left for requests, because they receive the
// readings of all its servers.
func TestReadingsStayWithinTheirShareOfTheSmallestProcessor(t *testing.T) {
	const readingTime = 0.002 * clock.Millisecond
	for _, servers := range []int{3000, 6000, 12_000} {
		t.Run(fmt.Sprintf("%d servers", servers), func(t *testing.T) {
			fixture := newFixture(0)
			fixture.controller.options.Self.Size = 800
			fixture.controller.view = newView(servers, 1)
			fixture.controller.owned = map[settings.TargetName]bool{}
			for number := range servers / 100 {
				fixture.controller.serving = append(fixture.controller.serving, identity(number))
				fixture.controller.owned[targetName(number)] = true
			}
			fixture.controller.setMinProbePause()
			pause := clock.Milliseconds(fixture.controller.minProbePause.Load())
			require.Positive(t, pause)
			received := servers - len(fixture.controller.owned)
			require.LessOrEqual(t, float64(clock.Milliseconds(received)*readingTime/pause), 0.2*0.16*1.01, "processor time of an instance with 0.16 of a processor")
		})
	}
}

// Guards against load reports that are not understood, or that are taken for another message.
func TestLoadReportIsDecoded(t *testing.T) {
	report := membership.LoadReport{Sender: "entry-1", Incarnation: 1 << 63, Sequence: 70000, Utilization: 700, WantedServing: 27}
	text, err := Encode(&Message{Load: &report})
	require.NoError(t, err)
	require.Equal(t, byte(loadReportStart), text[0])
	message, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, &report, message.Load)
	for length := range text {
		_, err := Decode(text[:length])
		require.ErrorIs(t, err, ErrInvalidMessage, "cut at %d", length)
	}
}
