package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Servers with four slots slow down when three run, when four run, or not at all. With one request too many everything on them takes
// longer; with one too few a quarter of what they could do is lost, and under load callers are refused for it.
func TestRoomIsLearnt(t *testing.T) {
	cases := []struct {
		name   string
		slots  int
		learns bool
		longer func(first int) float64
		room   int
	}{
		{"never slower", 4, true, func(int) float64 { return 1 }, 4},
		{"slower when full", 4, true, func(first int) float64 { return []float64{1, 1, 1, 1, 1.7}[first] }, 3},
		{"slower from the third on", 4, true, func(first int) float64 { return []float64{1, 1, 1, 2.5, 2.5}[first] }, 2},
		{"never slower, but that can't be told", 4, false, func(int) float64 { return 1 }, 3},
		{"few slots", 2, true, func(first int) float64 { return float64(first) }, 2},
		{"one slot", 1, true, func(int) float64 { return 1 }, 1},
		{"many slots, nearly full is slower", 16, true, func(first int) float64 { return 1 + max(float64(first)-12, 0)/2 }, 12},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 5))
			concurrencyModel := &concurrencyModel{learning: testCase.learns}
			const work = 100 * clock.Millisecond
			for range 3000 {
				first := 1 + random.IntN(concurrencyModel.classOf(testCase.slots).currentLimit())
				held := work * clock.Milliseconds(testCase.longer(first)*(1+0.3*random.NormFloat64()))
				concurrencyModel.classOf(testCase.slots).learn(&activeRequest{inFlightAtStart: first, peakInFlight: first}, work, held)
			}
			require.InDelta(t, testCase.room, concurrencyModel.classOf(testCase.slots).concurrencyLimit, float64(testCase.slots)/16)
		})
	}
}

// A request starts alone, and others join it. What it takes tells nothing of how it is to start beside others.
func TestLaterRequestsTellNothing(t *testing.T) {
	concurrencyModel := &concurrencyModel{learning: true}
	before := concurrencyModel.classOf(4).durationFactors[3]
	concurrencyModel.classOf(4).learn(&activeRequest{inFlightAtStart: 3, peakInFlight: 4}, 100, 1000)
	require.InDelta(t, before, concurrencyModel.classOf(4).durationFactors[3], 0)
}

// What more requests at once do to a server is not known. Two at a time find out; were it all, every server would be too full.
func TestFewRequestsFindOutTheRoom(t *testing.T) {
	concurrencyModel := &concurrencyModel{learning: true}
	slotClass := concurrencyModel.classOf(4)
	require.Equal(t, 4, slotClass.currentLimit())
	slotClass.explorations = maxExplorations
	require.Equal(t, 3, slotClass.currentLimit())
}

// Requests ended on a server that was fast, slow and fast again while they ran. Afterwards it can be told what each assumption says
// they should have taken; where a spell was never read, or a request started too near to its end, nothing can.
func TestHindsight(t *testing.T) {
	const start = clock.Moment(30000)
	share := 1.0
	candidate := &candidate{Target: &Target{Name: "one"}, config: TargetConfig{Slots: 4}, coldShare: &share, concurrencyModel: &concurrencyModel{}}
	for number, slowdown := range []float64{1, 5, 1, 1, 0, 1} {
		if slowdown == 0 {
			continue
		}
		begun := start.Add(clock.Milliseconds(number) * 150)
		candidate.observe(LoadReading{At: begun.Add(50), Slowdown: slowdown, SteadyFor: 100, Period: 150})
	}
	cases := []struct {
		name     string
		after    clock.Milliseconds
		held     clock.Milliseconds
		found    bool
		kept     float64
		followed float64
	}{
		{"within the fast spell", 20, 120, true, 100, 100},
		{"caught by the slow spell", 100, 300, true, 100, 50 + 150 + 20},
		{"started slow", 200, 500, true, 500, 100 + 80},
		{"over a spell that nobody read", 560, 200, false, 0, 0},
		{"started too near to a change", 146, 200, false, 0, 0},
		{"ended before it could have by either", 200, 50, true, 500, 100 + 80*1.25},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			since := start.Add(testCase.after)
			forecast, found := candidate.retrospectiveForecast(since, since.Add(testCase.held), 100, 1.25)
			require.Equal(t, testCase.found, found)
			require.InDelta(t, testCase.kept, float64(forecast.fixed), 0.1)
			require.InDelta(t, testCase.followed, float64(forecast.varying), 3)
		})
	}
}
