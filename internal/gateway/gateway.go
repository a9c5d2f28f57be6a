// Package gateway assembles an instance that discovers its fleet through peers and reads its configuration from a
// platform's store, and runs its components in a supervisor tree. Platform-specific behaviour is passed in as functions.
//
// # Usage
//
//	instance, err := gateway.New(gateway.Options{Settings: file, Log: log, Platform: gateway.Platform{...}})
//	go instance.Serve(ctx)
//	...
//	instance.Leave(ctx) // returns when no request is in flight
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/caller"
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/fleet"
	"github.com/jaywheel/jaywheel/internal/headmemory"
	"github.com/jaywheel/jaywheel/internal/httppart"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// traceCapacity is the number of recent request traces kept for the explain path: a few seconds of traffic on a busy
// instance.
const traceCapacity = 1024

// millicoresPerCore converts the configured number of cores, which may be a fraction, to the integer size that members compare.
const millicoresPerCore = 1000

// bytesPerMillisecond converts megabits per second to bytes per millisecond.
const bytesPerMillisecond = 125

// Limits on callers' connections. They are wider than the platform's own limits.
const (
	maxHeaderBytes = 32 << 10
	headerTimeout  = 5 * clock.Second
	idleTimeout    = 2 * clock.Minute
	maxStall       = 5 * clock.Second
	// callerConnectionShare is the share of the file descriptors available to callers' connections; the rest is for connections
	// to backend servers.
	callerConnectionShare = 0.6
	// peerConnectionShare is the same for connections of other instances.
	peerConnectionShare = 0.15
	// shortConnectionShare is the same for the connections to each of the directory, readiness and operators.
	shortConnectionShare = 0.04
	// connectionMemoryShare is the share of the memory for callers' connections, each of which takes connectionMemory while it is used.
	connectionMemoryShare = 0.5
	connectionMemory      = 40 << 10
	// headMemoryShare is the share of the memory for the heads of callers' requests; otherHeadMemoryShare that for those of other instances,
	// and that for those to the directory, readiness and operators together.
	headMemoryShare      = 1.0 / 6
	otherHeadMemoryShare = 1.0 / 24
	// bufferMemoryShare is the share of the memory for each of buffered request bodies and buffered responses.
	bufferMemoryShare = 1.0 / 12
)

