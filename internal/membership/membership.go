// Package membership tracks the instances of a fleet that discovers its own members: which are alive, which serve callers, and
// which take over when a serving instance fails. It is pure: it does no I/O, and the time comes from the given clock.
//
// A few instances of each data centre serve; the others are on standby. Serving instances exchange heartbeats several times a
// second. Each standby instance exchanges one heartbeat a second with each serving instance, so what it sends does not
// grow with the number of standby instances. When a serving instance stops sending heartbeats, the remaining serving instances
// report its loss to all members at once, and the next instance of its data centre by rank begins to serve. Instances need not
// agree at any moment: a data centre in which two instances serve for a while is still served.
//
// # Usage
//
//	members := membership.New(membership.Options{Self: self, Seeds: seeds, Clock: clock})
//	for _, address := range members.DueHeartbeats() { send(address, members.NewHeartbeat(address)) }
//	members.Receive(heartbeat)
//	members.UpdateStates()
//	if members.ShouldServe() { ... }
package membership

import (
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Intervals and timeouts of membership.
const (
	// servingInterval is the time between two heartbeats of serving instances to each other. A serving instance is detected as lost
	// after servingTimeout, which allows for two lost datagrams.
	servingInterval = 250 * clock.Millisecond
	servingTimeout  = 900 * clock.Millisecond
	// standbyInterval is the time between two heartbeats between a serving and a standby instance.
	standbyInterval = clock.Second
	standbyTimeout  = 3200 * clock.Millisecond
	// queryTimeout is the time without a heartbeat after which a queried member counts as lost. Members are queried several times a
	// second while no instance serves.
	queryTimeout = 1600 * clock.Millisecond
	// suspicionDelay is how long all serving instances must be silent before an instance that serves next queries them, suspicionTimeout
	// how long it waits for an answer of any of them before it takes over. The loss of all heartbeats of a second is rare, and that of all
	// answers to three queries as well is rarer still.
	suspicionDelay   = standbyInterval + 200*clock.Millisecond
	suspicionTimeout = 600 * clock.Millisecond
	// joinPeriod is how long an instance listens after its start before it may serve. A whole fleet starts within 0.3 s, and
	// learning the other instances from a seed takes one round trip. A longer period would prevent two instances from serving one
	// data centre for some seconds; a shorter one reduces the time in which callers find no serving instance after the whole fleet
	// was killed.
	joinPeriod   = 300 * clock.Millisecond
	joinInterval = 100 * clock.Millisecond
	// minReplyInterval is the minimum time between two replies to the same querying instance.
	minReplyInterval = 50 * clock.Millisecond
	// minHeartbeatInterval is the minimum time between two heartbeats to the same member while more than the minimum serve.
	minHeartbeatInterval = 100 * clock.Millisecond
	// seedDiscoveryPeriod is how long after the start seeds that do not answer are contacted at joinInterval: after a restart of the whole
	// fleet the seeds may be the last to return, and no instance knows any other.
	seedDiscoveryPeriod = 3 * clock.Second
	// lostInterval is the time between two heartbeats to a lost instance, so that it is found when it returns. lostRemovalTimeout is the
	// time after which a lost instance is removed.
	lostInterval       = 2 * clock.Second
	lostRemovalTimeout = clock.Minute
	// minVisibleToRemove is the fraction of the fleet that must be visible for lost members to be removed: an instance that has lost
	// most of the others is more likely cut off than the only one left.
	minVisibleToRemove = 0.5
	// servingRecency is how recent the last heartbeat of a serving member must be to override an indirect report of its loss.
	// standbyRecency is the same for the other members, which send one heartbeat a second.
	servingRecency = 450 * clock.Millisecond
	standbyRecency = standbyInterval + servingRecency
	// startupPeriod is how long after its start an instance decides by itself whether to serve: after a restart of the whole fleet no
	// instance that could promote it knows more than it does.
	startupPeriod = 1500 * clock.Millisecond
	// discoveryPeriod is how long after the first heartbeat of another instance a starting instance waits to learn of higher-ranked ones
	// before it may serve. firstContactTimeout is how long it waits for that first heartbeat. Without these waits, hundreds of instances
	// that know no other would all serve at once.
	discoveryPeriod     = 250 * clock.Millisecond
	firstContactTimeout = clock.Second
	// promotionDelay is how long an instance serves before it promotes others: it must first have received heartbeats from all serving
	// instances. promotionValidity is how long a promotion that it sent is valid.
	promotionDelay    = 400 * clock.Millisecond
	promotionValidity = 500 * clock.Millisecond
	// demotionDelay is how long a serving instance must be surplus before it returns to standby.
	demotionDelay = 1500 * clock.Millisecond
	// unreachableRetryDelay is how long an instance that did not answer a request is not sent another.
	unreachableRetryDelay = clock.Second
)

// minServing is the minimum number of serving instances of a fleet, however many data centres it has: after the loss of one, two
// thirds of the capacity should remain.
const minServing = 3

// changeSummaryPeriod is how long after a change every heartbeat contains member summaries. Otherwise one in heartbeatsPerSummaries
// heartbeats contains them.
const (
	changeSummaryPeriod    = 2500 * clock.Millisecond
	heartbeatsPerSummaries = 7
)

// maxSummaries is the maximum number of serving members in one heartbeat, and of members to promote; lost members get what is left of it.
// maxStandbySummaries is the maximum number of all other members, which matter only when all serving instances are lost at once.
const (
	maxSummaries        = 6
	maxStandbySummaries = 2
)

// State is the role of an instance in its fleet.
type State uint8

// The states of an instance.
const (
	// Joining instances collect members after their start; they do not serve yet.
	Joining State = iota
	// Standby instances name the serving instances to callers, and take over from lost ones.
	Standby
	// Serving instances are the ones whose addresses callers are given.
	Serving
	// Leaving instances finish their requests before they stop.
	Leaving
	// Lost is the state only of other instances: no heartbeat came from them within the timeout.
	Lost
)

// String returns the name of the state.
func (state State) String() string {
	return [...]string{"joining", "standingBy", "serving", "leaving", "lost"}[min(int(state), int(Lost))]
}

// Incarnation distinguishes the runs of an instance.
type Incarnation uint64

// Identity is the part of an instance's data that does not change while it runs.
type Identity struct {
	_          struct{} `cbor:",toarray"`
	Name       settings.InstanceName
	DataCentre settings.DataCentreName
	// Peer is the address for datagrams of other instances, Caller the address that callers connect to.
	Peer   string
	Caller string
	// Size is the processor capacity in thousandths of a core. Larger instances are preferred.
	Size int
}

// Member is the known state of another instance.
type Member struct {
	Identity     Identity
	Address      netip.AddrPort
	State        State
	Incarnation  Incarnation
	Sequence     uint64
	Revision     catalog.Revision
	Version      catalog.Version
	CatalogFresh bool
	// FreshSince is since when CatalogFresh is set without a break, 0 while it is not.
	FreshSince clock.Moment
	Promoted   []settings.InstanceName
	// lastSeen is when the last heartbeat came from the member itself, discovered when it became known.
	lastSeen, discovered clock.Moment
	nextHeartbeat        clock.Moment
	// reach is what the member has reported of the services that it cannot reach.
	reach reachState
	// load is the last load report of the member, nextLoadReport when the next one to it is due.
	load           reportedLoad
	nextLoadReport clock.Moment
	// lastOtherMessage is when the last message other than a heartbeat came from the member.
	lastOtherMessage clock.Moment
	// lastSent is when the last heartbeat was sent to the member. replyDue is whether it needs a heartbeat outside the schedule,
	// lastWasReply whether the last one was sent only for that reason.
	lastSent               clock.Moment
	replyDue, lastWasReply bool
	// queriedSince is since when the member has been queried because no serving instance is known, 0 when it is not queried.
	queriedSince clock.Moment
	// unreachableAt is when the member last failed to answer a request, 0 when it never failed.
	unreachableAt clock.Moment
}

// Options configure Members.
type Options struct {
	Self        Identity
	Incarnation Incarnation
	Seeds       []netip.AddrPort
	Clock       *clock.Clock
}

// Members is the view that one instance has of its fleet. It is not safe for concurrent use.
type Members struct {
	options  Options
	state    State
	started  clock.Moment
	sequence uint64
	revision catalog.Revision
	version  catalog.Version
	fresh    bool
	roster   roster
	// self is this instance's own address, which is often among the seeds.
	self              netip.AddrPort
	nextSeedHeartbeat map[netip.AddrPort]clock.Moment
	// summaryCursor increases with each heartbeat that contains summaries, and selects the members that it summarizes.
	summaryCursor int
	// stateSince is when this instance entered its state.
	stateSince clock.Moment
	// firstContact is when the first heartbeat of another instance came, 0 before.
	firstContact clock.Moment
	// querying is whether no serving instance was known when updateQueried last ran.
	querying bool
	// announcedPromotions are the promotions that heartbeats have announced.
	announcedPromotions []settings.InstanceName
	// suspectingSince is since when this instance suspects that all serving instances are lost, 0 while it does not.
	suspectingSince clock.Moment
	// changedAt is when the view of the fleet last changed.
	changedAt clock.Moment
	load      loadState
	// reach is what this instance itself reports of the backend servers that it cannot reach.
	reach reachState
	// anyIsolated is whether any instance is isolated, or was when UpdateReach last ran.
	anyIsolated bool
	// surplusSince is since when this instance serves without being needed, 0 when it is needed.
	surplusSince clock.Moment
}

// New returns the view of an instance that knows only its seeds.
func New(options Options) *Members {
	// The settings have been validated. With an invalid address, this instance would only send heartbeats to itself.
	self, _ := netip.ParseAddrPort(options.Self.Peer)
	return &Members{
		options: options, self: self, started: options.Clock.Now(), roster: newRoster(),
		nextSeedHeartbeat: map[netip.AddrPort]clock.Moment{},
	}
}

// State returns this instance's own state.
func (members *Members) State() State {
	return members.state
}

// SetState changes this instance's own state. Heartbeats to all members become due at once to announce the change.
func (members *Members) SetState(state State) {
	if members.state == state {
		return
	}
	members.state = state
	members.roster.invalidate()
	members.stateSince = members.options.Clock.Now()
	members.changedAt = members.options.Clock.Now()
	members.surplusSince = 0
	members.expediteHeartbeats()
}

// SetCatalog sets the revision and version of this instance's catalog; fresh is whether it reads the store itself and the store answers.
// A new configuration at an instance that announces changes or reads the store, and a change of fresh, are announced to all members at
// once, since others read the catalog from this instance. A change of only the backend servers is announced at once to serving instances
// alone: the others read it once a second at most, and a heartbeat to each of a hundred instances for every change would make up most of
// the traffic that this instance sends.
func (members *Members) SetCatalog(revision catalog.Revision, version catalog.Version, fresh bool) {
	announces := members.announces() || fresh
	switch {
	case version != members.version && announces || fresh != members.fresh:
		members.expediteHeartbeats()
	case revision != members.revision && announces:
		for _, member := range members.roster.listServing() {
			member.nextHeartbeat = 0
		}
	}
	members.revision = revision
	members.version = version
	members.fresh = fresh
}

// SetSeeds replaces the seeds.
func (members *Members) SetSeeds(seeds []netip.AddrPort) {
	members.options.Seeds = seeds
}

// expediteHeartbeats makes a heartbeat to each member due at once.
func (members *Members) expediteHeartbeats() {
	for _, member := range members.roster.all {
		member.nextHeartbeat = 0
	}
}
