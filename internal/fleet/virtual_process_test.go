package fleet

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// process is one run of an instance: a controller that is driven step by step, and a catalog reader with a goroutine of its
// own.
type process struct {
	loadGenerator

	fleet   *virtualFleet
	machine *machine
	cancel  context.CancelFunc
	done    chan struct{}
	started clock.Moment

	// gate is nil unless the process is frozen; calls of the reader wait until it is closed. It is guarded by the mutex of the
	// fleet.
	gate        chan struct{}
	frozenUntil clock.Moment
	suspends    bool
	frozenAt    clock.Moment
	// suspended is the time, in whole steps, that the clock of the process did not count.
	suspended atomic.Int64

	nextProbe clock.Moment
	// checking are the servers to which the process is connecting, with the time at which the result is known.
	checking map[settings.TargetName]clock.Moment
	// processorTime is the processor time that the process has used.
	processorTime clock.Milliseconds
	// leftAt is when Leave was called, leavesAt when the process ends because of that.
	leftAt, leavesAt clock.Moment
	// version and revision are the newest that the process has had in force.
	version  catalog.Version
	revision catalog.Revision
	// waiting are the requests that wait for a server, one of each service at most, and verifying the single probes under way, with the
	// time at which their result is known.
	waiting   map[settings.ServiceName]*service.PendingPermit
	verifying map[settings.TargetName]pendingVerification
	// toldLimit is when a server first named its limit to the process.
	toldLimit map[serverProcess]clock.Moment
	// rests are the rests for which servers have asked the process.
	rests map[serverProcess]*restState
	// toldLeaving is when a server first said to the process that it leaves.
	toldLeaving map[serverProcess]clock.Moment
}

// halfCallTime is half the duration of a call of a reader.
const halfCallTime = 2 * clock.Millisecond

func newProcess(fleet *virtualFleet, machine *machine, first bool) *process {
	process := &process{
		fleet: fleet, machine: machine, started: fleet.clock.Now(), leavesAt: never, done: make(chan struct{}),
		checking: map[settings.TargetName]clock.Moment{},
		waiting:  map[settings.ServiceName]*service.PendingPermit{}, verifying: map[settings.TargetName]pendingVerification{},
		toldLimit: map[serverProcess]clock.Moment{}, rests: map[serverProcess]*restState{}, toldLeaving: map[serverProcess]clock.Moment{},
	}
	random := rand.New(rand.NewPCG(fleet.random.Uint64(), 1))
	own := &clock.Clock{Now: func() clock.Moment { return process.time(fleet.clock.Now()) }}
	registry := metrics.NewRegistry()
	process.controller = NewController(Options{
		Self: machine.identity, Incarnation: membership.Incarnation(random.Uint64()), Clock: own, BootClock: fleet.clock,
		Rand: rand.New(rand.NewPCG(random.Uint64(), 1)), Seeds: fleet.seeds(), Servers: backendserver.NewServers(own), Registry: registry,
		Log: zerolog.Nop(), Bounds: settings.GatewayBounds{ProbesPerSecond: 60, MaxAddressTTL: 5000}, FleetStarts: first,
		Send:    func(to netip.AddrPort, text []byte) { fleet.send(machine, to, text) },
		SetJobs: func(jobs []sensing.Job) { process.jobs = jobs }, CheckConnection: process.checkConnection,
		ProcessorTime: func() clock.Milliseconds { return process.processorTime },
	})
	if fleet.options.statements {
		process.controller.options.Verify = process.verify
	}
	reader := catalog.NewReader(catalog.Options{
		Source: fleet.store.source(process), FetchFromPeer: process.fetchFromPeer, Publish: process.controller.SetView,
		Clock: own, Events: new(expvar.Map).Init(), Log: zerolog.Nop(), Jitter: rand.New(rand.NewPCG(random.Uint64(), 2)).Float64,
	})
	process.controller.SetCatalogReader(CatalogReader{
		SetRole: reader.SetRole, SetPhase: reader.SetPhase, SetPeerRevision: reader.SetPeerRevision, Refresh: reader.Refresh, CatchUp: reader.CatchUp,
		ReadStale:    reader.ReadStale,
		LastResponse: reader.LastResponse, Failing: reader.Failing, PeerFailing: reader.PeerFailing,
	})
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	go func() {
		defer close(process.done)
		_ = reader.Serve(ctx)
	}()
	return process
}

// stop ends the process; its reader ends on its own goroutine.
func (process *process) stop() {
	process.cancel()
	if process.gate != nil {
		close(process.gate)
		process.gate = nil
	}
}

// time returns the time of the process's own clock.
func (process *process) time(now clock.Moment) clock.Moment {
	if process.fleet.options.ownClocks {
		now = now.Add(-clock.Milliseconds(process.started) + virtualStep)
	}
	return now.Add(-clock.Milliseconds(process.suspended.Load()) * virtualStep)
}

func (process *process) frozen(now clock.Moment) bool {
	return now < process.frozenUntil
}

// freeze stops the process. The clock of a suspended machine stops as well.
func (process *process) freeze(now clock.Moment, length clock.Milliseconds, suspends bool) {
	if process.gate != nil {
		return
	}
	process.gate = make(chan struct{})
	process.frozenAt, process.frozenUntil, process.suspends = now, now.Add(length), suspends
}

