package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Intervals and timeouts of the control loop.
const (
	// servingTickInterval is the interval at which an instance that serves or has just started checks its queued requests and
	// its peers, standbyTickInterval that of all other instances.
	servingTickInterval = 10 * clock.Millisecond
	standbyTickInterval = 50 * clock.Millisecond
	// minSharedValidity is the shortest remaining validity with which a load reading is still sent.
	minSharedValidity = 12 * clock.Millisecond
	// learningProbePause is the pause between probes of a target whose slowdown cycle is not known yet.
	learningProbePause = 30 * clock.Millisecond
	// busyProbePause and idleProbePause are the pauses between probes of a target whose service is in use or idle,
	// unusedProbePause that of a target which receives no requests at present.
	busyProbePause   = 45 * clock.Millisecond
	idleProbePause   = 400 * clock.Millisecond
	unusedProbePause = 250 * clock.Millisecond
	// serviceBusyWindow is how recently a service must have been used to count as in use.
	serviceBusyWindow = 2 * clock.Second
	// unrequestedProbeDelay is how long an instance that has begun to serve probes only the targets of services that callers
	// request. When a whole fleet restarts at once, most of its instances serve for a moment, because none of them knows of
	// the others yet. If each probed every backend server, they would open hundreds of thousands of connections, and small
	// instances would have no processor time left for callers.
	unrequestedProbeDelay = clock.Second
	// leaderlessTimeoutNext is how long an instance that is next to serve waits for a serving instance with a fresh view
	// before it reads the store itself. It is longer than a takeover by another instance takes, and shorter than the time
	// limits that apply to instances that read the store. leaderlessTimeoutOthers is the timeout of all other instances: they
	// receive the view that the next one reads, and hundreds of calls to a store that is down help no caller.
	leaderlessTimeoutNext   = 600 * clock.Millisecond
	leaderlessTimeoutOthers = 12 * clock.Second
	// doubtDelay is how long a serving instance may report that it gets no answers of the store before one that is next to serve reads
	// the store as well. An instance that has just begun to serve has no answer yet. After doubtPeriod, the watches of all other
	// serving instances have ended, and only if none of them gets answers does it continue.
	doubtDelay  = 100 * clock.Millisecond
	doubtPeriod = 2600 * clock.Millisecond
	// turnInterval is the time after which the next instance of a data centre tries to read the store while those before it get no
	// answers, turnLength how long it tries. Of each data centre maxTurns instances try: if the store answers none of them, it is more
	// likely down than selective, and calls are charged.
	turnInterval = 350 * clock.Millisecond
	turnLength   = 700 * clock.Millisecond
	maxTurns     = 5
	// silentLeadersTimeout is how long all serving instances with a fresh view may be silent before a standby instance reads
	// the store itself. Each of them sends it a message once a second. They count as lost only after 3.2 s of silence, but a
	// server that leaves must receive no requests after 2 s.
	silentLeadersTimeout = 1500 * clock.Millisecond
	// firstStartReadDelay is how long an instance waits for a view of another instance before it reads the store itself, when
	// a whole fleet starts for the first time. Seeds read the store at once, but there may be no configuration yet, and a view without a
	// configuration is of no use to other instances. Callers arrive some seconds later.
	firstStartReadDelay = 3 * clock.Second
	// restartReadDelayNext is how long a restarted instance that is next to serve waits for a fresh view of a serving instance
	// before it reads the store itself, restartReadDelayOthers is the delay of any other restarted instance. Callers that
	// arrive meanwhile are served with the state that the store held some seconds ago.
	restartReadDelayNext   = clock.Second
	restartReadDelayOthers = 2500 * clock.Millisecond
	// tableWaitTimeout is how long a request waits at an instance that has no routes yet, staleReadInterval the minimum
	// interval between two stale reads of the store on behalf of such requests.
	tableWaitTimeout  = 150 * clock.Millisecond
	staleReadInterval = 500 * clock.Millisecond
	// storeFailurePeerReadInterval is the minimum interval between two reads of a peer's view while the store refuses the calls
	// of this instance.
	storeFailurePeerReadInterval = 200 * clock.Millisecond
	// recomputeInterval is the minimum interval between two computations of everything because a part has panicked.
	recomputeInterval = clock.Second
	// peerReadInterval is the minimum interval between two reads of a peer's view for changes of backend servers only. A standby
	// instance sends next to no requests, and changes come in bursts.
	peerReadInterval = clock.Second
	// suspendThreshold is the time from which the machine counts as having been suspended: the difference between the times
	// that have passed on BootClock and on Clock since the last tick.
	suspendThreshold = 300 * clock.Millisecond
	// behindTimeout is how long a peer may have a newer revision before this instance catches up: its own watch has gone
	// silent.
	behindTimeout = 700 * clock.Millisecond
	// versionBehindTimeout replaces behindTimeout for a newer configuration, in which keys may have been revoked. It is longer
	// than the pause that a reader makes after changes.
	versionBehindTimeout = 380 * clock.Millisecond
)

