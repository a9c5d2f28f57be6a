package fleet

import (
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// serverChanges are the backend servers whose targets have to be configured, and those whose targets have to be removed, by the service
// that they belonged to.
type serverChanges struct {
	configured map[settings.TargetName]bool
	removed    map[settings.ServiceName][]settings.TargetName
	// services and evacuated are the services and the data centres of which all targets have to be configured.
	services  map[settings.ServiceName]bool
	evacuated map[settings.DataCentreName]bool
}

func newServerChanges() serverChanges {
	return serverChanges{configured: map[settings.TargetName]bool{}, removed: map[settings.ServiceName][]settings.TargetName{}}
}

// changedEvacuations returns the data centres that are in one of two lists only. Entries of the store name them, which may be many.
func changedEvacuations(before, now []settings.DataCentreName) map[settings.DataCentreName]bool {
	changed := map[settings.DataCentreName]bool{}
	addMissing := func(names, sorted []settings.DataCentreName) {
		for _, name := range names {
			if _, found := slices.BinarySearch(sorted, name); !found {
				changed[name] = true
			}
		}
	}
	addMissing(before, now)
	addMissing(now, before)
	return changed
}

// changeServers applies the changes of backend servers since an earlier list, and other changes of their configuration. It costs as much
// as what has changed: in a fleet of thousands of servers the list changes all the time, and every instance applies every change.
func (controller *Controller) changeServers(earlier catalog.ServerList, changes serverChanges) {
	difference := controller.view.Servers.DifferenceFrom(earlier)
	owned := controller.owned
	if controller.changesOwners(earlier, difference) {
		owned = controller.ownedServers()
	}
	for _, server := range difference.Removed {
		controller.removeServer(server.Name, changes)
	}
	for _, server := range difference.Set {
		controller.changeServer(server, changes)
	}
	if len(changes.services)+len(changes.evacuated) > 0 {
		for server := range controller.view.Servers.All() {
			if changes.services[server.Service] || changes.evacuated[server.DataCentre] {
				controller.changeServer(server, changes)
			}
		}
	}
	controller.applyChanges(owned, changes)
}

// changeServer applies a change of a server or of its configuration.
func (controller *Controller) changeServer(server *catalog.Server, changes serverChanges) {
	state, known := controller.services[server.Service]
	if !known {
		controller.removeServer(server.Name, changes)
		return
	}
	if before, listed := controller.knownServers[server.Name]; listed && before.Service != server.Service {
		changes.removed[before.Service] = append(changes.removed[before.Service], server.Name)
	}
	controller.setServer(server, state)
	changes.configured[server.Name] = true
}

// setServer records a server and keeps a connection pool for it.
func (controller *Controller) setServer(server *catalog.Server, state *serviceState) {
	controller.targets[keyOf(server.Name)] = targetRef{service: server.Service, name: server.Name}
	controller.setConnections(server, state)
}

// removeServer removes a server that is no longer listed, or whose service is not known.
func (controller *Controller) removeServer(name settings.TargetName, changes serverChanges) {
	server, known := controller.knownServers[name]
	if !known {
		return
	}
	changes.removed[server.Service] = append(changes.removed[server.Service], name)
	controller.forgetServer(&server)
}

// forgetServer closes the connections to a server that is gone, and forgets what is kept of it besides its target.
func (controller *Controller) forgetServer(server *catalog.Server) {
	controller.recordGone(*server)
	delete(controller.knownServers, server.Name)
	delete(controller.targets, keyOf(server.Name))
	controller.forgetVerification(server.Name)
	controller.options.Servers.Remove(server.Name)
}

// applyChanges replaces the set of owned servers, and passes the changes to the schedulers, the reachability tracker and the prober.
func (controller *Controller) applyChanges(owned map[settings.TargetName]bool, changes serverChanges) {
	jobsChanged := false
	for _, names := range [...]map[settings.TargetName]bool{controller.owned, owned} {
		for name := range names {
			if controller.owned[name] != owned[name] {
				changes.configured[name] = true
				jobsChanged = true
			}
		}
	}
	controller.owned = owned
	configs := map[settings.ServiceName][]service.TargetConfig{}
	for _, name := range slices.Sorted(maps.Keys(changes.configured)) {
		jobsChanged = jobsChanged || owned[name]
		if server, known := controller.knownServers[name]; known {
			configs[server.Service] = append(configs[server.Service], controller.targetConfig(&server, controller.services[server.Service]))
		}
	}
	for _, names := range changes.removed {
		// A server whose service is not known any more keeps its owner.
		jobsChanged = jobsChanged || slices.ContainsFunc(names, func(name settings.TargetName) bool { return owned[name] })
	}
	for name, state := range controller.services {
		if len(configs[name])+len(changes.removed[name]) > 0 {
			state.scheduler.ChangeTargets(configs[name], changes.removed[name])
			controller.changeReachTargets(name, configs[name], changes.removed[name])
		}
	}
	if jobsChanged {
		controller.setJobs()
	}
}

// changeReachTargets passes changes of the usable servers of a service to the tracker.
func (controller *Controller) changeReachTargets(name settings.ServiceName, configs []service.TargetConfig, removed []settings.TargetName) {
	var added []settings.TargetName
	removed = slices.Clone(removed)
	for index := range configs {
		if configs[index].Usable {
			added = append(added, configs[index].Name)
		} else {
			removed = append(removed, configs[index].Name)
		}
	}
	controller.reach.tracker.ChangeTargets(name, added, removed)
}
