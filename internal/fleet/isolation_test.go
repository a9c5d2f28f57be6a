package fleet

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// guard makes the fixture's controller recover panics.
func (fixture *fixture) guard() {
	options := &fixture.controller.options
	options.Guard = supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: &options.Registry.Events})
}

// panics returns the number of panics that have been recovered.
func (fixture *fixture) panics() int64 {
	return metrics.EventCount(&fixture.controller.options.Registry.Events, supervisor.EventPanic)
}

// handle passes a view to the controller as Serve does.
func (fixture *fixture) handle(view *catalog.View) {
	fixture.controller.isolate("control event", func() { fixture.controller.applyView(view) })
}

// nextView returns a view that follows the given one and has one more route and one more server.
func nextView(view *catalog.View, service settings.ServiceName, prefix string, server settings.TargetName) *catalog.View {
	next, configuration := *view, *view.Configuration
	configuration.Version++
	configuration.Routes = append(configuration.Routes[:len(configuration.Routes):len(configuration.Routes)], catalog.Route{
		Name: "added", Host: "example", Prefix: prefix, Split: []catalog.Share{{Service: service, Weight: 1}},
	})
	added := catalog.Server{Name: server, Service: service, Address: "10.9.0.2:80", Slots: 2, DataCentre: "dc-0", State: catalog.ServerReady}
	next.Revision++
	next.Configuration = &configuration
	next.Servers = view.Servers.Edit(catalog.ServerEdits{server: &added})
	return &next
}

// hasTarget reports whether the scheduler of a service has a target.
func (fixture *fixture) hasTarget(name settings.ServiceName, target settings.TargetName) bool {
	targets, _ := fixture.controller.services[name].scheduler.State()
	for index := range targets {
		if targets[index].Name == target {
			return true
		}
	}
	return false
}

// Guards against a view whose application panics and keeps the routes and servers of this view and of all later ones from being in force.
func TestViewIsAppliedBesideAPanic(t *testing.T) {
	cases := []struct {
		name string
		// fail makes a part of the work panic, until the returned function is called.
		fail func(*fixture) func()
		// refused is the service that is not configured while the part panics.
		refused settings.ServiceName
	}{
		{"probe jobs", func(fixture *fixture) func() {
			working := fixture.controller.options.SetJobs
			fixture.controller.options.SetJobs = func([]sensing.Job) { panic("on purpose") }
			return func() { fixture.controller.options.SetJobs = working }
		}, ""},
		{"scheduler of a service", func(fixture *fixture) func() {
			state := fixture.controller.services["exports"]
			working := state.scheduler
			state.scheduler = nil
			return func() { state.scheduler = working }
		}, "exports"},
		{"limits of a service", func(fixture *fixture) func() {
			state := fixture.controller.services["exports"]
			working := state.budget
			state.budget = nil
			return func() { state.budget = working }
		}, ""},
		{"new routes", func(fixture *fixture) func() {
			registry := fixture.controller.options.Registry
			fixture.controller.options.Registry = nil
			return func() { fixture.controller.options.Registry = registry }
		}, "all"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newServingFixture(t, 6, 30)
			fixture.guard()
			events := fixture.controller.options.Registry
			view := fixture.controller.view
			repair := testCase.fail(fixture)
			routed := func(prefix string) error {
				_, err := fixture.controller.Table().Route("example", "GET", prefix+"x")
				return err
			}
			view = nextView(view, "lookups", "/first/", "first")
			fixture.handle(view)
			fixture.advance(servingTickInterval)
			fixture.controller.isolate("control tick", fixture.controller.tick)
			require.Positive(t, metrics.EventCount(&events.Events, supervisor.EventPanic))
			require.NoError(t, routed("/0/"), "routes of the previous view stay in force")
			if testCase.refused == "all" {
				require.ErrorIs(t, routed("/first/"), routing.ErrUnresolvedRoute, "a route that cannot be set up is known")
			} else {
				require.NoError(t, routed("/first/"))
				require.True(t, fixture.hasTarget("lookups", "first"))
			}
			view = nextView(view, "exports", "/second/", "second")
			fixture.handle(view)
			repair()
			fixture.advance(recomputeInterval)
			fixture.controller.isolate("control tick", fixture.controller.tick)
			for _, prefix := range []string{"/0/", "/first/", "/second/"} {
				require.NoError(t, routed(prefix))
			}
			require.True(t, fixture.hasTarget("lookups", "first"))
			require.True(t, fixture.hasTarget("exports", "second"))
			require.False(t, fixture.controller.incomplete)
			recovered := fixture.panics()
			fixture.handle(nextView(view, "payments", "/third/", "third"))
			require.NoError(t, routed("/third/"))
			require.True(t, fixture.hasTarget("payments", "third"))
			require.Equal(t, recovered, fixture.panics())
		})
	}
}

