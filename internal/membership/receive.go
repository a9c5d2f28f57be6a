package membership

import (
	"cmp"
	"net/netip"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Receive takes another instance's beat. It reports whether anything changed that others should hear of.
func (members *Members) Receive(beat Heartbeat) bool {
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
	members.roster.move(member, address)
	member.take(beat)
	member.heard = now
	member.owed = member.owed || members.owes(beat)
	members.metAt = cmp.Or(members.metAt, now)
	if changed {
		members.roster.changed()
		// It now expects to hear from here more often than before: without a word it would take this instance for lost.
		member.next = 0
	}
	for _, mention := range beat.Summaries {
		changed = members.hearOf(now, beat.State, mention) || changed
	}
	if changed {
		members.changed = now
	}
	return changed
}

// owes reports whether a beat calls for a reply. Whoever speaks to one that leaves may hold it for one that stays, unless it leaves itself.
func (members *Members) owes(beat Heartbeat) bool {
	return beat.WantsReply || members.state == Leaving && beat.State != Leaving
}

// take notes what a beat says of its sender.
func (member *Member) take(beat Heartbeat) {
	member.Identity = beat.Identity
	member.State = beat.State
	member.Incarnation = beat.Incarnation
	member.Sequence = beat.Sequence
	member.Revision = beat.Revision
	member.Version = beat.Version
	member.CatalogFresh = beat.CatalogFresh
	member.Promoted = beat.Promoted
}

// hearOf takes what another instance says of a third.
func (members *Members) hearOf(now clock.Moment, teller State, mention MemberSummary) bool {
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

// hearsayAfter is how long a member must be silent for another one's word to be taken that it is lost. If it were less than the
// time between two of its beats, that word would go round after its return: each that takes it passes it on.
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
