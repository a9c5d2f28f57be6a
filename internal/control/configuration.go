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
	EventSettingsApplied = "settings.applied"
	EventSettingsRefused = "settings.refused"
	EventSettingsOld     = "settings.notNewer"
)

var errUnknownKey = errors.New("no such document")

// apply puts a document in force when its revision is higher than the one in force, and keeps what is in force when the
// document can't be right.
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
	controller.note(read.key, applied, err)
	if applied {
		controller.publish()
	}
}

// note counts what became of a document, and logs a line only when that is news.
func (controller *Controller) note(key string, applied bool, err error) {
	events := &controller.options.Registry.Events
	switch {
	case err != nil:
		events.Add(EventSettingsRefused, 1)
		if controller.problems[key] != err.Error() {
			controller.problems[key] = err.Error()
			controller.options.Log.Error().Str("key", key).Str("problem", err.Error()).Msg("settings refused, the last good ones stay")
		}
	case applied:
		events.Add(EventSettingsApplied, 1)
		delete(controller.problems, key)
		controller.options.Log.Info().Str("key", key).Msg("settings in force")
	default:
		events.Add(EventSettingsOld, 1)
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
	if err := controller.checkSiteFits(read.key, site); err != nil {
		return false, err
	}
	controller.site = site
	for name, state := range controller.services {
		if !slices.Contains(site.ServiceNames, name) {
			controller.dropService(name, state)
		}
	}
	controller.startEarly()
	return true, nil
}

// checkSiteFits finds what does not fit between a site's document and the services in force that it keeps.
func (controller *Controller) checkSiteFits(key string, site *settings.Site) error {
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

// startEarly starts the services whose documents came before the site's.
func (controller *Controller) startEarly() {
	for _, name := range slices.Sorted(maps.Keys(controller.early)) {
		if !slices.Contains(controller.site.ServiceNames, name) {
			continue
		}
		early := controller.early[name]
		delete(controller.early, name)
		key := settings.ServiceKey(name)
		err := controller.checkFits(name, key, early)
		if err == nil {
			controller.startService(name, early)
		}
		controller.note(key, err == nil, err)
	}
}

func (controller *Controller) applyService(name settings.ServiceName, read documentRead) (bool, error) {
	parsed, err := settings.ParseServiceDocument(read.key, read.text)
	if err != nil {
		return false, err
	}
	if controller.site == nil || !slices.Contains(controller.site.ServiceNames, name) {
		// The site's document may be on its way.
		if held, known := controller.early[name]; !known || held.Revision < parsed.Revision {
			controller.early[name] = parsed
		}
		return false, nil
	}
	state, known := controller.services[name]
	if known && parsed.Revision <= state.settings.Revision {
		return false, nil
	}
	if err := controller.checkFits(name, read.key, parsed); err != nil {
		return false, err
	}
	if !known {
		controller.startService(name, parsed)
		return true, nil
	}
	state.settings = parsed
	state.dispatcher.SetLimits(limitsOf(parsed))
	state.budget.SetShare(parsed.Retry.BudgetShare)
	return true, nil
}

// checkFits finds what does not fit between a service's document and the others in force.
func (controller *Controller) checkFits(name settings.ServiceName, key string, parsed *settings.Service) error {
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

func limitsOf(serviceSettings *settings.Service) service.Limits {
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
			Clock: controller.options.Clock, Rand: random, Limits: limitsOf(parsed), Policy: controller.options.Policy,
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

// mayOwn returns the instances that may answer for a service's targets: those that serve it. Where nobody does any more,
// an instance on its way out goes on; without an owner, targets that are still cold would take no request, and callers with
// old answers would be refused while there is room.
func (controller *Controller) mayOwn(serving []routing.Instance) []routing.Instance {
	if len(serving) > 0 {
		return serving
	}
	return []routing.Instance{{Name: controller.options.Name, DataCentre: controller.options.DataCentre}}
}

// publish works out everything that follows from settings, lists and peers, and puts a new table in force.
func (controller *Controller) publish() {
	if controller.site == nil {
		return
	}
	controller.eligible = controller.eligibleInstances()
	services := make([]*routing.Service, 0, len(controller.services))
	for _, state := range controller.services {
		controller.matchTargets(state)
		state.serving = routing.ServingInstances(state.name, controller.eligible, controller.site.Fleet.InstancesPerService)
		state.owners = routing.Owners(slices.Collect(maps.Keys(state.targets)), controller.mayOwn(state.serving))
		services = append(services, &routing.Service{
			Name: state.name, Settings: state.settings, Dispatcher: state.dispatcher, Budget: state.budget, Serving: state.serving,
		})
	}
	controller.table.Store(routing.NewTable(routing.Options{
		Site: controller.site, Leaving: controller.leaving, Services: services, Registry: controller.options.Registry,
	}))
}
