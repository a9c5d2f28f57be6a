// Package gateway puts the parts of one instance together that finds its fleet by itself and reads a platform's store,
// and runs them as a tree. What is the platform's own is handed in as functions.
//
// # Usage
//
//	instance, err := gateway.New(gateway.Options{Settings: file, Log: log, Platform: gateway.Platform{...}})
//	go instance.Serve(ctx)
//	...
//	instance.Leave(ctx) // returns when no request is under way any more
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
	"github.com/jaywheel/jaywheel/internal/httppart"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// storiesKept is how many requests explain can tell of: some seconds of a busy instance's.
const storiesKept = 1024

// thousandths turns a share of a core into whole numbers that compare.
const thousandths = 1000

// Limits towards callers. The platform's own limits are within them.
const (
	headerMost    = 32 << 10
	headerTimeout = 5 * clock.Second
	idleMost      = 2 * clock.Minute
	stallMost     = 5 * clock.Second
	// callersShare is the part of the file descriptors that callers may use; the rest is for backend servers.
	callersShare = 0.6
)

// Platform is what is the platform's own: how its store is read, how HTTP is spoken with callers and backend servers,
// and how callers ask for addresses.
type Platform struct {
	Source catalog.Source
	// SetStore changes where the store is.
	SetStore  func(address string)
	Dialect   *caller.Dialect
	ReadProbe func(*http.Response) sensing.Health
	// Directory and Readiness return the handlers for callers that ask for addresses and for whoever asks whether this
	// instance serves.
	Directory func(addresses func() ([]string, clock.Milliseconds)) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Options are what a Gateway is made from.
type Options struct {
	Settings *settings.Gateway
	Platform Platform
	Log      zerolog.Logger
	// Seed makes the instance's random choices repeatable; 0 takes a random one.
	Seed uint64
}

// Gateway is one instance.
type Gateway struct {
	options    Options
	clock      *clock.Clock
	registry   *metrics.Registry
	servers    *backendserver.Servers
	controller *fleet.Controller
	reader     *catalog.Reader
	prober     *sensing.Prober
	datagrams  *instance.Datagrams
	traces     *trace.Ring
	quota      *quota.Limiter
	updates    updateCache
	callers    *httppart.Part
	handler    *caller.Handler
	parts      []namedPart
	tree       *supervisor.Tree
	// bounds and storeAddress are those of the newest settings.
	bounds       atomic.Pointer[settings.GatewayBounds]
	storeAddress atomic.Pointer[string]
}

// namedPart is a server and its name in the tree.
type namedPart struct {
	*httppart.Part

	name string
}

// New binds every address and makes every part; nothing runs until Serve.
func New(options Options) (*Gateway, error) {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	gateway := &Gateway{options: options, clock: clock.New(), registry: metrics.NewRegistry(), traces: trace.NewRing(storiesKept)}
	gateway.bounds.Store(&options.Settings.Bounds)
	gateway.storeAddress.Store(&options.Settings.StoreAddress)
	gateway.servers = backendserver.NewServers(gateway.clock)
	gateway.quota = quota.NewLimiter(quota.Options{Clock: gateway.clock, Rand: rand.New(rand.NewPCG(options.Seed, 1))})
	gateway.makeControl()
	if err := gateway.makeParts(); err != nil {
		gateway.closeParts()
		return nil, err
	}
	gateway.makeTree()
	return gateway, nil
}

func (gateway *Gateway) makeControl() {
	file := gateway.options.Settings
	events := &gateway.registry.Events
	gateway.prober = sensing.NewProber(sensing.Options{
		Send: gateway.servers.Send, Read: gateway.options.Platform.ReadProbe, Clock: gateway.clock, Events: events,
		Deliver: func(result sensing.Result) { gateway.controller.Probed(result) },
	})
	gateway.datagrams = instance.NewDatagrams(instance.DatagramOptions{
		Address: file.PeerAddress, Events: events, Deliver: func(datagram []byte) { gateway.controller.Receive(datagram) },
	})
	gateway.controller = fleet.NewController(fleet.Options{
		Self: membership.Identity{
			Name: file.Instance, DataCentre: file.DataCentre, Peer: file.PeerAddress, Caller: file.CallerAddress,
			Size: int(file.Cores * thousandths),
		},
		Incarnation: membership.Incarnation(rand.Uint64()),
		Seeds:       file.SeedAddresses(), Bounds: file.Bounds, FleetStarts: file.FleetBootstrap, Clock: gateway.clock, Awake: clock.NewBootTime(),
		Rand:    rand.New(rand.NewPCG(gateway.options.Seed, 0)),
		Servers: gateway.servers, Registry: gateway.registry, Log: gateway.options.Log, Quota: gateway.quota,
		Send: gateway.datagrams.Send, SetJobs: gateway.prober.Set,
	})
	peers := &peerReader{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	gateway.reader = catalog.NewReader(catalog.Options{
		Source: gateway.options.Platform.Source, Publish: gateway.controller.ViewRead,
		FromPeer: func(ctx context.Context, after catalog.Revision) (catalog.Update, error) {
			return gateway.controller.FromPeer(ctx, after, peers.read)
		},
		Clock: gateway.clock, Events: events, Log: gateway.options.Log, Jitter: rand.Float64,
	})
	gateway.controller.SetFeed(fleet.Feed{
		SetRole: gateway.reader.SetRole, Follow: gateway.reader.Follow, Refresh: gateway.reader.Refresh, CatchUp: gateway.reader.CatchUp,
		ReadStale: gateway.reader.ReadStale, Contact: gateway.reader.Contact, Failing: gateway.reader.Failing, PeerFailing: gateway.reader.PeerFailing,
	})
}

// makeParts binds the addresses.
func (gateway *Gateway) makeParts() error {
	file := gateway.options.Settings
	limits := settings.Callers{
		MaxConnections: int(callersShare * float64(file.MaxDescriptors)), MaxHeaderSize: headerMost, HeaderTimeout: headerTimeout,
		IdleTimeout: idleMost, MaxStall: stallMost,
	}
	gateway.handler = caller.NewHandler(caller.Options{
		Table: gateway.controller.Table, AwaitTable: gateway.controller.AwaitTable, Servers: gateway.servers, Registry: gateway.registry, Traces: gateway.traces,
		Quota: gateway.quota, KeyFreshness: gateway.controller.Keys,
		Clock: gateway.clock, Instance: file.Instance, MaxStall: stallMost, Dialect: gateway.options.Platform.Dialect,
		OnRequestDone: newDecisionLog(gateway.options.Log, gateway.clock, &gateway.registry.Events).write,
	})
	events := &gateway.registry.Events
	wanted := []struct {
		name    string
		address string
		server  *http.Server
		listen  func(string) (httppart.Listener, error)
	}{
		{"callers", file.CallerAddress, caller.NewServer(gateway.handler, limits, events), caller.NewListenFunc(limits, events)},
		{"directory", file.DirectoryAddress, small(gateway.options.Platform.Directory(gateway.controller.Addresses)), httppart.Listen},
		{"readiness", file.ReadyAddress, small(gateway.options.Platform.Readiness(gateway.controller.Ready)), httppart.Listen},
		{"peers", file.PeerAddress, small(http.HandlerFunc(gateway.serveCatalog)), httppart.Listen},
		{"operators", file.OperatorAddress, small(gateway.operatorHandler()), httppart.Listen},
	}
	for _, entry := range wanted {
		part, err := httppart.New(entry.server, entry.address, entry.listen)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", entry.name)
		}
		gateway.parts = append(gateway.parts, namedPart{name: entry.name, Part: part})
	}
	gateway.callers = gateway.parts[0].Part
	return nil
}

// smallHeaderMost bounds the head of a request that bears nothing but a path, in bytes.
const smallHeaderMost = 8 << 10

// small returns a server for short requests.
func small(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleMost.Duration(), MaxHeaderBytes: smallHeaderMost,
		ReadTimeout: headerTimeout.Duration(),
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
	control.Add(supervisor.Part{Name: "controller", Serve: gateway.controller.Serve})
	control.Add(supervisor.Part{Name: "datagrams", Serve: gateway.datagrams.Serve})
	control.Add(supervisor.Part{Name: "catalog", Serve: gateway.reader.Serve})
	control.Add(supervisor.Part{Name: "probes", Serve: gateway.prober.Serve})
	traffic := supervisor.New("traffic", options)
	for _, part := range gateway.parts {
		traffic.Add(supervisor.Part{Name: part.name, Serve: part.Serve})
	}
	gateway.tree = supervisor.New("gateway", options)
	gateway.tree.AddTree(control)
	gateway.tree.AddTree(traffic)
}

func (gateway *Gateway) closeParts() {
	for _, part := range gateway.parts {
		if err := part.Close(); err != nil {
			gateway.options.Log.Warn().Str("part", part.name).Str("problem", err.Error()).Msg("address not given up")
		}
	}
}

// Serve runs the instance until the context ends.
func (gateway *Gateway) Serve(ctx context.Context) error {
	defer gateway.servers.Close()
	err := gateway.tree.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Status returns the control state.
func (gateway *Gateway) Status(ctx context.Context) (fleet.Status, error) {
	return gateway.controller.Status(ctx)
}

// InFlight returns the number of callers' requests under way.
func (gateway *Gateway) InFlight() int64 {
	return gateway.handler.InFlight()
}

// Reload takes settings that have changed while the instance runs.
func (gateway *Gateway) Reload(ctx context.Context, file *settings.Gateway) error {
	if !gateway.options.Settings.SameIdentity(file) {
		gateway.options.Log.Warn().Msg("settings: who the instance is and where it listens changes only with a restart")
	}
	gateway.options.Platform.SetStore(file.StoreAddress)
	if before := gateway.storeAddress.Swap(&file.StoreAddress); *before != file.StoreAddress {
		// What has changed since a revision of one store can't be asked of another.
		gateway.reader.Refresh()
	}
	gateway.bounds.Store(&file.Bounds)
	return gateway.controller.SetSettings(ctx, file.SeedAddresses(), file.Bounds)
}
