package membership

import (
	"cmp"
	"net/netip"
	"slices"

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
