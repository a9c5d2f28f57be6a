package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// fixture is one standby instance, with the heartbeats that it receives of the others and the calls that it makes to its
// catalog reader.
type fixture struct {
	controller *Controller
	clock      *clock.Manual
	// bootClock also counts the time for which the machine is suspended.
	bootClock  *clock.Manual
	serving    []membership.Identity
	sequence   uint64
	readsStore bool
	refreshed  bool
	staleReads int
	// peerFailing is what PeerFailing of the catalog reader returns.
	peerFailing bool
	// peerRevision is the last argument of SetPeerRevision.
	peerRevision catalog.Revision
}

const fixtureDataCentres = 4

func identity(number int) membership.Identity {
	return membership.Identity{
		Name:       settings.InstanceName(fmt.Sprintf("entry-%03d", number)),
		DataCentre: settings.DataCentreName(fmt.Sprintf("dc-%d", number%fixtureDataCentres)),
		Peer:       fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250+1), Caller: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250+1),
		Size: 160,
	}
}

// newFixture returns an instance that has just started and has received no heartbeat.
func newFixture(self int, seeds ...int) *fixture {
	fixture := &fixture{clock: clock.NewManual(), bootClock: clock.NewManual()}
	fixture.advance(clock.Second)
	var addresses []netip.AddrPort
	for _, seed := range seeds {
		addresses = append(addresses, netip.MustParseAddrPort(identity(seed).Peer))
	}
	fixture.controller = NewController(Options{
		Self: identity(self), Incarnation: 1, Clock: &fixture.clock.Clock, BootClock: &fixture.bootClock.Clock, Rand: rand.New(rand.NewPCG(1, 1)),
		Seeds: addresses, Servers: backendserver.NewServers(&fixture.clock.Clock), Registry: metrics.NewRegistry(), Log: zerolog.Nop(),
		Bounds: settings.GatewayBounds{ProbesPerSecond: 60, MaxAddressTTL: 5000}, FleetStarts: true,
		Send: func(netip.AddrPort, []byte) {}, SetJobs: func([]sensing.Job) {},
	})
	fixture.controller.SetCatalogReader(CatalogReader{
		SetRole:         func(role catalog.Role) { fixture.readsStore = role != catalog.RoleFollower },
		SetPeerRevision: func(revision catalog.Revision) { fixture.peerRevision = revision },
		SetPhase:        func(float64) {},
		Refresh:         func() { fixture.refreshed = true }, CatchUp: func(catalog.Revision) { fixture.refreshed = true }, ReadStale: func() { fixture.staleReads++ },
		LastResponse: func() clock.Moment { return 0 }, Failing: func() bool { return false },
		PeerFailing: func() bool { return fixture.peerFailing },
	})
	return fixture
}

// advance advances both clocks.
func (fixture *fixture) advance(length clock.Milliseconds) {
	fixture.clock.Advance(length)
	fixture.bootClock.Advance(length)
}

// receiveHeartbeat passes a heartbeat of another instance to the controller.
func (fixture *fixture) receiveHeartbeat(number int, state membership.State, revision catalog.Revision) {
	fixture.sequence++
	fixture.controller.receiveMessage(&Message{Heartbeat: &membership.Heartbeat{
		Identity: identity(number), Incarnation: 1, Sequence: fixture.sequence, State: state, Revision: revision, Version: 1, CatalogFresh: true,
	}})
}

// newStandbyFixture returns a standby instance in a fleet of which one instance in each data centre serves.
func newStandbyFixture(tb testing.TB, instances, targets int) *fixture {
	fixture := newFixture(instances - 1)
	for number := range instances - 1 {
		state := membership.Standby
		if number < fixtureDataCentres {
			state = membership.Serving
			fixture.serving = append(fixture.serving, identity(number))
		}
		fixture.receiveHeartbeat(number, state, 1)
	}
	fixture.controller.applyView(newView(targets, fixtureDataCentres))
	fixture.advance(clock.Second)
	fixture.advanceSecond()
	require.Equal(tb, membership.Standby, fixture.controller.members.State())
	return fixture
}

// newServingFixture returns a serving instance in a fleet of which one instance in each data centre serves.
func newServingFixture(tb testing.TB, instances, targets int) *fixture {
	fixture := newFixture(0)
	for number := 1; number < instances; number++ {
		state := membership.Standby
		if number < fixtureDataCentres {
			state = membership.Serving
		}
		fixture.receiveHeartbeat(number, state, 1)
	}
	fixture.controller.applyView(newView(targets, fixtureDataCentres))
	fixture.controller.changeState(membership.Serving)
	require.True(tb, fixture.controller.serves())
	return fixture
}

// newView returns a view with the given number of backend servers in three services.
func newView(targets, dataCentres int) *catalog.View {
	view := &catalog.View{Revision: 1, Configuration: &catalog.Configuration{
		Version: 1, Services: map[settings.ServiceName]catalog.ServiceLimits{"lookups": {}, "payments": {}, "exports": {}},
	}}
	services := []settings.ServiceName{"lookups", "payments", "exports"}
	for number := range 18 {
		view.Configuration.Routes = append(view.Configuration.Routes, catalog.Route{
			Name: settings.ClassName(fmt.Sprintf("class-%d", number)), Host: "example", Prefix: fmt.Sprintf("/%d/", number),
			Split: []catalog.Share{{Service: services[number%3], Weight: 1}},
		})
	}
	servers := make([]catalog.Server, 0, targets)
	for number := range targets {
		servers = append(servers, catalog.Server{
			Name: targetName(number), Service: services[number%3], Address: "10.9.0.1:80", Slots: 2,
			DataCentre: settings.DataCentreName(fmt.Sprintf("dc-%d", number%dataCentres)), State: catalog.ServerReady,
		})
	}
	view.Servers = catalog.NewServerList(servers...)
	return view
}

// targetName returns the name of a backend server of newView.
func targetName(number int) settings.TargetName {
	return settings.TargetName(fmt.Sprintf("target-%d", number))
}

// changeServers changes each server of a view.
func changeServers(view *catalog.View, change func(*catalog.Server)) {
	edits := catalog.ServerEdits{}
	for server := range view.Servers.All() {
		changed := *server
		change(&changed)
		edits[changed.Name] = &changed
	}
	view.Servers = view.Servers.Edit(edits)
}

// ownersOf returns the owner of each server as the controller computes it, nil while it has no view.
func ownersOf(controller *Controller) map[settings.TargetName]settings.InstanceName {
	if controller.view == nil {
		return nil
	}
	return controller.owners(func(settings.DataCentreName) bool { return true })
}

// advanceSecond advances the clocks by a second, with ticks and a heartbeat of each serving instance.
func (fixture *fixture) advanceSecond() {
	for number := range fixture.serving {
		fixture.receiveHeartbeat(number, membership.Serving, 1)
	}
	for passed := clock.Milliseconds(0); passed < clock.Second; passed += standbyTickInterval {
		fixture.advance(standbyTickInterval)
		fixture.controller.tick()
	}
}
