package membership

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// VisibleFraction is the part of all instances known that have spoken as recently as they should, this one included. It falls before those that are
// cut off count as lost, since each part of a fleet that falls apart goes by it at once. One that has started within the last minute may
// know only the part of the fleet in which it is; it sees no larger part of the whole than of the seeds.
func (members *Members) VisibleFraction() float64 {
	now := members.options.Clock.Now()
	seen := 1
	for _, member := range members.roster.all {
		if members.seen(now, member) {
			seen++
		}
	}
	seeds, seedsSeen := members.seedsSeen(now)
	known := len(members.roster.all) + 1
	if seeds > 0 {
		known += seeds - members.seedsMet()
	}
	sight := float64(seen) / float64(known)
	if seeds > 0 && now.Since(members.started) < forgetAfter {
		sight = min(sight, float64(seedsSeen)/float64(seeds))
	}
	return sight
}

// seen reports whether a member has spoken as recently as it should.
func (members *Members) seen(now clock.Moment, member *Member) bool {
	return member.State != Lost && members.silentFor(now, member) <= rarelyHeard
}

// seedsSeen returns the number of seeds, and of those that are seen, this instance included; none when it is the only one.
func (members *Members) seedsSeen(now clock.Moment) (int, int) {
	if !members.seeks() {
		return 0, 0
	}
	seen := 0
	for _, seed := range members.options.Seeds {
		if member, met := members.roster.at(seed); seed == members.self || met && members.seen(now, member) {
			seen++
		}
	}
	return len(members.options.Seeds), seen
}

// seedsMet is the number of seeds that are known by name, this instance included.
func (members *Members) seedsMet() int {
	met := 0
	for _, seed := range members.options.Seeds {
		if _, known := members.roster.at(seed); known || seed == members.self {
			met++
		}
	}
	return met
}
