package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"sort"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// MemberSummary is the part of a heartbeat that describes another member.
type MemberSummary struct {
	_        struct{} `cbor:",toarray"`
	Identity Identity
	State    State
}

// Heartbeat announces that its sender is alive, and the state and catalog that it has.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Identity    Identity
	Incarnation Incarnation
	Sequence    uint64
	State       State
	// Revision and Version are those of the sender's catalog.
	Revision catalog.Revision
	Version  catalog.Version
	// CatalogFresh is whether the sender itself reads the store and the store answers.
	CatalogFresh bool
	// WantsReply is whether the sender looks for serving instances and waits for a reply.
	WantsReply bool
	Summaries  []MemberSummary
	// Promoted are the standby instances that should begin to serve, in the view of a serving sender.
	Promoted []settings.InstanceName
}

// DueHeartbeats returns the addresses to which a heartbeat is due now, and records them as sent.
func (members *Members) DueHeartbeats() []netip.AddrPort {
	now := members.options.Clock.Now()
	var due []netip.AddrPort
	leaderless := members.Leaderless()
	for _, member := range members.roster.all {
		interval, wanted := members.heartbeatInterval(member, leaderless)
		mayRepeat := members.load.wantedServing == 0 || now.Since(member.lastSent) >= minHeartbeatInterval
		scheduled := wanted && mayRepeat && now >= member.nextHeartbeat
		replyDue := member.replyDue && now.Since(member.lastSent) >= minReplyInterval
		if scheduled || replyDue {
			member.nextHeartbeat = now.Add(interval)
			member.lastSent = now
			member.replyDue, member.lastWasReply = false, !scheduled
			due = append(due, member.Address)
		}
	}
	for _, seed := range members.options.Seeds {
		if now < members.nextSeedHeartbeat[seed] || seed == members.self || members.isActive(seed) {
			continue
		}
		interval := lostInterval
		if now.Since(members.started) < seedDiscoveryPeriod {
			interval = joinInterval
		}
		members.nextSeedHeartbeat[seed] = now.Add(interval)
		due = append(due, seed)
	}
	return due
}

// isActive reports whether a heartbeat came from the address and its member is not lost.
func (members *Members) isActive(address netip.AddrPort) bool {
	member, known := members.roster.findByAddress(address)
	return known && member.State != Lost && member.lastSeen > 0
}

// Leaderless reports whether no serving instance is known.
func (members *Members) Leaderless() bool {
	return members.state != Serving && len(members.ServingPeers()) == 0
}

// isQueried reports whether the member is queried while no serving instance is known: it is top-ranked, or a seed, which other
// instances query too.
func (members *Members) isQueried(member *Member) bool {
	return members.roster.currentRanking(members).topRanked[member] || members.isSeed(member.Address)
}

// isLocalOrSeed reports whether the member knows the ranking of this instance's data centre: members of that data centre and seeds
// do.
func (members *Members) isLocalOrSeed(member *Member) bool {
	return member.Identity.DataCentre == members.options.Self.DataCentre || members.isSeed(member.Address)
}

// heartbeatInterval returns the time between two heartbeats to a member, and whether it is sent any. In a fleet that has just
// started, no instance contacts all others: the number of datagrams would grow with the square of the number of instances.
func (members *Members) heartbeatInterval(member *Member, leaderless bool) (clock.Milliseconds, bool) {
	serves := members.state == Serving
	switch {
	case member.State == Lost:
		return lostInterval, serves || leaderless
	case members.suspectingSince > 0 && member.State == Serving:
		return servingInterval, true
	case members.state == Joining:
		return joinInterval, member.State == Serving || members.isLocalOrSeed(member) && members.isQueried(member)
	case serves && (member.State == Serving || member.State == Joining):
		return servingInterval, true
	case serves || member.State == Serving:
		return standbyInterval, true
	case members.state == Leaving:
		return standbyInterval, member.nextHeartbeat == 0
	default:
		return members.queryInterval(member), leaderless && members.isQueried(member)
	}
}

// queryInterval is the time between two heartbeats to a queried member while no serving instance is known.
func (members *Members) queryInterval(member *Member) clock.Milliseconds {
	if members.isLocalOrSeed(member) && members.options.Clock.Now().Since(members.started) < startupPeriod {
		return joinInterval
	}
	return servingInterval
}

// NewHeartbeat returns the next heartbeat for the receiver at the address.
func (members *Members) NewHeartbeat(to netip.AddrPort) Heartbeat {
	members.sequence++
	heartbeat := Heartbeat{
		Identity: members.options.Self, Incarnation: members.options.Incarnation, Sequence: members.sequence, State: members.state,
		Revision: members.revision, Version: members.version, CatalogFresh: members.fresh, Promoted: members.promotionsFor(to),
	}
	if member, known := members.roster.findByAddress(to); members.state == Joining || members.suspectingSince > 0 || members.Leaderless() {
		heartbeat.WantsReply = !known || !member.lastWasReply
	}
	if !members.includesSummaries(to) {
		return heartbeat
	}
	heartbeat.Summaries = members.summaries(to)
	return heartbeat
}

