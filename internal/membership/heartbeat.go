package membership

import (
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// MemberSummary is what a beat tells of another member.
type MemberSummary struct {
	_        struct{} `cbor:",toarray"`
	Identity Identity
	State    State
}

// Heartbeat says that its sender lives.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Identity    Identity
	Incarnation Incarnation
	Sequence    uint64
	State       State
	// Revision and Version are those of the catalog that the sender has.
	Revision catalog.Revision
	Version  catalog.Version
	// CatalogFresh says that the sender itself reads the catalog and is answered.
	CatalogFresh bool
	// WantsReply says that the sender looks for those who serve, and waits for an answer.
	WantsReply bool
	Summaries  []MemberSummary
	// Promoted are instances that stand by and are to serve, in the view of a serving sender.
	Promoted []settings.InstanceName
}

// DueHeartbeats returns where beats are to be sent now, and counts them as sent.
func (members *Members) DueHeartbeats() []netip.AddrPort {
	now := members.options.Clock.Now()
	var due []netip.AddrPort
	leaderless := members.Leaderless()
	for _, member := range members.roster.all {
		every, wanted := members.pace(member, leaderless)
		paced := wanted && now >= member.next
		owed := member.owed && now.Since(member.sent) >= replyEvery
		if paced || owed {
			member.next = now.Add(every)
			member.sent = now
			member.owed, member.replied = false, !paced
			due = append(due, member.Address)
		}
	}
	for _, seed := range members.options.Seeds {
		if now < members.seedNext[seed] || seed == members.self || members.heardFrom(seed) {
			continue
		}
		every := lostEvery
		if now.Since(members.started) < seekSeedsFor {
			every = joinEvery
		}
		members.seedNext[seed] = now.Add(every)
		due = append(due, seed)
	}
	return due
}

// heardFrom reports whether a member that lives has spoken from the address.
func (members *Members) heardFrom(address netip.AddrPort) bool {
	member, known := members.roster.at(address)
	return known && member.State != Lost && member.heard > 0
}

// Leaderless reports whether no serving instance is known.
func (members *Members) Leaderless() bool {
	return members.state != Serving && len(members.ServingPeers()) == 0
}

// asks reports whether the member is asked while nobody is known to serve: one that could serve, or that others ask.
func (members *Members) asks(member *Member) bool {
	return members.roster.ranked(members).leading[member] || members.isSeed(member.Address)
}

// near reports whether the member tells who comes first in the own data centre: those there know, and seeds.
func (members *Members) near(member *Member) bool {
	return member.Identity.DataCentre == members.options.Self.DataCentre || members.isSeed(member.Address)
}

// pace is how often a member is sent a beat, and whether it is at all. In a fleet that has just been started nobody speaks to all others:
// the number of datagrams would grow with the square of that of instances.
func (members *Members) pace(member *Member, leaderless bool) (clock.Milliseconds, bool) {
	serves := members.state == Serving
	switch {
	case member.State == Lost:
		return lostEvery, serves || leaderless
	case members.state == Joining:
		return joinEvery, member.State == Serving || members.near(member) && members.asks(member)
	case serves && (member.State == Serving || member.State == Joining):
		return servingEvery, true
	case serves || member.State == Serving:
		return standbyEvery, true
	case members.state == Leaving:
		return standbyEvery, member.next == 0
	default:
		return members.askEvery(member), leaderless && members.asks(member)
	}
}

// askEvery is how often a member is asked while nobody is known to serve.
func (members *Members) askEvery(member *Member) clock.Milliseconds {
	if members.near(member) && members.options.Clock.Now().Since(members.started) < startsFor {
		return joinEvery
	}
	return servingEvery
}

// NewHeartbeat makes the beat for one receiver.
func (members *Members) NewHeartbeat(to netip.AddrPort) Heartbeat {
	members.sequence++
	beat := Heartbeat{
		Identity: members.options.Self, Incarnation: members.options.Incarnation, Sequence: members.sequence, State: members.state,
		Revision: members.revision, Version: members.version, CatalogFresh: members.fresh, Promoted: members.calls(),
	}
	if member, known := members.roster.at(to); members.state == Joining || members.Leaderless() {
		beat.WantsReply = !known || !member.replied
	}
	if !members.newsFor(to) {
		return beat
	}
	beat.Summaries = members.mentions()
	return beat
}

// newsFor reports whether the receiver is to be told of others: for a while after a change, and every now and then in case
// that was lost. Mentions make up most of a beat's bytes.
func (members *Members) newsFor(to netip.AddrPort) bool {
	if members.options.Clock.Now().Since(members.changed) < tellChangesFor || members.sequence%tellEvery == 0 {
		return true
	}
	member, known := members.roster.at(to)
	return !known || member.replied
}

// mentions tells of serving and newly lost members first, then of those that should serve, and of the others in turn. Whoever is asked
// tells of them, also an instance that stands by: after all were restarted at once, those that serve may know nobody but the seeds.
func (members *Members) mentions() []MemberSummary {
	now := members.options.Clock.Now()
	ranking := members.roster.ranked(members)
	var serving, next, lost, others []MemberSummary
	for _, member := range members.All() {
		mention := MemberSummary{Identity: member.Identity, State: member.State}
		switch {
		case member.State == Serving:
			serving = append(serving, mention)
		case ranking.due[member]:
			next = append(next, mention)
		case member.State != Lost:
			others = append(others, mention)
		case now.Since(member.heard) < 2*standbySilence:
			lost = append(lost, mention)
		}
	}
	members.cursor++
	mentions := inTurn(serving, members.cursor, mentionsMost)
	mentions = append(mentions, inTurn(next, members.cursor, mentionsMost)...)
	mentions = append(mentions, inTurn(lost, members.cursor, mentionsMost-len(mentions))...)
	return append(mentions, inTurn(others, members.cursor, mentionsOfStandby)...)
}

// inTurn takes a number of mentions, others each time.
func inTurn(mentions []MemberSummary, turn, most int) []MemberSummary {
	most = min(max(most, 0), len(mentions))
	taken := make([]MemberSummary, 0, most)
	for offset := range most {
		taken = append(taken, mentions[(turn*most+offset)%len(mentions)])
	}
	return taken
}
