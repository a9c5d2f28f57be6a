package fleet

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// The connection limit of a target applies to the whole fleet. It is divided between the serving instances and one more, which
// may have served until just now; minConnectionShares is the minimum number of parts, minConnections the minimum of a part.
const (
	minConnectionShares = 4
	minConnections      = 4
)

// connectionShare returns the part of a target's connection limit that this instance may use.
func (controller *Controller) connectionShare(limit int) int {
	return max(limit/max(len(controller.serving)+1, minConnectionShares), minConnections)
}

// connections configures how connections to backend servers are opened and kept.
var connections = settings.Connections{
	// A server accepts a connection within a few milliseconds; a server that is gone never does.
	ConnectTimeout: 250 * clock.Millisecond,
	// Servers close unused connections after 10 s.
	IdleTimeout: 6 * clock.Second,
	// A request that must not run twice is sent only on a connection that received data this recently; probes cause activity
	// all the time.
	FreshFor: 500 * clock.Millisecond,
	// The kernel closes a connection whose bytes stay unacknowledged for this long.
	AckTimeout: clock.Second,
}

// refusedRetryAfter is when a caller may retry after backend servers have refused its request: permits are free there again
// after about the duration of one request.
const refusedRetryAfter = 100 * clock.Millisecond

// The retry budget is agreed for the whole fleet, but each instance counts only its own retries.
const (
	// retryBudgetMargin is the fraction of the agreed share that is used; a copy of a request that was cancelled in transit
	// counts as well.
	retryBudgetMargin = 0.9
	// minRetryBudgetShares is the minimum number of parts of the agreed slack, of which each instance may save up one. There is
	// one for each serving instance, and two more for instances that may have served until just now. Saved retries are for the
	// moment at which a data centre fails with requests on all of its servers.
	minRetryBudgetShares   = 5
	spareRetryBudgetShares = 2
)

// retryBudgetShares returns the number of parts of the agreed slack while the given number of instances serves.
func retryBudgetShares(serving int) int {
	return max(serving+spareRetryBudgetShares, minRetryBudgetShares)
}

// applyView puts a view in force unless it is older than the present one.
func (controller *Controller) applyView(view *catalog.View) {
	before := controller.view
	if before != nil && view.Revision < before.Revision {
		return
	}
	// The time is 0 after a suspension of the machine, when the table has been discarded.
	inForce := controller.viewAppliedAt > 0 && controller.table.Load() != nil && !controller.incomplete
	view = controller.usableView(view)
	controller.view = view
	controller.viewAppliedAt = controller.options.Clock.Now()
	controller.history.Record(view)
	if !inForce {
		controller.publish()
		return
	}
	changes := newServerChanges()
	if view.Configuration != before.Configuration {
		controller.setTeams()
		changes.services = controller.setServices()
		if controller.dropServices() {
			controller.publish()
			return
		}
	}
	changes.evacuated = changedEvacuations(before.Evacuated, view.Evacuated)
	controller.changeServers(before.Servers, changes)
	if len(changes.evacuated) > 0 {
		controller.publishAddresses()
	}
	if view.Configuration != before.Configuration {
		controller.setTable(controller.newTable())
	}
}

// usableView returns the view without the servers that cannot be used, and with its evacuations sorted. The store's reader publishes it so,
// but an instance of an earlier release may pass on another one.
func (controller *Controller) usableView(view *catalog.View) *catalog.View {
	servers := view.Servers.Valid()
	sorted := slices.IsSorted(view.Evacuated)
	if servers.Len() == view.Servers.Len() && sorted {
		return view
	}
	usable := *view
	if unusable := view.Servers.Len() - servers.Len(); unusable > 0 {
		controller.options.Log.Warn().Int("servers", unusable).Msg("backend servers out of range, passed over")
		usable.Servers = servers
	}
	if !sorted {
		usable.Evacuated = slices.Sorted(slices.Values(view.Evacuated))
	}
	return &usable
}

