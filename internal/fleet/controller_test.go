package fleet

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a hundred instances that start within a moment and all read the store: its calls are limited and charged, and
// it would refuse some calls just when all instances need it. The seeds read it; the others receive the view from them, and read the
// store only when no view arrives. After a restart callers are waiting, and each instance reads a stale view at once.
func TestOnlySeedsReadAtOnce(t *testing.T) {
	cases := []struct {
		name string
		self int
		// informed is whether the heartbeat of a seed that has read the store arrives, after the elapsed time.
		informed bool
		// state is the state of the seed.
		state        membership.State
		elapsed      clock.Milliseconds
		restarted    bool
		readsStore   bool
		peerRevision catalog.Revision
	}{
		{"a seed", 1, false, 0, 0, false, true, 0},
		{"another", 9, false, 0, firstStartReadDelay / 20, false, false, 0},
		{"another, informed", 9, true, membership.Joining, firstStartReadDelay / 20, false, false, 7},
		{"another, not informed in time", 9, false, 0, firstStartReadDelay, false, true, 0},
		{"after a restart", 9, false, 0, 0, true, false, 0},
		{"after a restart, informed", 9, true, membership.Serving, 0, true, false, 7},
		{"after a restart, not informed in time", 9, false, 0, restartReadDelayNext, true, true, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(testCase.self, 1, 2, 3)
			fixture.controller.options.FleetStarts = !testCase.restarted
			fixture.advance(testCase.elapsed)
			if testCase.informed {
				fixture.receiveHeartbeat(2, testCase.state, 7)
			}
			fixture.controller.tick()
			require.Equal(t, testCase.readsStore, fixture.readsStore)
			require.Equal(t, testCase.peerRevision, fixture.peerRevision)
			require.Zero(t, fixture.staleReads, "no request has arrived")
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			for range 2 {
				require.Nil(t, fixture.controller.AwaitTable(ctx))
			}
			require.Equal(t, testCase.restarted, fixture.staleReads == 1, "a stale view is read once for callers that arrive after a restart")
		})
	}
}

// Guards against recomputing addresses and owners whenever a standby instance comes or goes, which happens all the time in a
// large fleet. They are recomputed when a serving instance changes.
func TestOnlyServingInstancesChangeOwners(t *testing.T) {
	fixture := newStandbyFixture(t, 20, 30)
	table, book := fixture.controller.Table(), fixture.controller.book.Load()
	fixture.receiveHeartbeat(30, membership.Standby, 1)
	fixture.controller.tick()
	require.Same(t, book, fixture.controller.book.Load())
	fixture.receiveHeartbeat(2, membership.Leaving, 1)
	fixture.controller.tick()
	require.NotSame(t, book, fixture.controller.book.Load())
	require.Same(t, table, fixture.controller.Table(), "the routes do not depend on who serves")
	require.Len(t, ownersOf(fixture.controller), 30)
	require.NotContains(t, slices.Collect(maps.Values(ownersOf(fixture.controller))), identity(2).Name)
}

// Guards against needless traffic between data centres, which is charged. A follower reads from a peer of its own data centre
// while that peer has a newer view, unless another peer has a newer configuration, which must be in force in time.
func TestFreshestPeerIsInOwnDataCentre(t *testing.T) {
	cases := []struct {
		name       string
		own, other catalog.Revision
		version    catalog.Version
		expected   int
	}{
		{"both are newer", 5, 9, 1, 3},
		{"only the other is newer", 1, 9, 1, 0},
		{"the other has a newer configuration", 5, 9, 2, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(7)
			fixture.controller.applyView(newView(3, fixtureDataCentres))
			fixture.receiveHeartbeat(3, membership.Serving, testCase.own)
			fixture.controller.receiveMessage(&Message{Heartbeat: &membership.Heartbeat{
				Identity: identity(0), Incarnation: 1, Sequence: 99, State: membership.Serving, Revision: testCase.other, Version: testCase.version, CatalogFresh: true,
			}})
			require.Equal(t, identity(testCase.expected).Name, fixture.controller.freshestPeer().Identity.Name)
		})
	}
}

