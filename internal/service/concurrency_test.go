package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Servers with four slots slow down with three requests, with four, or not at all. With one request too many, all requests
// take longer; with one too few, a quarter of the throughput is lost, and callers are refused under load.
func TestConcurrencyLimitIsLearned(t *testing.T) {
	cases := []struct {
		name     string
		slots    int
		learning bool
		factor   func(count int) float64
		limit    int
	}{
		{"never slower", 4, true, func(int) float64 { return 1 }, 4},
		{"slower when full", 4, true, func(count int) float64 { return []float64{1, 1, 1, 1, 1.7}[count] }, 3},
		{"slower from the third request on", 4, true, func(count int) float64 { return []float64{1, 1, 1, 2.5, 2.5}[count] }, 2},
		{"never slower, but this cannot be measured", 4, false, func(int) float64 { return 1 }, 3},
		{"few slots", 2, true, func(count int) float64 { return float64(count) }, 2},
		{"one slot", 1, true, func(int) float64 { return 1 }, 1},
		{"many slots, nearly full is slower", 16, true, func(count int) float64 { return 1 + max(float64(count)-12, 0)/2 }, 12},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 5))
			concurrencyModel := &concurrencyModel{learning: testCase.learning}
			const work = 100 * clock.Millisecond
			for range 3000 {
				count := 1 + random.IntN(concurrencyModel.slotClassOf(testCase.slots).currentLimit())
				duration := work * clock.Milliseconds(testCase.factor(count)*(1+0.3*random.NormFloat64()))
				concurrencyModel.slotClassOf(testCase.slots).learn(&activeRequest{inFlightAtStart: count, peakInFlight: count}, work, duration)
			}
			require.InDelta(t, testCase.limit, concurrencyModel.slotClassOf(testCase.slots).concurrencyLimit, float64(testCase.slots)/16)
		})
	}
}

// Others start while a request is in flight. Its duration does not show the effect of the requests that were there at its start,
// and must not be learned from.
func TestLaterRequestsAreNotLearnedFrom(t *testing.T) {
	concurrencyModel := &concurrencyModel{learning: true}
	before := concurrencyModel.slotClassOf(4).durationFactors[3]
	concurrencyModel.slotClassOf(4).learn(&activeRequest{inFlightAtStart: 3, peakInFlight: 4}, 100, 1000)
	require.InDelta(t, before, concurrencyModel.slotClassOf(4).durationFactors[3], 0)
}

// The effect of more requests at once is not known. At most two at a time may explore it; otherwise every server would be
// overloaded.
func TestFewRequestsExploreTheLimit(t *testing.T) {
	concurrencyModel := &concurrencyModel{learning: true}
	slotClass := concurrencyModel.slotClassOf(4)
	require.Equal(t, 4, slotClass.currentLimit())
	slotClass.explorations = maxExplorations
	require.Equal(t, 3, slotClass.currentLimit())
}

// Requests ran on a server that was fast, slow and fast again. When they have ended, both assumptions must give the duration
// that the recorded slowdowns imply, and none if an interval has no reading or the request started too close to a boundary.
func TestRetrospectiveForecast(t *testing.T) {
	const start = clock.Moment(30000)
	share := 1.0
	candidate := &candidate{Target: &Target{Name: "one"}, config: TargetConfig{Slots: 4}, rateShare: &share, concurrencyModel: &concurrencyModel{}}
	for number, slowdown := range []float64{1, 5, 1, 1, 0, 1} {
		if slowdown == 0 {
			continue
		}
		begin := start.Add(clock.Milliseconds(number) * 150)
		candidate.observe(LoadReading{At: begin.Add(50), Slowdown: slowdown, SteadyFor: 100, Period: 150})
	}
	cases := []struct {
		name     string
		after    clock.Milliseconds
		duration clock.Milliseconds
		found    bool
		fixed    float64
		varying  float64
	}{
		{"within the fast interval", 20, 120, true, 100, 100},
		{"into the slow interval", 100, 300, true, 100, 50 + 150 + 20},
		{"started slow", 200, 500, true, 500, 100 + 80},
		{"across an interval without a reading", 560, 200, false, 0, 0},
		{"started too close to a boundary", 146, 200, false, 0, 0},
		{"ended before either forecast", 200, 50, true, 500, 100 + 80*1.25},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			since := start.Add(testCase.after)
			forecast, found := candidate.retrospectiveForecast(since, since.Add(testCase.duration), 100, 1.25)
			require.Equal(t, testCase.found, found)
			require.InDelta(t, testCase.fixed, float64(forecast.fixed), 0.1)
			require.InDelta(t, testCase.varying, float64(forecast.varying), 3)
		})
	}
}
