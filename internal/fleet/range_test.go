package fleet

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a server out of range, passed on by an instance of another release, that reaches a scheduler or keeps the next change from
// being followed.
func TestServersOutOfRangeAreNotUsed(t *testing.T) {
	fixture := newServingFixture(t, 6, 30)
	view := fixture.controller.view
	serverCount := func() int {
		count := 0
		for _, state := range fixture.controller.services {
			targets, _ := state.scheduler.State()
			count += len(targets)
		}
		return count
	}
	require.Equal(t, 30, serverCount())
	odd := *view
	odd.Revision++
	edits := catalog.ServerEdits{}
	for server := range view.Servers.All() {
		changed := *server
		switch len(edits) {
		case 0:
			changed.Slots = math.MaxInt
		case 1:
			changed.ColdFor = clock.Milliseconds(math.NaN())
		case 2:
			changed.Started = math.MinInt64
		case 3:
			changed.Address = "255.255.255.255:80"
		default:
			continue
		}
		edits[server.Name] = &changed
	}
	odd.Servers = view.Servers.Edit(edits)
	fixture.controller.applyView(&odd)
	require.Equal(t, 26, serverCount())
	next := odd
	next.Revision++
	configuration := *view.Configuration
	configuration.Version++
	configuration.Routes = append(configuration.Routes, catalog.Route{
		Name: "added", Host: "example", Prefix: "/added/", Split: []catalog.Share{{Service: "lookups", Weight: 1}},
	})
	next.Configuration = &configuration
	fixture.controller.applyView(&next)
	require.Equal(t, 26, serverCount())
	_, err := fixture.controller.table.Load().Route("example", "GET", "/added/1")
	require.NoError(t, err)
}

// Guards against metrics that are kept of each route that any configuration has ever named: configurations add and remove routes all day.
func TestMetricsOfRemovedRoutesAreDropped(t *testing.T) {
	const versions, maxMemory = 300, 12 << 20
	fixture := newServingFixture(t, 6, 30)
	usual := fixture.controller.view.Configuration
	view := *fixture.controller.view
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for version := range versions {
		configuration := *usual
		configuration.Version += catalog.Version(1 + version)
		configuration.Routes = append(slices.Clone(usual.Routes), catalog.Route{
			Name: settings.ClassName(fmt.Sprintf("added-%d", version)), Host: "example", Prefix: "/added/", Split: []catalog.Share{{Service: "lookups", Weight: 1}},
		})
		view.Revision++
		view.Configuration = &configuration
		applied := view
		fixture.controller.applyView(&applied)
		route, err := fixture.controller.table.Load().Route("example", "GET", "/added/1")
		require.NoError(t, err)
		for _, histogram := range []*metrics.Histogram{
			route.Class.Metrics.Duration, route.Class.Metrics.Overhead, route.Class.Metrics.QueueWait, route.Class.Metrics.AttemptDuration,
		} {
			histogram.Record(clock.Second)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, after.HeapAlloc, before.HeapAlloc+maxMemory)
	runtime.KeepAlive(fixture)
}

// Guards against services that are kept of each name that any configuration has ever had: each tick visits all of them.
func TestServicesOfEarlierConfigurationsAreDropped(t *testing.T) {
	const versions, added = 5, 600
	fixture := newServingFixture(t, 6, 30)
	for version := range versions {
		view := newView(30, fixtureDataCentres)
		view.Revision += catalog.Revision(10 + version)
		view.Configuration.Version += catalog.Version(10 + version)
		edits := catalog.ServerEdits{}
		for number := range added {
			name := settings.ServiceName(fmt.Sprintf("service-%d-%d", version, number))
			view.Configuration.Services[name] = catalog.ServiceLimits{ProbePath: "/health", MaxConnections: 8}
		}
		// One server stays listed under a service that only the first configuration names.
		edits["listed"] = &catalog.Server{
			Name: "listed", Service: "service-0-0", Address: "10.9.0.1:80", DataCentre: "dc-0", Slots: 2, State: catalog.ServerReady,
		}
		view.Servers = view.Servers.Edit(edits)
		fixture.controller.applyView(view)
		fixture.advanceSecond()
		require.LessOrEqual(t, len(fixture.controller.services), catalog.MaxServices)
		for name := range view.Configuration.Services {
			require.Contains(t, fixture.controller.services, name)
		}
		for name, server := range fixture.controller.knownServers {
			require.Contains(t, fixture.controller.services, server.Service, name)
		}
		for _, ref := range fixture.controller.targets {
			require.Contains(t, fixture.controller.services, ref.service, ref.name)
		}
		_, err := fixture.controller.table.Load().Route("example", "GET", "/1/1")
		require.NoError(t, err)
	}
	require.NotContains(t, fixture.controller.knownServers, settings.TargetName("listed"))
}

// Guards against a control goroutine that is busy for seconds with each change because the store has many entries of evacuations.
func TestManyEvacuationsDelayNothing(t *testing.T) {
	const evacuations, maxDuration = 20_000, clock.Second
	fixture := newServingFixture(t, 6, 3000)
	view := *fixture.controller.view
	for number := range evacuations {
		view.Evacuated = append(view.Evacuated, settings.DataCentreName(fmt.Sprintf("data-centre-of-another-writer-%d", number)))
	}
	started := time.Now()
	for range 2 {
		next := view
		next.Revision = fixture.controller.view.Revision + 1
		next.Evacuated = append(slices.Clone(view.Evacuated), "dc-1", "dc-0")
		fixture.controller.applyView(&next)
		require.True(t, fixture.controller.view.IsEvacuated("dc-0"))
		require.True(t, fixture.controller.view.IsEvacuated("dc-1"))
		require.False(t, fixture.controller.view.IsEvacuated("dc-2"))
		next.Revision++
		next.Evacuated = view.Evacuated
		fixture.controller.applyView(&next)
	}
	require.Less(t, clock.Of(time.Since(started)), maxDuration)
}

// Guards against an instance that answers 503 to unknown routes and keys for ever, because one of an earlier release has a configuration in
// force whose version is out of range.
func TestVersionOutOfRangeIsNotFollowed(t *testing.T) {
	for _, version := range []catalog.Version{catalog.MaxVersion, catalog.MaxVersion + 1, math.MaxUint64} {
		fixture := newServingFixture(t, 6, 30)
		fixture.controller.tick()
		require.Equal(t, team.KeysCurrent, fixture.controller.KeyStatus())
		fixture.sequence++
		fixture.controller.receiveMessage(&Message{Heartbeat: &membership.Heartbeat{
			Identity: identity(1), Incarnation: 1, Sequence: fixture.sequence, State: membership.Serving, Revision: 1, Version: version, CatalogFresh: true,
		}})
		fixture.controller.tick()
		require.Equal(t, version == catalog.MaxVersion, fixture.controller.KeyStatus() != team.KeysCurrent, "version %d", version)
	}
}
