package membership

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// silenceTimeout returns the time without a heartbeat after which a member counts as lost.
func (members *Members) silenceTimeout(member *Member) clock.Milliseconds {
	switch {
	case members.state == Serving && member.State == Serving:
		return servingTimeout
	case members.suspectingSince > 0 && member.State == Serving && members.options.Clock.Now().Since(members.suspectingSince) >= suspicionTimeout:
		return suspicionDelay
	case member.queriedSince > 0:
		return queryTimeout
	default:
		return standbyTimeout
	}
}

// UpdateStates marks members as lost whose heartbeats have stopped, removes those lost for long, and moves this instance from
// joining to standby when it is time. It reports whether a member or this instance changed its state.
func (members *Members) UpdateStates() bool {
	now := members.options.Clock.Now()
	changed := false
	members.updateQueried(now)
	members.updateSuspicion(now)
	mayRemove := members.VisibleFraction() >= minVisibleToRemove
	var expired []settings.InstanceName
	for _, member := range members.roster.all {
		silent := members.silenceDuration(now, member)
		switch {
		case member.State == Joining && silent > 2*joinPeriod:
			// The member is on standby by now. Standby instances send each other no heartbeats, so this one would otherwise count it as lost.
			member.State = Standby
			members.roster.invalidate()
		case member.State == Lost && silent > lostRemovalTimeout && mayRemove:
			expired = append(expired, member.Identity.Name)
		case member.State != Lost && silent > members.silenceTimeout(member):
			member.State = Lost
			members.roster.invalidate()
			changed = true
		}
	}
	for _, name := range expired {
		members.roster.remove(name)
	}
	if members.state == Joining && members.joinComplete(now) {
		members.SetState(Standby)
		changed = true
	}
	if changed {
		members.changedAt = now
	}
	members.announcePromotions()
	if changed && members.announces() {
		// Standby instances learn of the change from this instance.
		members.expediteHeartbeats()
	}
	return changed
}

// updateSuspicion determines whether all serving instances may be lost. Only an instance that serves next does so, since the others would
// query the serving ones by the hundred while these are short of processor time.
func (members *Members) updateSuspicion(now clock.Moment) {
	serving := members.ServingPeers()
	heard := slices.ContainsFunc(serving, func(member *Member) bool { return now.Since(member.lastSeen) <= suspicionDelay })
	if members.state != Standby || len(serving) == 0 || heard || !members.TopRanked() {
		members.suspectingSince = 0
		return
	}
	if members.suspectingSince > 0 {
		return
	}
	members.suspectingSince = now
	for _, member := range serving {
		member.nextHeartbeat = 0
	}
}

// updateQueried records since when members are queried because no serving instance is known.
func (members *Members) updateQueried(now clock.Moment) {
	leaderless := members.Leaderless()
	if !leaderless && !members.querying {
		return
	}
	members.querying = leaderless
	for _, member := range members.roster.all {
		switch {
		case !leaderless || !members.isQueried(member):
			member.queriedSince = 0
		case member.queriedSince == 0:
			member.queriedSince = now
		}
	}
}

// silenceDuration returns how long a member has sent no heartbeat although it should have. Standby instances send each other heartbeats
// only to query, while no instance serves; otherwise a serving instance reports which of them are lost. If standby instances counted
// each other as lost for that silence, each would rank itself next to serve, and all would take over at once.
func (members *Members) silenceDuration(now clock.Moment, member *Member) clock.Milliseconds {
	silent := now.Since(member.lastSeen)
	if members.state == Serving && member.State == Serving {
		// Before this instance served, the other one sent it heartbeats rarely.
		return min(silent, now.Since(members.stateSince))
	}
	if members.state == Serving || member.State != Standby {
		return silent
	}
	if member.queriedSince == 0 {
		return 0
	}
	return min(silent, now.Since(member.queriedSince))
}

// joinComplete reports whether this instance has listened long enough to leave the joining state.
func (members *Members) joinComplete(now clock.Moment) bool {
	if now.Since(members.started) >= joinPeriod {
		return true
	}
	return slices.ContainsFunc(members.roster.listAlive(), func(member *Member) bool { return member.State == Serving && member.lastSeen > members.started }) &&
		now.Since(members.started) >= joinPeriod/2
}
