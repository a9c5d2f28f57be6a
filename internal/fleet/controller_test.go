package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// A hundred instances start within a moment. If each read the store, whose calls are limited and charged, it would turn some
// away just when all need it. The seeds read; the others learn from them, and read for themselves only when nobody tells. After
// a restart callers are waiting, and each reads at once.
func TestOnlySeedsReadAtOnce(t *testing.T) {
	cases := []struct {
		name string
		self int
		// told is whether a seed that has read the store is heard, after the time before it passed.
		told bool
		// state is that of the seed.
		state   membership.State
		passed  clock.Milliseconds
		again   bool
		leads   bool
		follows catalog.Revision
	}{
		{"a seed", 1, false, 0, 0, false, true, 0},
		{"another", 9, false, 0, startAlone / 20, false, false, 0},
		{"another, told", 9, true, membership.Joining, startAlone / 20, false, false, 7},
		{"another, alone", 9, false, 0, startAlone, false, true, 0},
		{"after a restart", 9, false, 0, 0, true, false, 0},
		{"after a restart, told", 9, true, membership.Serving, 0, true, false, 7},
		{"after a restart, alone", 9, false, 0, restartAlone, true, true, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(testCase.self, 1, 2, 3)
			fixture.controller.options.FleetStarts = !testCase.again
			fixture.pass(testCase.passed)
			if testCase.told {
				fixture.hear(2, testCase.state, 7)
			}
			fixture.controller.tick()
			require.Equal(t, testCase.leads, fixture.leads)
			require.Equal(t, testCase.follows, fixture.follows)
			require.Zero(t, fixture.staleReads, "nobody asked")
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			for range 2 {
				require.Nil(t, fixture.controller.AwaitTable(ctx))
			}
			require.Equal(t, testCase.again, fixture.staleReads == 1, "an old view is read once for callers that come after a restart")
		})
	}
}

// Instances that stand by come and go all the time in a large fleet. Who serves and who owns what does not change by that, and
// is not worked out anew; when a serving one comes, it is.
func TestOnlyServingInstancesChangeOwners(t *testing.T) {
	fixture := newStandby(t, 20, 30)
	before := fixture.controller.Table()
	fixture.hear(30, membership.Standby, 1)
	fixture.controller.tick()
	require.Same(t, before, fixture.controller.Table())
	fixture.hear(2, membership.Leaving, 1)
	fixture.controller.tick()
	require.NotSame(t, before, fixture.controller.Table())
	require.NotContains(t, fixture.controller.owners, identity(2).Name)
}

// Bytes between data centres are charged. An instance that follows asks one of its own data centre while that has anything new,
// unless another one has a newer configuration, which must be in force in time.
func TestFreshPeerIsNear(t *testing.T) {
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
			fixture.controller.applyView(view(3, fixtureDataCentres))
			fixture.hear(3, membership.Serving, testCase.own)
			fixture.controller.hear(&Message{Beat: &membership.Heartbeat{
				Identity: identity(0), Incarnation: 1, Sequence: 99, State: membership.Serving, Revision: testCase.other, Version: testCase.version, CatalogFresh: true,
			}})
			require.Equal(t, identity(testCase.expected).Name, fixture.controller.freshPeer().Identity.Name)
		})
	}
}

// A machine is suspended for some seconds and goes on as if nothing had happened: its timers did not count that time. Servers have
// left meanwhile, and requests sent by the old view would be lost there. Until everything was read anew it must serve by nothing.
func TestSuspendedMachineServesByNothingOld(t *testing.T) {
	cases := []struct {
		name      string
		suspended clock.Milliseconds
		forgets   bool
	}{
		{"a hiccup", frozenFor / 2, false},
		{"suspended", 4 * clock.Second, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandby(t, 12, 30)
			require.NotNil(t, fixture.controller.Table())
			fixture.awake.Advance(testCase.suspended)
			fixture.controller.tick()
			require.Equal(t, testCase.forgets, fixture.controller.Table() == nil)
			require.Equal(t, testCase.forgets, fixture.refreshed)
			fixture.controller.applyView(view(30, fixtureDataCentres))
			require.NotNil(t, fixture.controller.Table())
		})
	}
}

// A server ends and starts again under its name and address while a request is in flight there. It is cold and knows nothing of
// that request; taken for the warm one that it was, it would be given its full load and crash.
func TestBornAnewIsCold(t *testing.T) {
	fixture := newFixture(1, 1)
	before := view(3, 1)
	before.Configuration.Services["lookups"] = catalog.ServiceLimits{ColdRate: 4}
	fixture.controller.applyView(before)
	scheduler := fixture.controller.services["lookups"].scheduler
	warm := service.Reading{At: fixture.clock.Now(), Slots: 2, Slowdown: 1, ColdKnown: true}
	scheduler.Observe("target-0", warm)
	place, found := scheduler.TryTake(service.Demand{Class: "class-0", Aim: fixture.clock.Now().Add(clock.Second)})
	require.True(t, found, "a warm server takes requests whoever owns it")

	anew := view(3, 1)
	anew.Revision = 2
	anew.Configuration = before.Configuration
	anew.Servers[0].Started = 99
	anew.Servers[0].ColdFor = 3 * clock.Second
	fixture.controller.applyView(anew)
	_, found = scheduler.TryTake(service.Demand{Class: "class-0", Aim: fixture.clock.Now().Add(clock.Second)})
	require.False(t, found, "this instance does not own it, so it may not start it")
	place.Release(service.Failed)
}

