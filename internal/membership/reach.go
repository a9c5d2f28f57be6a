package membership

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// isolationSettleTime is how long an instance that serves must be isolated before others take its place: if no instance reaches
	// the backend servers, the others notice meanwhile, and nobody takes anybody's place.
	isolationSettleTime = 800 * clock.Millisecond
	// reachTimeout is the time after which the last report of one serving instance to another no longer counts. Others report less often,
	// and theirs count for standbyTimeout.
	reachTimeout = 1200 * clock.Millisecond
)

// ReachTimeout returns how long a report of the member counts.
func (members *Members) ReachTimeout(member *Member) clock.Milliseconds {
	if members.state == Serving && member.State == Serving {
		return reachTimeout
	}
	return standbyTimeout
}

// Member returns the other instance with the given name, and whether it is known.
func (members *Members) Member(name settings.InstanceName) (*Member, bool) {
	member, known := members.roster.byName[name]
	return member, known
}

// reachState is what an instance reports of the backend servers that it cannot reach.
type reachState struct {
	isolated      bool
	isolatedSince clock.Moment
	// ranksLast is whether the instance ranks behind all that are not isolated.
	ranksLast  bool
	receivedAt clock.Moment
}

func (reachState *reachState) set(now clock.Moment, isolated bool) {
	if isolated && !reachState.isolated {
		reachState.isolatedSince = now
	}
	reachState.isolated, reachState.receivedAt = isolated, now
}

// updateRank updates ranksLast, and reports whether that has changed. An isolated instance takes nobody's place from the start; one
// that serves keeps its own for isolationSettleTime.
func (reachState *reachState) updateRank(now clock.Moment, state State) bool {
	ranksLast := reachState.isolated && (state != Serving || now.Since(reachState.isolatedSince) >= isolationSettleTime)
	if ranksLast == reachState.ranksLast {
		return false
	}
	reachState.ranksLast = ranksLast
	return true
}

// SetIsolated sets whether this instance reaches no backend server at all.
func (members *Members) SetIsolated(isolated bool) {
	members.reach.set(members.options.Clock.Now(), isolated)
	members.anyIsolated = members.anyIsolated || isolated
}

// ReceiveReach records whether another instance reports that it reaches no backend server at all. It reports whether the report is of
// an instance that is alive, and not of an earlier run of it.
func (members *Members) ReceiveReach(name settings.InstanceName, incarnation Incarnation, isolated bool) bool {
	member, known := members.roster.byName[name]
	// The incarnation of a member that is known only from others is 0.
	if !known || member.State == Lost || member.Incarnation != 0 && member.Incarnation != incarnation {
		return false
	}
	member.reach.set(members.options.Clock.Now(), isolated)
	members.anyIsolated = members.anyIsolated || isolated
	return true
}

// UpdateReach determines which instances are isolated. It reports whether that has changed.
func (members *Members) UpdateReach() bool {
	if !members.anyIsolated {
		return false
	}
	now := members.options.Clock.Now()
	changed := members.reach.updateRank(now, members.state)
	members.anyIsolated = members.reach.isolated
	for _, member := range members.roster.all {
		if member.reach.isolated && now.Since(member.reach.receivedAt) > members.ReachTimeout(member) {
			member.reach.isolated = false
		}
		if member.reach.updateRank(now, member.State) {
			changed = true
		}
		members.anyIsolated = members.anyIsolated || member.reach.isolated
	}
	if !changed {
		return false
	}
	members.roster.invalidate()
	// Serving instances promote others at once.
	members.expediteHeartbeats()
	return true
}
