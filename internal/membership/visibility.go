package membership

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// VisibleFraction returns the fraction of all known instances, from 0 to 1, that are visible: those from which heartbeats have come
// as recently as expected, and this instance itself. It falls before instances that are cut off count as lost, since each part of a
// partitioned fleet acts on it at once. An instance that started within the last minute may know only the part of the fleet that it
// is in; its fraction is no larger than that of the visible seeds.
func (members *Members) VisibleFraction() float64 {
	now := members.options.Clock.Now()
	visible := 1
	for _, member := range members.roster.all {
		if members.isVisible(now, member) {
			visible++
		}
	}
	seeds, visibleSeeds := members.countVisibleSeeds(now)
	known := len(members.roster.all) + 1
	if seeds > 0 {
		known += seeds - members.countKnownSeeds()
	}
	fraction := float64(visible) / float64(known)
	if seeds > 0 && now.Since(members.started) < lostRemovalTimeout {
		fraction = min(fraction, float64(visibleSeeds)/float64(seeds))
	}
	return fraction
}

// isVisible reports whether heartbeats have come from the member as recently as expected.
func (members *Members) isVisible(now clock.Moment, member *Member) bool {
	return member.State != Lost && members.silenceDuration(now, member) <= standbyRecency
}

// countVisibleSeeds returns the number of seeds, and how many of them are visible, this instance included; 0 and 0 if there are no
// other seeds.
func (members *Members) countVisibleSeeds(now clock.Moment) (int, int) {
	if !members.hasOtherSeeds() {
		return 0, 0
	}
	visible := 0
	for _, seed := range members.options.Seeds {
		if member, known := members.roster.findByAddress(seed); seed == members.self || known && members.isVisible(now, member) {
			visible++
		}
	}
	return len(members.options.Seeds), visible
}

// countKnownSeeds returns the number of seeds that are known members, this instance included.
func (members *Members) countKnownSeeds() int {
	count := 0
	for _, seed := range members.options.Seeds {
		if _, known := members.roster.findByAddress(seed); known || seed == members.self {
			count++
		}
	}
	return count
}
