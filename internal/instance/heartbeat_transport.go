package instance

import (
	"expvar"
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Names of the event counters for datagrams.
const (
	EventSent      = "datagram.sent"
	EventSentBytes = "datagram.sentBytes"
	EventReceived  = "datagram.received"
	EventNotSealed = "datagram.notSealed"
	EventMalformed = "datagram.notUnderstood"
	EventSendError = "datagram.sendError"
)

// Options configures a HeartbeatTransport.
type Options struct {
	// Address is the IP address and port on which datagrams are received.
	Address string
	Keys    settings.Keys
	// Deliver is called for each heartbeat, on the goroutine of the event loop. It must not block.
	Deliver func(Heartbeat)
	// Events holds the event counters.
	Events *expvar.Map
	// Guard recovers panics of Deliver, which drop the datagram; nil lets them pass.
	Guard *supervisor.Guard
}

// HeartbeatTransport sends and receives sealed heartbeats.
type HeartbeatTransport struct {
	*Transport

	options Options
	sealer  *Sealer
}

// NewHeartbeatTransport returns a transport that receives heartbeats once Serve runs.
func NewHeartbeatTransport(options Options) (*HeartbeatTransport, error) {
	sealer, err := NewSealer(options.Keys)
	if err != nil {
		return nil, err
	}
	heartbeatTransport := &HeartbeatTransport{options: options, sealer: sealer}
	heartbeatTransport.Transport = NewTransport(TransportOptions{
		Address: options.Address, Deliver: heartbeatTransport.receive, Events: options.Events, Guard: options.Guard,
	})
	return heartbeatTransport, nil
}

// Send seals a heartbeat and sends it to a peer. A heartbeat that can't be encoded is counted as a send error.
func (heartbeatTransport *HeartbeatTransport) Send(peer netip.AddrPort, heartbeat Heartbeat) {
	message, err := encode(heartbeat)
	if err != nil {
		heartbeatTransport.options.Events.Add(EventSendError, 1)
		return
	}
	heartbeatTransport.Transport.Send(peer, heartbeatTransport.sealer.Seal(message))
}

// receive opens and decodes a datagram and delivers its heartbeat. Invalid datagrams are counted and dropped.
func (heartbeatTransport *HeartbeatTransport) receive(datagram []byte) {
	message, err := heartbeatTransport.sealer.Open(datagram)
	if err != nil {
		heartbeatTransport.options.Events.Add(EventNotSealed, 1)
		return
	}
	heartbeat, err := decode(message)
	if err != nil {
		heartbeatTransport.options.Events.Add(EventMalformed, 1)
		return
	}
	heartbeatTransport.options.Events.Add(EventReceived, 1)
	heartbeatTransport.options.Deliver(heartbeat)
}
