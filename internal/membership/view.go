package membership

import (
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

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

// Present returns the callers' addresses of those that should serve next and have just spoken to this instance, as far as they
// don't leave. Of the others it would not hear that they leave. It names itself if it is one of them, or knows of none.
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

// SetSpoke notes that an instance that serves has sent something else than a beat.
func (members *Members) SetSpoke(incarnation Incarnation) {
	for _, peer := range members.Peers() {
		if peer.Incarnation == incarnation {
			peer.spoke = members.options.Clock.Now()
		}
	}
}

// ServingHeard returns how many of the instances that serve were heard within the given time, and how many serve, this one included in both.
func (members *Members) ServingHeard(within clock.Milliseconds) (int, int) {
	now := members.options.Clock.Now()
	heard := 1
	for _, peer := range members.Peers() {
		if now.Since(max(peer.heard, peer.spoke)) <= within {
			heard++
		}
	}
	return heard, len(members.Peers()) + 1
}

// CatalogFresh reports whether this instance itself reads the catalog and is answered.
func (members *Members) CatalogFresh() bool {
	return members.fresh
}
