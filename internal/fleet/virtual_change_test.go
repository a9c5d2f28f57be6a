package fleet

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// changeKind is the kind of a change to a fleet, its links, its store or its servers.
type changeKind string

// Changes to instances.
const (
	kill        changeKind = "kill"
	killServing changeKind = "killServing"
	powerLoss   changeKind = "powerLoss"
	stop        changeKind = "stop"
	suspend     changeKind = "suspend"
	leave       changeKind = "leave"
	replace     changeKind = "replace"
)

// Changes to links, all of which have a duration.
const (
	cutOneWay changeKind = "cutOneWay"
	cutOff    changeKind = "cutOff"
	partition changeKind = "partition"
	lossy     changeKind = "lossy"
	late      changeKind = "late"
	doubled   changeKind = "doubled"
)

// Changes to the store, all but the last of which have a duration.
const (
	storeCut     changeKind = "storeCut"
	storeRefuses changeKind = "storeRefuses"
	storeDown    changeKind = "storeDown"
	storeSlow    changeKind = "storeSlow"
	storeLags    changeKind = "storeLags"
	storeForgets changeKind = "storeForgets"
	// storeRefusesOne refuses the calls of one machine, storeStale lets all but stale reads hang. Drawn schedules do not contain them.
	storeRefusesOne changeKind = "storeRefusesOne"
	storeStale      changeKind = "storeStale"
)

// Changes to the content of the store.
const (
	nothing       changeKind = "nothing"
	configure     changeKind = "configure"
	drainServer   changeKind = "drainServer"
	removeServer  changeKind = "removeServer"
	addServer     changeKind = "addServer"
	takeOut       changeKind = "takeOut"
	restartServer changeKind = "restartServer"
)

var changeKinds = []changeKind{
	kill, killServing, powerLoss, stop, suspend, leave, replace, cutOneWay, cutOff, partition, lossy, late, doubled, storeCut, storeRefuses,
	storeDown, storeSlow, storeLags, storeForgets, configure, drainServer, removeServer, addServer, takeOut, restartServer,
}

var timedKinds = []changeKind{cutOneWay, cutOff, partition, lossy, late, doubled, storeCut, storeRefuses, storeDown, storeSlow, storeLags}

// change is one entry of a schedule. One and Other are machines, or servers in the order of their names.
type change struct {
	At    clock.Moment
	For   clock.Milliseconds
	Kind  changeKind
	One   int
	Other int
}

// String returns the change as the literal that a test case contains.
func (change change) String() string {
	return fmt.Sprintf("{At: %.0f, For: %.0f, Kind: %s, One: %d, Other: %d},", float64(change.At), float64(change.For), change.Kind, change.One, change.Other)
}

// Times of a schedule: the fleet settles at the start, and again at the end.
const (
	initialSettleTime = 7 * clock.Second
	finalSettleTime   = 9 * clock.Second
	maxChangeLength   = 5 * clock.Second
)

// denseSeedInterval is the interval between two seeds whose schedules have so many changes that the fleet never settles.
const denseSeedInterval = 4

// newSchedule draws the changes of a run. Some of them are repeated, as when instances are restarted one after another.
func newSchedule(options virtualOptions) []change {
	random := rand.New(rand.NewPCG(options.seed, 11))
	span := options.length - initialSettleTime - finalSettleTime
	var schedule []change
	count := 2 + random.IntN(10)
	if options.seed%denseSeedInterval == 0 {
		count *= 4
	}
	for range count {
		drawn := change{
			At:  clock.Moment(initialSettleTime + clock.Milliseconds(random.IntN(int(span)/10)*10)),
			For: clock.Milliseconds(100 + random.IntN(int(maxChangeLength)/10)*10), Kind: changeKinds[random.IntN(len(changeKinds))],
			One: random.IntN(options.instances), Other: random.IntN(options.instances),
		}
		schedule = append(schedule, drawn)
		if random.IntN(4) > 0 {
			continue
		}
		for again := range 1 + random.IntN(4) {
			next := drawn
			next.At = drawn.At.Add(clock.Milliseconds(again+1) * clock.Milliseconds(10*random.IntN(100)))
			next.One, next.Other = (drawn.One+again+1)%options.instances, random.IntN(options.instances)
			if next.At < clock.Moment(options.length-finalSettleTime) {
				schedule = append(schedule, next)
			}
		}
	}
	slices.SortStableFunc(schedule, func(left, right change) int { return cmp.Compare(left.At, right.At) })
	return schedule
}

