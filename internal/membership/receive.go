package membership

import (
	"cmp"
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Receive records another instance's heartbeat. It reports whether the view of the fleet changed in a way that others should learn
// of. Heartbeats that are out of order or repeated are ignored.
func (members *Members) Receive(heartbeat Heartbeat) bool {
	if heartbeat.Identity.Name == members.options.Self.Name {
		return false
	}
	address, err := netip.ParseAddrPort(heartbeat.Identity.Peer)
	if err != nil {
		return false
	}
	now := members.options.Clock.Now()
	member, known := members.roster.byName[heartbeat.Identity.Name]
	if known && member.Incarnation == heartbeat.Incarnation && heartbeat.Sequence <= member.Sequence {
		return false
	}
	if !known {
		member = &Member{discovered: now, Identity: heartbeat.Identity, Address: address}
		members.roster.add(heartbeat.Identity.Name, member)
	}
	changed := !known || member.State != heartbeat.State || member.Incarnation != heartbeat.Incarnation
	members.roster.changeAddress(member, address)
	if member.CatalogFresh != heartbeat.CatalogFresh {
		members.roster.reading = nil
	}
	member.update(now, heartbeat)
	member.lastSeen = now
	member.replyDue = member.replyDue || members.needsReply(heartbeat)
	members.firstContact = cmp.Or(members.firstContact, now)
	if changed {
		members.roster.invalidate()
		// The member now expects heartbeats from this instance more often than before, and would count it as lost without one.
		member.nextHeartbeat = 0
	}
	for _, summary := range heartbeat.Summaries {
		changed = members.receiveSummary(now, heartbeat.State, summary) || changed
	}
	if changed {
		members.changedAt = now
	}
	return changed
}

// needsReply reports whether a heartbeat requires a reply. An instance that is not leaving itself and still sends heartbeats to a
// leaving one may not know that it leaves.
func (members *Members) needsReply(heartbeat Heartbeat) bool {
	return heartbeat.WantsReply || members.state == Leaving && heartbeat.State != Leaving
}

// update sets the member's state from its heartbeat.
func (member *Member) update(now clock.Moment, heartbeat Heartbeat) {
	if member.Incarnation != heartbeat.Incarnation {
		member.load, member.reach = reportedLoad{}, reachState{}
		member.FreshSince = 0
	}
	switch {
	case !heartbeat.CatalogFresh:
		member.FreshSince = 0
	case member.FreshSince == 0:
		member.FreshSince = now
	}
	member.Identity = heartbeat.Identity
	member.State = heartbeat.State
	member.Incarnation = heartbeat.Incarnation
	member.Sequence = heartbeat.Sequence
	member.Revision = heartbeat.Revision
	member.Version = heartbeat.Version
	if heartbeat.Version > catalog.MaxVersion {
		// An instance of an earlier release may have such a configuration in force. No other instance accepts it, and none could catch up.
		member.Version = 0
	}
	member.CatalogFresh = heartbeat.CatalogFresh
	member.Promoted = heartbeat.Promoted
}

// receiveSummary records what another instance reports of a third one.
func (members *Members) receiveSummary(now clock.Moment, reporterState State, summary MemberSummary) bool {
	if summary.Identity.Name == members.options.Self.Name {
		return false
	}
	address, err := netip.ParseAddrPort(summary.Identity.Peer)
	if err != nil {
		return false
	}
	member, known := members.roster.byName[summary.Identity.Name]
	switch {
	case !known && summary.State == Lost:
		return false
	case !known:
		// An indirect report makes the member known and queried. It counts as alive for a limited time until its own heartbeat comes,
		// for longer if it is reported to serve.
		members.roster.add(summary.Identity.Name, &Member{
			Identity: summary.Identity, Address: address, State: summary.State, discovered: now, lastSeen: members.initialLastSeen(now, summary.State),
		})
		return true
	case summary.State == Lost && reporterState == Serving && member.State != Lost && now.Since(member.lastSeen) > members.indirectLossTimeout(member):
		member.State = Lost
		members.roster.invalidate()
		return true
	case summary.State == Serving && member.State != Serving:
		// An indirect report may be out of date: a member that has just stopped serving would seem to serve again, and then to be lost
		// since its heartbeats are rare. A heartbeat to the member settles it.
		member.replyDue = true
	}
	return false
}

// indirectLossTimeout returns the time without a heartbeat from a member after which an indirect report of its loss is accepted. If it
// were less than the time between two of its heartbeats, such a report would keep circulating after the member's return: each
// instance that accepts it passes it on.
func (members *Members) indirectLossTimeout(member *Member) clock.Milliseconds {
	if member.State == Serving {
		return servingRecency
	}
	return standbyRecency
}

// initialLastSeen returns the time at which a member known only from an indirect report is taken to have been seen.
func (members *Members) initialLastSeen(now clock.Moment, state State) clock.Moment {
	if state == Serving {
		return now
	}
	return now.Add(-standbyTimeout / 2)
}