// includesSummaries reports whether the next heartbeat to the receiver contains member summaries: for some time after a change, and
// periodically in case those heartbeats were lost. Summaries make up most of a heartbeat's bytes. Of a change, others learn from the
// instances alone that announce it.
func (members *Members) includesSummaries(to netip.AddrPort) bool {
	if members.sequence%heartbeatsPerSummaries == 0 {
		return true
	}
	member, known := members.roster.findByAddress(to)
	if known && members.state == Serving && !members.announces() {
		return member.lastWasReply
	}
	if members.options.Clock.Now().Since(members.changedAt) < changeSummaryPeriod {
		return true
	}
	return !known || member.lastWasReply
}

// summaryLists are the members that heartbeats summarize. They are kept until the state of a member changes: a serving instance sends a
// heartbeat a second to each other instance, and lists made anew for each would take a time that grows with the square of the fleet.
type summaryLists struct {
	serving, toPromote, others []MemberSummary
	// lost are the lost members, the one seen last first, with the times at which they were seen in lostAt.
	lost   []MemberSummary
	lostAt []clock.Moment
	// next are the standby instances of each data centre that serve next.
	next map[settings.DataCentreName][]MemberSummary
}

// newSummaryLists returns the summary lists of the present members.
func (members *Members) newSummaryLists() *summaryLists {
	ranking := members.roster.currentRanking(members)
	lists := &summaryLists{next: map[settings.DataCentreName][]MemberSummary{}}
	var lost []*Member
	for _, member := range members.All() {
		summary := MemberSummary{Identity: member.Identity, State: member.State}
		switch {
		case member.State == Serving:
			lists.serving = append(lists.serving, summary)
		case ranking.toPromote[member]:
			lists.toPromote = append(lists.toPromote, summary)
		case member.State == Lost:
			lost = append(lost, member)
		default:
			lists.others = append(lists.others, summary)
			if ranking.topRanked[member] {
				dataCentre := member.Identity.DataCentre
				lists.next[dataCentre] = append(lists.next[dataCentre], summary)
			}
		}
	}
	slices.SortStableFunc(lost, func(left, right *Member) int { return cmp.Compare(right.lastSeen, left.lastSeen) })
	for _, member := range lost {
		lists.lost = append(lists.lost, MemberSummary{Identity: member.Identity, State: Lost})
		lists.lostAt = append(lists.lostAt, member.lastSeen)
	}
	return lists
}

// lostSince returns the lost members that were seen at the given time or later.
func (summaryLists *summaryLists) lostSince(since clock.Moment) []MemberSummary {
	count := sort.Search(len(summaryLists.lost), func(index int) bool { return summaryLists.lostAt[index] < since })
	return summaryLists.lost[:count]
}

// summaries returns the member summaries for one heartbeat to the address: first serving members, members to promote, those that serve next
// in the receiver's data centre and recently lost ones, then the others in turn. Instances on standby must know those that serve next. If
// they learned of them only in turn, most instances of a large fleet would each take themselves for one of these when all that serve are
// lost. Standby instances send summaries too: after a restart of the whole fleet, the serving instances may know only the seeds.
func (members *Members) summaries(to netip.AddrPort) []MemberSummary {
	lists := members.roster.currentSummaryLists(members)
	now := members.options.Clock.Now()
	dataCentre := members.options.Self.DataCentre
	if receiver, known := members.roster.findByAddress(to); known {
		dataCentre = receiver.Identity.DataCentre
	}
	members.summaryCursor++
	summaries := rotate(lists.serving, members.summaryCursor, maxSummaries)
	summaries = append(summaries, rotate(lists.toPromote, members.summaryCursor, maxSummaries)...)
	summaries = append(summaries, rotate(lists.next[dataCentre], members.summaryCursor, maxSummaries)...)
	summaries = append(summaries, rotate(lists.lostSince(now.Add(-2*standbyTimeout)), members.summaryCursor, maxSummaries-len(summaries))...)
	return append(summaries, rotate(lists.others, members.summaryCursor, maxStandbySummaries)...)
}

// rotate returns up to count summaries, the next ones with each turn.
func rotate(summaries []MemberSummary, turn, count int) []MemberSummary {
	count = min(max(count, 0), len(summaries))
	selected := make([]MemberSummary, 0, count)
	for offset := range count {
		selected = append(selected, summaries[(turn*count+offset)%len(summaries)])
	}
	return selected
}