// publishIfServingChanged publishes again unless a change of membership concerns only standby instances. A hundred such
// changes arrive within a moment when a fleet starts.
func (controller *Controller) publishIfServingChanged() {
	serving := controller.members.Serving()
	if len(serving) > 0 && slices.Equal(serving, controller.serving) {
		return
	}
	controller.publishServing()
}

// publishServing brings up to date what depends on which instances serve, and on which of them reach which services. It does not visit
// the servers that stay with their owners: at a loss of a data centre it runs many times a second, at every instance of the fleet.
func (controller *Controller) publishServing() {
	if controller.table.Load() == nil || controller.incomplete {
		controller.publish()
		return
	}
	controller.serving = controller.members.Serving()
	controller.publishAddresses()
	for _, state := range controller.services {
		controller.setShares(state)
	}
	controller.applyChanges(controller.ownedServers(), newServerChanges())
	controller.setMinProbePause()
}

// publish computes owners, target configurations, probe jobs and routes, and puts a new table in force. A server, a service or a route
// whose configuration panics does not keep the others from being configured.
func (controller *Controller) publish() {
	defer func() {
		// A standby instance is ready as well: it serves the requests of callers with old address answers.
		controller.ready.Store(controller.members.State() != membership.Leaving && controller.table.Load() != nil)
	}()
	controller.incomplete = false
	controller.serving = controller.members.Serving()
	controller.isolate("addresses", controller.publishAddresses)
	if controller.view == nil || controller.view.Configuration == nil || controller.viewAppliedAt == 0 {
		return
	}
	controller.isolate("teams", controller.setTeams)
	controller.setServices()
	controller.dropServices()
	controller.isolate("owners", func() { controller.owned = controller.ownedServers() })
	controller.setTargets()
	controller.isolate("table", func() { controller.setTable(controller.newTable()) })
}

// setServices creates or updates the state of every service that the routes or the configured limits name. It returns the services
// whose targets have to be configured anew.
func (controller *Controller) setServices() map[settings.ServiceName]bool {
	configuration := controller.view.Configuration
	changed := map[settings.ServiceName]bool{}
	set := func(name settings.ServiceName) {
		limits, found := configuration.Services[name]
		if !found {
			limits.MaxConnections = catalog.DefaultMaxConnections
		}
		controller.isolate("service", func() { changed[name] = controller.setService(name, limits) || changed[name] })
	}
	for index := range configuration.Routes {
		for _, part := range configuration.Routes[index].Split {
			set(part.Service)
		}
	}
	for name := range configuration.Services {
		set(name)
	}
	maps.DeleteFunc(changed, func(_ settings.ServiceName, changed bool) bool { return !changed })
	return changed
}

// dropServices drops services that the configuration no longer names, and reports whether there were any. They are kept up to
// catalog.MaxServices in all, with what has been learned of their servers, since a later configuration may name them again; beyond that each
// tick would take longer with every name that a configuration has ever had.
func (controller *Controller) dropServices() bool {
	surplus := len(controller.services) - catalog.MaxServices
	if surplus <= 0 {
		return false
	}
	configuration := controller.view.Configuration
	named := map[settings.ServiceName]bool{}
	for name := range configuration.Services {
		named[name] = true
	}
	for index := range configuration.Routes {
		for _, part := range configuration.Routes[index].Split {
			named[part.Service] = true
		}
	}
	dropped := false
	for _, name := range slices.Sorted(maps.Keys(controller.services)) {
		if surplus > 0 && !named[name] {
			delete(controller.services, name)
			surplus--
			dropped = true
		}
	}
	return dropped
}

