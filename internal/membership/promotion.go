package membership

import (
	"net/netip"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// promotions returns the standby instances that should begin to serve. Serving instances decide, since they know all standby
// instances; standby instances do not know each other, and several would take over from one lost instance.
func (members *Members) promotions() []settings.InstanceName {
	if members.state != Serving || members.options.Clock.Now().Since(members.stateSince) < promotionDelay {
		return nil
	}
	var promoted []settings.InstanceName
	ranking := members.roster.currentRanking(members)
	for dataCentre, candidates := range ranking.byDataCentre {
		for _, candidate := range candidates[:ranking.needed[dataCentre]] {
			if useless := candidate.isolated && ranking.anyReaches; !candidate.serving && !useless {
				promoted = append(promoted, candidate.identity.Name)
			}
		}
	}
	return promoted
}

// announcePromotions makes heartbeats to newly promoted instances due at once if no instance serves in their data centre. Otherwise they
// would hear of it up to a second later. Promotions because of load are not sent sooner: the load that follows has to be seen first.
func (members *Members) announcePromotions() {
	promoted := members.promotions()
	for _, name := range promoted {
		if member, known := members.roster.byName[name]; known && !slices.Contains(members.announcedPromotions, name) && !members.servedIn(member.Identity.DataCentre) {
			member.nextHeartbeat = 0
		}
	}
	members.announcedPromotions = promoted
}

// servedIn reports whether any instance serves in the data centre.
func (members *Members) servedIn(name settings.DataCentreName) bool {
	candidates := members.roster.currentRanking(members).byDataCentre[name]
	return slices.ContainsFunc(candidates, func(candidate rankedInstance) bool { return candidate.serving })
}

// promotionsFor returns the promotions for a heartbeat to the address. If there are many, the receiver is sent only its own: a whole
// list would not fit in one packet.
func (members *Members) promotionsFor(to netip.AddrPort) []settings.InstanceName {
	promoted := members.promotions()
	if len(promoted) <= maxSummaries {
		return promoted
	}
	if member, known := members.roster.findByAddress(to); known && slices.Contains(promoted, member.Identity.Name) {
		return []settings.InstanceName{member.Identity.Name}
	}
	return nil
}

// promoted reports whether a serving instance has recently promoted this one. Promotions that are out of date, or that are based on
// fewer serving instances than are known here, are ignored, unless it may take the place of isolated instances that are not known here.
func (members *Members) promoted() bool {
	now := members.options.Clock.Now()
	candidates, needed := members.ownCandidates()
	if members.reach.ranksLast && members.roster.currentRanking(members).anyReaches {
		return false
	}
	serving := 0
	for _, candidate := range candidates {
		if candidate.serving && !candidate.isolated && candidate.identity.Size >= members.options.Self.Size {
			serving++
		}
	}
	return (serving < needed || members.anyIsolated) && slices.ContainsFunc(members.ServingPeers(), func(peer *Member) bool {
		return now.Since(peer.lastSeen) < promotionValidity && slices.Contains(peer.Promoted, members.options.Self.Name)
	})
}

// ShouldServe reports whether this instance should serve. A standby instance waits for the promotion by a serving instance. If no
// instance serves, or this one serves already, it must be among the first of its data centre by rank. Larger instances rank before
// smaller ones, which cannot carry as much load. Among equal ones, serving instances rank first, so that no instance has to stop
// serving when another returns. Seeds rank last: they have the most work when many instances start, and the addresses that callers
// keep should not depend on the machines that instances are discovered through.
func (members *Members) ShouldServe() bool {
	if members.state == Leaving || members.state == Joining {
		return false
	}
	now := members.options.Clock.Now()
	starting := now.Since(members.started) < startupPeriod
	switch {
	case members.state == Standby && !members.Leaderless() && !starting:
		return members.promoted()
	case members.state == Standby && starting && members.discovering(now):
		return false
	}
	candidates, needed := members.ownCandidates()
	for _, candidate := range candidates[:needed] {
		if candidate.identity.Name == members.options.Self.Name {
			return true
		}
	}
	return false
}

// TopRanked reports whether this instance is among the first of its data centre by rank, spare candidates included.
func (members *Members) TopRanked() bool {
	candidates, needed := members.ownCandidates()
	return slices.ContainsFunc(candidates[:min(needed+spareCandidates, len(candidates))], func(candidate rankedInstance) bool { return candidate.member == nil })
}

// PositionAfterNext returns the position of this instance, from 1 on, among those of its data centre that are not top-ranked; 0 if it is
// top-ranked, and -1 if it cannot serve.
func (members *Members) PositionAfterNext() int {
	candidates, needed := members.ownCandidates()
	position := slices.IndexFunc(candidates, func(candidate rankedInstance) bool { return candidate.member == nil })
	if position < 0 {
		return -1
	}
	return max(position+1-(needed+spareCandidates), 0)
}

// discovering reports whether this instance, which has just started, may not yet know the higher-ranked instances.
func (members *Members) discovering(now clock.Moment) bool {
	if members.firstContact > 0 {
		return now.Since(members.firstContact) < discoveryPeriod
	}
	return members.hasOtherSeeds() && now.Since(members.started) < firstContactTimeout
}

// hasOtherSeeds reports whether a seed other than this instance is configured.
func (members *Members) hasOtherSeeds() bool {
	return slices.ContainsFunc(members.options.Seeds, func(seed netip.AddrPort) bool { return seed != members.self })
}

// ShouldStopServing reports whether this instance has been surplus for demotionDelay while it served.
func (members *Members) ShouldStopServing() bool {
	now := members.options.Clock.Now()
	if members.state != Serving || members.ShouldServe() {
		members.surplusSince = 0
		return false
	}
	if members.surplusSince == 0 {
		members.surplusSince = now
	}
	return now.Since(members.surplusSince) >= demotionDelay
}
