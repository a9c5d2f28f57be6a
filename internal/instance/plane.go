package instance

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Names of the events that a Plane counts.
const (
	EventSent      = "datagram.sent"
	EventSentBytes = "datagram.sentBytes"
	EventReceived  = "datagram.received"
	EventUnsealed  = "datagram.notSealed"
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

// Plane sends and takes datagrams.
type Plane struct {
	gnet.BuiltinEventEngine

	options Options
	sealer  *Sealer
	booted  chan struct{}
	once    sync.Once

	mutex  sync.Mutex
	sender net.PacketConn
}

// NewPlane returns a plane that takes datagrams once Serve runs.
func NewPlane(options Options) (*Plane, error) {
	sealer, err := NewSealer(options.Keys)
	if err != nil {
		return nil, err
	}
	return &Plane{options: options, sealer: sealer, booted: make(chan struct{})}, nil
}

// Serve takes datagrams until the context ends.
func (plane *Plane) Serve(ctx context.Context) error {
	engine := &engine{Plane: plane, up: make(chan gnet.Engine, 1)}
	loop, endLoop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-loop.Done()
		select {
		case running := <-engine.up:
			// The loop may have ended by itself; nothing hangs on how it stopped.
			_ = running.Stop(context.Background())
		default:
		}
	}()
	err := gnet.Run(engine, "udp://"+plane.options.Address, gnet.WithLogger(silentLogger{}), gnet.WithLogLevel(logging.ErrorLevel))
	endLoop()
	<-done
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrapf(err, "take datagrams at %s", plane.options.Address)
}

// Address waits until datagrams are taken and returns where.
func (plane *Plane) Address(ctx context.Context) (netip.AddrPort, error) {
	select {
	case <-plane.booted:
	case <-ctx.Done():
		return netip.AddrPort{}, errors.Wrap(ctx.Err(), "wait for the datagram port")
	}
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	return netip.ParseAddrPort(plane.sender.LocalAddr().String())
}

// Send sends a heartbeat. A datagram that can't be sent is counted and forgotten, like one that is lost.
func (plane *Plane) Send(peer netip.AddrPort, heartbeat Heartbeat) {
	plane.mutex.Lock()
	sender := plane.sender
	plane.mutex.Unlock()
	if sender == nil {
		return
	}
	message, err := encode(heartbeat)
	if err == nil {
		datagram := plane.sealer.Seal(message)
		plane.options.Events.Add(EventSentBytes, int64(len(datagram)))
		_, err = sender.WriteTo(datagram, net.UDPAddrFromAddrPort(peer))
	}
	if err != nil {
		plane.options.Events.Add(EventSendError, 1)
		return
	}
	plane.options.Events.Add(EventSent, 1)
}

// receive opens one datagram.
func (plane *Plane) receive(datagram []byte) {
	message, err := plane.sealer.Open(datagram)
	if err != nil {
		plane.options.Events.Add(EventUnsealed, 1)
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

// engine is one run of the event loop.
type engine struct {
	*Plane
	up chan gnet.Engine
}

// OnBoot implements gnet.EventHandler. Sending goes through a second handle on the same socket, because gnet sends
// datagrams only in answer to one.
func (engine *engine) OnBoot(running gnet.Engine) gnet.Action {
	descriptor, err := running.Dup()
	if err != nil {
		return gnet.Shutdown
	}
	file := os.NewFile(uintptr(descriptor), "datagrams")
	defer file.Close()
	sender, err := net.FilePacketConn(file)
	if err != nil {
		return gnet.Shutdown
	}
	engine.mutex.Lock()
	engine.sender = sender
	engine.mutex.Unlock()
	engine.once.Do(func() { close(engine.booted) })
	engine.up <- running
	return gnet.None
}

// OnShutdown implements gnet.EventHandler.
func (engine *engine) OnShutdown(gnet.Engine) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.sender != nil {
		_ = engine.sender.Close()
		engine.sender = nil
	}
}

// OnTraffic implements gnet.EventHandler.
func (engine *engine) OnTraffic(connection gnet.Conn) gnet.Action {
	datagram, err := connection.Next(-1)
	if err != nil && !errors.Is(err, io.EOF) {
		return gnet.None
	}
	engine.receive(datagram)
	return gnet.None
}

// silentLogger keeps gnet's own lines out of the log, where lines stand only for changes of state.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
