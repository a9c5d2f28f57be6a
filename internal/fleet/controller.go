package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Times of control.
const (
	// tickServing is how often an instance that serves or has just started looks after waiting requests and its peers, tickStandby
	// how often the others do.
	tickServing = 10 * clock.Millisecond
	tickStandby = 50 * clock.Millisecond
	// shareEvery is how often readings are told to the other serving instances: a tenth of a spell later they hold
	// nearly as long.
	shareEvery = 25 * clock.Millisecond
	// worthTelling is how long a reading must still hold to be told.
	worthTelling = 12 * clock.Millisecond
	// probeLearning is the pause between probes of a target whose cadence is not known yet.
	probeLearning = 30 * clock.Millisecond
	// probeBusy and probeIdle are the pauses between probes of a target whose service is in use or not, probeUnused
	// that of a target which gets nothing at present.
	probeBusy   = 45 * clock.Millisecond
	probeIdle   = 400 * clock.Millisecond
	probeUnused = 250 * clock.Millisecond
	// busyWithin is how recently a service must have been used to count as in use.
	busyWithin = 2 * clock.Second
	// settlesIn is how long an instance that has begun to serve probes only for services that callers ask it for. When a whole fleet
	// is back at once, most of its instances serve for a moment, since nobody knows of the others yet; each probing every backend
	// server, they would open hundreds of thousands of connections, and small ones would have no processor left for callers.
	settlesIn = clock.Second
	// unledFor is how long an instance that is the next to serve waits for a serving one with a fresh view before it reads for
	// itself. It is more than what passes until another one has taken over, and less than what binds those who read. unledLast is how long
	// all others wait: they are told what it reads, and hundreds of calls to a store that is away serve nobody.
	unledFor  = 600 * clock.Millisecond
	unledLast = 12 * clock.Second
	// silentLead is how long all serving instances with a fresh view may be silent before one that stands by reads for itself. They
	// speak to it once a second each; that they are gone is known only when they were silent for 3.2 s, and a server that leaves is
	// to get nothing after 2 s.
	silentLead = 1500 * clock.Millisecond
	// startAlone is how long an instance waits for others to tell their view before it reads the store itself, when a whole
	// fleet starts for the first time. Seeds read at once, but there may be no configuration yet, and a view without one is of no
	// use to others; callers come some seconds later.
	startAlone = 3 * clock.Second
	// restartAlone is how long an instance that was restarted waits for a fresh view of one that serves before it reads the store
	// for want of it, if it is the next to serve, and restartAloneLast how long any other does. Callers that come to it meanwhile
	// are served by what the store held some seconds ago.
	restartAlone     = clock.Second
	restartAloneLast = 2500 * clock.Millisecond
	// awaitTable is how long a request waits for an instance that has no routes yet, and staleReadEvery the least time between two readings of
	// the store for the sake of such requests.
	awaitTable     = 150 * clock.Millisecond
	staleReadEvery = 500 * clock.Millisecond
	// helpEvery is the least time between two readings of a peer's view while the store turns this instance away.
	helpEvery = 200 * clock.Millisecond
	// followEvery is the least time between two readings of a peer's view for the sake of backend servers alone. An
	// instance that stands by sends next to nothing, and changes come in bunches.
	followEvery = clock.Second
	// frozenFor is the jump between two clocks that shows that the machine stood still.
	frozenFor = 300 * clock.Millisecond
	// behindFor is how long a peer may know a newer revision before this instance reads anew: its watch has gone silent.
	behindFor = 700 * clock.Millisecond
	// versionBehindFor is that time for a newer configuration, in which keys may have been revoked. It is longer than the pause that a
	// reader makes after changes.
	versionBehindFor = 380 * clock.Millisecond
)

// coldShareMost is how many times the part of the fleet that is seen an instance may give cold servers of what they bear. When a fleet
// falls apart, each part has an owner for every server, and the parts don't hear each other; but what they see of the fleet adds up to
// all of it at most. Together they stay below 1.5 times 0.8 of what a server bears, and one request more for each part; up to a
// third of the fleet may be gone before servers warm up more slowly for it.
const coldShareMost = 1.5

// inboxLength is how many events may wait for the control goroutine.
const inboxLength = 256

// Events of control.
const (
	EventInboxFull = "control.inboxFull"
	EventFrozen    = "control.frozen"
	EventBehind    = "control.behind"
)

// Options are what a Controller is made from.
type Options struct {
	Self        membership.Identity
	Incarnation membership.Incarnation
	Seeds       []netip.AddrPort
	Bounds      settings.GatewayBounds
	// FleetStarts says that all instances start for the first time, and no caller waits.
	FleetStarts bool
	Clock       *clock.Clock
	// Awake tells the time as Clock does, and also counts while the machine is suspended.
	Awake    *clock.Clock
	Rand     *rand.Rand
	Servers  *backendserver.Servers
	Registry *metrics.Registry
	Log      zerolog.Logger
	// Quota holds teams to their rate limits; nil when nothing does.
	Quota *quota.Limiter
	// Send sends a datagram to a peer.
	Send func(netip.AddrPort, []byte)
	// SetJobs tells the prober what to probe.
	SetJobs func([]sensing.Job)
}

