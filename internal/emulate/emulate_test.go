package emulate

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const exampleFile = "../../examples/statements.experiment.json"

func example(t testing.TB) *Experiment {
	experiment, err := LoadExperiment(exampleFile)
	require.NoError(t, err)
	return experiment
}

// An experiment with a wrong or misspelled field would measure something else than its author intends. The error names the field.
func TestExperimentsAreChecked(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	require.NoError(t, err)
	cases := []struct {
		name, original, changed, problem string
	}{
		{"unknown field", `"queue"`, `"queu"`, "queu"},
		{"no slots", `"slots": 2`, `"slots": 0`, "service.slots"},
		{"a share above one", `"share": 0.35`, `"share": 1.35`, "service.noise.share"},
		{"a soft timeout after the deadline", `"aim": "400ms"`, `"aim": "4s"`, "classes.statement"},
		{"no instances", `"instances": 1`, `"instances": 0`, "one that knows everything.instances"},
		{"a time without a unit", `"length": "21s"`, `"length": 21`, "length"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "experiment.json")
			changed := strings.Replace(string(text), testCase.original, testCase.changed, 1)
			require.NotEqual(t, string(text), changed)
			require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
			_, err := LoadExperiment(path)
			require.ErrorIs(t, err, ErrExperiment)
			require.ErrorContains(t, err, testCase.problem)
		})
	}
	_, err = LoadExperiment(filepath.Join(t.TempDir(), "nowhere.json"))
	require.ErrorIs(t, err, ErrExperiment)
}

// Variants can only be compared if the same seed gives the same result.
func TestSameSeedShowsTheSame(t *testing.T) {
	experiment := example(t)
	experiment.Rounds = 1
	var first, second bytes.Buffer
	require.NoError(t, Run(experiment).WriteText(&first))
	require.NoError(t, Run(experiment).WriteText(&second))
	require.Equal(t, first.String(), second.String())
}

// A target runs as many requests at once as it has slots, queues some and never responds to the rest. It slows down above its knee
// and in slow noise intervals. A model that ran more requests than slots underestimated the contention between instances.
func TestTargetServiceTimes(t *testing.T) {
	cases := []struct {
		name    string
		service Service
		jobs    int
		// ends are the moments at which requests of 100 ms end that are submitted together, in their order; 0 means never.
		ends []clock.Moment
	}{
		{"enough slots", Service{Slots: 2, Queue: 1, Knee: 1, KneeSlowdown: 1}, 2, []clock.Moment{100, 100}},
		{"one queued", Service{Slots: 2, Queue: 1, Knee: 1, KneeSlowdown: 1}, 3, []clock.Moment{100, 100, 200}},
		{"one more than the queue holds", Service{Slots: 2, Queue: 1, Knee: 1, KneeSlowdown: 1}, 4, []clock.Moment{100, 100, 200, 0}},
		{"above the knee", Service{Slots: 2, Queue: 1, Knee: 0.5, KneeSlowdown: 2}, 2, []clock.Moment{200, 200}},
		{"always slow", Service{Slots: 2, Queue: 1, Knee: 1, KneeSlowdown: 1, Noise: Noise{SlowProbability: 1, Slowdown: 3}}, 1, []clock.Moment{300}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			engine := newEngine()
			testCase.service.Noise.Interval = 150
			testCase.service.Noise.Slowdown = max(testCase.service.Noise.Slowdown, 1)
			target := &target{service: &testCase.service, engine: engine}
			ends := make([]clock.Moment, testCase.jobs)
			for number := range testCase.jobs {
				target.submit(&job{remaining: 100, deadline: 5000, done: func(finished bool) {
					if finished {
						ends[number] = engine.now()
					}
				}})
			}
			engine.run(9000)
			for number, expected := range testCase.ends {
				require.InDelta(t, float64(expected), float64(ends[number]), 0.1)
			}
		})
	}
}

// More load readings must give more responses in time; otherwise the readings would be useless cost. Rejections must come soon
// after the arrival.
func TestMoreLoadReadingsServeMoreInTime(t *testing.T) {
	experiment := example(t)
	experiment.Classes[0].Rate = 45
	result := Run(experiment)
	standard, withoutProbes, continuous := result.Variants[0].Total, result.Variants[1].Total, result.Variants[2].Total
	require.Greater(t, standard.InTime(""), withoutProbes.InTime("")+0.03)
	require.Greater(t, continuous.InTime(""), standard.InTime("")+0.03)
	for _, variant := range result.Variants {
		require.Less(t, variant.Total.MaxRefusalDelay(), 400*clock.Millisecond)
	}
}

// A third of the targets becomes unavailable while the arrival rate rises by half. The requests that the remaining targets can run
// must still be in time, and most others must be rejected at once. After the outage, the service recovers fully.
func TestOutageUnderABurst(t *testing.T) {
	experiment := example(t)
	experiment.Classes[0].Rate = 40
	experiment.Bursts = []Burst{{Start: 8 * clock.Second, Duration: 4 * clock.Second, Factor: 1.5}}
	experiment.Outages = []Outage{{Start: 8 * clock.Second, Duration: 4 * clock.Second, TargetShare: 0.34}}
	total := Run(experiment).Variants[0].Total
	require.Greater(t, total.InTime(""), 0.70)
	require.Less(t, total.Expired(""), 0.02)
	experiment.MeasureFrom = 14 * clock.Second
	require.Greater(t, Run(experiment).Variants[0].Total.InTime(""), 0.84)
}

// BenchmarkSimulate runs one minute of a site with three instances and nine targets.
func BenchmarkSimulate(b *testing.B) {
	experiment := example(b)
	experiment.Duration = clock.Minute
	for b.Loop() {
		simulate(experiment, &experiment.Variants[0], 1)
	}
}