// setService creates or updates the state of a service, and reports whether its targets have to be configured anew.
func (controller *Controller) setService(name settings.ServiceName, limits catalog.ServiceLimits) bool {
	state, known := controller.services[name]
	changed := !known || state.limits.ProbePath != limits.ProbePath || state.limits.ColdRate != limits.ColdRate
	if !known {
		random := rand.New(rand.NewPCG(controller.options.Rand.Uint64(), controller.options.Rand.Uint64()))
		state = &serviceState{
			scheduler: service.NewScheduler(service.SchedulerOptions{
				Clock: controller.options.Clock, Rand: random, RequestProbes: func() { controller.requestProbes(name) },
			}),
			budget: service.NewSharedRetryBudget(0, 0),
		}
		state.connectionLimit = func() int { return int(state.maxConnections.Load()) }
	}
	state.limits = limits
	state.budget.SetRetryRatio(controller.options.Bounds.RetryShare * retryBudgetMargin)
	controller.setShares(state)
	state.settings = &settings.Service{
		Revision:             settings.Revision(controller.view.Configuration.Version),
		ConnectionsPerTarget: limits.MaxConnections,
		Queue:                settings.Queue{RetryAfter: refusedRetryAfter},
		Retry:                settings.Retry{Attempts: 1},
		Connections:          connections,
		ReportPath:           limits.ProbePath,
	}
	controller.services[name] = state
	return changed
}

// setShares sets the parts of limits for the whole fleet that this instance may use while the present number of instances serves.
func (controller *Controller) setShares(state *serviceState) {
	state.budget.SetCapacity(controller.options.Bounds.RetrySlack / retryBudgetShares(len(controller.serving)))
	state.maxConnections.Store(int64(controller.connectionShare(state.limits.MaxConnections)))
}

// setTargets passes the backend servers to the schedulers, the connection pools and the prober.
func (controller *Controller) setTargets() {
	targetConfigs := map[settings.ServiceName][]service.TargetConfig{}
	seen := map[settings.TargetName]bool{}
	for server := range controller.view.Servers.All() {
		state, known := controller.services[server.Service]
		if !known {
			continue
		}
		seen[server.Name] = true
		controller.isolate("server", func() {
			config := controller.targetConfig(server, state)
			controller.setServer(server, state)
			targetConfigs[server.Service] = append(targetConfigs[server.Service], config)
		})
	}
	for name, server := range controller.knownServers {
		if !seen[name] {
			controller.isolate("server that is gone", func() { controller.forgetServer(&server) })
		}
	}
	for name, state := range controller.services {
		controller.isolate("targets", func() { state.scheduler.SetTargets(targetConfigs[name]) })
	}
	controller.isolate("reach", func() { controller.setReachTargets(targetConfigs) })
	controller.isolate("probe jobs", controller.setJobs)
}

func (controller *Controller) targetConfig(server *catalog.Server, state *serviceState) service.TargetConfig {
	return service.TargetConfig{
		Name: server.Name, Address: server.Address, DataCentre: server.DataCentre, Slots: server.Slots,
		Local:    server.DataCentre == controller.options.Self.DataCentre,
		Owned:    controller.owned[server.Name],
		Usable:   server.State == catalog.ServerReady && !controller.view.IsEvacuated(server.DataCentre),
		ColdRate: state.limits.ColdRate, ColdFor: server.ColdFor, Started: server.Started,
		Unprobed: state.limits.ProbePath == "",
	}
}

// setConnections keeps a connection pool for the server. A server that was restarted under the same name gets a new pool,
// since requests on a connection to the old process would be lost.
func (controller *Controller) setConnections(server *catalog.Server, state *serviceState) {
	before, known := controller.knownServers[server.Name]
	if known && before.Started != server.Started {
		controller.recordGone(before)
		controller.options.Servers.Remove(server.Name)
	}
	controller.knownServers[server.Name] = *server
	controller.options.Servers.Set(server.Name, backendserver.Options{
		Address: server.Address, MaxConnections: state.connectionLimit, Connections: connections,
	})
}