// Platform is the platform-specific behaviour of an instance: reading the store, the HTTP headers and paths used with
// callers and backend servers, and the directory of instance addresses.
type Platform struct {
	// Source reads the platform's store.
	Source catalog.Source
	// SetStoreAddress changes the address of the store.
	SetStoreAddress func(address string)
	// Dialect defines headers and reserved paths of requests.
	Dialect *caller.Dialect
	// ReadProbe reads a backend server's health from its response to a probe.
	ReadProbe func(*http.Response) (sensing.Health, error)
	// Directory and Readiness return the handlers for callers that request the addresses of instances and for readiness
	// checks of this instance.
	Directory func(addresses func() ([]string, clock.Milliseconds)) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Options configures a Gateway.
type Options struct {
	Settings *settings.Gateway
	Platform Platform
	Log      zerolog.Logger
	// Seed makes the instance's random choices repeatable; 0 selects a random seed.
	Seed uint64
	// DialServer opens connections to backend servers; nil selects the dialer of package net.
	DialServer backendserver.DialFunc
	// Registry holds the metrics; nil selects a new one.
	Registry *metrics.Registry
}

// Gateway is one instance of the load balancer.
type Gateway struct {
	options      Options
	clock        *clock.Clock
	registry     *metrics.Registry
	servers      *backendserver.Servers
	controller   *fleet.Controller
	reader       *catalog.Reader
	prober       *sensing.Prober
	datagrams    *instance.Transport
	traces       *trace.Ring
	quota        *quota.Limiter
	quarantine   *quarantine.Quarantine
	relay        *relay.Client
	updates      updateCache
	callerServer *httppart.Server
	peerServer   *httppart.Server
	handler      *caller.Handler
	connections  *caller.Connections
	httpServers  []namedServer
	tree         *supervisor.Tree
	guard        *supervisor.Guard
	// bounds and storeAddress come from the settings that were loaded last.
	bounds       atomic.Pointer[settings.GatewayBounds]
	storeAddress atomic.Pointer[string]
}

// namedServer is an HTTP server with its name in the supervisor tree.
type namedServer struct {
	*httppart.Server

	name string
}

// New binds the HTTP servers' addresses and creates all components; nothing runs until Serve. It returns an error if an address cannot
// be bound; IsErrAddressUnavailable reports whether it may be bound later.
func New(options Options) (*Gateway, error) {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	gateway := &Gateway{options: options, clock: clock.New(), registry: options.Registry, traces: trace.NewRing(traceCapacity)}
	gateway.bounds.Store(&options.Settings.Bounds)
	gateway.storeAddress.Store(&options.Settings.StoreAddress)
	gateway.guard = supervisor.NewGuard(supervisor.Options{Log: options.Log, Events: &gateway.registry.Events})
	gateway.servers = backendserver.NewServers(gateway.clock)
	gateway.servers.OnConnect, gateway.servers.Dial, gateway.servers.Guard = gateway.recordConnect, options.DialServer, gateway.guard
	gateway.quota = quota.NewLimiter(quota.Options{
		Clock: gateway.clock, Rand: rand.New(rand.NewPCG(options.Seed, 1)), RequestLoans: func() { gateway.controller.RequestLoans() },
	})
	gateway.quarantine = quarantine.New(quarantine.Options{Clock: gateway.clock, OnBlock: gateway.recordBlock, OnEnd: func() { gateway.controller.ReportQuarantine() }})
	gateway.relay = relay.NewClient(relay.Options{Clock: gateway.clock, Rand: rand.New(rand.NewPCG(options.Seed, 2)), Guard: gateway.guard})
	gateway.connections = caller.NewConnections(callerLimits(options.Settings), &gateway.registry.Events)
	gateway.connections.Guard = gateway.guard
	gateway.makeControl()
	if err := gateway.makeHTTPServers(); err != nil {
		gateway.closeHTTPServers()
		return nil, err
	}
	gateway.makeTree()
	return gateway, nil
}

// EventConnectFailed counts the failed attempts to open a connection to a backend server.
const EventConnectFailed = "server.connectFailed"

// recordConnect records the result of an attempt to open a connection to a backend server.
func (gateway *Gateway) recordConnect(name settings.TargetName, err error) {
	gateway.controller.RecordConnect(name, err == nil)
	if err != nil {
		gateway.registry.Events.Add(EventConnectFailed, 1)
	}
}

// checkConnection connects to a backend server in the background.
func (gateway *Gateway) checkConnection(name settings.TargetName) {
	gateway.guard.Go("connection check", func() { gateway.servers.Check(context.Background(), name) })
}

func (gateway *Gateway) makeControl() {
	gatewaySettings := gateway.options.Settings
	events := &gateway.registry.Events
	gateway.prober = sensing.NewProber(sensing.Options{
		Send: gateway.servers.Send, Read: gateway.options.Platform.ReadProbe, Clock: gateway.clock, Events: events,
		MaxConcurrent: sensing.MaxConcurrent(gatewaySettings.Cores),
		Deliver:       func(result sensing.Result) { gateway.controller.RecordProbe(result) }, Guard: gateway.guard,
	})
	gateway.datagrams = instance.NewTransport(instance.TransportOptions{
		Address: gatewaySettings.PeerAddress, Events: events, Deliver: func(datagram []byte) { gateway.controller.Receive(datagram) },
		Guard: gateway.guard,
	})
	gateway.controller = fleet.NewController(fleet.Options{
		Self: membership.Identity{
			Name: gatewaySettings.Instance, DataCentre: gatewaySettings.DataCentre, Peer: gatewaySettings.PeerAddress, Caller: gatewaySettings.CallerAddress,
			Size: int(gatewaySettings.Cores * millicoresPerCore),
		},
		Incarnation: membership.Incarnation(rand.Uint64()),
		Seeds:       gatewaySettings.SeedAddresses(), Bounds: gatewaySettings.Bounds, FleetStarts: gatewaySettings.FleetBootstrap,
		Clock: gateway.clock, BootClock: clock.NewBootTime(),
		Rand:    rand.New(rand.NewPCG(gateway.options.Seed, 0)),
		Servers: gateway.servers, Registry: gateway.registry, Log: gateway.options.Log, Quota: gateway.quota, Quarantine: gateway.quarantine,
		ProcessorTime: processorTime, SentBytes: func() int64 { return metrics.EventCount(&gateway.registry.Events, caller.EventSentBytes) },
		LinkRate: gatewaySettings.LinkMegabits * bytesPerMillisecond, Connections: func() fleet.ConnectionUse { return fleet.ConnectionUse(gateway.connections.Use()) },
		Send: gateway.datagrams.Send, SetJobs: gateway.prober.Set, Verify: gateway.prober.Verify,
		CheckConnection: gateway.checkConnection, SetRelayPeers: gateway.relay.SetPeers, Regions: gatewaySettings.Regions, Guard: gateway.guard,
	})
	peers := &peerReader{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHeadBytes}}}
	gateway.reader = catalog.NewReader(catalog.Options{
		Source: gateway.options.Platform.Source, Publish: gateway.controller.SetView,
		FetchFromPeer: func(ctx context.Context, after catalog.Revision) (catalog.Update, error) {
			return gateway.controller.FetchFromPeer(ctx, after, peers.read)
		},
		Clock: gateway.clock, Events: events, Log: gateway.options.Log, Jitter: rand.Float64, Guard: gateway.guard,
	})
	gateway.controller.SetCatalogReader(fleet.CatalogReader{
		SetRole: gateway.reader.SetRole, SetPhase: gateway.reader.SetPhase, SetPeerRevision: gateway.reader.SetPeerRevision, Refresh: gateway.reader.Refresh,
		CatchUp:   gateway.reader.CatchUp,
		ReadStale: gateway.reader.ReadStale, LastResponse: gateway.reader.LastResponse, Failing: gateway.reader.Failing, PeerFailing: gateway.reader.PeerFailing,
	})
}

