package instance

import (
	"expvar"
	"net/netip"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Names of the events of datagrams.
const (
	EventSent      = "datagram.sent"
	EventSentBytes = "datagram.sentBytes"
	EventReceived  = "datagram.received"
	EventNotSealed = "datagram.notSealed"
	EventMalformed = "datagram.notUnderstood"
	EventSendError = "datagram.sendError"
)

// Options are what a Plane is made from.
type Options struct {
	// Address is where datagrams are taken, IP and port.
	Address string
	Keys    settings.Keys
	// Deliver takes each heartbeat, on the event loop's goroutine; it must not block.
	Deliver func(Heartbeat)
	// Events counts.
	Events *expvar.Map
}

// HeartbeatTransport sends and takes sealed heartbeats.
type HeartbeatTransport struct {
	*Transport

	options Options
	sealer  *Sealer
}

// NewHeartbeatTransport returns a plane that takes heartbeats once Serve runs.
func NewHeartbeatTransport(options Options) (*HeartbeatTransport, error) {
	sealer, err := NewSealer(options.Keys)
	if err != nil {
		return nil, err
	}
	plane := &HeartbeatTransport{options: options, sealer: sealer}
	plane.Transport = NewTransport(TransportOptions{Address: options.Address, Deliver: plane.receive, Events: options.Events})
	return plane, nil
}

// Send sends a heartbeat.
func (plane *HeartbeatTransport) Send(peer netip.AddrPort, heartbeat Heartbeat) {
	message, err := encode(heartbeat)
	if err != nil {
		plane.options.Events.Add(EventSendError, 1)
		return
	}
	plane.Transport.Send(peer, plane.sealer.Seal(message))
}

// receive opens one datagram.
func (plane *HeartbeatTransport) receive(datagram []byte) {
	message, err := plane.sealer.Open(datagram)
	if err != nil {
		plane.options.Events.Add(EventNotSealed, 1)
		return
	}
	heartbeat, err := decode(message)
	if err != nil {
		plane.options.Events.Add(EventMalformed, 1)
		return
	}
	plane.options.Events.Add(EventReceived, 1)
	plane.options.Deliver(heartbeat)
}