// Guards against a part of the timed work that panics in each tick and keeps all parts behind it from being done, or uses all CPU time.
func TestTickIsDoneBesideAPanic(t *testing.T) {
	fixture := newServingFixture(t, 6, 30)
	fixture.guard()
	fixture.controller.options.Send = func(netip.AddrPort, []byte) { panic("on purpose") }
	published := 0
	fixture.controller.options.SetJobs = func([]sensing.Job) { published++ }
	fixture.controller.nextIdleClose = 0
	const ticks = 300
	for range ticks {
		fixture.advance(servingTickInterval)
		fixture.controller.tick()
		require.Equal(t, fixture.controller.options.Clock.Now().Add(servingTickInterval), fixture.controller.nextTick)
	}
	require.Positive(t, fixture.panics())
	require.Positive(t, fixture.controller.nextIdleClose, "the last part of the tick is done")
	require.LessOrEqual(t, published, int(ticks*servingTickInterval/recomputeInterval)+1, "everything is computed again only once in a while")
}

// Guards against a query whose caller waits for ever because it has panicked, and against events that get lost with it.
func TestEventsAreHandledBesideAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newServingFixture(t, 6, 30)
		fixture.guard()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = fixture.controller.Serve(ctx) }()
		_, err := query(ctx, fixture.controller, func(*Controller) int { panic("on purpose") })
		require.ErrorIs(t, err, errQueryFailed)
		fixture.controller.inbox <- func(*Controller) { panic("on purpose") }
		status, err := fixture.controller.Status(ctx)
		require.NoError(t, err)
		require.Equal(t, membership.Serving.String(), status.State)
		require.EqualValues(t, 2, fixture.panics())
		cancel()
		synctest.Wait()
	})
}

// Guards against a message of a peer that panics and leaves a lock held, after which no probe is recorded.
func TestReadingIsRecordedAfterAPanic(t *testing.T) {
	fixture := newServingFixture(t, 6, 30)
	fixture.guard()
	tracker := fixture.controller.reach.tracker
	fixture.controller.reach.tracker = nil
	fixture.controller.isolate("control event", func() {
		fixture.controller.receiveDown(fixture.controller.options.Clock.Now(), targetRef{service: "lookups", name: targetName(0)})
	})
	fixture.controller.reach.tracker = tracker
	require.EqualValues(t, 1, fixture.panics())
	require.True(t, fixture.controller.latestMutex.TryLock())
	fixture.controller.latestMutex.Unlock()
	fixture.controller.RecordProbe(sensing.Result{Service: "lookups", Target: targetName(0), Health: sensing.Health{LoadReading: service.LoadReading{At: 1, Slots: 2}}})
	require.Contains(t, fixture.controller.latestReadings, targetName(0))
}

// Guards against a request to a peer that panics and ends the process, or for whose answer the caller waits for ever.
func TestPeerRequestEndsAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(0, 1, 2)
		fixture.guard()
		fixture.receiveHeartbeat(1, membership.Serving, 20)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = fixture.controller.Serve(ctx) }()
		_, err := fixture.controller.FetchFromPeer(ctx, 10, func(context.Context, netip.AddrPort, catalog.Revision) (catalog.Update, error) {
			panic("on purpose")
		})
		var panicError *supervisor.PanicError
		require.ErrorAs(t, err, &panicError)
		cancel()
		synctest.Wait()
	})
}