// makeHTTPServers creates the HTTP servers and binds their addresses.
func (gateway *Gateway) makeHTTPServers() error {
	gatewaySettings := gateway.options.Settings
	limits := callerLimits(gatewaySettings)
	peerLimits := limits
	peerLimits.MaxPipelined = 0
	peerLimits.MaxConnections = int(peerConnectionShare * float64(gatewaySettings.MaxDescriptors))
	peerLimits.MaxHeadMemory = partOf(gatewaySettings.MaxMemory, otherHeadMemoryShare)
	gateway.handler = caller.NewHandler(caller.Options{
		Table: gateway.controller.Table, AwaitTable: gateway.controller.AwaitTable, Servers: gateway.servers, Registry: gateway.registry, Traces: gateway.traces,
		Quota: gateway.quota, KeyFreshness: gateway.controller.KeyStatus,
		Clock: gateway.clock, Instance: gatewaySettings.Instance, MaxStall: maxStall, Dialect: gateway.options.Platform.Dialect,
		MaxBufferMemory: partOf(gatewaySettings.MaxMemory, bufferMemoryShare),
		Relay:           &caller.Relay{Client: gateway.relay, Unreachable: gateway.controller.Unreachable, Doubtful: gateway.controller.Doubtful},
		Quarantine:      gateway.quarantine, OnServerEnd: gateway.recordServerEnd,
		OnStatement: gateway.controller.RecordStatement, Lateness: gateway.controller.Lateness,
		OnRequestDone: newRequestLog(gateway.options.Log, gateway.clock, &gateway.registry.Events).write, Guard: gateway.guard,
	})
	events := &gateway.registry.Events
	peerConnections := caller.NewConnections(peerLimits, events)
	peerConnections.Guard = gateway.guard
	listen := httppart.NewListenFunc(httppart.ListenOptions{
		Guard: gateway.guard, Events: &gateway.registry.Events, MaxConnections: max(int(shortConnectionShare*float64(gatewaySettings.MaxDescriptors)), 1),
		HeadMemory: headmemory.NewBudget(partOf(gatewaySettings.MaxMemory, otherHeadMemoryShare)),
	})
	peerServer := caller.NewPeerServer(gateway.handler, httppart.NewGuardedHandler(gateway.guard, "peers", http.HandlerFunc(gateway.serveCatalog)), peerLimits, events)
	serverConfigs := []struct {
		name    string
		address string
		server  *http.Server
		listen  func(string) (httppart.Listener, error)
	}{
		{"callers", gatewaySettings.CallerAddress, caller.NewServer(gateway.handler, limits, events), caller.NewListenFunc(limits, gateway.connections, events)},
		{"directory", gatewaySettings.DirectoryAddress, gateway.newShortRequestServer("directory", gateway.options.Platform.Directory(gateway.controller.Addresses)), listen},
		{"readiness", gatewaySettings.ReadyAddress, gateway.newShortRequestServer("readiness", gateway.options.Platform.Readiness(gateway.controller.Ready)), listen},
		{"peers", gatewaySettings.PeerAddress, peerServer, caller.NewListenFunc(peerLimits, peerConnections, events)},
		{"operators", gatewaySettings.OperatorAddress, gateway.newShortRequestServer("operators", gateway.operatorHandler()), listen},
	}
	for _, config := range serverConfigs {
		server, err := httppart.New(config.server, config.address, config.listen)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", config.name)
		}
		server.Guard = gateway.guard
		gateway.httpServers = append(gateway.httpServers, namedServer{name: config.name, Server: server})
	}
	gateway.callerServer, gateway.peerServer = gateway.httpServers[0].Server, gateway.httpServers[peerServerIndex].Server
	return nil
}

