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

	"github.com/jaywheel/jaywheel/internal/supervisor"
)

// TransportOptions configures a Transport.
type TransportOptions struct {
	// Address is the IP address and port on which datagrams are received.
	Address string
	// Deliver is called for each datagram, on the goroutine of the event loop. It must neither block nor retain the bytes.
	Deliver func([]byte)
	// Events holds the event counters.
	Events *expvar.Map
	// Guard recovers panics of Deliver, which drop the datagram; nil lets them pass.
	Guard *supervisor.Guard
}

// Transport sends and receives datagrams of any content on one port.
type Transport struct {
	gnet.BuiltinEventEngine

	options   TransportOptions
	ready     chan struct{}
	readyOnce sync.Once

	mutex  sync.Mutex
	sender net.PacketConn
}

// NewTransport returns a transport that receives datagrams once Serve runs.
func NewTransport(options TransportOptions) *Transport {
	return &Transport{options: options, ready: make(chan struct{})}
}

// Serve receives datagrams until the context is cancelled.
func (transport *Transport) Serve(ctx context.Context) error {
	engine := &engine{Transport: transport, started: make(chan gnet.Engine, 1)}
	loopContext, cancelLoop := context.WithCancel(ctx)
	stopContext, cancelStop := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelStop()
	done, returned := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		<-loopContext.Done()
		// The context may end before the loop has started.
		select {
		case running := <-engine.started:
			// The loop may already have ended by itself, and Serve does not depend on how it stopped.
			_ = running.Stop(stopContext)
		case <-returned:
		}
	}()
	err := gnet.Run(engine, "udp://"+transport.options.Address, gnet.WithLogger(silentLogger{}), gnet.WithLogLevel(logging.ErrorLevel))
	close(returned)
	cancelLoop()
	// Stop checks only twice a second whether the loop has ended. Cancel it instead of waiting for the next check.
	cancelStop()
	<-done
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrapf(err, "receive datagrams at %s", transport.options.Address)
}

// Address waits until the port is open and returns its local address.
func (transport *Transport) Address(ctx context.Context) (netip.AddrPort, error) {
	select {
	case <-transport.ready:
	case <-ctx.Done():
		return netip.AddrPort{}, errors.Wrap(ctx.Err(), "wait for the datagram port")
	}
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	return netip.ParseAddrPort(transport.sender.LocalAddr().String())
}

// Send sends a datagram to a peer. A datagram that can't be sent is counted and dropped, like one that the network loses. A
// datagram is dropped without being counted while Serve does not run.
func (transport *Transport) Send(peer netip.AddrPort, datagram []byte) {
	transport.mutex.Lock()
	sender := transport.sender
	transport.mutex.Unlock()
	if sender == nil {
		return
	}
	if _, err := sender.WriteTo(datagram, net.UDPAddrFromAddrPort(peer)); err != nil {
		transport.options.Events.Add(EventSendError, 1)
		return
	}
	transport.options.Events.Add(EventSentBytes, int64(len(datagram)))
	transport.options.Events.Add(EventSent, 1)
}

// engine is one run of the event loop.
type engine struct {
	*Transport
	started chan gnet.Engine
}

// OnBoot implements gnet.EventHandler. It duplicates the descriptor of the socket for sending, because gnet sends datagrams
// only in reply to a received one.
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
	engine.readyOnce.Do(func() { close(engine.ready) })
	engine.started <- running
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
	_ = engine.options.Guard.Run("datagram", func() { engine.options.Deliver(datagram) })
	return gnet.None
}

// silentLogger discards gnet's own log lines, since the log records only changes of state.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
