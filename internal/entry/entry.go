// Package entry assembles an entry instance, which reads a configuration service and a list of instances, and runs its
// components in a supervisor tree.
//
// # Usage
//
//	instance, err := entry.New(entry.Options{Settings: process, Log: log})
//	go instance.Serve(ctx)
//	...
//	instance.Leave(ctx) // returns when no request is in flight
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/caller"
	"github.com/jaywheel/jaywheel/internal/control"
	"github.com/jaywheel/jaywheel/internal/httppart"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// traceCapacity is the number of recent request traces kept for the explain path.
const traceCapacity = 4096

// Options configures an Entry.
type Options struct {
	Settings *settings.Process
	Log      zerolog.Logger
	// Seed makes the instance's random choices repeatable; 0 selects a random seed.
	Seed uint64
	// Policy selects targets. It is set only to measure a baseline policy.
	Policy service.Policy
	// Registry holds the metrics; nil selects a new one.
	Registry *metrics.Registry
}

// Entry is one entry instance.
type Entry struct {
	options            Options
	clock              *clock.Clock
	registry           *metrics.Registry
	servers            *backendserver.Servers
	controller         *control.Controller
	heartbeatTransport *instance.HeartbeatTransport
	handler            *caller.Handler
	tree               *supervisor.Tree
	guard              *supervisor.Guard
	control            *supervisor.Tree
	traffic            *supervisor.Tree
	callers            *httppart.Server
	operators          *httppart.Server
}

// New binds the addresses for callers and operators and creates all components; nothing runs until Serve. It returns an
// error if an address cannot be bound.
func New(options Options) (*Entry, error) {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	entry := &Entry{options: options, clock: clock.New(), registry: options.Registry}
	entry.guard = supervisor.NewGuard(supervisor.Options{Log: options.Log, Events: &entry.registry.Events})
	entry.servers = backendserver.NewServers(entry.clock)
	entry.servers.Guard = entry.guard
	if err := entry.makeControl(); err != nil {
		return nil, err
	}
	if err := entry.makeTraffic(); err != nil {
		return nil, err
	}
	return entry, nil
}

func (entry *Entry) makeControl() error {
	process := entry.options.Settings
	random := rand.New(rand.NewPCG(entry.options.Seed, 0))
	options := supervisor.Options{Log: entry.options.Log, Events: &entry.registry.Events}
	var controller *control.Controller
	heartbeatTransport, err := instance.NewHeartbeatTransport(instance.Options{
		Address: process.PeerAddress,
		Keys:    process.Keys,
		Deliver: func(heartbeat instance.Heartbeat) { controller.HeartbeatReceived(heartbeat) },
		Events:  &entry.registry.Events,
		Guard:   entry.guard,
	})
	if err != nil {
		return err
	}
	reportReader := control.NewReportReader(entry.servers.ReadReport, func(request control.ReportRequest, report backendserver.Report, err error) {
		controller.ReportRead(request, report, err)
	})
	reportReader.Guard = entry.guard
	controller = control.NewController(control.Options{
		Name: process.Instance, DataCentre: process.DataCentre,
		Incarnation: instance.Incarnation(time.Now().UnixMilli()),
		Clock:       entry.clock, Rand: random, Servers: entry.servers, Registry: entry.registry, Log: entry.options.Log,
		Send: heartbeatTransport.Send, RequestReport: reportReader.Enqueue, Policy: entry.options.Policy,
	})
	watch := platform.WatchOptions{
		Client: platform.NewClient(process.Platform), Events: &entry.registry.Events, Log: entry.options.Log, Jitter: rand.Float64,
	}
	branch := supervisor.New("control", options)
	branch.Add(supervisor.Component{Name: "controller", Serve: controller.Serve})
	branch.Add(supervisor.Component{Name: "peers", Serve: heartbeatTransport.Serve})
	branch.Add(supervisor.Component{Name: "reports", Serve: reportReader.Serve})
	branch.Add(supervisor.Component{Name: "configuration", Serve: platform.NewConfigurationWatcher(watch, controller.DocumentRead).Serve})
	branch.Add(supervisor.Component{Name: "list", Serve: platform.NewInstanceListWatcher(watch, controller.ListRead).Serve})
	entry.controller = controller
	entry.heartbeatTransport = heartbeatTransport
	entry.control = branch
	entry.tree = supervisor.New("entry", options)
	entry.tree.AddTree(branch)
	return nil
}

