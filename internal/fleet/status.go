package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Status is the control state of an instance for operators.
type Status struct {
	Instance   settings.InstanceName   `json:"instance"`
	DataCentre settings.DataCentreName `json:"dataCentre"`
	State      string                  `json:"state"`
	Ready      bool                    `json:"ready"`
	Leaving    bool                    `json:"leaving"`
	// Reads is whether the instance reads the store itself.
	Reads    bool             `json:"reads"`
	Revision catalog.Revision `json:"revision"`
	Version  catalog.Version  `json:"version"`
	// Catalog is how the instance gets the revision and the version.
	Catalog CatalogStatus `json:"catalog"`
	// Unreachable are the services that the instance cannot reach; their requests are relayed.
	Unreachable []settings.ServiceName `json:"unreachable,omitempty"`
	// Connections is how many connections of callers are open.
	Connections ConnectionUse   `json:"connections"`
	Peers       []PeerStatus    `json:"peers"`
	Services    []ServiceStatus `json:"services"`
	// Teams are the teams with a rate limit that sent requests to this instance, those with the most refused requests first.
	Teams []quota.Usage `json:"teams,omitempty"`
	// Quarantined are the requests that are refused because backend servers have ended under them.
	Quarantined []quarantine.Entry `json:"quarantined,omitempty"`
}

// CatalogStatus is how an instance gets the catalog.
type CatalogStatus struct {
	// ReadsBecause is why the instance reads the store itself, empty when it follows others.
	ReadsBecause string `json:"readsBecause,omitempty"`
	// StoreAnswered is the time since the store last answered this instance, 0 when it never has. StoreFailing is whether the last call
	// was refused or its answer is overdue.
	StoreAnswered clock.Milliseconds `json:"storeAnswered,omitempty"`
	StoreFailing  bool               `json:"storeFailing,omitempty"`
	// VersionFor is how long the version in force has been so, 0 while there is none.
	VersionFor clock.Milliseconds `json:"versionFor,omitempty"`
	// Confirmed is whether no newer version is known and an instance that gets answers of the store, or this one, has been heard of
	// recently. Otherwise an unknown route or key is answered 503.
	Confirmed bool `json:"confirmed"`
	// Unanswered is the number of other serving instances that get no answers of the store.
	Unanswered int `json:"unanswered,omitempty"`
}

// PeerStatus is the state of another instance.
type PeerStatus struct {
	Name       settings.InstanceName   `json:"name"`
	DataCentre settings.DataCentreName `json:"dataCentre"`
	// Address is the IP address and port at which other instances reach it.
	Address  string           `json:"address"`
	State    string           `json:"state"`
	Revision catalog.Revision `json:"revision"`
	Version  catalog.Version  `json:"version"`
}

// ServiceStatus is the state of a service.
type ServiceStatus struct {
	Name    settings.ServiceName  `json:"name"`
	Waiting int                   `json:"waiting"`
	Targets []service.TargetState `json:"targets"`
}

// errQueryFailed means that a query has panicked on the control goroutine.
var errQueryFailed = errors.New("the query failed on the control goroutine")

// query runs a function on the control goroutine and returns its result. The error is that of the context if the control
// goroutine does not respond in time, or errQueryFailed.
func query[T any](ctx context.Context, controller *Controller, read func(*Controller) T) (T, error) {
	result := make(chan T, 1)
	var none T
	answer := func(controller *Controller) {
		defer close(result)
		result <- read(controller)
	}
	if err := controller.post(ctx, answer); err != nil {
		return none, errors.Wrap(err, "queue a query for the control goroutine")
	}
	select {
	case value, answered := <-result:
		if !answered {
			return none, errQueryFailed
		}
		return value, nil
	case <-ctx.Done():
		return none, errors.Wrap(ctx.Err(), "wait for the response of the control goroutine")
	}
}

// Status returns the control state for operators. The error is that of the context.
func (controller *Controller) Status(ctx context.Context) (Status, error) {
	return query(ctx, controller, (*Controller).status)
}

func (controller *Controller) status() Status {
	state := controller.members.State()
	status := Status{
		Instance: controller.options.Self.Name, DataCentre: controller.options.Self.DataCentre, State: state.String(), Ready: controller.Ready(),
		Leaving: state == membership.Leaving, Reads: controller.role != catalog.RoleFollower,
		Unreachable: slices.Sorted(slices.Values(controller.reach.tracker.UnreachableServices())),
	}
	if controller.options.Connections != nil {
		status.Connections = controller.options.Connections()
	}
	if controller.view != nil {
		status.Revision = controller.view.Revision
		if controller.view.Configuration != nil {
			status.Version = controller.view.Configuration.Version
		}
	}
	status.Catalog = controller.catalogStatus()
	for _, member := range controller.members.All() {
		status.Peers = append(status.Peers, PeerStatus{
			Name: member.Identity.Name, DataCentre: member.Identity.DataCentre, Address: member.Address.String(), State: member.State.String(),
			Revision: member.Revision, Version: member.Version,
		})
	}
	if controller.options.Quota != nil {
		status.Teams = topTeams(controller.options.Quota.Usage())
	}
	if controller.options.Quarantine != nil {
		status.Quarantined = controller.options.Quarantine.Blocks()
	}
	for _, name := range slices.Sorted(maps.Keys(controller.services)) {
		targets, waiting := controller.services[name].scheduler.State()
		status.Services = append(status.Services, ServiceStatus{Name: name, Waiting: waiting, Targets: targets})
	}
	return status
}

func (controller *Controller) catalogStatus() CatalogStatus {
	now := controller.options.Clock.Now()
	status := CatalogStatus{
		ReadsBecause: string(controller.readReason), StoreFailing: controller.catalogReader.Failing(),
		Confirmed: controller.KeyStatus() == team.KeysCurrent, Unanswered: controller.unanswered,
	}
	if at := controller.catalogReader.LastResponse(); at > 0 {
		status.StoreAnswered = now.Since(at)
	}
	if controller.table.Load() != nil {
		status.VersionFor = now.Since(controller.versionSince)
	}
	return status
}

// maxStatusTeams is the maximum number of teams in a status.
const maxStatusTeams = 100

// topTeams returns the teams that sent requests to this instance, those with the most refused requests first.
func topTeams(usages []quota.Usage) []quota.Usage {
	usages = slices.DeleteFunc(usages, func(usage quota.Usage) bool { return usage.Admitted == 0 && usage.Refused == 0 })
	slices.SortFunc(usages, func(left, right quota.Usage) int {
		return cmp.Or(cmp.Compare(right.Refused, left.Refused), cmp.Compare(right.Admitted, left.Admitted), cmp.Compare(left.Team, right.Team))
	})
	return usages[:min(len(usages), maxStatusTeams)]
}

// Ready reports whether this instance can serve callers.
func (controller *Controller) Ready() bool {
	return controller.ready.Load()
}
