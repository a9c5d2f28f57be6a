package fleet

import (
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// owners returns the owner of each backend server in the given data centres: a serving instance of its data centre if there is one,
// otherwise any serving instance, and one that reaches its service if there is one.
func (controller *Controller) owners(included func(settings.DataCentreName) bool) map[settings.TargetName]settings.InstanceName {
	byDataCentre := map[settings.DataCentreName][]routing.Instance{}
	var all []routing.Instance
	for _, identity := range controller.serving {
		instance := routing.Instance{Name: identity.Name, Address: identity.Caller, DataCentre: identity.DataCentre}
		byDataCentre[identity.DataCentre] = append(byDataCentre[identity.DataCentre], instance)
		all = append(all, instance)
	}
	groups := map[settings.DataCentreName][]settings.TargetName{}
	for server := range controller.view.Servers.All() {
		if included(server.DataCentre) {
			groups[server.DataCentre] = append(groups[server.DataCentre], server.Name)
		}
	}
	owners := map[settings.TargetName]settings.InstanceName{}
	for dataCentre, names := range groups {
		serving := byDataCentre[dataCentre]
		if len(serving) == 0 {
			serving = all
		}
		maps.Copy(owners, routing.Owners(names, serving))
	}
	controller.reassignUnreachable(owners, all)
	return owners
}

// ownedServers returns the backend servers that this instance owns. Only instances that serve own any.
func (controller *Controller) ownedServers() map[settings.TargetName]bool {
	owned := map[settings.TargetName]bool{}
	if !controller.serves() {
		return owned
	}
	for name, owner := range controller.owners(controller.mayOwnIn()) {
		if owner == controller.options.Self.Name {
			owned[name] = true
		}
	}
	return owned
}

// serves reports whether this instance is among those for which owners are computed.
func (controller *Controller) serves() bool {
	return slices.ContainsFunc(controller.serving, func(identity membership.Identity) bool { return identity.Name == controller.options.Self.Name })
}

// mayOwnIn returns a function that reports whether this instance may own servers of a data centre: its own, one in which no instance
// serves, or any while some instance does not reach a service.
func (controller *Controller) mayOwnIn() func(settings.DataCentreName) bool {
	anyUnreachable := controller.anyUnreachable()
	others := map[settings.DataCentreName]bool{}
	for _, identity := range controller.serving {
		others[identity.DataCentre] = identity.DataCentre != controller.options.Self.DataCentre
	}
	return func(name settings.DataCentreName) bool { return anyUnreachable || !others[name] }
}

// changesOwners reports whether a change of servers since an earlier list may change which ones this instance owns.
func (controller *Controller) changesOwners(earlier catalog.ServerList, difference catalog.ServerDifference) bool {
	if !controller.serves() {
		return false
	}
	mayOwn := controller.mayOwnIn()
	removed := slices.ContainsFunc(difference.Removed, func(server *catalog.Server) bool { return mayOwn(server.DataCentre) })
	return removed || slices.ContainsFunc(difference.Set, func(server *catalog.Server) bool {
		before := earlier.Find(server.Name)
		switch {
		case before == nil:
			return mayOwn(server.DataCentre)
		case before.DataCentre == server.DataCentre && before.Service == server.Service:
			return false
		default:
			return mayOwn(server.DataCentre) || mayOwn(before.DataCentre)
		}
	})
}

// setJobs passes the probes of the owned servers to the prober.
func (controller *Controller) setJobs() {
	controller.setMinProbePause()
	var jobs []sensing.Job
	for _, name := range slices.Sorted(maps.Keys(controller.owned)) {
		server, known := controller.knownServers[name]
		if !known {
			continue
		}
		if state := controller.services[server.Service]; server.State == catalog.ServerReady && state.limits.ProbePath != "" {
			jobs = append(jobs, controller.probeJob(&server, state, !controller.view.IsEvacuated(server.DataCentre)))
		}
	}
	controller.options.SetJobs(jobs)
}
