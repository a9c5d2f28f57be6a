package service

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// exhaustiveChooser chooses by comparing all targets, as a simple reference for Scheduler.
type exhaustiveChooser struct {
	*Scheduler

	now    clock.Moment
	random *rand.Rand
}

func (exhaustiveChooser *exhaustiveChooser) duration(candidate *candidate, classStats *classStats, times clock.Milliseconds) clock.Milliseconds {
	now, serviceTime := exhaustiveChooser.now, classStats.serviceTime*times
	slowdown := clock.Milliseconds(candidate.expectedSlowdown(now, exhaustiveChooser.meanSlowdown))
	fixed, varying := serviceTime*slowdown, serviceTime*slowdown
	if candidate.slowdownCycle.period > 0 {
		longRunSlowdown := exhaustiveChooser.longRunSlowdown()
		if candidate.cold(now) {
			longRunSlowdown *= coldSlowdown
		}
		if steady := candidate.slowdownCycle.untilBoundary(now); fixed > steady {
			varying = steady + (serviceTime-steady/slowdown)*clock.Milliseconds(longRunSlowdown)
		}
	}
	inFlight := float64(candidate.ownInFlight + candidate.othersInFlight(now))
	duration := exhaustiveChooser.slowdownModel.weighted(durationForecast{fixed: fixed, varying: varying})
	return duration + classStats.serviceTime*clock.Milliseconds(concurrencyCost*inFlight/float64(candidate.concurrencyLimit())+failureCost*candidate.failureRate)
}

// cost is the cost by which targets are compared. chance replaces the random number of the jitter.
func (exhaustiveChooser *exhaustiveChooser) cost(candidate *candidate, classStats *classStats, chance float64) clock.Milliseconds {
	cost := exhaustiveChooser.duration(candidate, classStats, 1) + exhaustiveChooser.duration(candidate, classStats, longRequestFactor)
	cost *= clock.Milliseconds(1 + choiceJitter*chance)
	if !candidate.config.Local {
		cost += 2 * (remoteCost + clock.Milliseconds(classStats.transferredBytes/bytesPerMillisecond))
	}
	return cost
}

func (exhaustiveChooser *exhaustiveChooser) best(permitRequest PermitRequest, despiteFailures bool) *candidate {
	classStats := exhaustiveChooser.classStatsOf(permitRequest.Class)
	var best, previous *candidate
	var minCost clock.Milliseconds
	for _, candidate := range exhaustiveChooser.ordered {
		if !candidate.available(exhaustiveChooser.now, despiteFailures) {
			continue
		}
		if candidate.Target == permitRequest.PreviousTarget {
			previous = candidate
			continue
		}
		if cost := exhaustiveChooser.cost(candidate, classStats, exhaustiveChooser.random.Float64()); best == nil || cost < minCost {
			best, minCost = candidate, cost
		}
	}
	if best == nil {
		return previous
	}
	return best
}

func (exhaustiveChooser *exhaustiveChooser) anyFastAvailable() bool {
	return slices.ContainsFunc(exhaustiveChooser.ordered, func(candidate *candidate) bool {
		return candidate.available(exhaustiveChooser.now, true) && !candidate.slow(exhaustiveChooser.now)
	})
}

func (exhaustiveChooser *exhaustiveChooser) inFlightAndLimit() (int, int) {
	inFlight, limit := 0, 0
	for _, candidate := range exhaustiveChooser.ordered {
		if candidate.config.Usable && !candidate.down {
			limit += candidate.concurrencyLimit()
			inFlight += min(candidate.ownInFlight+candidate.othersInFlight(exhaustiveChooser.now), candidate.concurrencyLimit())
		}
	}
	return inFlight, limit
}

