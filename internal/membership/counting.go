package membership

import (
	"cmp"
	"slices"
)

// Counting returns the other instances that count the requests to limited backend servers together, and whether this one does. However
// many serve, these are minServing at most: each of them may use the tokens that it has before it hears of the others' requests, so the
// excess over a limit grows with their number.
func (members *Members) Counting() (peers []*Member, self bool) {
	ranking := members.roster.currentRanking(members)
	return ranking.countingPeers, ranking.selfCounts
}

// selectCounting selects the instances that count together: the first that serve of each data centre, and of these the highest-ranked of
// the whole fleet.
func (ranking *ranking) selectCounting() {
	var first []rankedInstance
	for _, candidates := range ranking.byDataCentre {
		left := ranking.perDataCentre
		for _, candidate := range candidates {
			if candidate.serving && left > 0 {
				first = append(first, candidate)
				left--
			}
		}
	}
	slices.SortFunc(first, compareRank)
	for _, candidate := range first[:min(minServing, len(first))] {
		if candidate.member == nil {
			ranking.selfCounts = true
		} else {
			ranking.countingPeers = append(ranking.countingPeers, candidate.member)
		}
	}
}

// compareRank orders instances by the order in which they should serve.
func compareRank(left, right rankedInstance) int {
	return cmp.Or(
		boolOrder(left.isolated)-boolOrder(right.isolated),
		right.identity.Size-left.identity.Size,
		boolOrder(right.serving)-boolOrder(left.serving),
		boolOrder(left.seed)-boolOrder(right.seed),
		cmp.Compare(left.identity.Name, right.identity.Name),
	)
}
