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
	"slices"

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
	// StandingBy instances answer who serves, and take over.
	StandingBy
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
	Identity    Identity
	Address     netip.AddrPort
	State       State
	Incarnation Incarnation
	Sequence    uint64
	Revision    catalog.Revision
	Version     catalog.Version
	Fresh       bool
	Called      []settings.InstanceName
	// heard is when it last spoke itself, known when it was first heard of.
	heard, known clock.Moment
	next         clock.Moment
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

// Hear takes another instance's beat. It reports whether anything changed that others should hear of.
func (members *Members) Hear(beat Beat) bool {
	if beat.Identity.Name == members.options.Self.Name {
		return false
	}
	address, err := netip.ParseAddrPort(beat.Identity.Peer)
	if err != nil {
		return false
	}
	now := members.options.Clock.Now()
	member, known := members.roster.byName[beat.Identity.Name]
	if known && member.Incarnation == beat.Incarnation && beat.Sequence <= member.Sequence {
		return false
	}
	if !known {
		member = &Member{known: now, Identity: beat.Identity, Address: address}
		members.roster.add(beat.Identity.Name, member)
	}
	changed := !known || member.State != beat.State || member.Incarnation != beat.Incarnation
	if changed {
		members.roster.changed()
	}
	member.Identity = beat.Identity
	members.roster.move(member, address)
	member.State = beat.State
	member.Incarnation = beat.Incarnation
	member.Sequence = beat.Sequence
	member.Revision = beat.Revision
	member.Version = beat.Version
	member.Fresh = beat.Fresh
	member.Called = beat.Called
	member.heard = now
	// Whoever speaks to one that leaves may hold it for one that stays.
	member.owed = member.owed || beat.Asks || members.state == Leaving
	if members.metAt == 0 {
		members.metAt = now
	}
	if changed {
		// It now expects to hear from here more often than before: without a word it would take this instance for lost.
		member.next = 0
	}
	for _, mention := range beat.Mentions {
		changed = members.hearOf(now, beat.State, mention) || changed
	}
	if changed {
		members.changed = now
	}
	return changed
}

// hearOf takes what another instance says of a third.
func (members *Members) hearOf(now clock.Moment, teller State, mention Mention) bool {
	if mention.Identity.Name == members.options.Self.Name {
		return false
	}
	address, err := netip.ParseAddrPort(mention.Identity.Peer)
	if err != nil {
		return false
	}
	member, known := members.roster.byName[mention.Identity.Name]
	switch {
	case !known && mention.State == Lost:
		return false
	case !known:
		// Hearsay makes it known and asked; it counts as alive once it has spoken, or for a while if it is said to serve.
		members.roster.add(mention.Identity.Name, &Member{
			Identity: mention.Identity, Address: address, State: mention.State, known: now, heard: members.creditFor(now, mention.State),
		})
		return true
	case mention.State == Lost && teller == Serving && member.State != Lost && now.Since(member.heard) > members.hearsayAfter(member):
		member.State = Lost
		members.roster.changed()
		return true
	case mention.State == Serving && member.State != Serving:
		// Hearsay may be old: a member that has just stopped serving would seem to serve again, and then to be lost since
		// it speaks rarely. Asking it tells.
		member.owed = true
	}
	return false
}

// hearsayAfter is how long a member must be silent for another one's word to be taken that it is lost. If it were less than the time between two of
// its beats, that word would go round after its return: each that takes it passes it on.
func (members *Members) hearsayAfter(member *Member) clock.Milliseconds {
	if member.State == Serving {
		return directlyHeard
	}
	return rarelyHeard
}

// creditFor is since when a member known by hearsay alone is taken to have been heard.
func (members *Members) creditFor(now clock.Moment, state State) clock.Moment {
	if state == Serving {
		return now
	}
	return now.Add(-standbySilence / 2)
}

// silence is how long a member may be silent before it counts as lost.
func (members *Members) silence(member *Member) clock.Milliseconds {
	switch {
	case members.state == Serving && member.State == Serving:
		return servingSilence
	case member.askedFrom > 0:
		return askedSilence
	default:
		return standbySilence
	}
}

// Review drops members that have fallen silent, and moves this instance on. It reports whether anything changed.
func (members *Members) Review() bool {
	now := members.options.Clock.Now()
	changed := false
	members.noteAsked(now)
	mayForget := members.Sight() >= sightToForget
	var forgotten []settings.InstanceName
	for _, member := range members.roster.all {
		silent := members.silentFor(now, member)
		switch {
		case member.State == Joining && silent > 2*joinFor:
			// It stands by since. Those that stand by don't hear each other, so this one would take it for lost for its silence.
			member.State = StandingBy
			members.roster.changed()
		case member.State == Lost && silent > forgetAfter && mayForget:
			forgotten = append(forgotten, member.Identity.Name)
		case member.State != Lost && silent > members.silence(member):
			member.State = Lost
			members.roster.changed()
			changed = true
		}
	}
	for _, name := range forgotten {
		members.roster.remove(name)
	}
	if members.state == Joining && members.joined(now) {
		members.SetState(StandingBy)
		changed = true
	}
	if changed {
		members.changed = now
	}
	if changed && members.state == Serving {
		// Those that stand by hear it from here first.
		members.hurry()
	}
	return changed
}

// noteAsked notes since when members are asked because nobody is known to serve.
func (members *Members) noteAsked(now clock.Moment) {
	leaderless := members.Leaderless()
	if !leaderless && !members.asking {
		return
	}
	members.asking = leaderless
	for _, member := range members.roster.all {
		switch {
		case !leaderless || !members.asks(member):
			member.askedFrom = 0
		case member.askedFrom == 0:
			member.askedFrom = now
		}
	}
}

