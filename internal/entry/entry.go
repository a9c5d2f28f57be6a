// Package entry puts the parts of one entry instance together and runs them as a tree.
//
// # Usage
//
//	instance, err := entry.New(entry.Options{Settings: process, Log: log})
//	go instance.Serve(ctx)
//	...
//	instance.Leave(ctx) // returns when no request is under way any more
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

// storiesKept is how many requests explain can tell of.
const storiesKept = 4096

// Options are what an Entry is made from.
type Options struct {
	Settings *settings.Process
	Log      zerolog.Logger
	// Seed makes the instance's random choices repeatable; 0 takes a random one.
	Seed uint64
	// Policy is how targets are chosen; it is left empty unless a baseline is measured.
	Policy service.Policy
}

// Entry is one entry instance.
type Entry struct {
	options    Options
	clock      *clock.Clock
	registry   *metrics.Registry
	servers    *backendserver.Servers
	controller *control.Controller
	plane      *instance.Plane
	handler    *caller.Handler
	tree       *supervisor.Tree
	control    *supervisor.Tree
	traffic    *supervisor.Tree
	callers    *httppart.Part
	operators  *httppart.Part
}

// New binds the addresses for callers and operators and makes every part; nothing runs until Serve.
func New(options Options) (*Entry, error) {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	entry := &Entry{options: options, clock: clock.New(), registry: metrics.NewRegistry()}
	entry.servers = backendserver.NewServers(entry.clock)
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
	plane, err := instance.NewPlane(instance.Options{
		Address: process.PeerAddress,
		Keys:    process.Keys,
		Deliver: func(heartbeat instance.Heartbeat) { controller.HeartbeatReceived(heartbeat) },
		Events:  &entry.registry.Events,
	})
	if err != nil {
		return err
	}
	reporter := control.NewReporter(entry.servers.ReadReport, func(request control.ReportRequest, report backendserver.Report, err error) {
		controller.ReportRead(request, report, err)
	})
	controller = control.NewController(control.Options{
		Name: process.Instance, DataCentre: process.DataCentre,
		Incarnation: instance.Incarnation(time.Now().UnixMilli()),
		Clock:       entry.clock, Rand: random, Servers: entry.servers, Registry: entry.registry, Log: entry.options.Log,
		Send: plane.Send, AskReport: reporter.Ask, Policy: entry.options.Policy,
	})
	watch := platform.WatchOptions{
		Client: platform.NewClient(process.Platform), Events: &entry.registry.Events, Log: entry.options.Log, Jitter: rand.Float64,
	}
	branch := supervisor.New("control", options)
	branch.Add(supervisor.Part{Name: "controller", Serve: controller.Serve})
	branch.Add(supervisor.Part{Name: "peers", Serve: plane.Serve})
	branch.Add(supervisor.Part{Name: "reports", Serve: reporter.Serve})
	branch.Add(supervisor.Part{Name: "configuration", Serve: platform.NewConfigurationWatcher(watch, controller.DocumentRead).Serve})
	branch.Add(supervisor.Part{Name: "list", Serve: platform.NewListWatcher(watch, controller.ListRead).Serve})
	entry.controller = controller
	entry.plane = plane
	entry.control = branch
	entry.tree = supervisor.New("entry", options)
	entry.tree.AddTree(branch)
	return nil
}

func (entry *Entry) makeTraffic() error {
	process := entry.options.Settings
	traces := trace.NewRing(storiesKept)
	entry.handler = caller.NewHandler(caller.Options{
		Table: entry.controller.Table, Servers: entry.servers, Registry: entry.registry, Traces: traces, Clock: entry.clock,
		Instance: process.Instance, MaxStall: process.Callers.MaxStall,
	})
	operators := operator.NewHandler(operator.Options{Status: entry.operatorStatus, Registry: entry.registry, Traces: traces})
	var err error
	entry.callers, err = httppart.New(caller.NewServer(entry.handler, process.Callers, &entry.registry.Events), process.CallerAddress,
		caller.NewListenFunc(process.Callers, &entry.registry.Events))
	if err != nil {
		return err
	}
	entry.operators, err = httppart.New(&http.Server{Handler: operators, ReadHeaderTimeout: process.Callers.HeaderTimeout.Duration()},
		process.OperatorAddress, httppart.Listen)
	if err != nil {
		return errors.CombineErrors(err, entry.callers.Close())
	}
	branch := supervisor.New("traffic", supervisor.Options{Log: entry.options.Log, Events: &entry.registry.Events})
	branch.Add(supervisor.Part{Name: "callers", Serve: entry.callers.Serve})
	branch.Add(supervisor.Part{Name: "operators", Serve: entry.operators.Serve})
	entry.traffic = branch
	entry.tree.AddTree(branch)
	return nil
}

// Serve runs the instance until the context ends.
func (entry *Entry) Serve(ctx context.Context) error {
	defer entry.servers.Close()
	err := entry.tree.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// CallerAddress is where callers connect.
func (entry *Entry) CallerAddress() string {
	return entry.callers.Address()
}

// OperatorAddress is where operators read.
func (entry *Entry) OperatorAddress() string {
	return entry.operators.Address()
}

// PeerAddress waits until datagrams are taken and returns where.
func (entry *Entry) PeerAddress(ctx context.Context) (netip.AddrPort, error) {
	return entry.plane.Address(ctx)
}

// Status returns the control state.
func (entry *Entry) Status(ctx context.Context) (control.Status, error) {
	return entry.controller.Status(ctx)
}

// operatorStatus returns the control state as operators read it.
func (entry *Entry) operatorStatus(ctx context.Context) (operator.Status, error) {
	status, err := entry.controller.Status(ctx)
	return operator.Status{Ready: status.Ready, Leaving: status.Leaving, Detail: status}, err
}

// Metrics returns what is counted and measured.
func (entry *Entry) Metrics() metrics.View {
	return entry.registry.View()
}

// answerShare is the part of the time for leaving within which every request is answered.
const answerShare = 0.92

// Leave takes the instance out of service: first out of address answers, then, when the answers that callers keep have lapsed, closed to
// new connections, and at last it waits until the requests under way have ended. What can't end before the context does is answered
// shortly before. The error is the context's when that took too long.
func (entry *Entry) Leave(ctx context.Context) error {
	lapse := entry.answersLapse()
	if deadline, bounded := ctx.Deadline(); bounded {
		entry.handler.Drain(lapse, answerShare*clock.Of(time.Until(deadline)))
	}
	if err := entry.controller.Leave(ctx); err != nil {
		return errors.Wrap(err, "leave")
	}
	select {
	case <-time.After(lapse.Duration()):
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for address answers to lapse")
	}
	err := entry.callers.Shutdown(ctx)
	if entry.handler.InFlight() == 0 {
		// Connections that are still open have nothing more to bring.
		return nil
	}
	return errors.Wrap(err, "wait for requests under way")
}

// answersLapse is how long callers may still come by an answer that was given before everyone knew.
func (entry *Entry) answersLapse() clock.Milliseconds {
	table := entry.controller.Table()
	if table == nil {
		return 0
	}
	return table.Site.Fleet.AddressTTL + 2*table.Site.Fleet.HeartbeatInterval
}
