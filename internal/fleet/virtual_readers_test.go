package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// readerFault is what happens to the calls of the instances that read the store.
type readerFault string

const (
	// readersCut makes their calls hang, readersRefused fails new ones, readersSilent makes only those hang that have begun.
	readersCut     readerFault = "calls get no answer"
	readersRefused readerFault = "calls are refused"
	readersSilent  readerFault = "connections fall silent, new ones work"
	// mostRefused refuses the calls of two thirds of all instances, and of all that read the store or serve next.
	mostRefused readerFault = "calls of most instances are refused"
)

const (
	// readersSettledAt is when a fleet has settled, and a change aligns the watches of all readers.
	readersSettledAt = clock.Moment(8 * clock.Second)
	// configuredWithin is the time from the acknowledgement of a configuration until it must be in force everywhere.
	configuredWithin = 1900 * clock.Millisecond
)

// readerRun is a fleet whose readers get no answers of the store from phase after a change on, and the lag until the next configuration.
type readerRun struct {
	instances  int
	fault      readerFault
	phase, lag clock.Milliseconds
	// spared is the number of readers that continue to get answers.
	spared int
	// next is whether those that serve next get no answers either.
	next bool
}

// play returns the time until the configuration is in force at all instances, and the number of those that read the store.
func (readerRun readerRun) play(t *testing.T) (clock.Milliseconds, int) {
	var last clock.Milliseconds
	var readers int
	synctest.Test(t, func(*testing.T) {
		fleet := newVirtualFleet(virtualOptions{seed: 5, instances: readerRun.instances, dataCentres: 3, servers: 6}, nil)
		defer fleet.stop()
		fleet.runUntil(readersSettledAt)
		fleet.configure()
		faultAt := fleet.clock.Now().Add(readerRun.phase)
		fleet.runUntil(faultAt)
		readers = fleet.failReaders(readerRun)
		fleet.runUntil(faultAt.Add(readerRun.lag))
		version := fleet.configure()
		configured := fleet.clock.Now()
		for !fleet.configured(version) && fleet.clock.Now().Since(configured) < 10*clock.Second {
			fleet.runUntil(fleet.clock.Now().Add(virtualStep))
		}
		last = fleet.clock.Now().Since(configured)
	})
	return last, readers
}

func (fleet *virtualFleet) runUntil(end clock.Moment) {
	for fleet.clock.Now() < end {
		time.Sleep(virtualStep.Duration())
		synctest.Wait()
		fleet.step()
	}
}

// configure writes a newer configuration and returns its version.
func (fleet *virtualFleet) configure() catalog.Version {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.store.configure()
	return fleet.store.version
}

// configured reports whether all instances have the version in force.
func (fleet *virtualFleet) configured(version catalog.Version) bool {
	for _, machine := range fleet.machines {
		if table := machine.process.controller.Table(); table == nil || catalog.Version(table.Site.Revision) < version {
			return false
		}
	}
	return true
}

// failReaders applies the fault of a run to the instances that read the store, and returns their number.
func (fleet *virtualFleet) failReaders(run readerRun) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if run.fault == mostRefused {
		fleet.active = append(fleet.active, change{At: fleet.clock.Now(), For: clock.Minute, Kind: storeRefuses})
	}
	readers := 0
	for _, machine := range fleet.machines {
		controller := machine.process.controller
		reads := controller.role != catalog.RoleFollower
		if reads {
			readers++
		}
		fails := reads && readers > run.spared || run.next && controller.members.TopRanked()
		if !fails {
			continue
		}
		switch run.fault {
		case readersCut:
			fleet.active = append(fleet.active, change{At: fleet.clock.Now(), For: clock.Minute, Kind: storeCut, One: machine.number})
		case readersRefused, mostRefused:
			fleet.active = append(fleet.active, change{At: fleet.clock.Now(), For: clock.Minute, Kind: storeRefusesOne, One: machine.number})
		case readersSilent:
			machine.connectionsLostAt = fleet.clock.Now()
		}
	}
	fleet.network.refresh(fleet.active)
	return readers
}

// readerRuns returns the runs with a fault at any phase of the watches. Large fleets, which take long, have few of them.
func readerRuns(instances int, fault readerFault) []readerRun {
	const (
		phases   = 8
		interval = 290 * clock.Millisecond
		lag      = 500 * clock.Millisecond
	)
	first := readerRun{instances: instances, fault: fault, phase: 10 * clock.Millisecond}
	if instances > smallFleet {
		return []readerRun{first, {instances: instances, fault: fault, phase: 5 * interval, next: true}}
	}
	runs := []readerRun{
		{instances: instances, fault: fault, phase: interval, spared: 1},
		{instances: instances, fault: fault, phase: interval, spared: 2},
	}
	for phase := range phases {
		run := first
		run.phase += clock.Milliseconds(phase) * interval
		late, next := run, run
		late.lag, next.next = lag, true
		runs = append(runs, run, late, next)
	}
	return runs
}