// probeJob returns the job with which an owned target is probed.
func (controller *Controller) probeJob(server *catalog.Server, state *serviceState, usable bool) sensing.Job {
	scheduler := state.scheduler
	name := server.Name
	// The platform limits the probes of the whole fleet. The factor of 2 is for two instances that probe the same target while
	// their views differ.
	minPause := 2 * clock.Second / clock.Milliseconds(controller.options.Bounds.ProbesPerSecond)
	probeAllFrom := controller.servingSince.Add(unrequestedProbeDelay)
	return sensing.Job{
		Service: server.Service, Target: server.Name, Started: server.Started, Address: server.Address, Path: state.limits.ProbePath,
		Due: func() bool {
			requested := controller.options.Clock.Now() >= probeAllFrom || scheduler.Busy(serviceBusyWindow)
			return requested && scheduler.ProbeDue(name)
		},
		Pause: func() clock.Milliseconds {
			interval := max(scheduler.MinProbeInterval(name), clock.Milliseconds(controller.minProbePause.Load()))
			switch {
			case !usable:
				return max(unusedProbePause, interval)
			case scheduler.Busy(serviceBusyWindow):
				return max(scheduler.NextProbe(name, learningProbePause, max(busyProbePause, minPause)), interval)
			default:
				return max(scheduler.NextProbe(name, learningProbePause, idleProbePause), learningProbePause, interval)
			}
		},
	}
}

// newTable builds the table that request handling reads.
func (controller *Controller) newTable() *routing.Table {
	configuration := controller.view.Configuration
	services := map[settings.ServiceName]*routing.Service{}
	list := make([]*routing.Service, 0, len(controller.services))
	for name, state := range controller.services {
		services[name] = &routing.Service{Name: name, Settings: state.settings, Scheduler: state.scheduler, Budget: state.budget}
		list = append(list, services[name])
	}
	entries := make([]*routing.Entry, 0, len(configuration.Routes))
	classes := make(map[metrics.ClassKey]bool, len(configuration.Routes))
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		var entry *routing.Entry
		controller.isolate("route", func() { entry = controller.entry(route, services) })
		if entry == nil {
			entry = controller.previousEntry(route)
		}
		entries = append(entries, entry)
		classes[classKey(route)] = true
	}
	controller.routes, controller.entries = configuration.Routes, entries
	controller.isolate("metrics of routes", func() { controller.options.Registry.SetInUse(classes) })
	return routing.NewTable(routing.Options{
		Site:    &settings.Site{Revision: settings.Revision(configuration.Version)},
		Teams:   controller.teamDirectory(),
		Leaving: controller.members.State() == membership.Leaving, Services: list, Entries: entries, Registry: controller.options.Registry,
	})
}

// previousEntry returns the entry in force of a route that cannot be set up. If the route has changed, the entry has no service: requests
// are refused, whatever the previous configuration allowed.
func (controller *Controller) previousEntry(route *catalog.Route) *routing.Entry {
	unchanged := func(before catalog.Route) bool { return reflect.DeepEqual(before, *route) }
	if index := slices.IndexFunc(controller.routes, unchanged); index >= 0 {
		return controller.entries[index]
	}
	return &routing.Entry{Host: route.Host, Prefix: route.Prefix}
}

// classKey returns the key of the metrics of a route.
func classKey(route *catalog.Route) metrics.ClassKey {
	key := metrics.ClassKey{Class: route.Name}
	if len(route.Split) > 0 {
		key.Service = route.Split[0].Service
	}
	return key
}

func (controller *Controller) entry(route *catalog.Route, services map[settings.ServiceName]*routing.Service) *routing.Entry {
	entry := &routing.Entry{Host: route.Host, Prefix: route.Prefix, Public: route.Public, Class: &routing.Class{
		Name: route.Name,
		Settings: settings.Class{
			Idempotent: route.Idempotent, Priority: route.Priority, Timeout: route.Timeout, SoftTimeout: route.SoftDeadline, Attempts: route.Attempts,
			MaxBodySize: maxBodyBytes,
		},
		Metrics: controller.options.Registry.Class(classKey(route)),
	}}
	for _, part := range route.Split {
		if services[part.Service] == nil {
			continue
		}
		entry.Services = append(entry.Services, routing.WeightedService{Service: services[part.Service], Weight: part.Weight})
	}
	return entry
}

// maxBodyBytes is the maximum size of a request body; the callers of the platform stay within it.
const maxBodyBytes = 64 << 20
