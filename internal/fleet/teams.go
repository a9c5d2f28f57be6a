package fleet

import (
	"net/netip"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// reportEvery is how often instances report the requests of teams that they have let in: in that time the fleet can exceed a limit by
	// what callers send to the others.
	reportEvery = 50 * clock.Millisecond
	// reportersFor is how long an instance that reports is told of others' requests, whatever its state: callers with old address
	// answers still come to it.
	reportersFor = clock.Second
	// countsWith is how long a serving peer may be silent to count as one that hears this instance's reports.
	countsWith = 200 * clock.Millisecond
	// countsWithIdle is that time while nobody reports: beats come every 250 ms.
	countsWithIdle = 600 * clock.Millisecond
	// wordEvery is how often an instance that has nothing to report tells the others that it hears them, while any of them reports.
	wordEvery = 100 * clock.Millisecond
	// countsWithStandby is that time at an instance that does not serve, which hears each of the others once a second.
	countsWithStandby = 1500 * clock.Millisecond
	// shareQuotaEvery is the time between two looks at who counts together.
	shareQuotaEvery = 50 * clock.Millisecond
	// sightSettles is how long an instance serves before it has heard from all that live.
	sightSettles = 3 * clock.Second
	// servesAtLeast is the number of instances that are taken to serve while that is not known.
	servesAtLeast = 4
	// startsAsPart is the part of the fleet with which an instance counts at least that started less than sightSettles ago: after a restart
	// of all nobody has heard of the others yet, and callers come at once.
	startsAsPart = 0.45
	// currentFor is how long ago a fresh view must have been heard of for a key that is not in it to be in no configuration.
	currentFor = 1500 * clock.Millisecond
)

// teams is what control keeps of teams.
type teams struct {
	// directory finds the teams of the configuration directoryOf.
	directory   *team.Directory
	directoryOf *catalog.Configuration
	// reporters are the instances that reported requests of teams, and when they last did.
	reporters map[membership.Incarnation]clock.Moment
	// nextReport is when requests are reported next, reportedAt when that was last done.
	nextReport, reportedAt clock.Moment
	// nextShare is when it is looked at next who counts together.
	nextShare clock.Moment
	// freshAt is when this instance or one that it hears last had a fresh view, keys what the API keys are worth since.
	freshAt clock.Moment
	keys    atomic.Int32
}

// setTeams has the teams' limits hold.
func (controller *Controller) setTeams() {
	ledger := controller.options.Quota
	if ledger == nil {
		return
	}
	ledger.SetBounds(quotaBounds(controller.options.Bounds))
	for _, change := range ledger.SetTeams(controller.view.Configuration.Teams) {
		controller.options.Log.Info().Str("team", string(change.Team)).Float64("rateBefore", change.Before).Float64("rate", change.Rate).
			Float64("burst", change.Burst).Msg("rate limit changed")
	}
}

func quotaBounds(bounds settings.GatewayBounds) quota.Bounds {
	return quota.Bounds{Window: bounds.QuotaWindow, Over: bounds.QuotaOver, Slack: bounds.QuotaSlack}
}

// teamDirectory returns the directory of the teams of the configuration in force, nil when requests need no key.
func (controller *Controller) teamDirectory() *team.Directory {
	configuration := controller.view.Configuration
	if controller.teams.directoryOf != configuration {
		controller.teams.directoryOf, controller.teams.directory = configuration, nil
		if configuration.NeedsKeys {
			controller.teams.directory = team.NewDirectory(configuration.Teams)
		}
	}
	return controller.teams.directory
}

// hearQuota takes what another instance has let in.
func (controller *Controller) hearQuota(now clock.Moment, report *quota.Report) {
	controller.teams.reporters[membership.Incarnation(report.Sender)] = now
	controller.members.SetSpoke(membership.Incarnation(report.Sender))
	if controller.options.Quota != nil {
		controller.options.Quota.Hear(*report)
	}
}

// reportQuota tells the others what this instance has let in: those that serve or leave, and those that report themselves.
func (controller *Controller) reportQuota(now clock.Moment) {
	ledger := controller.options.Quota
	if ledger == nil || now < controller.teams.nextReport {
		return
	}
	controller.teams.nextReport = now.Add(reportEvery)
	reports := ledger.Reports(quota.Sender(controller.options.Incarnation))
	for incarnation, at := range controller.teams.reporters {
		if now.Since(at) > reportersFor {
			delete(controller.teams.reporters, incarnation)
		}
	}
	if len(reports) == 0 {
		if len(controller.teams.reporters) == 0 || controller.members.State() != membership.Serving || now.Since(controller.teams.reportedAt) < wordEvery {
			return
		}
		reports = []quota.Report{ledger.EmptyReport(quota.Sender(controller.options.Incarnation))}
	}
	controller.teams.reportedAt = now
	for _, address := range controller.countsQuota() {
		for index := range reports {
			controller.send(address, &Message{Quota: &reports[index]})
		}
	}
}

// countsQuota are the addresses of instances that let requests in.
func (controller *Controller) countsQuota() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, member := range controller.members.Living() {
		_, reports := controller.teams.reporters[member.Incarnation]
		if reports || member.State == membership.Serving || member.State == membership.Leaving {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// shareQuota notes which part of the fleet this instance counts together with.
func (controller *Controller) shareQuota(now clock.Moment) {
	if controller.options.Quota == nil || now < controller.teams.nextShare {
		return
	}
	controller.teams.nextShare = now.Add(shareQuotaEvery)
	controller.options.Quota.SetShare(controller.countsTogether(now))
}

// countsTogether is the part of the fleet that reports to this instance and hears it. One that serves hears from all that live. Any other, or
// one that has just begun to serve, hears only those that serve, and few of them when a whole fleet was restarted.
func (controller *Controller) countsTogether(now clock.Moment) float64 {
	if now.Since(controller.started) < sightSettles {
		heard, serving := controller.members.ServingHeard(countsWithStandby)
		return max(float64(heard)/float64(max(serving, servesAtLeast)), startsAsPart)
	}
	if controller.members.State() != membership.Serving {
		heard, serving := controller.members.ServingHeard(countsWithStandby)
		return float64(heard) / float64(max(serving, servesAtLeast))
	}
	within := countsWith
	if len(controller.teams.reporters) == 0 {
		within = countsWithIdle
	}
	heard, serving := controller.members.ServingHeard(within)
	if now.Since(controller.servesFrom) < sightSettles {
		return float64(heard) / float64(max(serving, servesAtLeast))
	}
	return min(float64(heard)/float64(serving), controller.members.Sight())
}

// Keys tells what the API keys of the table in force are worth.
func (controller *Controller) Keys() team.KeySetStatus {
	return team.KeySetStatus(controller.teams.keys.Load())
}

// judgeKeys works out whether a newer configuration may be in force elsewhere, and whether this one is too old to be used.
func (controller *Controller) judgeKeys(now clock.Moment) {
	if controller.members.CatalogFresh() {
		controller.teams.freshAt = now
	} else if fresh := controller.members.Leaders().Fresh; fresh > 0 {
		controller.teams.freshAt = max(controller.teams.freshAt, fresh)
	}
	standing := team.KeysCurrent
	silent := now.Since(controller.teams.freshAt)
	switch bounds := controller.options.Bounds; {
	case bounds.FailClosed && silent > bounds.RevokeWithin:
		standing = team.KeysStale
	case silent > currentFor || controller.view == nil || controller.versionBehind():
		standing = team.KeysUnverified
	}
	controller.teams.keys.Store(int32(standing))
}
