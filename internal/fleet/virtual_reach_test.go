package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// reachSettleTime is the time after which a fleet has followed a change of who reaches the servers: the platform judges after
// contactTime, and callers use addresses for callerTTL.
const reachSettleTime = contactTime

// reachChecks checks that a fleet follows which of its machines reach the servers.
type reachChecks struct {
	fleet *virtualFleet
	// reaching are the numbers of the machines that reach the servers, changedAt is when that last changed, and partlyUntil until when
	// some of them did not.
	reaching  []int
	changedAt clock.Moment
}

func newReachChecks(fleet *virtualFleet) *reachChecks {
	return &reachChecks{fleet: fleet}
}

func (reachChecks *reachChecks) record(now clock.Moment) {
	if reachChecks.fleet.options.unreachable == nil {
		return
	}
	var reaching []int
	for _, machine := range reachChecks.fleet.machines {
		if !reachChecks.fleet.unreachable(machine, now) {
			reaching = append(reaching, machine.number)
		}
	}
	if !slices.Equal(reaching, reachChecks.reaching) {
		reachChecks.reaching, reachChecks.changedAt = reaching, now
	}
}

// unsettled reports whether some machines do not reach the servers, or did not a short time ago.
func (reachChecks *reachChecks) unsettled(now clock.Moment) bool {
	if reachChecks.fleet.options.unreachable == nil {
		return false
	}
	return len(reachChecks.reaching) < len(reachChecks.fleet.machines) || now.Since(reachChecks.changedAt) < settleTime
}

// judged reports whether the fleet must have followed the last change, and a machine that reaches the servers serves.
func (reachChecks *reachChecks) judged(now clock.Moment) bool {
	fleet := reachChecks.fleet
	if fleet.options.unreachable == nil || now.Since(reachChecks.changedAt) < reachSettleTime || now.Since(fleet.checks.disturbed) < settleTime {
		return false
	}
	return len(reachChecks.reaching) > 0 && len(reachChecks.reaching) < len(fleet.machines)
}

// advertised checks that address answers of all instances contain only instances that reach the servers.
func (reachChecks *reachChecks) advertised(now clock.Moment) string {
	if !reachChecks.judged(now) {
		return ""
	}
	return reachChecks.fleet.checks.running(now, func(_ *machine, process *process) string {
		book := process.controller.book.Load()
		for _, machine := range reachChecks.fleet.machines {
			if reachChecks.fleet.unreachable(machine, now) && slices.Contains(book.addresses, machine.identity.Caller) {
				return fmt.Sprintf("advertises %s, which has reached no server for %s", machine.identity.Name, now.Since(reachChecks.changedAt))
			}
		}
		return ""
	})
}

// owned checks that in the views of serving instances all servers are owned by instances that reach them.
func (reachChecks *reachChecks) owned(now clock.Moment) string {
	if !reachChecks.judged(now) {
		return ""
	}
	return reachChecks.fleet.checks.running(now, func(_ *machine, process *process) string {
		if process.controller.members.State() != membership.Serving {
			return ""
		}
		for target, owner := range ownersOf(process.controller) {
			for _, machine := range reachChecks.fleet.machines {
				if machine.identity.Name == owner && reachChecks.fleet.unreachable(machine, now) {
					return fmt.Sprintf("considers %s the owner of %s, which it has not reached for %s", owner, target, now.Since(reachChecks.changedAt))
				}
			}
		}
		return ""
	})
}

// reachWindow is a time in which some machines do not reach the servers.
type reachWindow struct {
	from, until clock.Moment
	machines    []int
}

// newReachWindows draws which machines do not reach the servers when: a few, most, all of a data centre, or all but one.
func newReachWindows(options virtualOptions) []reachWindow {
	random := rand.New(rand.NewPCG(options.seed, 17))
	var windows []reachWindow
	for _, from := range []clock.Moment{clock.Moment(9 * clock.Second), clock.Moment(18 * clock.Second)} {
		window := reachWindow{from: from, until: from.Add(clock.Milliseconds(random.IntN(3000)) + 4*clock.Second)}
		order := random.Perm(options.instances)
		switch random.IntN(4) {
		case 0:
			window.machines = order[:1+random.IntN(options.instances/3+1)]
		case 1:
			window.machines = order[:options.instances*2/3]
		case 2:
			dataCentre := random.IntN(options.dataCentres)
			window.machines = slices.DeleteFunc(order, func(number int) bool { return number%options.dataCentres != dataCentre })
		default:
			window.machines = order[1:]
		}
		windows = append(windows, window)
	}
	return windows
}

// Guards against a fleet in which instances that reach no server go on serving, own servers and are named to callers, beside restarts,
// cut links, changes and a store in trouble; and against one that does not return to its state afterwards.
func TestVirtualFleetFollowsReach(t *testing.T) {
	for seed := *virtualSeed; seed < *virtualSeed+uint64(*virtualSeeds+1)/2; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			options := reachOptions(seed)
			for _, schedule := range [][]change{nil, newSchedule(options)} {
				result := playVirtual(t, options, schedule)
				if result.violation != nil {
					failVirtual(t, options, schedule, result.violation)
				}
			}
		})
	}
}

// Guards against a seed whose run differs each time: it could not be traced.
func TestVirtualFleetRepeatsWithoutServers(t *testing.T) {
	options := reachOptions(3)
	schedule := newSchedule(options)
	first := playVirtual(t, options, schedule)
	require.Equal(t, first, playVirtual(t, options, schedule))
}

// reachOptions returns the options of a run in which some machines do not reach the servers for a while, twice.
func reachOptions(seed uint64) virtualOptions {
	options := optionsForSeed(seed)
	windows := newReachWindows(options)
	options.unreachable = func(number int, now clock.Moment) bool {
		return slices.ContainsFunc(windows, func(window reachWindow) bool {
			return now >= window.from && now < window.until && slices.Contains(window.machines, number)
		})
	}
	return options
}