// smallFleet is the number of instances that are tested with all faults.
const smallFleet = 17

// readerFleets returns the numbers of instances to test.
func readerFleets() []int {
	if *virtualInstances > 0 {
		return []int{*virtualInstances}
	}
	return []int{smallFleet, 117}
}

// Guards against a configuration that is late everywhere because the store answers none of the instances that read it, although it
// would answer any other, or none of those that serve next either.
func TestConfigurationInTimeWhenReadersGetNoAnswer(t *testing.T) {
	t.Parallel()
	for _, fault := range []readerFault{readersCut, readersRefused, readersSilent, mostRefused} {
		for _, instances := range readerFleets() {
			if instances > smallFleet && fault != readersCut {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d instances", fault, instances), func(t *testing.T) {
				t.Parallel()
				var longest clock.Milliseconds
				var most int
				for _, run := range readerRuns(instances, fault) {
					last, readers := run.play(t)
					longest, most = max(longest, last), max(most, readers)
				}
				t.Logf("%d readers, in force everywhere after %s at most", most, longest)
				require.LessOrEqual(t, float64(longest), float64(configuredWithin))
			})
		}
	}
}

// storeCalls returns the number of calls to the store a second in a settled fleet, after each step of which between is called. Those of
// the first steps are not counted.
func storeCalls(t *testing.T, instances, uncounted int, between func(fleet *virtualFleet, step int)) float64 {
	const length = 12 * clock.Second
	calls := 0
	synctest.Test(t, func(*testing.T) {
		fleet := newVirtualFleet(virtualOptions{seed: 5, instances: instances, dataCentres: 3, servers: 6}, nil)
		defer fleet.stop()
		fleet.runUntil(readersSettledAt)
		fleet.configure()
		before := 0
		for step := range uncounted + int(length/virtualStep) {
			if step == uncounted {
				before = fleet.store.callCount()
			}
			fleet.runUntil(fleet.clock.Now().Add(virtualStep))
			between(fleet, step)
		}
		calls = fleet.store.callCount() - before
	})
	return float64(calls) / float64(length/clock.Second)
}

// Guards against instances that call the store more often, which charges and limits calls: on calm days, with a change every second or
// every five, and while it does not answer.
func TestStoreCallsAreFew(t *testing.T) {
	t.Parallel()
	const settled = 600
	every := func(interval clock.Milliseconds, change func(*virtualFleet)) func(*virtualFleet, int) {
		return func(fleet *virtualFleet, step int) {
			if step%int(interval/virtualStep) == 0 {
				change(fleet)
			}
		}
	}
	configure := func(fleet *virtualFleet) { fleet.configure() }
	atOnce := func(kind changeKind, every int) func(*virtualFleet, int) {
		return func(fleet *virtualFleet, step int) {
			if step > 0 {
				return
			}
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			for number := 0; number < len(fleet.machines); number += every {
				fleet.active = append(fleet.active, change{At: fleet.clock.Now(), For: clock.Minute, Kind: kind, One: number})
			}
			fleet.network.refresh(fleet.active)
		}
	}
	cases := []struct {
		name      string
		uncounted int
		// large is whether large fleets are tested as well.
		large   bool
		between func(*virtualFleet, int)
		// most is the maximum number of calls a second.
		most float64
	}{
		{"calm", settled, true, func(*virtualFleet, int) {}, 1.6},
		{"a change every five seconds", 0, false, every(5*clock.Second, configure), 2.5},
		{"a change every second", 0, false, every(clock.Second, configure), 4.5},
		{"the store becomes slow", 0, false, atOnce(storeSlow, 1000), 3},
		{"the store is slow", settled, false, atOnce(storeSlow, 1000), 1.6},
		{"the store stops answering", 0, true, atOnce(storeCut, 1), 7},
		{"the store does not answer", settled, false, atOnce(storeCut, 1), 7},
		{"the store refuses all calls", settled, false, atOnce(storeRefusesOne, 1), 12},
	}
	for _, testCase := range cases {
		for _, instances := range readerFleets() {
			if instances > smallFleet && !testCase.large {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d instances", testCase.name, instances), func(t *testing.T) {
				t.Parallel()
				calls := storeCalls(t, instances, testCase.uncounted, testCase.between)
				t.Logf("%.2f calls a second", calls)
				require.LessOrEqual(t, calls, testCase.most)
			})
		}
	}
}