func (entry *Entry) makeTraffic() error {
	process := entry.options.Settings
	traces := trace.NewRing(traceCapacity)
	entry.handler = caller.NewHandler(caller.Options{
		Table: entry.controller.Table, Servers: entry.servers, Registry: entry.registry, Traces: traces, Clock: entry.clock,
		Instance: process.Instance, MaxStall: process.Callers.MaxStall, Guard: entry.guard,
	})
	operators := operator.NewHandler(operator.Options{Status: entry.operatorStatus, Registry: entry.registry, Traces: traces})
	connections := caller.NewConnections(process.Callers, &entry.registry.Events)
	connections.Guard = entry.guard
	var err error
	entry.callers, err = httppart.New(caller.NewServer(entry.handler, process.Callers, &entry.registry.Events), process.CallerAddress,
		caller.NewListenFunc(process.Callers, connections, &entry.registry.Events))
	if err != nil {
		return err
	}
	operatorServer := &http.Server{
		Handler: httppart.NewGuardedHandler(entry.guard, "operators", operators), ReadHeaderTimeout: process.Callers.HeaderTimeout.Duration(),
	}
	entry.operators, err = httppart.New(operatorServer, process.OperatorAddress, httppart.NewListenFunc(httppart.ListenOptions{Guard: entry.guard}))
	if err != nil {
		return errors.CombineErrors(err, entry.callers.Close())
	}
	entry.callers.Guard, entry.operators.Guard = entry.guard, entry.guard
	branch := supervisor.New("traffic", supervisor.Options{Log: entry.options.Log, Events: &entry.registry.Events})
	branch.Add(supervisor.Component{Name: "callers", Serve: entry.callers.Serve})
	branch.Add(supervisor.Component{Name: "operators", Serve: entry.operators.Serve})
	entry.traffic = branch
	entry.tree.AddTree(branch)
	return nil
}

// Serve runs the instance until the context ends, which is not an error.
func (entry *Entry) Serve(ctx context.Context) error {
	defer entry.servers.Close()
	err := entry.tree.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// CallerAddress returns the listening address for callers.
func (entry *Entry) CallerAddress() string {
	return entry.callers.Address()
}

// OperatorAddress returns the listening address for operators.
func (entry *Entry) OperatorAddress() string {
	return entry.operators.Address()
}

// PeerAddress waits until the instance receives datagrams, and returns the address on which it does. It returns an error if
// the context ends first.
func (entry *Entry) PeerAddress(ctx context.Context) (netip.AddrPort, error) {
	return entry.heartbeatTransport.Address(ctx)
}

// Status returns the control state.
func (entry *Entry) Status(ctx context.Context) (control.Status, error) {
	return entry.controller.Status(ctx)
}

// operatorStatus returns the control state for the operators' interface.
func (entry *Entry) operatorStatus(ctx context.Context) (operator.Status, error) {
	status, err := entry.controller.Status(ctx)
	return operator.Status{Ready: status.Ready, Leaving: status.Leaving, Detail: status}, err
}

// Metrics returns the current values of all metrics.
func (entry *Entry) Metrics() metrics.View {
	return entry.registry.View()
}

// respondShare is the share of the drain's time limit within which every request is responded to.
const respondShare = 0.92

// Leave drains the instance. It first removes the instance from the addresses given to callers, stops listening after the
// addresses that callers cache have expired, and then waits for the requests in flight. Requests that cannot complete before
// the context's deadline get an error response shortly before it. Leave returns the context's error if the drain takes too
// long.
func (entry *Entry) Leave(ctx context.Context) error {
	addressLifetime := entry.addressCacheLifetime()
	if deadline, bounded := ctx.Deadline(); bounded {
		entry.handler.Drain(addressLifetime, respondShare*clock.Of(time.Until(deadline)))
	}
	if err := entry.controller.Leave(ctx); err != nil {
		return errors.Wrap(err, "leave")
	}
	select {
	case <-time.After(addressLifetime.Duration()):
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for cached addresses to expire")
	}
	err := entry.callers.Shutdown(ctx)
	if entry.handler.InFlight() == 0 {
		// The connections that are still open are idle.
		return nil
	}
	return errors.Wrap(err, "wait for requests in flight")
}

// addressCacheLifetime returns how long callers may still use this instance's address: the time for which they cache it, and
// two heartbeat intervals in which peers may still give it to them.
func (entry *Entry) addressCacheLifetime() clock.Milliseconds {
	table := entry.controller.Table()
	if table == nil {
		return 0
	}
	return table.Site.Fleet.AddressTTL + 2*table.Site.Fleet.HeartbeatInterval
}
