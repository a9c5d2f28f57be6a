package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Serving returns the instances that callers should use and that own backend servers, by name: as many of the serving instances of
// each data centre as are needed. After a restart of the whole fleet more may serve for a while; the surplus is left out before it
// has stopped serving.
func (members *Members) Serving() []Identity {
	ranking := members.roster.currentRanking(members)
	var serving []Identity
	for dataCentre, candidates := range ranking.byDataCentre {
		left := ranking.needed[dataCentre]
		for _, candidate := range candidates {
			if candidate.serving && left > 0 {
				serving = append(serving, candidate.identity)
				left--
			}
		}
	}
	slices.SortFunc(serving, func(left, right Identity) int { return cmp.Compare(left.Name, right.Name) })
	return serving
}

// rankedInstance is an instance that could serve.
type rankedInstance struct {
	identity      Identity
	serving, seed bool
	// isolated instances reach no backend server. They rank last.
	isolated bool
	// member is nil for this instance itself.
	member *Member
}

// ranking is the instances of each data centre that serve or could serve, in the order in which they should.
type ranking struct {
	byDataCentre map[settings.DataCentreName][]rankedInstance
	// perDataCentre is the minimum number of instances that should serve in each data centre, minimum that of the whole fleet. needed
	// is the number that should serve in each data centre at the present load.
	perDataCentre, minimum int
	needed                 map[settings.DataCentreName]int
	// anyReaches is whether any instance that could serve is not isolated.
	anyReaches bool
	// sizes are the sizes of all candidates in the order in which they begin to serve as load increases.
	sizes []int
	// topRanked are the first members of each data centre, spare candidates included. toPromote are the members that should serve
	// and do not.
	topRanked, toPromote map[*Member]bool
	// countingPeers are the members that count requests to limited backend servers together, selfCounts is whether this instance does.
	countingPeers []*Member
	selfCounts    bool
}

// spareCandidates is the number of top-ranked members in each data centre beyond those that are needed: the first may just have
// failed.
const spareCandidates = 1

// ownCandidates returns the ranked instances of this instance's own data centre, and the number of them that should serve.
func (members *Members) ownCandidates() ([]rankedInstance, int) {
	ranking := members.roster.currentRanking(members)
	dataCentre := members.options.Self.DataCentre
	return ranking.byDataCentre[dataCentre], ranking.needed[dataCentre]
}

// amongMinimum reports whether this instance serves at any load.
func (members *Members) amongMinimum() bool {
	ranking := members.roster.currentRanking(members)
	candidates := ranking.byDataCentre[members.options.Self.DataCentre]
	return slices.ContainsFunc(candidates[:min(ranking.perDataCentre, len(candidates))], func(candidate rankedInstance) bool { return candidate.member == nil })
}

// announces reports whether this instance tells all others of changes that it learns of. While more than the minimum serve, that is left
// to the first serving ones of each data centre, as many as the minimum: with fifty that serve, each change would otherwise bring each
// instance fifty heartbeats at once, which fill a link of 10 Mbit/s.
func (members *Members) announces() bool {
	if members.state != Serving {
		return false
	}
	ranking := members.roster.currentRanking(members)
	earlier := 0
	for _, candidate := range ranking.byDataCentre[members.options.Self.DataCentre] {
		switch {
		case candidate.member == nil:
			return earlier < ranking.perDataCentre
		case candidate.serving && !candidate.isolated:
			earlier++
		}
	}
	return false
}

func (members *Members) rank() *ranking {
	byDataCentre := map[settings.DataCentreName][]rankedInstance{}
	add := func(candidate rankedInstance) {
		byDataCentre[candidate.identity.DataCentre] = append(byDataCentre[candidate.identity.DataCentre], candidate)
	}
	if members.state != Leaving {
		add(rankedInstance{
			identity: members.options.Self, serving: members.state == Serving, seed: members.isSeed(members.self), isolated: members.reach.ranksLast,
		})
	}
	for _, member := range members.roster.listAlive() {
		// Joining members count, as they go to standby within a moment. Otherwise all instances that restart together would each
		// rank themselves first, since they finish joining at the same time.
		if member.State != Leaving {
			add(rankedInstance{
				identity: member.Identity, serving: member.State == Serving, seed: members.isSeed(member.Address), isolated: member.reach.ranksLast, member: member,
			})
		}
	}
	for _, candidates := range byDataCentre {
		slices.SortFunc(candidates, compareRank)
	}
	dataCentres := max(len(byDataCentre), 1)
	ranking := &ranking{
		byDataCentre: byDataCentre, perDataCentre: (minServing + dataCentres - 1) / dataCentres, topRanked: map[*Member]bool{}, toPromote: map[*Member]bool{},
		needed: map[settings.DataCentreName]int{},
	}
	for _, candidates := range byDataCentre {
		ranking.anyReaches = ranking.anyReaches || slices.ContainsFunc(candidates, func(candidate rankedInstance) bool { return !candidate.isolated })
	}
	ranking.selectCounting()
	ranking.addSurplus(members.load.wantedServing)
	for dataCentre, candidates := range byDataCentre {
		ranking.classify(candidates, ranking.needed[dataCentre])
	}
	return ranking
}

// classify records which candidates of a data centre are top-ranked, and which of them to promote so that the needed number serves.
func (ranking *ranking) classify(candidates []rankedInstance, needed int) {
	for position, candidate := range candidates[:min(needed+spareCandidates, len(candidates))] {
		if candidate.member == nil {
			continue
		}
		ranking.topRanked[candidate.member] = true
		ranking.toPromote[candidate.member] = position < needed && !candidate.serving
	}
}

// isSeed reports whether the address is one of the seeds, through which starting instances discover the others.
func (members *Members) isSeed(address netip.AddrPort) bool {
	return slices.Contains(members.options.Seeds, address)
}

func boolOrder(value bool) int {
	if value {
		return 1
	}
	return 0
}
