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
	virtualInstances = flag.Int("virtual.instances", 0, "number of instances, 0 for what the seed says")
)

// sizes are the numbers of instances that seeds choose from.
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

// played is what came of a run.
type runResult struct {
	violation *violation
	worstCase worstCase
	steps     int
	datagrams int
}

func playVirtual(t *testing.T, options virtualOptions, schedule []change) runResult {
	var result runResult
	synctest.Test(t, func(*testing.T) {
		fleet := newVirtualFleet(options, schedule)
		result.violation = fleet.play()
		result.worstCase, result.steps, result.datagrams = fleet.checks.worstCase, fleet.steps, fleet.datagrams
	})
	return result
}

// Instances are killed, frozen, replaced, cut off and told to leave, datagrams are lost, late and doubled, and the store is down, refuses, lags and
// forgets, all at once. Whatever the order, the fleet must keep what the checks say.
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
	t.Logf("%d seeds, %d steps, %d datagrams; at worst: nobody served in a data centre for %s, a configuration was %s late, %d served, a cold server got %d in a second",
		*virtualSeeds, all.steps, all.datagrams, all.worstCase.unserved, all.worstCase.configured, all.worstCase.serving, all.worstCase.sent)
}

// A seed that plays differently each time could not be traced, nor its schedule be made shorter.
func TestVirtualFleetRepeats(t *testing.T) {
	options := optionsForSeed(3)
	schedule := newSchedule(options)
	first := playVirtual(t, options, schedule)
	require.Equal(t, first, playVirtual(t, options, schedule))
}

// failVirtual prints the shortest schedule that still fails.
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

// shrink leaves out changes, and makes them shorter, as long as the schedule fails.
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
