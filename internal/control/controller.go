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

// tickInterval is the interval at which the control goroutine runs its timed work.
const tickInterval = 25 * clock.Millisecond

// inboxLength is the number of events that may be queued for the control goroutine.
const inboxLength = 1024

// EventInboxFull counts datagrams and load reports that were dropped because the control goroutine's queue was full.
const EventInboxFull = "control.inboxFull"

// Options configures a Controller.
type Options struct {
	// Name and DataCentre identify this instance.
	Name       settings.InstanceName
	DataCentre settings.DataCentreName
	// Incarnation distinguishes this process from earlier ones with the same instance name.
	Incarnation instance.Incarnation
	Clock       *clock.Clock
	Rand        *rand.Rand
	Servers     *backendserver.Servers
	Registry    *metrics.Registry
	Log         zerolog.Logger
	// Policy selects targets. It is set only to measure a baseline policy.
	Policy service.Policy
	// Send sends a heartbeat to a peer.
	Send func(netip.AddrPort, instance.Heartbeat)
	// RequestReport requests a target's load report without blocking, and reports whether the request was accepted. The
	// result is passed to ReportRead.
	RequestReport func(ReportRequest) bool
}

// ReportRequest identifies a load report to read.
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

	started         clock.Moment
	lastTick        clock.Moment
	site            *settings.Site
	services        map[settings.ServiceName]*serviceState
	pendingServices map[settings.ServiceName]*settings.Service
	problems        map[string]string
	list            platform.InstanceList
	peers           map[settings.InstanceName]*peerState
	eligible        []routing.Instance
	// firstHeartbeat is when the first heartbeat of any peer was received, or 0.
	firstHeartbeat clock.Moment
	leaving        bool
	heartbeat      heartbeatState
}

// NewController returns a controller without settings, instances or peers.
func NewController(options Options) *Controller {
	return &Controller{
		options:         options,
		inbox:           make(chan event, inboxLength),
		started:         options.Clock.Now(),
		lastTick:        options.Clock.Now(),
		services:        map[settings.ServiceName]*serviceState{},
		pendingServices: map[settings.ServiceName]*settings.Service{},
		problems:        map[string]string{},
		peers:           map[settings.InstanceName]*peerState{},
	}
}

// Table returns the routing table in force, or nil if there are no settings yet.
func (controller *Controller) Table() *routing.Table {
	return controller.table.Load()
}

// Serve runs the control goroutine until the context ends, and returns the context's error.
func (controller *Controller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval.Duration())
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

// post queues the event, and blocks while the queue is full.
func (controller *Controller) post(ctx context.Context, arrived event) error {
	select {
	case controller.inbox <- arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryPost queues the event, or drops it if the queue is full. It is for events that are repeated at short intervals.
func (controller *Controller) tryPost(arrived event) {
	select {
	case controller.inbox <- arrived:
	default:
		controller.options.Registry.Events.Add(EventInboxFull, 1)
	}
}

// DocumentRead passes on a document of the configuration service. It blocks while the queue is full, and returns an error if
// the context ends.
func (controller *Controller) DocumentRead(ctx context.Context, key string, text []byte) error {
	return controller.post(ctx, documentRead{key: key, text: text})
}

// ListRead passes on a list of instances. It blocks while the queue is full, and returns an error if the context ends.
func (controller *Controller) ListRead(ctx context.Context, list platform.InstanceList) error {
	return controller.post(ctx, listRead{list: list})
}

// HeartbeatReceived passes on a peer's heartbeat. It never blocks.
func (controller *Controller) HeartbeatReceived(heartbeat instance.Heartbeat) {
	controller.tryPost(heartbeatReceived{heartbeat: heartbeat})
}

// ReportRead passes on a load report, or the error from reading it. It never blocks.
func (controller *Controller) ReportRead(request ReportRequest, report backendserver.Report, err error) {
	controller.tryPost(reportRead{service: request.Service, target: request.Target, report: report, err: err})
}

// Leave removes the instance from the addresses that this instance and its peers give to callers. Requests are still
// served. It returns an error if the context ends first.
func (controller *Controller) Leave(ctx context.Context) error {
	return controller.post(ctx, leaveRequested{})
}

func (leaveRequested) apply(controller *Controller) {
	controller.leaving = true
	controller.options.Log.Info().Msg("leaving: removed from callers' addresses, requests in flight continue")
	controller.publish()
	controller.sendHeartbeats(controller.options.Clock.Now(), true)
}

// tick runs the timed work: failure detection, heartbeats, warm-up and load reports of targets, idle connections.
func (controller *Controller) tick() {
	now := controller.options.Clock.Now()
	if controller.site == nil {
		return
	}
	controller.updateSuspicions(now)
	controller.sendHeartbeats(now, false)
	for _, state := range controller.services {
		controller.updateTargets(now, state)
		state.dispatcher.ReleaseExpiredPenalties()
	}
	if now.Since(controller.lastTick) > clock.Second {
		controller.lastTick = now
		controller.options.Servers.CloseIdle()
	}
}