func (process *process) thaw(now clock.Moment) {
	if process.suspends {
		process.suspended.Add(int64(now.Since(process.frozenAt) / virtualStep))
	}
	close(process.gate)
	process.gate = nil
}

// awaitCall waits while the process is frozen, and for the given part of a call. An offset for each machine makes sure that no
// two processes end a call at the same time.
func (process *process) awaitCall(ctx context.Context, length clock.Milliseconds) error {
	offset := clock.Milliseconds(process.machine.number+1) * clock.Millisecond / 1000
	err := sleep(ctx, length+offset)
	for {
		process.fleet.mutex.Lock()
		gate := process.gate
		process.fleet.mutex.Unlock()
		if gate == nil {
			return err
		}
		<-gate
	}
}

var errNoResponse = errors.New("no response from a peer")

// fetchFromPeer reads the catalog of a peer, as the gateway does over HTTP.
func (process *process) fetchFromPeer(ctx context.Context, after catalog.Revision) (catalog.Update, error) {
	if err := process.awaitCall(ctx, halfCallTime); err != nil {
		return catalog.Update{}, err
	}
	return process.controller.FetchFromPeer(ctx, after, process.requestUpdate)
}

func (process *process) requestUpdate(ctx context.Context, address netip.AddrPort, after catalog.Revision) (catalog.Update, error) {
	if err := process.awaitCall(ctx, halfCallTime); err != nil {
		return catalog.Update{}, err
	}
	peer, reached := process.reach(address)
	if !reached {
		<-ctx.Done()
		return catalog.Update{}, ctx.Err()
	}
	if peer == nil {
		return catalog.Update{}, errNoResponse
	}
	update, err := peer.controller.UpdateSince(ctx, after)
	if awaitErr := process.awaitCall(ctx, halfCallTime); awaitErr != nil {
		return catalog.Update{}, awaitErr
	}
	return update, err
}

// reach returns the process at an address, or nil if the machine refuses the connection. The result is false if the path to
// the machine is cut.
func (process *process) reach(address netip.AddrPort) (*process, bool) {
	fleet := process.fleet
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	machine, known := fleet.byAddress[address]
	if !known || machine.identity.Peer != address.String() || fleet.network.cut(process.machine, machine) || fleet.network.cut(machine, process.machine) {
		return nil, false
	}
	return machine.process, true
}

// useProcessor adds the processor time that the process needs for its part of the load in one step.
func (process *process) useProcessor(now clock.Moment) {
	if process.fleet.options.load == nil || process.controller.members.State() != membership.Serving {
		return
	}
	serving := 0
	for _, count := range process.fleet.checks.serving(now) {
		serving += count
	}
	share := process.fleet.options.load(now) / float64(max(serving, 1))
	process.processorTime += virtualStep * clock.Milliseconds(min(share, float64(process.machine.identity.Size))/millicores)
}

// connectTime is the time until the result of an attempt to connect to a server is known.
const (
	connectTime       = virtualStep
	failedConnectTime = 250 * clock.Millisecond
)

func (process *process) checkConnection(name settings.TargetName) {
	length := connectTime
	if process.fleet.unreachable(process.machine, process.fleet.clock.Now()) {
		length = failedConnectTime
	}
	process.checking[name] = process.fleet.clock.Now().Add(length)
}

// finishChecks passes on the results of attempts to connect.
func (process *process) finishChecks(now clock.Moment) {
	for name, at := range process.checking {
		if now >= at {
			delete(process.checking, name)
			process.controller.RecordConnect(name, !process.fleet.unreachable(process.machine, now))
		}
	}
}

// pendingVerification is a single probe of a server.
type pendingVerification struct {
	job sensing.Job
	at  clock.Moment
}

// verify probes a server once, as an instance does that has no readings of its owner.
func (process *process) verify(job sensing.Job) {
	process.verifying[job.Target] = pendingVerification{job: job, at: process.fleet.clock.Now().Add(connectTime)}
}

// finishVerifications passes on the results of single probes, which show warm servers.
func (process *process) finishVerifications(now clock.Moment) {
	for name, verification := range process.verifying {
		if now < verification.at {
			continue
		}
		delete(process.verifying, name)
		process.controller.RecordProbe(sensing.Result{
			Service: verification.job.Service, Target: name, Started: verification.job.Started, Verification: true,
			Health: sensing.Health{Healthy: true, LoadReading: warmReading(process.time(now))},
		})
	}
}

// failConnections records that requests could not be sent.
func (process *process) failConnections(names []settings.TargetName) {
	for _, name := range names {
		process.controller.RecordConnect(name, false)
	}
}

// failProbes records the probes of a process that cannot reach the servers.
func (process *process) failProbes() {
	for _, job := range process.jobs {
		process.controller.RecordProbe(sensing.Result{Service: job.Service, Target: job.Target, Down: true, Err: errNoResponse})
	}
}

func (process *process) tick(now clock.Moment) {
	process.useProcessor(now)
	process.finishChecks(now)
	process.finishVerifications(now)
	process.controller.advanceTick()
	if process.time(now) >= process.controller.nextTick {
		process.controller.tick()
	}
	if now >= process.nextProbe {
		process.nextProbe = now.Add(ownedInterval)
		if process.fleet.unreachable(process.machine, now) {
			process.failProbes()
		} else if process.fleet.options.statements {
			process.fleet.checks.statements.probe(process, process.time(now))
		} else {
			process.probe(process.time(now))
		}
	}
}
