package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Serving returns the instances that callers are to use and that answer for backend servers, by name: of those that
// serve, as many in each data centre as are needed. After all were restarted at once more may serve for a while; nobody has
// to wait until they have stopped.
func (members *Members) Serving() []Identity {
	byDataCentre, places := members.candidates()
	var serving []Identity
	for _, candidates := range byDataCentre {
		for _, candidate := range candidates[:min(places, len(candidates))] {
			if candidate.serving {
				serving = append(serving, candidate.identity)
			}
		}
	}
	slices.SortFunc(serving, func(left, right Identity) int { return cmp.Compare(left.Name, right.Name) })
	return serving
}

// ranked is an instance that could serve.
type ranked struct {
	identity      Identity
	serving, seed bool
	// member is nil for this instance itself.
	member *Member
}

// calls returns the instances that should begin to serve. Serving ones know all that stand by; those don't know each other,
// and several would take over from one that is lost.
func (members *Members) calls() []settings.InstanceName {
	if members.state != Serving || members.options.Clock.Now().Since(members.stateFrom) < callAfter {
		return nil
	}
	var called []settings.InstanceName
	byDataCentre, places := members.candidates()
	for _, candidates := range byDataCentre {
		for _, candidate := range candidates[:min(places, len(candidates))] {
			if !candidate.serving {
				called = append(called, candidate.identity.Name)
			}
		}
	}
	return called
}

// called reports whether a serving instance has just called this one to serve. Calls that are old by now, or that rest on
// less than is known here, are not followed.
func (members *Members) called() bool {
	now := members.options.Clock.Now()
	byDataCentre, places := members.candidates()
	serving := 0
	for _, candidate := range byDataCentre[members.options.Self.DataCentre] {
		if candidate.serving && candidate.identity.Size >= members.options.Self.Size {
			serving++
		}
	}
	return serving < places && slices.ContainsFunc(members.Peers(), func(peer *Member) bool {
		return now.Since(peer.heard) < callHolds && slices.Contains(peer.Called, members.options.Self.Name)
	})
}

// Needed reports whether this instance should serve. One that stands by is called by those that serve; where nobody does,
// and for one that serves already, it has to be among the first of its data centre. Larger ones come before
// smaller ones, which can't carry as much; of equal ones those that serve already come before the others, so that nobody
// moves when an instance returns. Seeds come last: they have the most to do when many start, and what callers hold should not depend
// on the same machines as what instances are found by.
func (members *Members) Needed() bool {
	if members.state == Leaving || members.state == Joining {
		return false
	}
	now := members.options.Clock.Now()
	starting := now.Since(members.started) < startsFor
	switch {
	case members.state == StandingBy && !members.Leaderless() && !starting:
		return members.called()
	case members.state == StandingBy && starting && members.hears(now):
		return false
	}
	byDataCentre, places := members.candidates()
	own := byDataCentre[members.options.Self.DataCentre]
	for _, candidate := range own[:min(places, len(own))] {
		if candidate.identity.Name == members.options.Self.Name {
			return true
		}
	}
	return false
}

// ranking is who serves or could, by data centre and in the order in which they should, and the number that is needed in
// each.
type ranking struct {
	byDataCentre map[settings.DataCentreName][]ranked
	places       int
	// leading are the members that come first in their data centre, some more than are needed; due are those that should serve and don't.
	leading, due map[*Member]bool
}

// leadingSpare is the number of members in each data centre that count as leading beyond those that are needed: the first may just
// have died.
const leadingSpare = 1

// candidates returns the ranking of this instance and all others that live.
func (members *Members) candidates() (map[settings.DataCentreName][]ranked, int) {
	ranking := members.roster.ranked(members)
	return ranking.byDataCentre, ranking.places
}

func (members *Members) rank() *ranking {
	byDataCentre := map[settings.DataCentreName][]ranked{}
	add := func(candidate ranked) {
		byDataCentre[candidate.identity.DataCentre] = append(byDataCentre[candidate.identity.DataCentre], candidate)
	}
	if members.state != Leaving {
		add(ranked{identity: members.options.Self, serving: members.state == Serving, seed: members.isSeed(members.self)})
	}
	for _, member := range members.roster.listLiving() {
		// One that is joining stands by within a moment. If it were left out, all that were restarted together would find
		// themselves first, since they cease to join at the same time.
		if member.State != Leaving {
			add(ranked{identity: member.Identity, serving: member.State == Serving, seed: members.isSeed(member.Address), member: member})
		}
	}
	for _, candidates := range byDataCentre {
		slices.SortFunc(candidates, func(left, right ranked) int {
			return cmp.Or(
				right.identity.Size-left.identity.Size,
				boolOrder(right.serving)-boolOrder(left.serving),
				boolOrder(left.seed)-boolOrder(right.seed),
				cmp.Compare(left.identity.Name, right.identity.Name),
			)
		})
	}
	dataCentres := max(len(byDataCentre), 1)
	ranking := &ranking{
		byDataCentre: byDataCentre, places: (servingLeast + dataCentres - 1) / dataCentres, leading: map[*Member]bool{}, due: map[*Member]bool{},
	}
	for _, candidates := range byDataCentre {
		ranking.note(candidates)
	}
	return ranking
}

// note notes which of a data centre's candidates are leading, and which should serve and don't.
func (ranking *ranking) note(candidates []ranked) {
	for place, candidate := range candidates[:min(ranking.places+leadingSpare, len(candidates))] {
		if candidate.member == nil {
			continue
		}
		ranking.leading[candidate.member] = true
		ranking.due[candidate.member] = place < ranking.places && !candidate.serving
	}
}

// Leading reports whether this instance comes first in its data centre, or is the next to.
func (members *Members) Leading() bool {
	byDataCentre, places := members.candidates()
	own := byDataCentre[members.options.Self.DataCentre]
	return slices.ContainsFunc(own[:min(places+leadingSpare, len(own))], func(candidate ranked) bool { return candidate.member == nil })
}

// hears reports whether this instance, which has just started, has yet to hear of those that come before it.
func (members *Members) hears(now clock.Moment) bool {
	if members.metAt > 0 {
		return now.Since(members.metAt) < hearsFor
	}
	return members.seeks() && now.Since(members.started) < meetsWithin
}

// seeks reports whether there are other instances to look for.
func (members *Members) seeks() bool {
	return slices.ContainsFunc(members.options.Seeds, func(seed netip.AddrPort) bool { return seed != members.self })
}

// isSeed reports whether others look for the instance at the address when they start.
func (members *Members) isSeed(address netip.AddrPort) bool {
	return slices.Contains(members.options.Seeds, address)
}

func boolOrder(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Unneeded reports whether this instance has served for a while without being needed.
func (members *Members) Unneeded() bool {
	now := members.options.Clock.Now()
	if members.state != Serving || members.Needed() {
		members.unneeded = 0
		return false
	}
	if members.unneeded == 0 {
		members.unneeded = now
	}
	return now.Since(members.unneeded) >= demoteAfter
}