// Feed is the part of a catalog's reader that control steers.
type Feed struct {
	SetRole func(catalog.Role)
	Follow  func(catalog.Revision)
	Refresh func()
	// CatchUp says that a serving peer has known the revision for a while.
	CatchUp func(catalog.Revision)
	// ReadStale reads what the store held some seconds ago.
	ReadStale func()
	Contact   func() clock.Moment
	Failing   func() bool
	// PeerFailing reports whether peers did not tell their view when they were last asked.
	PeerFailing func() bool
}

// Controller owns an instance's control state. Its methods are safe for concurrent use; its fields below the inbox belong
// to the goroutine that runs Serve.
type Controller struct {
	options Options
	feed    Feed
	table   atomic.Pointer[routing.Table]
	book    atomic.Pointer[addressBook]
	// tableSet is closed when a table comes into force, and replaced.
	tableSet atomic.Pointer[chan struct{}]
	ready    atomic.Bool
	inbox    chan event
	// staleMutex guards nextStaleRead, before which no request has the store read.
	staleMutex    sync.Mutex
	nextStaleRead clock.Moment

	// latest are the newest readings of own targets, to be told to peers.
	latestMutex sync.Mutex
	latest      map[settings.TargetName]ownReading

	members   *membership.Members
	view      *catalog.View
	viewAt    clock.Moment
	history   *catalog.History
	role      catalog.Role
	unledFrom clock.Moment
	started   clock.Moment
	// servesFrom is when this instance last began to serve.
	servesFrom clock.Moment
	isSeed     bool
	nextHelp   clock.Moment
	services   map[settings.ServiceName]*serviceState
	targets    map[TargetKey]targetRef
	known      map[settings.TargetName]catalog.Server
	owners     map[settings.TargetName]settings.InstanceName
	// serving are the instances that owners and addresses were last worked out for.
	serving    []membership.Identity
	nextShare  clock.Moment
	teams      teams
	nextClean  clock.Moment
	behindFrom clock.Moment
	awakeSkew  clock.Milliseconds
	// heardNews says that peers told something since the last tick that others are to hear of.
	heardNews bool
	nextTick  clock.Moment
}

type targetRef struct {
	service settings.ServiceName
	name    settings.TargetName
}

// serviceState is what stays of a service while configurations come and go.
type serviceState struct {
	scheduler *service.Scheduler
	budget    *service.RetryBudget
	settings  *settings.Service
	limits    catalog.ServiceLimits
}

// NewController returns a controller that knows nothing yet.
func NewController(options Options) *Controller {
	controller := &Controller{
		options: options,
		inbox:   make(chan event, inboxLength),
		latest:  map[settings.TargetName]ownReading{},
		members: membership.New(membership.Options{
			Self: options.Self, Incarnation: options.Incarnation, Seeds: options.Seeds, Clock: options.Clock,
		}),
		history:   catalog.NewHistory(),
		teams:     teams{reporters: map[membership.Incarnation]clock.Moment{}},
		services:  map[settings.ServiceName]*serviceState{},
		targets:   map[TargetKey]targetRef{},
		known:     map[settings.TargetName]catalog.Server{},
		awakeSkew: awakeSkew(options), started: options.Clock.Now(),
		isSeed: slices.ContainsFunc(options.Seeds, func(seed netip.AddrPort) bool { return seed.String() == options.Self.Peer }),
	}
	tableSet := make(chan struct{})
	controller.tableSet.Store(&tableSet)
	return controller
}

// SetFeed names the reader; it must be called before Serve.
func (controller *Controller) SetFeed(feed Feed) {
	controller.feed = feed
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
			arrived(controller)
			if controller.advanceTick() {
				timer.Reset(tickServing.Duration())
			}
		case <-timer.C:
			controller.tick()
			timer.Reset(controller.nextTick.Since(controller.options.Clock.Now()).Duration())
		}
	}
}

// event is something that reaches the control goroutine.
type event func(*Controller)

// post waits until the event is taken.
func (controller *Controller) post(ctx context.Context, arrived event) error {
	select {
	case controller.inbox <- arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ViewRead takes a new view of the catalog.
func (controller *Controller) ViewRead(ctx context.Context, view catalog.View) error {
	return controller.post(ctx, func(controller *Controller) { controller.applyView(&view) })
}

// Probed takes the result of a probe, on the prober's goroutine.
func (controller *Controller) Probed(result sensing.Result) {
	table := controller.table.Load()
	if table == nil {
		return
	}
	entry, known := table.Service(result.Service)
	if !known {
		return
	}
	if result.Err == nil {
		entry.Scheduler.Observe(result.Target, result.Health.LoadReading)
	}
	entry.Scheduler.SetDown(result.Target, result.Down)
	controller.latestMutex.Lock()
	defer controller.latestMutex.Unlock()
	if result.Err == nil || result.Down {
		controller.latest[result.Target] = ownReading{reading: result.Health.LoadReading, down: result.Down}
	}
}

// SetSettings takes settings that may change while the instance runs.
func (controller *Controller) SetSettings(ctx context.Context, seeds []netip.AddrPort, bounds settings.GatewayBounds) error {
	return controller.post(ctx, func(controller *Controller) {
		controller.options.Bounds = bounds
		controller.members.SetSeeds(seeds)
		controller.publish()
	})
}

// Leave takes the instance out of address answers, here and at its peers. Requests are served as before.
func (controller *Controller) Leave(ctx context.Context) error {
	return controller.post(ctx, func(controller *Controller) {
		controller.options.Log.Info().Msg("leaving: out of address answers, requests under way go on")
		controller.members.SetState(membership.Leaving)
		controller.sendBeats()
		controller.publish()
	})
}