// check compares the results of the scheduler with those of the exhaustive search.
func (randomWorkload *randomWorkload) check() {
	scheduler, now := randomWorkload.scheduler, randomWorkload.clock.Now()
	seed := randomWorkload.random.Uint64()
	exhaustiveChooser := &exhaustiveChooser{Scheduler: scheduler, now: now, random: rand.New(rand.NewPCG(seed, seed))}
	require.Equal(randomWorkload, exhaustiveChooser.anyFastAvailable(), scheduler.anyFastAvailable(now), "any fast available")
	inFlight, limit := exhaustiveChooser.inFlightAndLimit()
	foundInFlight, foundLimit := scheduler.inFlight(now)
	require.Equal(randomWorkload, []int{inFlight, limit}, []int{foundInFlight, foundLimit}, "in flight and limit")
	permitRequest := randomWorkload.permitRequest()
	scheduler.random = rand.New(rand.NewPCG(seed, seed))
	expected := exhaustiveChooser.best(permitRequest, false)
	found, duration := scheduler.best(now, scheduler.classStatsOf(permitRequest.Class), permitRequest.PreviousTarget, false)
	if expected == nil && found == nil {
		require.Equal(randomWorkload, exhaustiveChooser.best(permitRequest, true) == nil, randomWorkload.bestDespiteFailures(permitRequest) == nil, "despite failures")
		return
	}
	require.Equal(randomWorkload, expected == nil, found == nil, "any available")
	require.True(randomWorkload, found.config.Usable && !found.down && found.available(now, false), "available")
	if len(scheduler.ordered) <= maxFullComparison {
		require.Same(randomWorkload, expected, found)
		require.InDelta(randomWorkload, float64(exhaustiveChooser.duration(expected, scheduler.classStatsOf(permitRequest.Class), 1)), float64(duration), 1e-6)
		return
	}
	require.Equal(randomWorkload, expected.Target == permitRequest.PreviousTarget, found.Target == permitRequest.PreviousTarget,
		"the target of the earlier attempt comes last")
	classStats := scheduler.classStatsOf(permitRequest.Class)
	randomWorkload.excessCosts = append(randomWorkload.excessCosts, float64(exhaustiveChooser.cost(found, classStats, 0)/exhaustiveChooser.cost(expected, classStats, 0)-1))
}

func (randomWorkload *randomWorkload) bestDespiteFailures(permitRequest PermitRequest) *candidate {
	found, _ := randomWorkload.scheduler.best(randomWorkload.clock.Now(), randomWorkload.scheduler.classStatsOf(permitRequest.Class), permitRequest.PreviousTarget, true)
	require.True(randomWorkload, found == nil || found.config.Usable && !found.down && found.available(randomWorkload.clock.Now(), true), "available despite failures")
	return found
}

// A choice that does not compare all targets could miss the only free one, send requests to a target that is leaving or
// down, or to a slow one beside a fast one.
func TestChoiceIsAsGoodAsExhaustive(t *testing.T) {
	cases := []struct {
		targets int
		steps   int
		// mean and p99 bound the cost of the chosen target beyond that of the best one, relative to the latter: on average,
		// and in 99 of 100 choices.
		mean, p99 float64
	}{
		{targets: 3, steps: 4000},
		{targets: 16, steps: 4000},
		{targets: 17, steps: 4000, mean: choiceJitter, p99: 0.2},
		{targets: 60, steps: 4000, mean: choiceJitter, p99: 0.2},
		{targets: 300, steps: 6000, mean: choiceJitter, p99: 0.2},
	}
	for _, testCase := range cases {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d targets, seed %d", testCase.targets, seed), func(t *testing.T) {
				randomWorkload := newRandomWorkload(t, testCase.targets, seed)
				for range testCase.steps {
					randomWorkload.step()
					randomWorkload.check()
				}
				if len(randomWorkload.excessCosts) == 0 {
					return
				}
				slices.Sort(randomWorkload.excessCosts)
				sum := 0.0
				for _, excess := range randomWorkload.excessCosts {
					sum += excess
				}
				mean, p99 := sum/float64(len(randomWorkload.excessCosts)), randomWorkload.excessCosts[len(randomWorkload.excessCosts)*99/100]
				t.Logf("%d choices: %.4f on average, %.4f in 99 of 100, %.4f at most", len(randomWorkload.excessCosts), mean, p99, slices.Max(randomWorkload.excessCosts))
				require.LessOrEqual(t, mean, testCase.mean)
				require.LessOrEqual(t, p99, testCase.p99)
			})
		}
	}
}
