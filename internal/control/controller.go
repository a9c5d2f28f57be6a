package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// tickEvery is how often the control goroutine looks after what depends on time.
const tickEvery = 25 * clock.Millisecond

// inboxLength is how many events may wait for the control goroutine.
const inboxLength = 1024

// EventInboxFull counts datagrams and reports dropped because the control goroutine could not keep up.
const EventInboxFull = "control.inboxFull"

// Options are what a Controller is made from.
type Options struct {
	// Name and DataCentre are this instance's own.
	Name       settings.InstanceName
	DataCentre settings.DataCentreName
	// Incarnation tells this run from earlier ones of the same name.
	Incarnation instance.Incarnation
	Clock       *clock.Clock
	Rand        *rand.Rand
	Servers     *backendserver.Servers
	Registry    *metrics.Registry
	Log         zerolog.Logger
	// Policy is how targets are chosen; it is left empty unless a baseline is measured.
	Policy service.Policy
	// Send sends a heartbeat to a peer.
	Send func(netip.AddrPort, instance.Heartbeat)
	// RequestReport asks for a target's load report without blocking, and reports whether it was taken. The answer comes
	// through ReportRead.
	RequestReport func(ReportRequest) bool
}

// ReportRequest names a load report to read.
type ReportRequest struct {
	Service settings.ServiceName
	Target  settings.TargetName
	Path    string
}

// Controller owns an instance's control state. Its methods are safe for concurrent use; its fields below the inbox
// belong to the goroutine that runs Serve.
type Controller struct {
	options Options
	table   atomic.Pointer[routing.Table]
	inbox   chan event

	started  clock.Moment
	lastTick clock.Moment
	site     *settings.Site
	services map[settings.ServiceName]*serviceState
	early    map[settings.ServiceName]*settings.Service
	problems map[string]string
	list     platform.List
	peers    map[settings.InstanceName]*peerState
	eligible []routing.Instance
	// firstHeard is when a peer was first heard, 0 before.
	firstHeard clock.Moment
	leaving    bool
	heartbeat  heartbeatState
}

// NewController returns a controller that knows nothing yet.
func NewController(options Options) *Controller {
	return &Controller{
		options:  options,
		inbox:    make(chan event, inboxLength),
		started:  options.Clock.Now(),
		lastTick: options.Clock.Now(),
		services: map[settings.ServiceName]*serviceState{},
		early:    map[settings.ServiceName]*settings.Service{},
		problems: map[string]string{},
		peers:    map[settings.InstanceName]*peerState{},
	}
}

// Table returns the table in force, or nil before there are settings.
func (controller *Controller) Table() *routing.Table {
	return controller.table.Load()
}

// Serve runs the control goroutine until the context ends.
func (controller *Controller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case arrived := <-controller.inbox:
			arrived.apply(controller)
		case <-ticker.C:
			controller.tick()
		}
	}
}

// post waits until the event is taken.
func (controller *Controller) post(ctx context.Context, arrived event) error {
	select {
	case controller.inbox <- arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// offer drops the event when the control goroutine can't keep up: what it speaks of is soon said again.
func (controller *Controller) offer(arrived event) {
	select {
	case controller.inbox <- arrived:
	default:
		controller.options.Registry.Events.Add(EventInboxFull, 1)
	}
}

// DocumentRead takes a document of the configuration service.
func (controller *Controller) DocumentRead(ctx context.Context, key string, text []byte) error {
	return controller.post(ctx, documentRead{key: key, text: text})
}

// ListRead takes a list of instances.
func (controller *Controller) ListRead(ctx context.Context, list platform.List) error {
	return controller.post(ctx, listRead{list: list})
}

// HeartbeatReceived takes a peer's datagram. It never blocks.
func (controller *Controller) HeartbeatReceived(heartbeat instance.Heartbeat) {
	controller.offer(heartbeatReceived{heartbeat: heartbeat})
}

// ReportRead takes a load report, or the failure to read it. It never blocks.
func (controller *Controller) ReportRead(request ReportRequest, report backendserver.Report, err error) {
	controller.offer(reportRead{service: request.Service, target: request.Target, report: report, err: err})
}

// Leave takes the instance out of address answers, here and at its peers. Requests are served as before.
func (controller *Controller) Leave(ctx context.Context) error {
	return controller.post(ctx, leaveAsked{})
}

func (leaveAsked) apply(controller *Controller) {
	controller.leaving = true
	controller.options.Log.Info().Msg("leaving: out of address answers, requests under way go on")
	controller.publish()
	controller.sendHeartbeats(controller.options.Clock.Now(), true)
}

// tick looks after everything that depends on time.
func (controller *Controller) tick() {
	now := controller.options.Clock.Now()
	if controller.site == nil {
		return
	}
	controller.reviewPeers(now)
	controller.sendHeartbeats(now, false)
	for _, state := range controller.services {
		controller.tendTargets(now, state)
		state.dispatcher.Sweep()
	}
	if now.Since(controller.lastTick) > clock.Second {
		controller.lastTick = now
		controller.options.Servers.CloseIdle()
	}
}
