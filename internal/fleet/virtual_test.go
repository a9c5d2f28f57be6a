package fleet

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

var (
	virtualSeed      = flag.Uint64("virtual.seed", 1, "first seed of the fleet in virtual time")
	virtualSeeds     = flag.Int("virtual.seeds", 10, "number of seeds")
	virtualInstances = flag.Int("virtual.instances", 0, "number of instances, 0 for the number that the seed determines")
)

// sizes are the numbers of instances of which a seed determines one.
var sizes = []int{5, 5, 6, 7, 8, 9, 10, 12, 13, 17, 30, 100}

func optionsForSeed(seed uint64) virtualOptions {
	options := virtualOptions{
		seed: seed, instances: sizes[seed%uint64(len(sizes))], dataCentres: 1 + int(seed/5%4), servers: 6, length: 30 * clock.Second,
	}
	if *virtualInstances > 0 {
		options.instances = *virtualInstances
	}
	return options
}

// runResult is the result of a run.
type runResult struct {
	violation *violation
	worstCase worstCase
	steps     int
	datagrams int
	// mostLimited is the largest number of requests to a limited server in a window, totalLimited the number of all.
	mostLimited, totalLimited int
}

func playVirtual(t *testing.T, options virtualOptions, schedule []change) runResult {
	var result runResult
	synctest.Test(t, func(*testing.T) {
		fleet := newVirtualFleet(options, schedule)
		result.violation = fleet.play()
		result.worstCase, result.steps, result.datagrams = fleet.checks.worstCase, fleet.steps, fleet.datagrams
		result.mostLimited, result.totalLimited = fleet.checks.statements.most, fleet.checks.statements.total
	})
	return result
}

// Guards against combinations of faults, in any order: instances are killed, frozen, replaced, cut off and leave, datagrams
// are lost, delayed and duplicated, and the store is down, refuses calls, lags and discards its history. The fleet must pass
// all checks.
func TestVirtualFleet(t *testing.T) {
	var mutex sync.Mutex
	var all runResult
	t.Run("seeds", func(t *testing.T) {
		for seed := *virtualSeed; seed < *virtualSeed+uint64(*virtualSeeds); seed++ {
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				options := optionsForSeed(seed)
				schedule := newSchedule(options)
				result := playVirtual(t, options, schedule)
				mutex.Lock()
				all.steps += result.steps
				all.datagrams += result.datagrams
				all.worstCase.add(result.worstCase)
				mutex.Unlock()
				if result.violation != nil {
					failVirtual(t, options, schedule, result.violation)
				}
			})
		}
	})
	t.Logf("%d seeds, %d steps, %d datagrams; worst: no instance served in a data centre for %s, configuration %s late, %d served, %d requests to a cold server in a second",
		*virtualSeeds, all.steps, all.datagrams, all.worstCase.unserved, all.worstCase.configured, all.worstCase.serving, all.worstCase.sent)
}

// Guards against a seed whose run differs each time: it could not be traced, nor could its schedule be shortened.
func TestVirtualFleetRepeats(t *testing.T) {
	options := optionsForSeed(3)
	schedule := newSchedule(options)
	first := playVirtual(t, options, schedule)
	require.Equal(t, first, playVirtual(t, options, schedule))
}

// failVirtual fails the test with the shortest schedule that still fails.
func failVirtual(t *testing.T, options virtualOptions, schedule []change, found *violation) {
	short := shrink(schedule, func(candidate []change) bool {
		result := playVirtual(t, options, candidate)
		return result.violation != nil && result.violation.check == found.check
	})
	last := playVirtual(t, options, short)
	if last.violation == nil {
		last.violation = found
	}
	var lines strings.Builder
	for _, change := range short {
		fmt.Fprintf(&lines, "\t%s\n", change)
	}
	t.Errorf("%s: %s\n%d instances in %d data centres, seed %d, at %s; %d of %d changes:\n%s", last.violation.check, last.violation.detail,
		options.instances, options.dataCentres, options.seed, clock.Milliseconds(last.violation.at), len(short), len(schedule), lines.String())
}

// shrink removes changes from a schedule, and shortens them, as long as it fails.
func shrink(schedule []change, fails func([]change) bool) []change {
	for size := max(len(schedule)/2, 1); size > 0; size /= 2 {
		for start := 0; start < len(schedule); {
			without := append(append([]change(nil), schedule[:start]...), schedule[min(start+size, len(schedule)):]...)
			if fails(without) {
				schedule = without
				continue
			}
			start += size
		}
	}
	for index := range schedule {
		for shorter := schedule[index].For / 2; shorter >= 50; shorter /= 2 {
			candidate := append([]change(nil), schedule...)
			candidate[index].For = shorter
			if !fails(candidate) {
				break
			}
			schedule = candidate
		}
	}
	return schedule
}
