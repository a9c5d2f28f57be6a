package membership

import "github.com/jaywheel/jaywheel/pkg/clock"

// A leaving instance announces how many others should serve after it. Large instances carry as much as many small ones, and when all of
// them leave together, no instance that stays has seen the load.

// beginHandover records the load of the instances that serve or leave, at the moment when this one begins to leave. What they use later
// does not count: their callers move, and would count twice.
func (members *Members) beginHandover() {
	now := members.options.Clock.Now()
	load := members.servingLoad(now)
	for _, member := range members.roster.all {
		if member.State == Leaving && member.load.current(now) {
			load += member.carriedLoad()
		}
	}
	members.load.handedOver = load / float64(FullUtilization)
}

// updateHandover determines how many of the instances that stay should serve. An increase is not limited to maxGrowth, since the load was
// measured where it was borne. If this instance could not bear its part, the load is not known, and the number grows as ever. The number
// is announced to all at most once in growDelay: when a hundred instances leave, their ranking changes with each of them.
func (members *Members) updateHandover(now clock.Moment) {
	if members.load.utilization > maxServingUtilization || members.load.handedOverAt > 0 && now.Since(members.load.handedOverAt) < growDelay {
		return
	}
	ranking := members.roster.currentRanking(members)
	load := members.load.handedOver
	if countForLoad(load, ranking.sizes, ranking.minimum, maxServingUtilization) > max(members.load.ownWanted, ranking.minimum) {
		members.load.ownWanted = countForLoad(load, ranking.sizes, ranking.minimum, targetUtilization)
		members.load.handedOverAt = now
		members.expediteLoadReports()
	}
}

// handsOver reports whether a leaving instance announces how many instances should serve after it.
func (members *Members) handsOver() bool {
	return members.state == Leaving && members.load.ownWanted > 0
}

// carriedLoad returns the processor capacity that the member uses by its last report, in thousandths of its FullUtilization.
func (member *Member) carriedLoad() float64 {
	return float64(member.load.utilization) * float64(member.Identity.Size)
}

// wantedByPeers returns the largest number of instances that should serve by the current reports of instances that serve or leave.
func (members *Members) wantedByPeers(now clock.Moment) int {
	wanted := 0
	for _, member := range members.roster.all {
		if (member.State == Serving || member.State == Leaving) && member.load.current(now) {
			wanted = max(wanted, member.load.wantedServing)
		}
	}
	return wanted
}
