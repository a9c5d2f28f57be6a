package fleet

import (
	"math/rand/v2"
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

// What instances share of a target's connections: the agreed number is for the whole fleet, of which few serve.
const connectionShares = 4

// connections tells how connections to backend servers are made and kept.
var connections = settings.Connections{
	// A server takes a connection within a few milliseconds; one that is gone never does.
	ConnectTimeout: 250 * clock.Millisecond,
	// Servers close unused connections after 10 s.
	IdleTimeout: 6 * clock.Second,
	// A request that must not run twice goes only where life was seen this recently; probes show it all the time.
	FreshFor: 500 * clock.Millisecond,
	// The kernel gives a connection up when bytes stay unacknowledged this long.
	AckTimeout: clock.Second,
}

// refusedComeBack is when a caller may return after backend servers have refused its request: places there are free
// again after about one request's time.
const refusedComeBack = 100 * clock.Millisecond

// Retries are agreed for the whole fleet, and instances count by themselves.
const (
	// budgetMargin is the part of the agreed share that is used; a copy that was cancelled on its way counts as well.
	budgetMargin = 0.9
	// budgetShares is the number of parts of the agreed slack of which each instance may save up one: few serve, and one
	// more may have served until just now. Saved retries are for the moment at which a data centre goes dark with requests
	// on all of its servers.
	budgetShares = 5
)

// applyView puts a newer view in force.
func (controller *Controller) applyView(view *catalog.View) {
	now := controller.options.Clock.Now()
	if controller.view != nil && view.Revision < controller.view.Revision {
		return
	}
	controller.view = view
	controller.viewAt = now
	controller.history.Note(view)
	controller.publish()
}

// membersChanged publishes anew unless what has changed concerns only instances that stand by. A hundred of them come within
// a moment when a fleet starts, and each would cost 0.35 ms here (BenchmarkPublish).
func (controller *Controller) membersChanged() {
	serving := controller.members.Serving()
	if len(serving) > 0 && slices.Equal(serving, controller.serving) {
		return
	}
	controller.publish()
}

// publish works out owners, offers, probes and routes, and puts a new table in force.
func (controller *Controller) publish() {
	defer func() {
		// One that stands by is ready as well: it takes requests of callers with old answers.
		controller.ready.Store(controller.members.State() != membership.Leaving && controller.table.Load() != nil)
	}()
	controller.serving = controller.members.Serving()
	controller.publishAddresses()
	if controller.view == nil || controller.view.Configuration == nil || controller.viewAt == 0 {
		return
	}
	controller.setTeams()
	controller.setServices()
	controller.setOwners()
	controller.setTargets()
	controller.setTable(controller.newTable())
}

// setServices keeps a state for every service that routes or servers name.
func (controller *Controller) setServices() {
	configuration := controller.view.Configuration
	for index := range configuration.Routes {
		for _, part := range configuration.Routes[index].Split {
			controller.setService(part.Service, configuration.Services[part.Service])
		}
	}
	for name, limits := range configuration.Services {
		controller.setService(name, limits)
	}
}

func (controller *Controller) setService(name settings.ServiceName, limits catalog.ServiceLimits) {
	state, known := controller.services[name]
	if !known {
		random := rand.New(rand.NewPCG(controller.options.Rand.Uint64(), controller.options.Rand.Uint64()))
		state = &serviceState{
			scheduler: service.NewScheduler(service.SchedulerOptions{Clock: controller.options.Clock, Rand: random}),
			budget:    service.NewSharedRetryBudget(0, 0),
		}
		controller.services[name] = state
	}
	state.limits = limits
	state.budget.SetShare(controller.options.Bounds.RetryShare * budgetMargin)
	state.budget.SetMost(controller.options.Bounds.RetrySlack / budgetShares)
	state.settings = &settings.Service{
		Revision:             settings.Revision(controller.view.Configuration.Version),
		ConnectionsPerTarget: limits.ConnectionsMost,
		Queue:                settings.Queue{RetryAfter: refusedComeBack},
		Retry:                settings.Retry{Attempts: 1},
		Connections:          connections,
		ReportPath:           limits.ProbePath,
	}
}

// setOwners chooses the instance that answers for each backend server: a serving one of its data centre if there is any.
func (controller *Controller) setOwners() {
	byDataCentre := map[settings.DataCentreName][]routing.Instance{}
	var all []routing.Instance
	for _, identity := range controller.serving {
		instance := routing.Instance{Name: identity.Name, Address: identity.Caller, DataCentre: identity.DataCentre}
		byDataCentre[identity.DataCentre] = append(byDataCentre[identity.DataCentre], instance)
		all = append(all, instance)
	}
	groups := map[settings.DataCentreName][]settings.TargetName{}
	for index := range controller.view.Servers {
		server := &controller.view.Servers[index]
		groups[server.DataCentre] = append(groups[server.DataCentre], server.Name)
	}
	controller.owners = map[settings.TargetName]settings.InstanceName{}
	for dataCentre, names := range groups {
		serving := byDataCentre[dataCentre]
		if len(serving) == 0 {
			serving = all
		}
		for name, owner := range routing.Owners(names, serving) {
			controller.owners[name] = owner
		}
	}
}

// setTargets hands the backend servers to the schedulers, the connections and the prober.
func (controller *Controller) setTargets() {
	view := controller.view
	offers := map[settings.ServiceName][]service.Offer{}
	seen := map[settings.TargetName]bool{}
	clear(controller.targets)
	var jobs []sensing.Job
	for index := range view.Servers {
		server := &view.Servers[index]
		state, known := controller.services[server.Service]
		if !known {
			continue
		}
		seen[server.Name] = true
		controller.targets[keyOf(server.Name)] = targetRef{service: server.Service, name: server.Name}
		offer := controller.offer(server, state)
		offers[server.Service] = append(offers[server.Service], offer)
		controller.setConnections(server, state)
		if offer.Owned && server.State == catalog.ServerReady && state.limits.ProbePath != "" {
			jobs = append(jobs, controller.job(server, state, offer.Usable))
		}
	}
	for name := range controller.known {
		if !seen[name] {
			delete(controller.known, name)
			controller.options.Servers.Remove(name)
		}
	}
	for name, state := range controller.services {
		state.scheduler.SetOffers(offers[name])
	}
	controller.options.SetJobs(jobs)
}

func (controller *Controller) offer(server *catalog.Server, state *serviceState) service.Offer {
	return service.Offer{
		Name: server.Name, Address: server.Address, DataCentre: server.DataCentre, Slots: server.Slots,
		Local:    server.DataCentre == controller.options.Self.DataCentre,
		Owned:    controller.owners[server.Name] == controller.options.Self.Name,
		Usable:   server.State == catalog.ServerReady && !controller.view.IsOut(server.DataCentre),
		ColdRate: state.limits.ColdRate, ColdFor: server.ColdFor, Started: server.Started,
	}
}

// setConnections keeps a pool for the server. One that has started anew under its name gets a new one: requests on a
// connection to the old process would be lost.
func (controller *Controller) setConnections(server *catalog.Server, state *serviceState) {
	before, known := controller.known[server.Name]
	if known && before.Started != server.Started {
		controller.options.Servers.Remove(server.Name)
	}
	controller.known[server.Name] = *server
	controller.options.Servers.Set(server.Name, backendserver.Options{
		Address: server.Address, ConnectionsMost: max(state.limits.ConnectionsMost/connectionShares, 4), Connections: connections,
	})
}

// job is how an own target is probed.
func (controller *Controller) job(server *catalog.Server, state *serviceState, usable bool) sensing.Job {
	scheduler := state.scheduler
	name := server.Name
	// The platform bounds probes over the whole fleet; while views differ two instances may probe one target.
	fastest := 2 * clock.Second / clock.Milliseconds(controller.options.Bounds.ProbesPerSecond)
	settled := controller.servesFrom.Add(settlesIn)
	return sensing.Job{
		Service: server.Service, Target: server.Name, Address: server.Address, Path: state.limits.ProbePath,
		Due: func() bool {
			return controller.options.Clock.Now() >= settled || scheduler.Busy(busyWithin)
		},
		Pause: func() clock.Milliseconds {
			switch {
			case !usable:
				return probeUnused
			case scheduler.Busy(busyWithin):
				return scheduler.NextProbe(name, probeLearning, max(probeBusy, fastest))
			default:
				return max(scheduler.NextProbe(name, probeLearning, probeIdle), probeLearning)
			}
		},
	}
}

// newTable builds the table that traffic reads.
func (controller *Controller) newTable() *routing.Table {
	configuration := controller.view.Configuration
	services := map[settings.ServiceName]*routing.Service{}
	list := make([]*routing.Service, 0, len(controller.services))
	for name, state := range controller.services {
		services[name] = &routing.Service{Name: name, Settings: state.settings, Scheduler: state.scheduler, Budget: state.budget}
		list = append(list, services[name])
	}
	entries := make([]*routing.Entry, 0, len(configuration.Routes))
	for index := range configuration.Routes {
		entries = append(entries, controller.entry(&configuration.Routes[index], services))
	}
	return routing.NewTable(routing.Options{
		Site:    &settings.Site{Revision: settings.Revision(configuration.Version)},
		Teams:   controller.teamDirectory(),
		Leaving: controller.members.State() == membership.Leaving, Services: list, Entries: entries, Registry: controller.options.Registry,
	})
}

func (controller *Controller) entry(route *catalog.Route, services map[settings.ServiceName]*routing.Service) *routing.Entry {
	key := metrics.ClassKey{Class: route.Name}
	if len(route.Split) > 0 {
		key.Service = route.Split[0].Service
	}
	entry := &routing.Entry{Host: route.Host, Prefix: route.Prefix, Public: route.Public, Class: &routing.Class{
		Name: route.Name,
		Settings: settings.Class{
			Idempotent: route.Idempotent, Priority: route.Priority, Timeout: route.Timeout, SoftTimeout: route.Aim, Attempts: route.Attempts,
			MaxBodySize: bodyMost,
		},
		Metrics: controller.options.Registry.Class(key),
	}}
	for _, part := range route.Split {
		entry.Parts = append(entry.Parts, routing.Part{Service: services[part.Service], Weight: part.Weight})
	}
	return entry
}

// bodyMost is the largest request body that is taken, in bytes; the platform's callers stay within it.
const bodyMost = 64 << 20
