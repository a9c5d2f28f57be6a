// Package membership knows the instances of a fleet that finds itself: who lives, who serves callers, and who takes over.
// It is pure: it does no I/O, and time is given.
//
// A few instances of each data centre serve; the others stand by. Serving instances tell each other several times a
// second that they live. The others exchange a word with each serving one once a second, so what an instance spends does
// not grow with those that stand by. When a serving instance falls silent, the others that serve say so to everyone at
// once, and whoever comes next in its data centre begins to serve. No two need to agree at any moment: a data centre
// that two serve for a while is served as well.
//
// # Usage
//
//	members := membership.New(membership.Options{Self: self, Seeds: seeds, Clock: clock})
//	for _, address := range members.Due() { send(address, members.Beat(address)) }
//	members.Hear(beat)
//	members.Review()
//	if members.Needed() { ... }
package membership

import (
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Times of membership.
const (
	// servingEvery is the time between two beats of serving instances to each other: a silent one is noticed within
	// servingSilence, which leaves room for two lost datagrams.
	servingEvery   = 250 * clock.Millisecond
	servingSilence = 900 * clock.Millisecond
	// standbyEvery is the time between two beats between a serving instance and one that stands by.
	standbyEvery   = clock.Second
	standbySilence = 3200 * clock.Millisecond
	// askedSilence is how long one may be silent that is asked several times a second because nobody serves.
	askedSilence = 1600 * clock.Millisecond
	// joinFor is how long an instance that has just started listens before it may serve. All of a fleet start within
	// 0.3 s, and seeds take a round trip to tell of the others. What more of it would save is two instances that serve
	// one data centre for some seconds; what less of it saves is callers who find nobody after all were killed.
	joinFor   = 300 * clock.Millisecond
	joinEvery = 100 * clock.Millisecond
	// replyEvery is the least time between two replies to one that asks.
	replyEvery = 50 * clock.Millisecond
	// seekSeedsFor is how long seeds that don't answer are asked often: after all were restarted at once they may be the
	// last to be there, and nobody knows anyone else.
	seekSeedsFor = 3 * clock.Second
	// lostEvery is the time between two beats to an instance that was lost, so that it is found when it returns, and
	// forgetAfter the time after which it is given up.
	lostEvery   = 2 * clock.Second
	forgetAfter = clock.Minute
	// sightToForget is the part of the fleet that must be seen for others to be given up: whoever has lost sight of most is more
	// likely cut off than alone.
	sightToForget = 0.5
	// directlyHeard is how recent a serving member's own word must be to go before another one's word that it is lost, and
	// rarelyHeard that of the others, who speak once a second.
	directlyHeard = 450 * clock.Millisecond
	rarelyHeard   = standbyEvery + directlyHeard
	// startsFor is how long after its start an instance decides by itself whether to serve: when all were restarted, nobody
	// who could call it knows more.
	startsFor = 1500 * clock.Millisecond
	// hearsFor is how long after the first word of another instance one that has started hears of those that come before it, meetsWithin how
	// long it waits for that word. Hundreds that know of nobody would else all serve at once.
	hearsFor    = 250 * clock.Millisecond
	meetsWithin = clock.Second
	// callAfter is how long an instance serves before it calls others: it must have heard all that serve first. callHolds
	// is how long its call is followed.
	callAfter = 400 * clock.Millisecond
	callHolds = 500 * clock.Millisecond
	// demoteAfter is how long a serving instance is not needed before it stands by.
	demoteAfter = 1500 * clock.Millisecond
	// avoidFor is how long an instance is not called again that did not answer a call.
	avoidFor = clock.Second
)

// servingLeast is the number of serving instances that a fleet should have at least, whatever its data centres: the loss
// of one should leave two thirds of the capacity at hand.
const servingLeast = 3

// tellChangesFor is how long beats tell of others after a change, tellEvery how many beats pass between two that do
// otherwise.
const (
	tellChangesFor = 2500 * clock.Millisecond
	tellEvery      = 7
)

// mentionsMost is the number of serving and lost members that one beat tells of, mentionsOfStandby that of others, which
// matter only when everyone who serves is lost at once.
const (
	mentionsMost      = 6
	mentionsOfStandby = 2
)

// State is what an instance is to its fleet.
type State uint8

// The states of an instance.
const (
	// Joining instances listen; they serve nobody yet.
	Joining State = iota
	// Standby instances answer who serves, and take over.
	Standby
	// Serving instances are named to callers.
	Serving
	// Leaving instances finish what they have.
	Leaving
	// Lost is said of others only.
	Lost
)

// String names the state.
func (state State) String() string {
	return [...]string{"joining", "standingBy", "serving", "leaving", "lost"}[min(int(state), int(Lost))]
}

// Incarnation tells one run of an instance from another.
type Incarnation uint64

// Identity is what does not change while an instance runs.
type Identity struct {
	_          struct{} `cbor:",toarray"`
	Name       settings.InstanceName
	DataCentre settings.DataCentreName
	// Peer is where other instances send datagrams, Caller where callers connect.
	Peer   string
	Caller string
	// Size compares instances: a thousandth of a core is 1.
	Size int
}

// Member is what is known of another instance.
type Member struct {
	Identity     Identity
	Address      netip.AddrPort
	State        State
	Incarnation  Incarnation
	Sequence     uint64
	Revision     catalog.Revision
	Version      catalog.Version
	CatalogFresh bool
	Promoted     []settings.InstanceName
	// heard is when it last spoke itself, known when it was first heard of.
	heard, known clock.Moment
	next         clock.Moment
	// spoke is when it last sent something else than a beat.
	spoke clock.Moment
	// sent is when it was last sent a beat, owed whether it is to get one although nothing else calls for that, replied whether the last one
	// was sent for that alone.
	sent          clock.Moment
	owed, replied bool
	// askedFrom is since when it is asked because nobody is known to serve, 0 when it is not.
	askedFrom clock.Moment
	// unreachable is when it last did not answer a call, 0 when it always did.
	unreachable clock.Moment
}

// Options are what Members are made from.
type Options struct {
	Self        Identity
	Incarnation Incarnation
	Seeds       []netip.AddrPort
	Clock       *clock.Clock
}

// Members is the fleet as one instance sees it. It belongs to one goroutine.
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
	self     netip.AddrPort
	seedNext map[netip.AddrPort]clock.Moment
	// cursor is the member whose mention comes next.
	cursor int
	// stateFrom is since when the own state is what it is.
	stateFrom clock.Moment
	// metAt is when another instance first spoke, 0 before.
	metAt clock.Moment
	// asking says that nobody was known to serve when that was last looked at.
	asking bool
	// changed is when the view of the fleet last changed.
	changed clock.Moment
	// unneeded is since when this instance serves without being needed, 0 when it is.
	unneeded clock.Moment
}