// callerLimits returns the limits of callers' connections.
func callerLimits(gatewaySettings *settings.Gateway) settings.Callers {
	memory := gatewaySettings.MaxMemory
	return settings.Callers{
		MaxConnections: min(int(callerConnectionShare*float64(gatewaySettings.MaxDescriptors)), int(partOf(memory, connectionMemoryShare)/connectionMemory)),
		MaxHeaderSize:  maxHeaderBytes, HeaderTimeout: headerTimeout, MaxHeadMemory: partOf(memory, headMemoryShare),
		IdleTimeout: idleTimeout, MaxStall: maxStall, MaxPipelined: gatewaySettings.MaxPipelined, MaxPipelinedHeld: gatewaySettings.MaxPipelinedHeld,
	}
}

// partOf returns a share of the memory.
func partOf(memory settings.Bytes, share float64) settings.Bytes {
	return settings.Bytes(share * float64(memory))
}

// peerServerIndex is the position of the server for other instances among the HTTP servers.
const peerServerIndex = 3

// maxShortHeaderBytes limits the header of a request that needs only a path.
const maxShortHeaderBytes = 8 << 10

// newShortRequestServer returns a server for requests with short headers that are read within headerTimeout. The component is its name in
// the log.
func (gateway *Gateway) newShortRequestServer(component string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: httppart.NewGuardedHandler(gateway.guard, component, handler), ReadHeaderTimeout: headerTimeout.Duration(), ReadTimeout: headerTimeout.Duration(),
		IdleTimeout: idleTimeout.Duration(), MaxHeaderBytes: maxShortHeaderBytes,
	}
}

func (gateway *Gateway) operatorHandler() http.Handler {
	return operator.NewHandler(operator.Options{
		Status: func(ctx context.Context) (operator.Status, error) {
			status, err := gateway.controller.Status(ctx)
			return operator.Status{Ready: status.Ready, Leaving: status.Leaving, Detail: status}, err
		},
		Registry: gateway.registry, Traces: gateway.traces,
	})
}

func (gateway *Gateway) makeTree() {
	options := supervisor.Options{Log: gateway.options.Log, Events: &gateway.registry.Events}
	control := supervisor.New("control", options)
	control.Add(supervisor.Component{Name: "controller", Serve: gateway.controller.Serve})
	control.Add(supervisor.Component{Name: "datagrams", Serve: gateway.datagrams.Serve})
	control.Add(supervisor.Component{Name: "catalog", Serve: gateway.reader.Serve})
	control.Add(supervisor.Component{Name: "probes", Serve: gateway.prober.Serve})
	traffic := supervisor.New("traffic", options)
	for _, server := range gateway.httpServers {
		traffic.Add(supervisor.Component{Name: server.name, Serve: server.Serve})
	}
	gateway.tree = supervisor.New("gateway", options)
	gateway.tree.AddTree(control)
	gateway.tree.AddTree(traffic)
}

func (gateway *Gateway) closeHTTPServers() {
	for _, server := range gateway.httpServers {
		if err := server.Close(); err != nil {
			gateway.options.Log.Warn().Str("part", server.name).Str("problem", err.Error()).Msg("could not close the listening address")
		}
	}
}

// Serve runs the instance until the context ends, which is not an error.
func (gateway *Gateway) Serve(ctx context.Context) error {
	defer gateway.servers.Close()
	defer gateway.relay.Close()
	err := gateway.tree.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Guard returns the guard for goroutines that work for the instance.
func (gateway *Gateway) Guard() *supervisor.Guard {
	return gateway.guard
}

// Status returns the control state.
func (gateway *Gateway) Status(ctx context.Context) (fleet.Status, error) {
	return gateway.controller.Status(ctx)
}

// InFlight returns the number of callers' requests in flight.
func (gateway *Gateway) InFlight() int64 {
	return gateway.handler.InFlight()
}

// Reload applies changed settings to the running instance. The instance's identity and listening addresses change only
// with a restart.
func (gateway *Gateway) Reload(ctx context.Context, gatewaySettings *settings.Gateway) error {
	if !gateway.options.Settings.SameIdentity(gatewaySettings) {
		gateway.options.Log.Warn().Msg("settings: changed identity or listening addresses take effect only after a restart")
	}
	gateway.options.Platform.SetStoreAddress(gatewaySettings.StoreAddress)
	if before := gateway.storeAddress.Swap(&gatewaySettings.StoreAddress); *before != gatewaySettings.StoreAddress {
		// The new store cannot list the changes since a revision of the old one.
		gateway.reader.Refresh()
	}
	gateway.bounds.Store(&gatewaySettings.Bounds)
	return gateway.controller.SetSettings(ctx, gatewaySettings.SeedAddresses(), gatewaySettings.Bounds)
}
