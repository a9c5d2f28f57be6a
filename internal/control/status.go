package control

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Status is an instance's control state for operators.
type Status struct {
	Instance     settings.InstanceName   `json:"instance"`
	DataCentre   settings.DataCentreName `json:"dataCentre"`
	Leaving      bool                    `json:"leaving"`
	Ready        bool                    `json:"ready"`
	SiteRevision settings.Revision       `json:"siteRevision"`
	// Digest identifies the settings in force. Instances with the same settings have the same digest.
	Digest instance.Digest `json:"settingsDigest"`
	// Problems maps the keys of rejected documents to the reasons.
	Problems map[string]string `json:"problems"`
	Peers    []PeerStatus      `json:"peers"`
	Services []ServiceStatus   `json:"services"`
}

// PeerStatus is the state of another entry instance.
type PeerStatus struct {
	Name         settings.InstanceName   `json:"name"`
	DataCentre   settings.DataCentreName `json:"dataCentre"`
	Leaving      bool                    `json:"leaving"`
	Suspected    bool                    `json:"suspected"`
	SameSettings bool                    `json:"sameSettings"`
}

// ServiceStatus is the state of a service at this instance.
type ServiceStatus struct {
	Name     settings.ServiceName    `json:"name"`
	Revision settings.Revision       `json:"revision"`
	Serving  []settings.InstanceName `json:"serving"`
	Waiting  int                     `json:"waiting"`
	Targets  []TargetStatus          `json:"targets"`
}

// Warm reports whether the service has the given number of backend servers, all of them warm.
func (status *ServiceStatus) Warm(count int) bool {
	return len(status.Targets) == count && !slices.ContainsFunc(status.Targets, func(target TargetStatus) bool {
		return target.Phase != string(phaseWarm)
	})
}

// TargetStatus is the state of a backend server at this instance.
type TargetStatus struct {
	service.TargetState

	Phase       string `json:"phase"`
	Owned       bool   `json:"owned"`
	Connections int    `json:"connections"`
}

// Status requests the state from the control goroutine. It returns the context's error if there is no response in time.
func (controller *Controller) Status(ctx context.Context) (Status, error) {
	response := make(chan Status, 1)
	if err := controller.post(ctx, statusRequested{response: response}); err != nil {
		return Status{}, errors.Wrap(err, "request status from the control goroutine")
	}
	select {
	case status := <-response:
		return status, nil
	case <-ctx.Done():
		return Status{}, errors.Wrap(ctx.Err(), "wait for status from the control goroutine")
	}
}

func (requested statusRequested) apply(controller *Controller) {
	status := Status{
		Instance: controller.options.Name, DataCentre: controller.options.DataCentre,
		Leaving: controller.leaving, Ready: controller.Table() != nil,
		Problems: maps.Clone(controller.problems),
	}
	if controller.site != nil {
		status.SiteRevision = controller.site.Revision
		status.Digest = controller.digest()
	}
	status.Peers = controller.peerStatus(status.Digest)
	for _, name := range slices.Sorted(maps.Keys(controller.services)) {
		status.Services = append(status.Services, controller.serviceStatus(controller.services[name]))
	}
	requested.response <- status
}

func (controller *Controller) peerStatus(digest instance.Digest) []PeerStatus {
	var peers []PeerStatus
	for _, name := range slices.Sorted(maps.Keys(controller.peers)) {
		peer := controller.peers[name]
		peers = append(peers, PeerStatus{
			Name: name, DataCentre: peer.record.DataCentre, Leaving: peer.leaving,
			Suspected: peer.suspected, SameSettings: peer.digest == digest,
		})
	}
	return peers
}

func (controller *Controller) serviceStatus(state *serviceState) ServiceStatus {
	targets, waiting := state.dispatcher.State()
	slices.SortFunc(targets, func(left, right service.TargetState) int { return cmp.Compare(left.Name, right.Name) })
	status := ServiceStatus{Name: state.name, Revision: state.settings.Revision, Waiting: waiting}
	for _, serving := range state.serving {
		status.Serving = append(status.Serving, serving.Name)
	}
	for _, target := range targets {
		entry := TargetStatus{TargetState: target, Connections: controller.options.Servers.OpenConnections(target.Name)}
		if known, found := state.targets[target.Name]; found {
			entry.Phase = string(known.phase)
			entry.Owned = known.owned
		}
		status.Targets = append(status.Targets, entry)
	}
	return status
}
