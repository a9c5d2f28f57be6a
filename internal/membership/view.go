package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Alive returns the other instances that are not lost, by name. Callers must not change the list.
func (members *Members) Alive() []*Member {
	return members.roster.listAlive()
}

// SetUnreachable records that the instance at the address did not answer a request.
func (members *Members) SetUnreachable(address netip.AddrPort) {
	if member, known := members.roster.findByAddress(address); known {
		member.unreachableAt = members.options.Clock.Now()
	}
}

// Reachable returns the other instances that are alive and have not recently failed to answer a request, by name.
func (members *Members) Reachable() []*Member {
	now := members.options.Clock.Now()
	return filter(members.Alive(), func(member *Member) bool {
		return member.unreachableAt == 0 || now.Since(member.unreachableAt) >= unreachableRetryDelay
	})
}

// NewestConfiguredRevision returns the newest revision of any other instance that has a configuration, 0 if there is none.
func (members *Members) NewestConfiguredRevision() catalog.Revision {
	var newest catalog.Revision
	for _, member := range members.roster.listAlive() {
		if member.Version > 0 {
			newest = max(newest, member.Revision)
		}
	}
	return newest
}

// CandidateAddresses returns the addresses for callers of the top-ranked instances whose heartbeats came recently and that are not
// leaving. From other instances this one would not learn that they leave. Its own address is included if it is top-ranked, or if
// there is no other.
func (members *Members) CandidateAddresses() []string {
	var addresses []string
	now := members.options.Clock.Now()
	topRanked := members.roster.currentRanking(members).topRanked
	for _, member := range members.roster.listAlive() {
		recent := member.Sequence > 0 && now.Since(member.lastSeen) <= standbyRecency
		if recent && member.State != Leaving && topRanked[member] {
			addresses = append(addresses, member.Identity.Caller)
		}
	}
	if members.state != Leaving && (len(addresses) == 0 || members.TopRanked()) {
		addresses = append(addresses, members.options.Self.Caller)
	}
	return addresses
}

// ServingPeers returns the other instances that serve, by name. Callers must not change the list.
func (members *Members) ServingPeers() []*Member {
	return members.roster.listServing()
}

// All returns every known member, by name. Callers must not change the list.
func (members *Members) All() []*Member {
	return members.roster.all
}

// Leaders summarizes what the other instances that serve, or read the store in their place, report of their catalogs.
type Leaders struct {
	// NewestRevision is the newest revision that one of them has, NewestVersion the newest version.
	NewestRevision catalog.Revision
	NewestVersion  catalog.Version
	// Unanswered is the number of serving instances that get no answers of the store.
	Unanswered int
	// Replaced is whether an instance that does not serve reads the store and gets answers.
	Replaced bool
	// LastSeen is when the last heartbeat of a serving instance came, LastFresh when the last one of those came whose catalog is
	// fresh; 0 when there is none.
	LastSeen, LastFresh clock.Moment
}

// Leaders returns what the other instances that serve, or read the store in their place, report of their catalogs.
func (members *Members) Leaders() Leaders {
	var leaders Leaders
	for _, peer := range members.roster.listReading() {
		leaders.NewestRevision = max(leaders.NewestRevision, peer.Revision)
		leaders.NewestVersion = max(leaders.NewestVersion, peer.Version)
		switch {
		case peer.State != Serving:
			leaders.Replaced = true
			continue
		case peer.CatalogFresh:
			leaders.LastFresh = max(leaders.LastFresh, peer.lastSeen)
		default:
			leaders.Unanswered++
		}
		leaders.LastSeen = max(leaders.LastSeen, peer.lastSeen)
	}
	return leaders
}

// ServingPosition returns the position of this instance among all that serve, by name, and their number. It is counted as serving.
func (members *Members) ServingPosition() (int, int) {
	serving := members.ServingPeers()
	position, _ := slices.BinarySearchFunc(serving, members.options.Self.Name, func(member *Member, name settings.InstanceName) int {
		return cmp.Compare(member.Identity.Name, name)
	})
	return position, len(serving) + 1
}

// RecordMessage records that a serving instance has sent a message other than a heartbeat.
func (members *Members) RecordMessage(incarnation Incarnation) {
	for _, peer := range members.ServingPeers() {
		if peer.Incarnation == incarnation {
			peer.lastOtherMessage = members.options.Clock.Now()
		}
	}
}

// CountRecentServing returns the number of serving instances from which a message came within the given time, and the number of all
// serving instances, this one included in both.
func (members *Members) CountRecentServing(within clock.Milliseconds) (int, int) {
	now := members.options.Clock.Now()
	recent := 1
	for _, peer := range members.ServingPeers() {
		if now.Since(max(peer.lastSeen, peer.lastOtherMessage)) <= within {
			recent++
		}
	}
	return recent, len(members.ServingPeers()) + 1
}

// CatalogFresh reports whether this instance itself reads the store and the store answers.
func (members *Members) CatalogFresh() bool {
	return members.fresh
}
