package fleet

import (
	"net/netip"
)

// Receive takes a peer's datagram. It never blocks: what is dropped is soon said again.
func (controller *Controller) Receive(datagram []byte) {
	message, err := Decode(datagram)
	if err != nil {
		controller.options.Registry.Events.Add("datagram.notUnderstood", 1)
		return
	}
	select {
	case controller.inbox <- func(controller *Controller) { controller.hear(message) }:
	default:
		controller.options.Registry.Events.Add(EventInboxFull, 1)
	}
}

// sendBeats sends what is due.
func (controller *Controller) sendBeats() {
	for _, address := range controller.members.Due() {
		beat := controller.members.Beat(address)
		controller.send(address, &Message{Heartbeat: &beat})
	}
}

func (controller *Controller) send(address netip.AddrPort, message *Message) {
	datagram, err := Encode(message)
	if err != nil {
		controller.options.Log.Error().Str("problem", err.Error()).Msg("datagram not sent")
		return
	}
	controller.options.Send(address, datagram)
}

// hear takes a peer's message.
func (controller *Controller) hear(message *Message) {
	now := controller.options.Clock.Now()
	if message.Heartbeat != nil && controller.members.Hear(*message.Heartbeat) {
		controller.heardNews = true
	}
	if message.Quota != nil {
		controller.hearQuota(now, message.Quota)
	}
	for index := range message.Readings {
		shared := &message.Readings[index]
		ref, known := controller.targets[shared.Target]
		if !known || controller.owners[ref.name] == controller.options.Self.Name {
			continue
		}
		state := controller.services[ref.service]
		if !shared.Down {
			state.scheduler.Observe(ref.name, shared.reading(now))
		}
		state.scheduler.SetDown(ref.name, shared.Down)
	}
}