// applySchedule begins and ends the changes that are due.
func (fleet *virtualFleet) applySchedule(now clock.Moment) {
	before := len(fleet.active)
	fleet.active = slices.DeleteFunc(fleet.active, func(change change) bool {
		over := now >= fleet.startOf(change).Add(change.For)
		if over && change.Kind == storeDown && change.For >= serverLease {
			fleet.store.expireServers(now)
		}
		return over
	})
	refresh := len(fleet.active) != before
	for len(fleet.schedule) > 0 && now >= fleet.startOf(fleet.schedule[0]) {
		next := fleet.schedule[0]
		fleet.schedule = fleet.schedule[1:]
		if slices.Contains(timedKinds, next.Kind) {
			fleet.active = append(fleet.active, next)
			refresh = true
			continue
		}
		fleet.changeMachines(next, now)
		fleet.changeStore(next, now)
	}
	if refresh {
		fleet.network.refresh(fleet.active)
	}
	fleet.markDisturbed(now)
	fleet.store.renewServers(now)
}

// startOf returns when a change begins by the clock of the fleet.
func (fleet *virtualFleet) startOf(change change) clock.Moment {
	return change.At.Add(clock.Second)
}

func (fleet *virtualFleet) changeMachines(change change, now clock.Moment) {
	machine := fleet.machines[change.One]
	switch change.Kind {
	case kill:
		fleet.restart(machine, now, change.For)
	case killServing:
		for _, other := range fleet.machines {
			if other.process != nil && other.process.controller.members.State() == membership.Serving {
				fleet.restart(other, now, change.For)
			}
		}
	case powerLoss:
		for _, other := range fleet.machines {
			fleet.restart(other, now, change.For+clock.Milliseconds(fleet.random.IntN(50)))
		}
	case replace:
		if change.One >= len(fleet.seeds()) {
			fleet.restart(machine, now, change.For)
			machine.generation++
			fleet.setIdentity(machine)
		}
	case stop, suspend:
		if machine.process != nil {
			machine.process.freeze(now, change.For, change.Kind == suspend)
		}
	case leave:
		fleet.leave(machine, now, change.For)
	default:
	}
}

func (fleet *virtualFleet) restart(machine *machine, now clock.Moment, after clock.Milliseconds) {
	fleet.end(machine, now)
	machine.startAt = now.Add(after)
}

// Times of leaving: requests of callers are accepted until listenUntil, and end by maxLeaveTime.
const (
	listenUntil  = 2700 * clock.Millisecond
	maxLeaveTime = 6 * clock.Second
)

func (fleet *virtualFleet) leave(machine *machine, now clock.Moment, after clock.Milliseconds) {
	process := machine.process
	if process == nil || process.leftAt > 0 {
		return
	}
	// The inbox is not full: it is emptied in each step.
	_ = process.controller.Leave(context.Background())
	process.leftAt = now
	process.leavesAt = now.Add(listenUntil + clock.Milliseconds(fleet.random.Float64())*(maxLeaveTime-listenUntil))
	machine.startAt = process.leavesAt.Add(after)
}

func (fleet *virtualFleet) changeStore(change change, now clock.Moment) {
	store := fleet.store
	servers := store.listed()
	var server catalog.Server
	if len(servers) > 0 {
		server = servers[change.One%len(servers)]
	}
	switch change.Kind {
	case storeForgets:
		store.forgotten = store.states[len(store.states)-1].revision
		store.degradedAt = now
	case configure:
		store.configure()
	case addServer:
		store.addServer()
	case takeOut:
		store.toggleEvacuated(fleet.dataCentre(change.One))
	case drainServer:
		if server.State == catalog.ServerReady {
			store.change(server, catalog.ServerLeaving)
		}
	case removeServer:
		if len(servers) > 1 {
			store.change(server, "")
		}
	case restartServer:
		if server.State == catalog.ServerReady {
			server.Started++
			store.write(catalog.ServerKey(server.Name), &catalog.Item{Server: &server})
		}
	default:
	}
}
