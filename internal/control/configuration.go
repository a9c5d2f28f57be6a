package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Events of the configuration.
const (
	EventSettingsApplied  = "settings.applied"
	EventSettingsRejected = "settings.refused"
	EventSettingsNotNewer = "settings.notNewer"
)

var errUnknownKey = errors.New("no such document")

// apply puts a document in force if it is valid and its revision is higher than the one in force.
func (read documentRead) apply(controller *Controller) {
	var applied bool
	var err error
	if read.key == settings.SiteKey {
		applied, err = controller.applySite(read)
	} else if name, isService := strings.CutPrefix(read.key, settings.ServiceKeyPrefix); isService {
		applied, err = controller.applyService(settings.ServiceName(name), read)
	} else {
		err = errors.Wrapf(errUnknownKey, "%s", read.key)
	}
	controller.recordResult(read.key, applied, err)
	if applied {
		controller.publish()
	}
}

// recordResult counts whether a document was applied. It logs a rejection only if its reason differs from the last one for
// the same document.
func (controller *Controller) recordResult(key string, applied bool, err error) {
	events := &controller.options.Registry.Events
	switch {
	case err != nil:
		events.Add(EventSettingsRejected, 1)
		if controller.problems[key] != err.Error() {
			controller.problems[key] = err.Error()
			controller.options.Log.Error().Str("key", key).Str("problem", err.Error()).Msg("settings rejected, keeping the previous settings")
		}
	case applied:
		events.Add(EventSettingsApplied, 1)
		delete(controller.problems, key)
		controller.options.Log.Info().Str("key", key).Msg("settings in force")
	default:
		events.Add(EventSettingsNotNewer, 1)
		delete(controller.problems, key)
	}
}

func (controller *Controller) applySite(read documentRead) (bool, error) {
	site, err := settings.ParseSiteDocument(read.key, read.text)
	if err != nil {
		return false, err
	}
	if controller.site != nil && site.Revision <= controller.site.Revision {
		return false, nil
	}
	if err := controller.checkSiteConsistency(read.key, site); err != nil {
		return false, err
	}
	controller.site = site
	for name, state := range controller.services {
		if !slices.Contains(site.ServiceNames, name) {
			controller.dropService(name, state)
		}
	}
	controller.startPendingServices()
	return true, nil
}

// checkSiteConsistency returns an error if a site's document contradicts the documents in force of the services it names.
func (controller *Controller) checkSiteConsistency(key string, site *settings.Site) error {
	var problems []settings.Problem
	for name, state := range controller.services {
		if slices.Contains(site.ServiceNames, name) {
			problems = append(problems, state.settings.CheckAgainst(site, key, settings.ServiceKey(name))...)
		}
	}
	if len(problems) > 0 {
		return &settings.InvalidError{Problems: problems}
	}
	return nil
}

// startPendingServices starts the services whose documents were read before the site's document.
func (controller *Controller) startPendingServices() {
	for _, name := range slices.Sorted(maps.Keys(controller.pendingServices)) {
		if !slices.Contains(controller.site.ServiceNames, name) {
			continue
		}
		pending := controller.pendingServices[name]
		delete(controller.pendingServices, name)
		key := settings.ServiceKey(name)
		err := controller.checkServiceConsistency(name, key, pending)
		if err == nil {
			controller.startService(name, pending)
		}
		controller.recordResult(key, err == nil, err)
	}
}

func (controller *Controller) applyService(name settings.ServiceName, read documentRead) (bool, error) {
	parsed, err := settings.ParseServiceDocument(read.key, read.text)
	if err != nil {
		return false, err
	}
	if controller.site == nil || !slices.Contains(controller.site.ServiceNames, name) {
		// The site's document may be read later.
		if pending, known := controller.pendingServices[name]; !known || pending.Revision < parsed.Revision {
			controller.pendingServices[name] = parsed
		}
		return false, nil
	}
	state, known := controller.services[name]
	if known && parsed.Revision <= state.settings.Revision {
		return false, nil
	}
	if err := controller.checkServiceConsistency(name, read.key, parsed); err != nil {
		return false, err
	}
	if !known {
		controller.startService(name, parsed)
		return true, nil
	}
	state.settings = parsed
	state.dispatcher.SetLimits(dispatcherLimits(parsed))
	state.budget.SetRetryRatio(parsed.Retry.BudgetShare)
	return true, nil
}

// checkServiceConsistency returns an error if a service's document contradicts the other documents in force.
func (controller *Controller) checkServiceConsistency(name settings.ServiceName, key string, parsed *settings.Service) error {
	problems := parsed.CheckAgainst(controller.site, key, "")
	others := map[settings.ServiceName]settings.Service{name: *parsed}
	for otherName, other := range controller.services {
		if otherName != name {
			others[otherName] = *other.settings
		}
	}
	problems = append(problems, settings.CheckRouteConflicts(others, key)...)
	if len(problems) > 0 {
		return &settings.InvalidError{Problems: problems}
	}
	return nil
}

func dispatcherLimits(serviceSettings *settings.Service) service.Limits {
	return service.Limits{
		QueueLength:    serviceSettings.Queue.Length,
		QueueWait:      serviceSettings.Queue.Wait,
		FailurePenalty: serviceSettings.Retry.FailurePenalty,
	}
}

func (controller *Controller) startService(name settings.ServiceName, parsed *settings.Service) {
	random := rand.New(rand.NewPCG(controller.options.Rand.Uint64(), controller.options.Rand.Uint64()))
	controller.services[name] = &serviceState{
		name:     name,
		settings: parsed,
		dispatcher: service.NewDispatcher(service.Options{
			Clock: controller.options.Clock, Rand: random, Limits: dispatcherLimits(parsed), Policy: controller.options.Policy,
		}),
		budget:  service.NewRetryBudget(parsed.Retry.BudgetShare),
		targets: map[settings.TargetName]*targetState{},
	}
}

func (controller *Controller) dropService(name settings.ServiceName, state *serviceState) {
	for target := range state.targets {
		controller.dropTarget(state, target)
	}
	delete(controller.services, name)
}

// ownerCandidates returns the instances that may own a service's targets: those that serve it. If there are none, this
// instance is the only candidate, even while it leaves: without an owner, cold targets would get no requests, and requests
// of callers with cached addresses would be rejected although targets have capacity.
func (controller *Controller) ownerCandidates(serving []routing.Instance) []routing.Instance {
	if len(serving) > 0 {
		return serving
	}
	return []routing.Instance{{Name: controller.options.Name, DataCentre: controller.options.DataCentre}}
}

// publish derives the targets, serving instances and owners from settings, lists and peers, and puts a new routing table in
// force.
func (controller *Controller) publish() {
	if controller.site == nil {
		return
	}
	controller.eligible = controller.eligibleInstances()
	services := make([]*routing.Service, 0, len(controller.services))
	for _, state := range controller.services {
		controller.syncTargets(state)
		state.serving = routing.ServingInstances(state.name, controller.eligible, controller.site.Fleet.InstancesPerService)
		state.owners = routing.Owners(slices.Collect(maps.Keys(state.targets)), controller.ownerCandidates(state.serving))
		services = append(services, &routing.Service{
			Name: state.name, Settings: state.settings, Dispatcher: state.dispatcher, Budget: state.budget, Serving: state.serving,
		})
	}
	controller.table.Store(routing.NewTable(routing.Options{
		Site: controller.site, Leaving: controller.leaving, Services: services, Registry: controller.options.Registry,
	}))
}