// Operators take a data centre out. Its instance still serves, but all servers are others' now; callers who are sent to it are refused
// while there is room. Answers must leave it out, name it when nothing else is there, and name it again when the data centre is back.
func TestAddressesLeaveOutWhereNothingRuns(t *testing.T) {
	cases := []struct {
		name  string
		out   []settings.DataCentreName
		named []int
	}{
		{"all in", nil, []int{0, 1, 2, 3}},
		{"one out", []settings.DataCentreName{"dc-1"}, []int{0, 2, 3}},
		{"all out", []settings.DataCentreName{"dc-0", "dc-1", "dc-2", "dc-3"}, []int{0, 1, 2, 3}},
		{"back", nil, []int{0, 1, 2, 3}},
	}
	fixture := newStandby(t, 12, 30)
	for index, testCase := range cases {
		changed := view(30, fixtureDataCentres)
		changed.Revision = catalog.Revision(index + 2)
		changed.Evacuated = testCase.out
		fixture.controller.applyView(changed)
		var expected []string
		for _, number := range testCase.named {
			expected = append(expected, identity(number).Caller)
		}
		named, _ := fixture.controller.Addresses()
		require.ElementsMatch(t, expected, named, testCase.name)
	}
}

// All instances that serve die at once, or are cut off. One that stands by follows them, and what they would have told it binds it as well: it must read
// for itself long before it takes them for lost.
func TestSilentLeadsAreNotWaitedFor(t *testing.T) {
	cases := []struct {
		name   string
		silent clock.Milliseconds
		leads  bool
	}{
		{"they speak", 0, false},
		{"a beat is late", clock.Second + 300, false},
		{"silent", silentLead + tickStandby, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandby(t, 12, 30)
			fixture.second()
			fixture.second()
			require.False(t, fixture.leads)
			for number := range fixture.serving {
				fixture.hear(number, membership.Serving, 1)
			}
			fixture.pass(testCase.silent)
			fixture.controller.tick()
			require.Equal(t, testCase.leads, fixture.leads)
		})
	}
}

// Guards against an instance that knows of a newer view, is told it by nobody, and waits until those that serve count as silent.
func TestUntoldViewIsReadFromTheStore(t *testing.T) {
	cases := []struct {
		name        string
		revision    catalog.Revision
		peerFailing bool
		leads       bool
	}{
		{"nothing newer is known", 1, true, false},
		{"peers tell", 2, false, false},
		{"peers don't tell", 2, true, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandby(t, 12, 30)
			fixture.hear(0, membership.Serving, testCase.revision)
			fixture.peerFailing = testCase.peerFailing
			fixture.pass(tickStandby)
			fixture.controller.tick()
			require.Equal(t, testCase.leads, fixture.leads)
		})
	}
}

// Guards against a peer that was lost and is asked again and again while another one would answer.
func TestPeerThatDoesNotAnswerIsAvoided(t *testing.T) {
	fixture := newStandby(t, 12, 30)
	fixture.hear(3, membership.Serving, 2)
	fixture.hear(0, membership.Serving, 2)
	require.Equal(t, identity(3).Name, fixture.controller.freshPeer().Identity.Name)
	fixture.controller.members.SetUnreachable(netip.MustParseAddrPort(identity(3).Peer))
	require.Equal(t, identity(0).Name, fixture.controller.freshPeer().Identity.Name)
	fixture.pass(clock.Second)
	require.Equal(t, identity(3).Name, fixture.controller.freshPeer().Identity.Name)
}

// Guards against instances that leave and read the store for themselves, each as often as one that serves.
func TestLeavingInstanceFollows(t *testing.T) {
	fixture := newStandby(t, 12, 30)
	require.NoError(t, fixture.controller.Leave(t.Context()))
	(<-fixture.controller.inbox)(fixture.controller)
	fixture.second()
	require.Equal(t, membership.Leaving, fixture.controller.members.State())
	require.False(t, fixture.leads)
}

// Guards against hundreds that all read the store after a restart, or while it is away, and use up its link or its calls.
func TestThoseThatComeFirstReadFirst(t *testing.T) {
	cases := []struct {
		name   string
		self   int
		passed clock.Milliseconds
		leads  bool
	}{
		{"the next to serve", 0, restartAlone, true},
		{"any other", 29, restartAlone, false},
		{"any other, later", 29, restartAloneLast, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(testCase.self, 1, 2, 3)
			fixture.controller.options.FleetStarts = false
			for number := range 30 {
				if number != testCase.self {
					fixture.hear(number, membership.Standby, 0)
				}
			}
			fixture.pass(testCase.passed)
			fixture.controller.tick()
			require.Equal(t, testCase.leads, fixture.leads)
		})
	}
	for _, self := range []int{0, 11} {
		t.Run(fmt.Sprintf("the store is away, instance %d", self), func(t *testing.T) {
			fixture := newStandby(t, 12, 30)
			if self == 0 {
				// Its data centre loses all that come before it.
				fixture.hear(3, membership.Leaving, 1)
				fixture.hear(7, membership.Leaving, 1)
			}
			for number := range fixture.serving {
				fixture.sequence++
				fixture.controller.hear(&Message{Beat: &membership.Heartbeat{
					Identity: identity(number), Incarnation: 1, Sequence: fixture.sequence, State: membership.Serving, Revision: 1, Version: 1,
				}})
			}
			fixture.controller.tick()
			fixture.pass(unledFor)
			fixture.controller.tick()
			require.Equal(t, self == 0, fixture.leads)
		})
	}
}
