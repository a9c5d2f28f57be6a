package membership

import (
	"net/netip"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

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
	return serving < places && slices.ContainsFunc(members.ServingPeers(), func(peer *Member) bool {
		return now.Since(peer.heard) < callHolds && slices.Contains(peer.Promoted, members.options.Self.Name)
	})
}

// ShouldServe reports whether this instance should serve. One that stands by is called by those that serve; where nobody does,
// and for one that serves already, it has to be among the first of its data centre. Larger ones come before
// smaller ones, which can't carry as much; of equal ones those that serve already come before the others, so that nobody
// moves when an instance returns. Seeds come last: they have the most to do when many start, and what callers hold should not depend
// on the same machines as what instances are found by.
func (members *Members) ShouldServe() bool {
	if members.state == Leaving || members.state == Joining {
		return false
	}
	now := members.options.Clock.Now()
	starting := now.Since(members.started) < startsFor
	switch {
	case members.state == Standby && !members.Leaderless() && !starting:
		return members.called()
	case members.state == Standby && starting && members.hears(now):
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

// TopRanked reports whether this instance comes first in its data centre, or is the next to.
func (members *Members) TopRanked() bool {
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

// ShouldStopServing reports whether this instance has served for a while without being needed.
func (members *Members) ShouldStopServing() bool {
	now := members.options.Clock.Now()
	if members.state != Serving || members.ShouldServe() {
		members.unneeded = 0
		return false
	}
	if members.unneeded == 0 {
		members.unneeded = now
	}
	return now.Since(members.unneeded) >= demoteAfter
}