// New returns the view of an instance that knows only its seeds.
func New(options Options) *Members {
	// Settings were checked; an address that is none would only mean that this instance greets itself.
	self, _ := netip.ParseAddrPort(options.Self.Peer)
	return &Members{
		options: options, self: self, started: options.Clock.Now(), roster: newRoster(),
		seedNext: map[netip.AddrPort]clock.Moment{},
	}
}

// State is this instance's own.
func (members *Members) State() State {
	return members.state
}

// SetState changes this instance's own state; the next beats are due at once so that everyone learns of it.
func (members *Members) SetState(state State) {
	if members.state == state {
		return
	}
	members.state = state
	members.roster.changed()
	members.stateFrom = members.options.Clock.Now()
	members.changed = members.options.Clock.Now()
	members.unneeded = 0
	members.hurry()
}

// SetCatalog notes what this instance knows of the catalog. A serving instance, or one that reads the store itself, tells everyone at
// once of a new configuration, and when the store begins or ceases to answer it: others read the catalog from it. That only
// servers have changed is told at once to those that serve; the others read it once a second at most, and a word to each of a
// hundred for every change would be most of what an instance sends.
func (members *Members) SetCatalog(revision catalog.Revision, version catalog.Version, fresh bool) {
	tells := members.state == Serving || fresh
	switch {
	case version != members.version && tells || fresh != members.fresh:
		members.hurry()
	case revision != members.revision && tells:
		for _, member := range members.roster.listServing() {
			member.next = 0
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

func (members *Members) hurry() {
	for _, member := range members.roster.all {
		member.next = 0
	}
}