// Guards against a machine that is suspended for some seconds and then serves with its old view: its timers did not count that
// time, servers have left meanwhile, and requests to them would be lost. It must not serve until it has read the whole catalog
// again.
func TestSuspendedMachineDropsOldView(t *testing.T) {
	cases := []struct {
		name       string
		suspended  clock.Milliseconds
		dropsTable bool
	}{
		{"short pause", suspendThreshold / 2, false},
		{"suspended", 4 * clock.Second, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandbyFixture(t, 12, 30)
			require.NotNil(t, fixture.controller.Table())
			fixture.bootClock.Advance(testCase.suspended)
			fixture.controller.tick()
			require.Equal(t, testCase.dropsTable, fixture.controller.Table() == nil)
			require.Equal(t, testCase.dropsTable, fixture.refreshed)
			fixture.controller.applyView(newView(30, fixtureDataCentres))
			require.NotNil(t, fixture.controller.Table())
		})
	}
}

// Guards against a server that restarts under its name and address while a request is in flight there, and still counts as
// warm: the new process is cold and knows nothing of that request, and full load would crash it.
func TestRestartedServerIsCold(t *testing.T) {
	fixture := newFixture(1, 1)
	before := newView(3, 1)
	before.Configuration.Services["lookups"] = catalog.ServiceLimits{ColdRate: 4}
	fixture.controller.applyView(before)
	scheduler := fixture.controller.services["lookups"].scheduler
	warm := service.LoadReading{At: fixture.clock.Now(), Slots: 2, Slowdown: 1, ColdKnown: true}
	scheduler.Observe("target-0", warm)
	permit, found := scheduler.TryAcquire(service.PermitRequest{Class: "class-0", SoftDeadline: fixture.clock.Now().Add(clock.Second)})
	require.True(t, found, "a warm server accepts requests from any instance")

	restarted := newView(3, 1)
	restarted.Revision = 2
	restarted.Configuration = before.Configuration
	changeServers(restarted, func(server *catalog.Server) {
		if server.Name == targetName(0) {
			server.Started, server.ColdFor = 99, 3*clock.Second
		}
	})
	fixture.controller.applyView(restarted)
	_, found = scheduler.TryAcquire(service.PermitRequest{Class: "class-0", SoftDeadline: fixture.clock.Now().Add(clock.Second)})
	require.False(t, found, "this instance does not own the cold server, so it may not send requests to it")
	permit.Release(service.Failed)
}

// Guards against callers that are sent to an instance in an evacuated data centre: it still serves, but other
// instances own all servers, so it refuses callers while there are free permits. Address answers must omit it, contain it when
// there is no other instance, and contain it again when the data centre is back.
func TestAddressesOmitDataCentresThatAreOut(t *testing.T) {
	cases := []struct {
		name       string
		out        []settings.DataCentreName
		advertised []int
	}{
		{"all in", nil, []int{0, 1, 2, 3}},
		{"one out", []settings.DataCentreName{"dc-1"}, []int{0, 2, 3}},
		{"all out", []settings.DataCentreName{"dc-0", "dc-1", "dc-2", "dc-3"}, []int{0, 1, 2, 3}},
		{"back", nil, []int{0, 1, 2, 3}},
	}
	fixture := newStandbyFixture(t, 12, 30)
	for index, testCase := range cases {
		changed := newView(30, fixtureDataCentres)
		changed.Revision = catalog.Revision(index + 2)
		changed.Evacuated = testCase.out
		fixture.controller.applyView(changed)
		var expected []string
		for _, number := range testCase.advertised {
			expected = append(expected, identity(number).Caller)
		}
		advertised, _ := fixture.controller.Addresses()
		require.ElementsMatch(t, expected, advertised, testCase.name)
	}
}

// Guards against a standby instance that waits for serving instances which all died at once or are cut off. It must apply
// the updates that it would have received from them, so it must read the store itself long before they count as lost.
func TestSilentLeadersAreNotWaitedFor(t *testing.T) {
	cases := []struct {
		name       string
		silent     clock.Milliseconds
		readsStore bool
	}{
		{"heartbeats arrive", 0, false},
		{"a heartbeat is late", clock.Second + 300, false},
		{"silent", silentLeadersTimeout + standbyTickInterval, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandbyFixture(t, 12, 30)
			fixture.advanceSecond()
			fixture.advanceSecond()
			require.False(t, fixture.readsStore)
			for number := range fixture.serving {
				fixture.receiveHeartbeat(number, membership.Serving, 1)
			}
			fixture.advance(testCase.silent)
			fixture.controller.tick()
			require.Equal(t, testCase.readsStore, fixture.readsStore)
		})
	}
}

