package fleet

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

var exploreDepth = flag.Int("virtual.depth", 0, "number of changes in a row that are explored in every order, 0 for a short run")

// Times of an exploration: changes begin exploreStart after the start of the fleet, one in each exploreInterval.
const (
	exploreStart    = 3 * clock.Second
	exploreInterval = clock.Second
	// stepsPerRecord is the number of steps between two records of the fleet's state.
	stepsPerRecord = 5
)

// possibleChanges returns the changes that may happen in one second.
func possibleChanges(instances int) []change {
	list := []change{{Kind: nothing}, {Kind: storeDown, For: exploreInterval}, {Kind: configure}, {Kind: removeServer}, {Kind: powerLoss, For: exploreInterval / 4}}
	for one := range instances {
		list = append(list,
			change{Kind: kill, One: one, For: exploreInterval / 4}, change{Kind: stop, One: one, For: exploreInterval}, change{Kind: leave, One: one, For: exploreInterval / 4},
			change{Kind: cutOff, One: one, For: exploreInterval}, change{Kind: storeCut, One: one, For: exploreInterval}, change{Kind: late, One: one, For: exploreInterval},
		)
		for other := range instances {
			if other != one {
				list = append(list, change{Kind: cutOneWay, One: one, Other: other, For: exploreInterval})
			}
		}
	}
	return list
}

// explored is the result of an exploration. Two states are the same when each instance has the same role, view and owners, and
// advertises the same addresses.
type explored struct {
	depth     int
	changes   []change
	mutex     sync.Mutex
	schedules int
	steps     int
	states    map[string]bool
}

// TestVirtualFleetExplored runs every order of a few changes to a small fleet, of which random seeds draw only some. Each must
// pass the checks.
func TestVirtualFleetExplored(t *testing.T) {
	scopes := []struct {
		name                            string
		instances, dataCentres, servers int
		// depth and kinds are those of a short run; longer runs take changes of all kinds.
		depth int
		kinds []changeKind
	}{
		{"all serve", 3, 2, 2, 2, []changeKind{nothing, removeServer, kill, stop, leave, cutOff}},
		{"one is standby", 4, 1, 2, 1, nil},
	}
	for _, scope := range scopes {
		t.Run(scope.name, func(t *testing.T) {
			if *exploreDepth > 0 {
				scope.depth, scope.kinds = *exploreDepth, nil
			}
			options := virtualOptions{
				seed: 1, instances: scope.instances, dataCentres: scope.dataCentres, servers: scope.servers,
				length: exploreStart + clock.Milliseconds(scope.depth)*exploreInterval + settleTime + 2*clock.Second,
			}
			changes := slices.DeleteFunc(possibleChanges(scope.instances), func(change change) bool {
				return scope.kinds != nil && !slices.Contains(scope.kinds, change.Kind)
			})
			explored := &explored{depth: scope.depth, changes: changes, states: map[string]bool{}}
			t.Run("first", func(t *testing.T) {
				for _, first := range changes {
					t.Run(first.String(), func(t *testing.T) {
						t.Parallel()
						explored.extend(t, options, []change{first})
					})
				}
			})
			t.Logf("%d instances, %d data centres, %d servers: %d schedules of depth %d out of %d changes, %d steps, %d states", scope.instances, scope.dataCentres,
				scope.servers, explored.schedules, scope.depth, len(changes), explored.steps, len(explored.states))
			t.Log("abstracted: changes begin once a second and last a second; datagrams of one second are lost or delayed together; requests end after 50 ms")
		})
	}
}

// extend runs all schedules that begin with the given changes.
func (explored *explored) extend(t *testing.T, options virtualOptions, schedule []change) {
	if len(schedule) < explored.depth {
		for _, next := range explored.changes {
			explored.extend(t, options, append(append([]change(nil), schedule...), next))
		}
		return
	}
	for index := range schedule {
		schedule[index].At = clock.Moment(exploreStart + clock.Milliseconds(index)*exploreInterval)
	}
	var found *violation
	synctest.Test(t, func(*testing.T) {
		fleet := newVirtualFleet(options, schedule)
		fleet.checks.list = append(fleet.checks.list, namedCheck{"state", func(clock.Moment) string {
			if fleet.steps%stepsPerRecord == 0 {
				explored.record(fleet.state())
			}
			return ""
		}})
		found = fleet.play()
	})
	explored.mutex.Lock()
	explored.schedules++
	explored.mutex.Unlock()
	if found != nil {
		failVirtual(t, options, schedule, found)
	}
}

func (explored *explored) record(state string) {
	explored.mutex.Lock()
	defer explored.mutex.Unlock()
	explored.steps += stepsPerRecord
	explored.states[state] = true
}

// state returns the state of the fleet as far as an exploration distinguishes states.
func (fleet *virtualFleet) state() string {
	var text strings.Builder
	for _, machine := range fleet.machines {
		process := machine.process
		if process == nil {
			text.WriteString("off;")
			continue
		}
		controller := process.controller
		fmt.Fprintf(&text, "%s %d %t %v ", controller.members.State(), controller.role, process.gate != nil, ownersOf(controller))
		if controller.view != nil {
			fmt.Fprintf(&text, "%d %d ", controller.view.Revision, controller.view.Servers.Len())
		}
		addresses, _ := controller.Addresses()
		fmt.Fprintf(&text, "%v;", addresses)
	}
	return text.String()
}
