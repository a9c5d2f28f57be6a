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

// An experiment with a mistake would measure something else than its author thinks. It must be refused by the field's name.
func TestExperimentsAreChecked(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	require.NoError(t, err)
	cases := []struct {
		name, old, changed, problem string
	}{
		{"unknown field", `"queue"`, `"queu"`, "queu"},
		{"no slots", `"slots": 2`, `"slots": 0`, "service.slots"},
		{"a share above one", `"share": 0.35`, `"share": 1.35`, "service.noise.share"},
		{"an aim past the deadline", `"aim": "400ms"`, `"aim": "4s"`, "classes.statement"},
		{"nobody serves", `"instances": 1`, `"instances": 0`, "one that knows everything.instances"},
		{"a bare number for a time", `"length": "21s"`, `"length": 21`, "length"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "experiment.json")
			changed := strings.Replace(string(text), testCase.old, testCase.changed, 1)
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

// The same seed must show the same, or else two variants can't be compared.
func TestSameSeedShowsTheSame(t *testing.T) {
	experiment := example(t)
	experiment.Rounds = 1
	var first, second bytes.Buffer
	require.NoError(t, Run(experiment).WriteText(&first))
	require.NoError(t, Run(experiment).WriteText(&second))
	require.Equal(t, first.String(), second.String())
}

// A target runs as many requests at once as it has slots, slows down above its knee and in noisy spells, lets some wait and never
// answers the rest. A model that ran more than its slots made contention between instances look harmless.
func TestTargetsTakeTheirTime(t *testing.T) {
	cases := []struct {
		name    string
		service Service
		jobs    int
		// ends are the moments at which requests of 100 ms end that start together, in their order; 0 stands for never.
		ends []clock.Moment
	}{
		{"all at once", Service{Slots: 2, Queue: 1, Knee: 1, KneeTimes: 1}, 2, []clock.Moment{100, 100}},
		{"one waits", Service{Slots: 2, Queue: 1, Knee: 1, KneeTimes: 1}, 3, []clock.Moment{100, 100, 200}},
		{"one too many", Service{Slots: 2, Queue: 1, Knee: 1, KneeTimes: 1}, 4, []clock.Moment{100, 100, 200, 0}},
		{"above the knee", Service{Slots: 2, Queue: 1, Knee: 0.5, KneeTimes: 2}, 2, []clock.Moment{200, 200}},
		{"slow all the time", Service{Slots: 2, Queue: 1, Knee: 1, KneeTimes: 1, Noise: Noise{Share: 1, Times: 3}}, 1, []clock.Moment{300}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			engine := newEngine()
			testCase.service.Noise.Every = 150
			testCase.service.Noise.Times = max(testCase.service.Noise.Times, 1)
			target := &target{service: &testCase.service, engine: engine}
			ends := make([]clock.Moment, testCase.jobs)
			for number := range testCase.jobs {
				target.start(&job{left: 100, deadline: 5000, done: func(finished bool) {
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

// Instances that know more must not do worse: what readings cost would be spent for nothing. And whatever is refused is refused soon.
func TestKnowingMoreServesMore(t *testing.T) {
	experiment := example(t)
	experiment.Classes[0].PerSecond = 45
	result := Run(experiment)
	built, blind, knowing := result.Variants[0].Whole, result.Variants[1].Whole, result.Variants[2].Whole
	require.Greater(t, built.InTime(""), blind.InTime("")+0.03)
	require.Greater(t, knowing.InTime(""), built.InTime("")+0.03)
	for _, variant := range result.Variants {
		require.Less(t, variant.Whole.HeldLongest(), 400*clock.Millisecond)
	}
}

// A third of the targets goes while half as many callers again come. What fits must still be in time and most of the rest be told so
// at once; when it is over, everything is as before.
func TestOutageUnderABurst(t *testing.T) {
	experiment := example(t)
	experiment.Classes[0].PerSecond = 40
	experiment.Bursts = []Burst{{At: 8 * clock.Second, For: 4 * clock.Second, Times: 1.5}}
	experiment.Outages = []Outage{{At: 8 * clock.Second, For: 4 * clock.Second, Share: 0.34}}
	whole := Run(experiment).Variants[0].Whole
	require.Greater(t, whole.InTime(""), 0.70)
	require.Less(t, whole.Expired(""), 0.02)
	experiment.Settle = 14 * clock.Second
	require.Greater(t, Run(experiment).Variants[0].Whole.InTime(""), 0.84)
}

// A minute of a site of three instances and nine targets.
func BenchmarkPlay(b *testing.B) {
	experiment := example(b)
	experiment.Length = clock.Minute
	for b.Loop() {
		play(experiment, &experiment.Variants[0], 1)
	}
}
