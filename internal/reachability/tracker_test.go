package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// network is the targets of two services as one instance reaches them.
type network struct {
	tracker *Tracker
	clock   *clock.Manual
	// cut are the targets to which connections fail, hung those whose probes fail as well.
	cut, hung map[settings.TargetName]bool
	// failsAt are the connections that are being opened and will fail.
	failsAt map[settings.TargetName]clock.Moment
	checked int
	changes []Change
}

const (
	connectTimeout = 250 * clock.Millisecond
	step           = 10 * clock.Millisecond
)

func newNetwork(lookups, payments int) *network {
	network := &network{clock: clock.NewManual(), cut: map[settings.TargetName]bool{}, hung: map[settings.TargetName]bool{}, failsAt: map[settings.TargetName]clock.Moment{}}
	network.clock.Advance(clock.Second)
	network.tracker = New(Options{Clock: &network.clock.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	network.tracker.SetTargets(map[settings.ServiceName][]settings.TargetName{"lookups": names("look", lookups), "payments": names("pay", payments)})
	return network
}

func names(prefix string, count int) []settings.TargetName {
	var targets []settings.TargetName
	for number := range count {
		targets = append(targets, settings.TargetName(fmt.Sprint(prefix, "-", number)))
	}
	return targets
}

// connect opens a connection; its failure shows after a timeout.
func (network *network) connect(name settings.TargetName) {
	if network.cut[name] {
		if _, opening := network.failsAt[name]; !opening {
			network.failsAt[name] = network.clock.Now().Add(connectTimeout)
		}
		return
	}
	network.tracker.RecordConnect(name, true)
}

// run advances the time. The first target of lookups and of payments is probed, and one request connects to a target of each in turn.
func (network *network) run(length clock.Milliseconds) {
	for passed, turn := clock.Milliseconds(0), 0; passed < length; passed, turn = passed+step, turn+1 {
		network.clock.Advance(step)
		for name, at := range network.failsAt {
			if network.clock.Now() >= at {
				delete(network.failsAt, name)
				network.tracker.RecordConnect(name, false)
			}
		}
		if turn%5 == 0 {
			for _, name := range []settings.TargetName{"look-0", "look-1", "pay-0"} {
				network.tracker.RecordProbe(name, !network.hung[name])
			}
			network.connect(settings.TargetName(fmt.Sprint("look-", turn/5%15)))
			network.connect(settings.TargetName(fmt.Sprint("pay-", turn/5%6)))
		}
		checks, changes := network.tracker.Update()
		network.changes = append(network.changes, changes...)
		network.checked += len(checks)
		for _, name := range checks {
			network.connect(name)
		}
	}
}

func (network *network) set(cut bool, hung bool, targets ...settings.TargetName) {
	for _, name := range targets {
		network.cut[name], network.hung[name] = cut, hung
	}
}

// Guards against instances that take servers as down which they only cannot reach, and the reverse.
func TestServicesThatCannotBeReached(t *testing.T) {
	all := append(names("look", 15), names("pay", 6)...)
	cases := []struct {
		name             string
		lookups          int
		cut              []settings.TargetName
		hung             bool
		lookup, payments bool
		isolated         bool
	}{
		{"nothing", 15, nil, false, true, true, false},
		{"one server has failed", 15, names("look", 1), true, true, true, false},
		{"three servers have failed", 15, names("look", 3), true, true, true, false},
		{"all servers of one service", 15, names("look", 15), true, false, true, false},
		{"nearly all servers of one service", 15, names("look", 13), true, false, true, false},
		{"all servers", 15, all, true, false, false, true},
		{"all servers, open connections work", 15, all, false, false, false, true},
		{"the only server of a service", 1, names("look", 1), true, false, true, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			network := newNetwork(testCase.lookups, 6)
			network.run(2 * clock.Second)
			require.Zero(t, network.checked, "servers are checked although all are reached")
			network.set(true, testCase.hung, testCase.cut...)
			network.run(1200 * clock.Millisecond)
			require.Equal(t, testCase.lookup, !network.tracker.Unreachable("lookups"))
			require.Equal(t, testCase.payments, !network.tracker.Unreachable("payments"))
			require.Equal(t, testCase.isolated, network.tracker.Isolated())
			network.run(10 * clock.Second)
			require.Equal(t, testCase.lookup, !network.tracker.Unreachable("lookups"))
			require.Equal(t, testCase.isolated, network.tracker.Isolated())
			network.set(false, false, testCase.cut...)
			network.run(1500 * clock.Millisecond)
			require.False(t, network.tracker.AnyDoubtful())
			require.False(t, network.tracker.Isolated())
			checked := network.checked
			network.run(10 * clock.Second)
			require.Equal(t, checked, network.checked, "servers are checked although all are reached")
			require.LessOrEqual(t, len(network.changes), 4)
		})
	}
}

// Guards against an instance that changes its mind with each round while it reaches a part of the servers.
func TestServiceOfWhichHalfIsReachedKeepsItsState(t *testing.T) {
	network := newNetwork(15, 6)
	network.set(true, false, names("look", 8)...)
	network.run(30 * clock.Second)
	require.LessOrEqual(t, len(network.changes), 6)
}

// Guards against an instance on standby that learns too late that it cannot reach the servers: it opens no connections of its own.
func TestReportsOfOthersCauseChecks(t *testing.T) {
	for _, cut := range []bool{false, true} {
		network := newNetwork(15, 6)
		network.set(cut, cut, append(names("look", 15), names("pay", 6)...)...)
		network.tracker.Check([]settings.ServiceName{"lookups", "unknown"})
		for range 60 {
			network.clock.Advance(step)
			checks, _ := network.tracker.Update()
			for _, name := range checks {
				network.tracker.RecordConnect(name, !cut)
			}
		}
		require.Equal(t, cut, network.tracker.Unreachable("lookups"))
		require.Equal(t, cut, network.tracker.Isolated())
	}
}

// Guards against services that are gone, or whose servers are, and still count as unreachable.
func TestRemovedServicesAreForgotten(t *testing.T) {
	network := newNetwork(15, 6)
	network.set(true, true, names("pay", 6)...)
	network.run(2 * clock.Second)
	require.True(t, network.tracker.Unreachable("payments"))
	network.tracker.SetTargets(map[settings.ServiceName][]settings.TargetName{"lookups": names("look", 15), "payments": nil})
	require.False(t, network.tracker.AnyDoubtful())
	network.tracker.RecordConnect("pay-0", false)
	network.run(2 * clock.Second)
	require.False(t, network.tracker.AnyDoubtful())
}

// Guards against a process without processor time that takes its own lateness for a lost path.
func TestLateProcessDecidesNothing(t *testing.T) {
	network := newNetwork(15, 6)
	network.run(2 * clock.Second)
	// The process stops while it waits for probes and connections; all time out before their results are read.
	for _, name := range append(names("look", 15), names("pay", 6)...) {
		network.tracker.RecordConnect(name, false)
		network.tracker.RecordProbe(name, false)
	}
	checks, _ := network.tracker.Update()
	require.NotEmpty(t, checks)
	network.clock.Advance(2 * roundTimeout)
	_, changes := network.tracker.Update()
	require.Empty(t, changes, "the results of checks have not been read")
	for _, name := range checks {
		network.tracker.RecordConnect(name, true)
	}
	for range minRoundUpdates {
		network.clock.Advance(step)
		_, changes = network.tracker.Update()
		require.Empty(t, changes)
	}
	require.False(t, network.tracker.AnyDoubtful())
}
