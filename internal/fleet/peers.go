package fleet

import (
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Receive queues the datagram of a peer. It never blocks: the content of a dropped datagram is soon sent again.
func (controller *Controller) Receive(datagram []byte) {
	message, err := Decode(datagram)
	if err != nil {
		controller.options.Registry.Events.Add("datagram.notUnderstood", 1)
		return
	}
	select {
	case controller.inbox <- func(controller *Controller) { controller.receiveMessage(message) }:
	default:
		controller.options.Registry.Events.Add(EventInboxFull, 1)
	}
}

// sendHeartbeats sends the heartbeats that are due.
func (controller *Controller) sendHeartbeats() {
	for _, address := range controller.members.DueHeartbeats() {
		heartbeat := controller.members.NewHeartbeat(address)
		controller.send(address, &Message{Heartbeat: &heartbeat})
	}
}

func (controller *Controller) send(address netip.AddrPort, message *Message) {
	datagram, err := Encode(message)
	if err != nil {
		controller.options.Log.Error().Str("problem", err.Error()).Msg("datagram to a peer not sent")
		return
	}
	controller.options.Send(address, datagram)
}

// sendToServing sends the message to all other serving instances. It is encoded once.
func (controller *Controller) sendToServing(message *Message) {
	peers := controller.members.ServingPeers()
	if len(peers) == 0 {
		return
	}
	datagram, err := Encode(message)
	if err != nil {
		controller.options.Log.Error().Str("problem", err.Error()).Msg("datagram to the serving instances not sent")
		return
	}
	for _, peer := range peers {
		controller.options.Send(peer.Address, datagram)
	}
}

// lateTickEffect is how long after a late tick datagrams may still be handled that arrived before it.
const lateTickEffect = 100 * clock.Millisecond

// delay returns how long a datagram that is handled now may have waited, because this process was stopped or had no processor time.
func (controller *Controller) delay(now clock.Moment) clock.Milliseconds {
	if controller.nextTick == 0 {
		return 0
	}
	delay := max(now.Since(controller.nextTick), 0)
	if controller.lateTickAt > 0 && now.Since(controller.lateTickAt) < lateTickEffect {
		delay = max(delay, controller.lateTickBy)
	}
	return delay
}

// receiveMessage applies the message of a peer.
func (controller *Controller) receiveMessage(message *Message) {
	now := controller.options.Clock.Now()
	if message.Heartbeat != nil && controller.members.Receive(*message.Heartbeat) {
		controller.membershipDirty = true
	}
	if message.Quota != nil {
		controller.receiveQuotaReport(now, message.Quota)
	}
	if message.Declarations != nil {
		controller.receiveDeclarations(now, message.Declarations)
	}
	if message.Reach != nil {
		controller.receiveReach(now, message.Reach)
	}
	if message.Loans != nil {
		controller.receiveLoans(now, message.Loans)
	}
	if message.Quarantine != nil {
		controller.receiveQuarantine(message.Quarantine)
	}
	if message.Load != nil {
		controller.members.ReceiveLoad(*message.Load)
	}
	delay := controller.delay(now)
	for index := range message.Readings {
		sharedReading := &message.Readings[index]
		ref, known := controller.targets[sharedReading.Target]
		if !known || controller.owned[ref.name] {
			continue
		}
		if sharedReading.Down {
			controller.receiveDown(now, ref)
			continue
		}
		state := controller.services[ref.service]
		reading := sharedReading.loadReading(now)
		reading.Delay = delay
		state.scheduler.Observe(ref.name, reading)
		controller.setDown(state.scheduler, ref.name, false, service.FromPeer)
	}
}
