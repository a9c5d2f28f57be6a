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
)

// TransportOptions are what Datagrams are made from.
type TransportOptions struct {
	// Address is where datagrams are taken, IP and port.
	Address string
	// Deliver takes each datagram, on the event loop's goroutine; it must not block, nor keep the bytes.
	Deliver func([]byte)
	// Events counts.
	Events *expvar.Map
}

// Transport sends and takes datagrams on one port, whatever they hold.
type Transport struct {
	gnet.BuiltinEventEngine

	options TransportOptions
	booted  chan struct{}
	once    sync.Once

	mutex  sync.Mutex
	sender net.PacketConn
}

// NewTransport returns a port that takes datagrams once Serve runs.
func NewTransport(options TransportOptions) *Transport {
	return &Transport{options: options, booted: make(chan struct{})}
}

// Serve takes datagrams until the context ends.
func (datagrams *Transport) Serve(ctx context.Context) error {
	engine := &engine{Transport: datagrams, up: make(chan gnet.Engine, 1)}
	loop, endLoop := context.WithCancel(ctx)
	stopping, endStopping := context.WithCancel(context.WithoutCancel(ctx))
	defer endStopping()
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-loop.Done()
		select {
		case running := <-engine.up:
			// The loop may have ended by itself; nothing hangs on how it stopped.
			_ = running.Stop(stopping)
		default:
		}
	}()
	err := gnet.Run(engine, "udp://"+datagrams.options.Address, gnet.WithLogger(silentLogger{}), gnet.WithLogLevel(logging.ErrorLevel))
	endLoop()
	// Stop looks only twice a second whether the loop has ended.
	endStopping()
	<-done
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrapf(err, "take datagrams at %s", datagrams.options.Address)
}

// Address waits until datagrams are taken and returns where.
func (datagrams *Transport) Address(ctx context.Context) (netip.AddrPort, error) {
	select {
	case <-datagrams.booted:
	case <-ctx.Done():
		return netip.AddrPort{}, errors.Wrap(ctx.Err(), "wait for the datagram port")
	}
	datagrams.mutex.Lock()
	defer datagrams.mutex.Unlock()
	return netip.ParseAddrPort(datagrams.sender.LocalAddr().String())
}

// Send sends a datagram. One that can't be sent is counted and forgotten, like one that is lost.
func (datagrams *Transport) Send(peer netip.AddrPort, datagram []byte) {
	datagrams.mutex.Lock()
	sender := datagrams.sender
	datagrams.mutex.Unlock()
	if sender == nil {
		return
	}
	if _, err := sender.WriteTo(datagram, net.UDPAddrFromAddrPort(peer)); err != nil {
		datagrams.options.Events.Add(EventSendError, 1)
		return
	}
	datagrams.options.Events.Add(EventSentBytes, int64(len(datagram)))
	datagrams.options.Events.Add(EventSent, 1)
}

// engine is one run of the event loop.
type engine struct {
	*Transport
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
	engine.options.Deliver(datagram)
	return gnet.None
}

// silentLogger keeps gnet's own lines out of the log, where lines stand only for changes of state.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