// maxRateShareFactor is the factor that, multiplied by the visible fraction of the fleet, gives the share of a cold server's
// limit that this instance may use. After a network partition each part of the fleet has an owner for every server, and the
// parts cannot reach each other, but their visible fractions add up to at most the whole fleet. Together they stay below 1.5
// times 0.8 of the limit plus one request for each part. Up to a third of the fleet may be gone before servers warm up more
// slowly because of it.
const maxRateShareFactor = 1.5

// standbyRateShare is the share of a server's limit that an instance which does not serve expects to borrow at most, for the waits of its
// requests. It sends nothing to cold servers.
const standbyRateShare = 0.25

// inboxLength is how many events may wait for the control goroutine.
const inboxLength = 256

// Names of the events that the control loop counts.
const (
	EventInboxFull = "control.inboxFull"
	EventSuspended = "control.frozen"
	EventBehind    = "control.behind"
)

// Controller owns the control state of an instance. Its methods are safe for concurrent use; the fields from members on belong
// to the goroutine that runs Serve.
type Controller struct {
	options       Options
	catalogReader CatalogReader
	table         atomic.Pointer[routing.Table]
	book          atomic.Pointer[addressBook]
	// tableSet is closed and replaced when a table comes into force.
	tableSet atomic.Pointer[chan struct{}]
	ready    atomic.Bool
	// lateness is the current value of Lateness in whole milliseconds.
	lateness atomic.Int64
	// minProbePause is the minimum pause between two probes of a target in whole milliseconds, so that all probes together leave enough
	// processor time for requests.
	minProbePause atomic.Int64
	inbox         chan event
	// staleMutex guards nextStaleRead, the earliest time at which a request may trigger the next stale read.
	staleMutex    sync.Mutex
	nextStaleRead clock.Moment

	// latestReadings are the newest readings of owned targets that have not been sent to peers yet, guarded by latestMutex.
	latestMutex    sync.Mutex
	latestReadings map[settings.TargetName]ownReading

	members       *membership.Members
	view          *catalog.View
	viewAppliedAt clock.Moment
	history       *catalog.History
	role          catalog.Role
	// readReason is why this instance reads the store.
	readReason      readReason
	leaderlessSince clock.Moment
	// versionSince is when the version in force came into force.
	versionSince clock.Moment
	// unanswered is the number of serving instances that get no answers of the store, which last increased at unansweredSince.
	unanswered      int
	unansweredSince clock.Moment
	// turnsSince is when the instances that do not serve next began to read in turn.
	turnsSince clock.Moment
	started    clock.Moment
	// servingSince is when this instance last began to serve.
	servingSince             clock.Moment
	isSeed                   bool
	nextStoreFailurePeerRead clock.Moment
	services                 map[settings.ServiceName]*serviceState
	targets                  map[TargetKey]targetRef
	knownServers             map[settings.TargetName]catalog.Server
	// owned are the servers that this instance owns.
	owned map[settings.TargetName]bool
	// serving are the instances for which owners and addresses were last computed.
	serving          []membership.Identity
	nextReadingShare clock.Moment
	// declarationReporters are the instances that have reported requests to limited servers, with the time of the last report.
	declarationReporters  map[membership.Incarnation]clock.Moment
	nextDeclarationReport clock.Moment
	lending               lendingState
	teams                 teamState
	nextIdleClose         clock.Moment
	behindSince           clock.Moment
	bootClockSkew         clock.Milliseconds
	// membershipDirty reports that heartbeats since the last tick brought changes that have to be passed on to other
	// instances.
	membershipDirty bool
	nextTick        clock.Moment
	// lateTickAt is when the last tick ran that was late by lateTickEffect or more, lateTickBy how late it was.
	lateTickAt clock.Moment
	lateTickBy clock.Milliseconds
	loadMeter  loadMeter
	// relieved are the serving instances that address answers leave out because they can do no more.
	relieved []settings.InstanceName
	// refusesConnections means that requests were refused lately because too many connections of callers are open.
	refusesConnections bool
	downLog            downLog
	coldLog            coldLog
	reach              reachState
	// routes are those of the table in force, and entries what they were made into.
	routes  []catalog.Route
	entries []*routing.Entry
	// incomplete means that work of the control goroutine has panicked, and nextRecompute is when everything is next computed because of it.
	incomplete    bool
	nextRecompute clock.Moment
	// relayPeersSet is whether instances for relayed requests have been set, nextRelayPeers when they are next set.
	relayPeersSet  bool
	nextRelayPeers clock.Moment
}

type targetRef struct {
	service settings.ServiceName
	name    settings.TargetName
}

// serviceState is the state of a service that is kept while configurations change.
type serviceState struct {
	scheduler *service.Scheduler
	budget    *service.RetryBudget
	settings  *settings.Service
	limits    catalog.ServiceLimits
	// maxConnections is this instance's share of the connections to one server, which connectionLimit returns.
	maxConnections  atomic.Int64
	connectionLimit func() int
}

