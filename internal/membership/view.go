package membership

import (
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Alive returns the other instances that count as alive, by name. The list is not to be changed.
func (members *Members) Alive() []*Member {
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
	return filter(members.Alive(), func(member *Member) bool { return member.unreachable == 0 || now.Since(member.unreachable) >= avoidFor })
}

// NewestConfiguredRevision returns the newest revision of any other instance that has a configuration, 0 if there is none.
func (members *Members) NewestConfiguredRevision() catalog.Revision {
	var newest catalog.Revision
	for _, member := range members.roster.listLiving() {
		if member.Version > 0 {
			newest = max(newest, member.Revision)
		}
	}
	return newest
}

// CandidateAddresses returns the callers' addresses of those that should serve next and have just spoken to this instance, as far as they
// don't leave. Of the others it would not hear that they leave. It names itself if it is one of them, or knows of none.
func (members *Members) CandidateAddresses() []string {
	var present []string
	now := members.options.Clock.Now()
	leading := members.roster.ranked(members).leading
	for _, member := range members.roster.listLiving() {
		spoke := member.Sequence > 0 && now.Since(member.heard) <= rarelyHeard
		if spoke && member.State != Leaving && leading[member] {
			present = append(present, member.Identity.Caller)
		}
	}
	if members.state != Leaving && (len(present) == 0 || members.TopRanked()) {
		present = append(present, members.options.Self.Caller)
	}
	return present
}

// ServingPeers returns the other instances that serve, by name. The list is not to be changed.
func (members *Members) ServingPeers() []*Member {
	return members.roster.listServing()
}

// All returns every known member, by name. The list is not to be changed.
func (members *Members) All() []*Member {
	return members.roster.all
}

// Leaders is what those that serve tell of the catalog.
type Leaders struct {
	// NewestRevision is the newest revision that one of them has.
	NewestRevision catalog.Revision
	// LastSeen is when one of them was last heard, LastFresh when one whose view is fresh was; 0 when there is none.
	LastSeen, LastFresh clock.Moment
}

// Leaders returns what the other instances that serve tell.
func (members *Members) Leaders() Leaders {
	var leaders Leaders
	for _, peer := range members.ServingPeers() {
		leaders.NewestRevision = max(leaders.NewestRevision, peer.Revision)
		leaders.LastSeen = max(leaders.LastSeen, peer.heard)
		if peer.CatalogFresh {
			leaders.LastFresh = max(leaders.LastFresh, peer.heard)
		}
	}
	return leaders
}

// RecordMessage notes that an instance that serves has sent something else than a beat.
func (members *Members) RecordMessage(incarnation Incarnation) {
	for _, peer := range members.ServingPeers() {
		if peer.Incarnation == incarnation {
			peer.spoke = members.options.Clock.Now()
		}
	}
}

// CountRecentServing returns how many of the instances that serve were heard within the given time, and how many serve, this one included in both.
func (members *Members) CountRecentServing(within clock.Milliseconds) (int, int) {
	now := members.options.Clock.Now()
	heard := 1
	for _, peer := range members.ServingPeers() {
		if now.Since(max(peer.heard, peer.spoke)) <= within {
			heard++
		}
	}
	return heard, len(members.ServingPeers()) + 1
}

// CatalogFresh reports whether this instance itself reads the catalog and is answered.
func (members *Members) CatalogFresh() bool {
	return members.fresh
}
