package fleet

import (
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// relayPeersInterval is the interval at which the instances for relayed requests are determined.
const relayPeersInterval = 30 * clock.Millisecond

// setRelayPeers passes the instances through which requests can be relayed to the relay client, none while all services are reached.
func (controller *Controller) setRelayPeers() {
	now := controller.options.Clock.Now()
	if controller.options.SetRelayPeers == nil || now < controller.nextRelayPeers || !controller.reach.tracker.AnyDoubtful() && !controller.relayPeersSet {
		return
	}
	controller.nextRelayPeers = now.Add(relayPeersInterval)
	controller.relayPeersSet = controller.reach.tracker.AnyDoubtful()
	if !controller.relayPeersSet {
		controller.options.SetRelayPeers(nil)
		return
	}
	var peers []relay.Peer
	for _, member := range controller.members.Alive() {
		if member.State != membership.Serving && member.State != membership.Standby || member.Sequence == 0 || !controller.sameRegion(member.Identity.DataCentre) {
			continue
		}
		peer := relay.Peer{
			Name: member.Identity.Name, Address: member.Address.String(), Local: member.Identity.DataCentre == controller.options.Self.DataCentre,
			Serving: member.State == membership.Serving, Unreachable: map[settings.ServiceName]bool{},
		}
		for name := range controller.services {
			if !controller.instanceReaches(member.Identity.Name, name) {
				peer.Unreachable[name] = true
			}
		}
		peers = append(peers, peer)
	}
	controller.options.SetRelayPeers(peers)
}

// sameRegion reports whether requests may be relayed to instances in the data centre: those of a region may have to stay in it.
func (controller *Controller) sameRegion(dataCentre settings.DataCentreName) bool {
	regions := controller.options.Regions
	return len(regions) == 0 || regions[dataCentre] == regions[controller.options.Self.DataCentre]
}