// NewController returns a controller that has no view of the catalog yet.
func NewController(options Options) *Controller {
	controller := &Controller{
		options:        options,
		inbox:          make(chan event, inboxLength),
		latestReadings: map[settings.TargetName]ownReading{},
		members: membership.New(membership.Options{
			Self: options.Self, Incarnation: options.Incarnation, Seeds: options.Seeds, Clock: options.Clock,
		}),
		history: catalog.NewHistory(), declarationReporters: map[membership.Incarnation]clock.Moment{},
		teams:         teamState{reporters: map[membership.Incarnation]clock.Moment{}},
		lending:       lendingState{received: map[membership.Incarnation]loanSequence{}},
		services:      map[settings.ServiceName]*serviceState{},
		targets:       map[TargetKey]targetRef{},
		knownServers:  map[settings.TargetName]catalog.Server{},
		bootClockSkew: bootClockSkew(options), started: options.Clock.Now(),
		isSeed: slices.ContainsFunc(options.Seeds, func(seed netip.AddrPort) bool { return seed.String() == options.Self.Peer }),
	}
	controller.loadMeter = newLoadMeter(options)
	controller.reach = newReachState(options)
	controller.coldLog.logged = map[settings.TargetName]service.Source{}
	controller.downLog.logged = map[settings.ServiceName]service.DownTargets{}
	controller.teams.keyStatus.Store(int32(team.KeysUnverified))
	tableSet := make(chan struct{})
	controller.tableSet.Store(&tableSet)
	return controller
}

// SetCatalogReader sets the catalog reader; it must be called before Serve.
func (controller *Controller) SetCatalogReader(catalogReader CatalogReader) {
	controller.catalogReader = catalogReader
}

// Serve runs the control goroutine until the context ends.
func (controller *Controller) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case arrived := <-controller.inbox:
			controller.isolate("control event", func() { arrived(controller) })
			if controller.advanceTick() {
				timer.Reset(servingTickInterval.Duration())
			}
		case <-timer.C:
			controller.isolate("control tick", controller.tick)
			timer.Reset(controller.nextTick.Since(controller.options.Clock.Now()).Duration())
		}
	}
}

// isolate does a part of the control goroutine's work. If it panics, the rest is still done, and everything is soon computed again from the
// view, since the part may have been done in half.
func (controller *Controller) isolate(component string, work func()) {
	if controller.options.Guard.Run(component, work) != nil {
		controller.incomplete = true
	}
}

// event is work that the control goroutine executes.
type event func(*Controller)

// post waits until the inbox accepts the event.
func (controller *Controller) post(ctx context.Context, arrived event) error {
	select {
	case controller.inbox <- arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetView passes a newly read view of the catalog to the control goroutine. The error is that of the context.
func (controller *Controller) SetView(ctx context.Context, view catalog.View) error {
	return controller.post(ctx, func(controller *Controller) { controller.applyView(&view) })
}

// RecordProbe records the result of a probe. The prober calls it on its own goroutines.
func (controller *Controller) RecordProbe(result sensing.Result) {
	table := controller.table.Load()
	if table == nil {
		return
	}
	entry, known := table.Service(result.Service)
	if !known {
		return
	}
	if result.Verification {
		controller.recordVerification(entry.Scheduler, result)
		return
	}
	controller.reach.tracker.RecordProbe(result.Target, result.Err == nil)
	result.Health.LoadReading.Source = service.FromProbe
	if result.Err == nil {
		entry.Scheduler.Observe(result.Target, result.Health.LoadReading)
		if change := entry.Scheduler.ObserveStatement(result.Target, result.Started, result.Health.Statement); change.Changed() {
			controller.RecordStatement(change)
		}
	}
	controller.setDown(entry.Scheduler, result.Target, result.Down, service.FromProbe)
	controller.latestMutex.Lock()
	defer controller.latestMutex.Unlock()
	if result.Err == nil || result.Down {
		controller.latestReadings[result.Target] = ownReading{reading: result.Health.LoadReading, down: result.Down}
	}
}

// SetSettings applies the settings that may change while the instance runs.
func (controller *Controller) SetSettings(ctx context.Context, seeds []netip.AddrPort, bounds settings.GatewayBounds) error {
	return controller.post(ctx, func(controller *Controller) {
		controller.options.Bounds = bounds
		controller.members.SetSeeds(seeds)
		controller.publish()
	})
}

// Leave removes the instance from the address answers, here and at its peers. Requests are served as before.
func (controller *Controller) Leave(ctx context.Context) error {
	return controller.post(ctx, func(controller *Controller) {
		controller.options.Log.Info().Msg("leaving: removed from address answers, requests in flight continue")
		controller.members.SetState(membership.Leaving)
		controller.sendHeartbeats()
		controller.publish()
	})
}
