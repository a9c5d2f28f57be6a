package load

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

var oneCall = Mix{Calls: []Call{{Service: "browsing", Class: "list", Host: "a.example", Method: "GET", Path: "/", Weight: 1}}}

// The system stalls for two seconds. A closed-loop load, which waits for each response before the next call, would count one slow
// call. Here each call that is scheduled during the stall counts its own wait, so p99 shows the stall as callers see it.
func TestStallCountsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		const stallFrom, stallTo = 4 * time.Second, 6 * time.Second
		generator := NewGenerator(Options{
			Mix: oneCall, Rate: 100, Seed: 1,
			Send: func(context.Context, *Call, uint64) outcome.Outcome {
				if since := time.Since(start); since >= stallFrom && since < stallTo {
					time.Sleep(stallTo - since)
				}
				return outcome.Answered
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		go generator.RunForever(ctx)
		time.Sleep(10 * time.Second)
		stop()
		synctest.Wait()
		stats := generator.total
		require.InDelta(t, 1000, stats.Answered, 100)
		slowCalls := stats.All.TotalCount() - countBelow(stats, 100)
		require.InDelta(t, 190, slowCalls, 60, "about the number of arrivals in 1.9 s")
		require.InDelta(t, 2000, quantile(stats.All, 99.9), 60)
	})
}

func countBelow(stats *Stats, milliseconds int64) int64 {
	count := int64(0)
	for _, bucket := range stats.All.Distribution() {
		if bucket.To < milliseconds*microsecondsPerMilli {
			count += bucket.Count
		}
	}
	return count
}

// The same seed gives the same calls at the same times, so that all variants of an experiment get the same arrivals.
func TestArrivalsAreFixedAhead(t *testing.T) {
	schedule := func(seed uint64) []arrival {
		return NewGenerator(Options{Mix: oneCall, Rate: 1000, Seed: seed}).schedule(time.Second)
	}
	first, second := schedule(1), schedule(1)
	require.Equal(t, first, second)
	require.NotEqual(t, schedule(1), schedule(2))
	require.InDelta(t, 1000, len(schedule(1)), 150)
}

func TestMixIsChecked(t *testing.T) {
	cases := []struct{ name, text, problem string }{
		{"unknown field", `{"calls": [], "speed": 1}`, "unknown field"},
		{"empty", `{"calls": []}`, "no call has a weight"},
		{"no host", `{"calls": [{"service": "a", "method": "GET", "path": "/", "weight": 1}]}`, "calls.0: service, host and method"},
		{"bad path", `{"calls": [{"service": "a", "host": "h", "method": "GET", "path": "x", "weight": 1}]}`, "calls.0.path"},
		{"negative weight", `{"calls": [{"service": "a", "host": "h", "method": "GET", "path": "/", "weight": -1}]}`, "calls.0: weight or bodyBytes is negative"},
		{"trailing", `{"calls": []} {}`, "unexpected text after the mix"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			_, err := parseMix([]byte(testCase.text))
			require.ErrorIs(t, err, ErrMix)
			require.ErrorContains(t, err, testCase.problem)
		})
	}
}

func TestEvenMix(t *testing.T) {
	loaded, err := settings.LoadSite("../../examples/malabon.base.json", "")
	require.NoError(t, err)
	mix, err := EvenMix(loaded.Site)
	require.NoError(t, err)
	require.Len(t, mix.Calls, 4)
	counts := map[settings.ClassName]int{}
	for step := range 400 {
		counts[mix.pick(float64(step)/400).Class]++
	}
	require.Equal(t, map[settings.ClassName]int{"lookup": 100, "look": 100, "post": 100, "ledger": 100}, counts)
}

// An experiment runs its variants alternately and reports each as text, JSON and a plot. Rejections don't count as fast
// responses.
func TestExperimentReports(t *testing.T) {
	variant := func(name string, result outcome.Outcome) Variant {
		return Variant{Name: name, Send: func(context.Context, *Call, uint64) outcome.Outcome { return result }}
	}
	result := Run(context.Background(), Experiment{
		Mix: oneCall, Rate: 2000, Seed: 1, Slice: 20 * time.Millisecond, Rounds: 2,
		Variants: []Variant{variant("direct", outcome.Answered), variant("through", outcome.NotRun)},
	})
	require.Len(t, result.Variants[0].Rounds, 2)
	require.Equal(t, result.Variants[0].Total.Answered, result.Variants[1].Total.NotRun, "both got the same arrivals")
	require.Zero(t, result.Variants[1].Total.All.TotalCount())
	directory := filepath.Join(t.TempDir(), "report")
	require.NoError(t, result.WriteFiles(directory))
	text, err := os.ReadFile(filepath.Join(directory, "report.txt"))
	require.NoError(t, err)
	require.Contains(t, string(text), "through against direct")
	structured, err := os.ReadFile(filepath.Join(directory, "report.json"))
	require.NoError(t, err)
	require.True(t, json.Valid(structured))
	drawing, err := os.ReadFile(filepath.Join(directory, "report.svg"))
	require.NoError(t, err)
	require.True(t, bytes.Contains(drawing, []byte("<svg")))
}