// Guards against an instance that knows of a newer view, receives it from no peer, and reads the store only when the serving
// instances count as silent.
func TestUndeliveredViewIsReadFromStore(t *testing.T) {
	cases := []struct {
		name        string
		revision    catalog.Revision
		peerFailing bool
		readsStore  bool
	}{
		{"nothing newer is known", 1, true, false},
		{"peers deliver", 2, false, false},
		{"peers do not deliver", 2, true, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandbyFixture(t, 12, 30)
			fixture.receiveHeartbeat(0, membership.Serving, testCase.revision)
			fixture.peerFailing = testCase.peerFailing
			fixture.advance(standbyTickInterval)
			fixture.controller.tick()
			require.Equal(t, testCase.readsStore, fixture.readsStore)
		})
	}
}

// Guards against an instance that sends its requests for updates to a lost peer again and again while another peer would respond.
func TestPeerThatDoesNotAnswerIsAvoided(t *testing.T) {
	fixture := newStandbyFixture(t, 12, 30)
	fixture.receiveHeartbeat(3, membership.Serving, 2)
	fixture.receiveHeartbeat(0, membership.Serving, 2)
	require.Equal(t, identity(3).Name, fixture.controller.freshestPeer().Identity.Name)
	fixture.controller.members.SetUnreachable(netip.MustParseAddrPort(identity(3).Peer))
	require.Equal(t, identity(0).Name, fixture.controller.freshestPeer().Identity.Name)
	fixture.advance(clock.Second)
	require.Equal(t, identity(3).Name, fixture.controller.freshestPeer().Identity.Name)
}

// Guards against leaving instances that read the store themselves, each as often as a serving instance.
func TestLeavingInstanceFollows(t *testing.T) {
	fixture := newStandbyFixture(t, 12, 30)
	require.NoError(t, fixture.controller.Leave(t.Context()))
	(<-fixture.controller.inbox)(fixture.controller)
	fixture.advanceSecond()
	require.Equal(t, membership.Leaving, fixture.controller.members.State())
	require.False(t, fixture.readsStore)
}

// Guards against hundreds of instances that all read the store after a restart, or while it is down, and use up its bandwidth
// or its call limit.
func TestNextToServeReadsStoreFirst(t *testing.T) {
	cases := []struct {
		name       string
		self       int
		elapsed    clock.Milliseconds
		readsStore bool
	}{
		{"the next to serve", 0, restartReadDelayNext, true},
		{"any other", 29, restartReadDelayNext, false},
		{"any other, later", 29, restartReadDelayOthers, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(testCase.self, 1, 2, 3)
			fixture.controller.options.FleetStarts = false
			for number := range 30 {
				if number != testCase.self {
					fixture.receiveHeartbeat(number, membership.Standby, 0)
				}
			}
			fixture.advance(testCase.elapsed)
			fixture.controller.tick()
			require.Equal(t, testCase.readsStore, fixture.readsStore)
		})
	}
	for _, self := range []int{0, 11} {
		t.Run(fmt.Sprintf("the store is down, instance %d", self), func(t *testing.T) {
			fixture := newStandbyFixture(t, 12, 30)
			if self == 0 {
				// All instances of its data centre that come before it leave.
				fixture.receiveHeartbeat(3, membership.Leaving, 1)
				fixture.receiveHeartbeat(7, membership.Leaving, 1)
			}
			for number := range fixture.serving {
				fixture.sequence++
				fixture.controller.receiveMessage(&Message{Heartbeat: &membership.Heartbeat{
					Identity: identity(number), Incarnation: 1, Sequence: fixture.sequence, State: membership.Serving, Revision: 1, Version: 1,
				}})
			}
			fixture.controller.tick()
			fixture.advance(leaderlessTimeoutNext)
			fixture.controller.tick()
			require.Equal(t, self == 0, fixture.readsStore)
		})
	}
}

// Guards against a view that is read from an instance which the store has just begun to answer again: it retains servers that others
// know to be gone.
func TestViewIsReadFromPeerThatTheStoreAnsweredAllTheTime(t *testing.T) {
	fixture := newStandbyFixture(t, 8, 30)
	heartbeat := func(number int, fresh bool) {
		fixture.sequence++
		fixture.controller.receiveMessage(&Message{Heartbeat: &membership.Heartbeat{
			Identity: identity(number), Incarnation: 1, Sequence: fixture.sequence, State: membership.Serving, Revision: 2, Version: 1, CatalogFresh: fresh,
		}})
	}
	for number := range 3 {
		heartbeat(number, number == 1)
	}
	fixture.advance(clock.Second)
	for number := range 3 {
		heartbeat(number, true)
	}
	require.Equal(t, identity(1).Name, fixture.controller.freshestPeer().Identity.Name)
}
