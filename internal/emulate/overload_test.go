package emulate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// browsing is a third of a large present-day site: 12 of its servers with 6 slots each.
func browsing(perSecond float64, instances int) *Experiment {
	return &Experiment{
		Service:  Service{Targets: 12, Slots: 6, Queue: 12, Knee: 0.8, KneeSlowdown: 1.7, Noise: Noise{SlowProbability: 0.25, Slowdown: 5, Interval: 150}},
		Classes:  []Class{{Name: "browse", Rate: perSecond, MeanServiceTime: 90, Deviation: 0.3, SoftTimeout: 250, Timeout: 1200, Priority: 2, MaxRetries: 1}},
		Duration: 17 * clock.Second, MeasureFrom: 5 * clock.Second, Rounds: 1, Seed: 1,
		Variants: []Variant{{Name: "as built", Instances: instances, ReadingDelay: 15}},
	}
}

// statements is a service with few slots: 9 servers with 2 slots each, a third of them slow at any moment, and requests that take
// longer than a noise interval. Three instances share it.
func statements(perSecond float64) *Experiment {
	return &Experiment{
		Service:  Service{Targets: 9, Slots: 2, Queue: 8, Knee: 1, KneeSlowdown: 1, Noise: Noise{SlowProbability: 0.35, Slowdown: 5, Interval: 150}},
		Classes:  []Class{{Name: "statement", Rate: perSecond, MeanServiceTime: 160, Deviation: 0.3, SoftTimeout: 400, Timeout: 1200, Priority: 2, MaxRetries: 1}},
		Duration: 21 * clock.Second, MeasureFrom: 5 * clock.Second, Rounds: 1, Seed: 1,
		Variants: []Variant{{Name: "as built", Instances: 3, ReadingDelay: 15}},
	}
}

// Three instances share servers. Each instance knows only its own requests directly, and a third of the servers is slow at any
// moment. An instance that mistakes requests that wait for a fast server for a full queue rejects callers while slots are free; an
// instance that fills the servers of the others overloads them. Instances with complete knowledge at every moment would serve 0.79
// of the busy case in time, and a single scheduler for all requests 0.86.
func TestInstancesShareFewSlots(t *testing.T) {
	cases := []struct {
		name       string
		experiment *Experiment
		inTime     float64
		refused    float64
	}{
		{"few slots, light load", statements(30), 0.89, 0.001},
		{"few slots, high load", statements(70), 0.70, 0.02},
		{"many slots, overload", browsing(435, 3), 0.76, 0.15},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			total := Run(testCase.experiment).Variants[0].Total
			require.GreaterOrEqual(t, total.InTime(""), testCase.inTime)
			require.LessOrEqual(t, total.Refused(""), testCase.refused)
		})
	}
}

// A site loses the servers of a data centre during high load, and all remaining slots are in use. A load balancer that queues
// every request makes every response late. The requests that the remaining servers can run must be in time, and the others must be
// rejected at once.
func TestOverloadServesWhatFitsInTime(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		inTime    float64
	}{
		{"light load", 100, 0.95},
		{"high load", 220, 0.95},
		{"overload", 435, 0.84},
		{"severe overload", 700, 0.50},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			total := Run(browsing(testCase.perSecond, 1)).Variants[0].Total
			require.GreaterOrEqual(t, total.InTime(""), testCase.inTime)
			require.Less(t, total.MaxRefusalDelay(), 400*clock.Millisecond)
		})
	}
}

// A quarter of the servers is slow at any moment, and a request that starts on a slow server stays slow to its end, also after its
// server has recovered. A scheduler that uses any free slot occupies slots on slow servers for five times as long. Under more load,
// such requests hold half of all slots, and callers are rejected although the fast servers could serve all requests in time.
func TestRequestsThatStaySlowAreNotStarted(t *testing.T) {
	cases := []struct {
		name       string
		experiment *Experiment
		inTime     float64
		refused    float64
	}{
		{"many slots, light load", browsing(100, 3), 0.97, 0.001},
		{"many slots, capacity of the fast servers", browsing(300, 3), 0.90, 0.02},
		{"few slots, light load", statements(30), 0.95, 0.001},
		{"few slots, high load", statements(60), 0.80, 0.03},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			testCase.experiment.Service.Noise.FixedAtStart = true
			// Counting starts after the instances have had time to learn. Five rounds reduce the effect of chance.
			testCase.experiment.MeasureFrom, testCase.experiment.Duration = 12*clock.Second, 28*clock.Second
			testCase.experiment.Rounds = 5
			total := Run(testCase.experiment).Variants[0].Total
			require.GreaterOrEqual(t, total.InTime(""), testCase.inTime)
			require.LessOrEqual(t, total.Refused(""), testCase.refused)
		})
	}
}