// silentFor is how long a member has been silent although it should have spoken. Instances that stand by speak only to those among them
// that they ask because nobody serves; while someone does, those say when one is lost. If they counted each other as lost for that
// silence, each would hold itself for the next to serve, and all would take over at once.
func (members *Members) silentFor(now clock.Moment, member *Member) clock.Milliseconds {
	silent := now.Since(member.heard)
	if members.state == Serving && member.State == Serving {
		// Before this instance served, the other one spoke to it rarely.
		return min(silent, now.Since(members.stateFrom))
	}
	if members.state == Serving || member.State != StandingBy {
		return silent
	}
	if member.askedFrom == 0 {
		return 0
	}
	return min(silent, now.Since(member.askedFrom))
}

// joined reports whether this instance has listened long enough.
func (members *Members) joined(now clock.Moment) bool {
	if now.Since(members.started) >= joinFor {
		return true
	}
	return slices.ContainsFunc(members.roster.listLiving(), func(member *Member) bool { return member.State == Serving && member.heard > members.started }) &&
		now.Since(members.started) >= joinFor/2
}

// Sight is the part of all instances known that have spoken as recently as they should, this one included. It falls before those that are
// cut off count as lost, since each part of a fleet that falls apart goes by it at once. One that has started within the last minute may
// know only the part of the fleet in which it is; it sees no larger part of the whole than of the seeds.
func (members *Members) Sight() float64 {
	now := members.options.Clock.Now()
	seen := 1
	for _, member := range members.roster.all {
		if members.seen(now, member) {
			seen++
		}
	}
	seeds, seedsSeen := members.seedsSeen(now)
	known := len(members.roster.all) + 1
	if seeds > 0 {
		known += seeds - members.seedsMet()
	}
	sight := float64(seen) / float64(known)
	if seeds > 0 && now.Since(members.started) < forgetAfter {
		sight = min(sight, float64(seedsSeen)/float64(seeds))
	}
	return sight
}

// seen reports whether a member has spoken as recently as it should.
func (members *Members) seen(now clock.Moment, member *Member) bool {
	return member.State != Lost && members.silentFor(now, member) <= rarelyHeard
}

// seedsSeen returns the number of seeds, and of those that are seen, this instance included; none when it is the only one.
func (members *Members) seedsSeen(now clock.Moment) (int, int) {
	if !members.seeks() {
		return 0, 0
	}
	seen := 0
	for _, seed := range members.options.Seeds {
		if member, met := members.roster.at(seed); seed == members.self || met && members.seen(now, member) {
			seen++
		}
	}
	return len(members.options.Seeds), seen
}

// seedsMet is the number of seeds that are known by name, this instance included.
func (members *Members) seedsMet() int {
	met := 0
	for _, seed := range members.options.Seeds {
		if _, known := members.roster.at(seed); known || seed == members.self {
			met++
		}
	}
	return met
}

// Living returns the other instances that count as alive, by name. The list is not to be changed.
func (members *Members) Living() []*Member {
	return members.roster.listLiving()
}

// SetUnreachable notes that the instance at the address did not answer a call.
func (members *Members) SetUnreachable(address netip.AddrPort) {
	if member, known := members.roster.at(address); known {
		member.unreachable = members.options.Clock.Now()
	}
}

// Reachable returns the other instances that count as alive and have not just failed to answer a call, by name.
func (members *Members) Reachable() []*Member {
	now := members.options.Clock.Now()
	return filter(members.Living(), func(member *Member) bool { return member.unreachable == 0 || now.Since(member.unreachable) >= avoidFor })
}

// NewestConfigured returns the newest revision of any other instance that has a configuration, 0 if there is none.
func (members *Members) NewestConfigured() catalog.Revision {
	var newest catalog.Revision
	for _, member := range members.roster.listLiving() {
		if member.Version > 0 {
			newest = max(newest, member.Revision)
		}
	}
	return newest
}

// Present returns the callers' addresses of those that should serve next and have just spoken to this instance, as far as they don't leave. Of
// the others it would not hear that they leave. It names itself if it is one of them, or knows of none.
func (members *Members) Present() []string {
	var present []string
	now := members.options.Clock.Now()
	leading := members.roster.ranked(members).leading
	for _, member := range members.roster.listLiving() {
		spoke := member.Sequence > 0 && now.Since(member.heard) <= rarelyHeard
		if spoke && member.State != Leaving && leading[member] {
			present = append(present, member.Identity.Caller)
		}
	}
	if members.state != Leaving && (len(present) == 0 || members.Leading()) {
		present = append(present, members.options.Self.Caller)
	}
	return present
}

// Peers returns the other instances that serve, by name. The list is not to be changed.
func (members *Members) Peers() []*Member {
	return members.roster.listServing()
}

// All returns every known member, by name. The list is not to be changed.
func (members *Members) All() []*Member {
	return members.roster.all
}

// Leaders is what those that serve tell of the catalog.
type Leaders struct {
	// Newest is the newest revision that one of them has.
	Newest catalog.Revision
	// Heard is when one of them was last heard, Fresh when one whose view is fresh was; 0 when there is none.
	Heard, Fresh clock.Moment
}

// Leaders returns what the other instances that serve tell.
func (members *Members) Leaders() Leaders {
	var leaders Leaders
	for _, peer := range members.Peers() {
		leaders.Newest = max(leaders.Newest, peer.Revision)
		leaders.Heard = max(leaders.Heard, peer.heard)
		if peer.Fresh {
			leaders.Fresh = max(leaders.Fresh, peer.heard)
		}
	}
	return leaders
}
