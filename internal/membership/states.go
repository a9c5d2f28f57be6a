package membership

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// silence is how long a member may be silent before it counts as lost.
func (members *Members) silence(member *Member) clock.Milliseconds {
	switch {
	case members.state == Serving && member.State == Serving:
		return servingSilence
	case member.askedFrom > 0:
		return askedSilence
	default:
		return standbySilence
	}
}

// UpdateStates drops members that have fallen silent, and moves this instance on. It reports whether anything changed.
func (members *Members) UpdateStates() bool {
	now := members.options.Clock.Now()
	changed := false
	members.noteAsked(now)
	mayForget := members.VisibleFraction() >= sightToForget
	var forgotten []settings.InstanceName
	for _, member := range members.roster.all {
		silent := members.silentFor(now, member)
		switch {
		case member.State == Joining && silent > 2*joinFor:
			// It stands by since. Those that stand by don't hear each other, so this one would take it for lost for its silence.
			member.State = Standby
			members.roster.changed()
		case member.State == Lost && silent > forgetAfter && mayForget:
			forgotten = append(forgotten, member.Identity.Name)
		case member.State != Lost && silent > members.silence(member):
			member.State = Lost
			members.roster.changed()
			changed = true
		}
	}
	for _, name := range forgotten {
		members.roster.remove(name)
	}
	if members.state == Joining && members.joined(now) {
		members.SetState(Standby)
		changed = true
	}
	if changed {
		members.changed = now
	}
	if changed && members.state == Serving {
		// Those that stand by hear it from here first.
		members.hurry()
	}
	return changed
}

// noteAsked notes since when members are asked because nobody is known to serve.
func (members *Members) noteAsked(now clock.Moment) {
	leaderless := members.Leaderless()
	if !leaderless && !members.asking {
		return
	}
	members.asking = leaderless
	for _, member := range members.roster.all {
		switch {
		case !leaderless || !members.asks(member):
			member.askedFrom = 0
		case member.askedFrom == 0:
			member.askedFrom = now
		}
	}
}

// silentFor is how long a member has been silent although it should have spoken. Instances that stand by speak only to those among them
// that they ask because nobody serves; while someone does, those say when one is lost. If they counted each other as lost for that
// silence, each would hold itself for the next to serve, and all would take over at once.
func (members *Members) silentFor(now clock.Moment, member *Member) clock.Milliseconds {
	silent := now.Since(member.heard)
	if members.state == Serving && member.State == Serving {
		// Before this instance served, the other one spoke to it rarely.
		return min(silent, now.Since(members.stateFrom))
	}
	if members.state == Serving || member.State != Standby {
		return silent
	}
	if member.askedFrom == 0 {
		return 0
	}
	return min(silent, now.Since(member.askedFrom))
}

// joined reports whether this instance has listened long enough.
func (members *Members) joined(now clock.Moment) bool {
	if now.Since(members.started) >= joinFor {
		return true
	}
	return slices.ContainsFunc(members.roster.listLiving(), func(member *Member) bool { return member.State == Serving && member.heard > members.started }) &&
		now.Since(members.started) >= joinFor/2
}
