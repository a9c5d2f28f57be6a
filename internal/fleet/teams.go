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
	// reportInterval is the interval at which instances report the requests of teams that they have admitted. Within it, the
	// fleet can exceed a limit by the requests that callers send to the other instances.
	reportInterval = 50 * clock.Millisecond
	// reporterTimeout is how long an instance is sent the reports of others after its own last report, whatever its state:
	// callers with old address answers still send requests to it.
	reporterTimeout = clock.Second
	// maxPeerSilence is how long a serving peer may be silent and still count as receiving the reports of this instance.
	maxPeerSilence = 200 * clock.Millisecond
	// maxPeerSilenceIdle replaces maxPeerSilence while no instance reports: heartbeats arrive every 250 ms.
	maxPeerSilenceIdle = 600 * clock.Millisecond
	// emptyReportInterval is the interval at which an instance with nothing to report sends empty reports while other
	// instances report, to show that it receives their reports.
	emptyReportInterval = 100 * clock.Millisecond
	// maxPeerSilenceStandby replaces maxPeerSilence at an instance that does not serve, which receives a message of each of
	// the others once a second.
	maxPeerSilenceStandby = 1500 * clock.Millisecond
	// fleetFractionInterval is the interval at which the fleet fraction is computed.
	fleetFractionInterval = 50 * clock.Millisecond
	// visibilitySettleTime is how long an instance has to serve until it has received messages of all live instances.
	visibilitySettleTime = 3 * clock.Second
	// minServing is the number of serving instances that is assumed while the actual number is not known.
	minServing = 4
	// minStartFraction is the minimum fleet fraction of an instance that started less than visibilitySettleTime ago: after a
	// restart of all instances none has received messages of the others yet, and callers arrive at once.
	minStartFraction = 0.45
	// freshViewTimeout is the maximum time since the last fresh view, here or at a peer, for which a key or a route that the view does
	// not contain counts as being in no configuration.
	freshViewTimeout = 1500 * clock.Millisecond
)

// teamState is the state that the control loop keeps of teams.
type teamState struct {
	// directory finds the teams of directoryConfiguration.
	directory              *team.Directory
	directoryConfiguration *catalog.Configuration
	// reporters are the instances that have reported requests of teams, with the time of the last report.
	reporters map[membership.Incarnation]clock.Moment
	// nextReport is when requests are next reported, reportedAt when they were last reported.
	nextReport, reportedAt clock.Moment
	// nextFleetFraction is when the fleet fraction is next computed.
	nextFleetFraction clock.Moment
	// freshAt is when this instance, or a peer whose heartbeats it receives, last had a fresh view, 0 when neither had since this
	// process started: the clock of a process starts with it. keyStatus is the resulting status of the API keys and routes.
	freshAt   clock.Moment
	keyStatus atomic.Int32
	// heard is whether freshAt was recent when keyStatus was last set.
	heard bool
}

// setTeams applies the rate limits of the teams in the configuration.
func (controller *Controller) setTeams() {
	limiter := controller.options.Quota
	if limiter == nil {
		return
	}
	limiter.SetBounds(quotaBounds(controller.options.Bounds))
	for _, change := range limiter.SetTeams(controller.view.Configuration.Teams) {
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
	if controller.teams.directoryConfiguration != configuration {
		controller.teams.directoryConfiguration, controller.teams.directory = configuration, nil
		if configuration.NeedsKeys {
			controller.teams.directory = team.NewDirectory(configuration.Teams)
		}
	}
	return controller.teams.directory
}

// receiveQuotaReport applies a report of the requests that another instance has admitted.
func (controller *Controller) receiveQuotaReport(now clock.Moment, report *quota.Report) {
	controller.teams.reporters[membership.Incarnation(report.Sender)] = now
	controller.members.RecordMessage(membership.Incarnation(report.Sender))
	if controller.options.Quota != nil {
		controller.options.Quota.Receive(*report)
	}
}

// reportQuota sends the requests that this instance has admitted to the instances that serve or leave, and to those that
// report themselves.
func (controller *Controller) reportQuota(now clock.Moment) {
	limiter := controller.options.Quota
	if limiter == nil || now < controller.teams.nextReport {
		return
	}
	controller.teams.nextReport = now.Add(reportInterval)
	reports := limiter.Reports(quota.Sender(controller.options.Incarnation))
	for incarnation, at := range controller.teams.reporters {
		if now.Since(at) > reporterTimeout {
			delete(controller.teams.reporters, incarnation)
		}
	}
	if len(reports) == 0 {
		if len(controller.teams.reporters) == 0 || controller.members.State() != membership.Serving || now.Since(controller.teams.reportedAt) < emptyReportInterval {
			return
		}
		reports = []quota.Report{limiter.EmptyReport(quota.Sender(controller.options.Incarnation))}
	}
	controller.teams.reportedAt = now
	for _, address := range controller.quotaReportRecipients() {
		for index := range reports {
			controller.send(address, &Message{Quota: &reports[index]})
		}
	}
}

// quotaReportRecipients returns the addresses of the instances that admit requests.
func (controller *Controller) quotaReportRecipients() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, member := range controller.members.Alive() {
		_, reports := controller.teams.reporters[member.Incarnation]
		if reports || member.State == membership.Serving || member.State == membership.Leaving {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// updateFleetFraction passes the fraction of the fleet with which this instance exchanges reports to the limiter.
func (controller *Controller) updateFleetFraction(now clock.Moment) {
	if controller.options.Quota == nil || now < controller.teams.nextFleetFraction {
		return
	}
	controller.teams.nextFleetFraction = now.Add(fleetFractionInterval)
	lenders, counts := controller.members.Counting()
	borrows := controller.members.State() != membership.Joining && !counts && len(lenders) > 0
	controller.options.Quota.SetBorrowing(borrows, len(controller.members.Alive())+1)
	if borrows {
		controller.options.Quota.SetFleetFraction(0)
		return
	}
	controller.options.Quota.SetFleetFraction(controller.fleetFraction(now))
}

// fleetFraction returns the fraction of the fleet that reports to this instance and receives its reports. A serving instance
// receives messages of all live instances. Any other, or one that has just begun to serve, receives only those of serving
// instances, and of few of them when a whole fleet was restarted.
func (controller *Controller) fleetFraction(now clock.Moment) float64 {
	if now.Since(controller.started) < visibilitySettleTime {
		recent, serving := controller.members.CountRecentServing(maxPeerSilenceStandby)
		return max(float64(recent)/float64(max(serving, minServing)), minStartFraction)
	}
	if controller.members.State() != membership.Serving {
		recent, serving := controller.members.CountRecentServing(maxPeerSilenceStandby)
		return float64(recent) / float64(max(serving, minServing))
	}
	maxSilence := maxPeerSilence
	if len(controller.teams.reporters) == 0 {
		maxSilence = maxPeerSilenceIdle
	}
	recent, serving := controller.members.CountRecentServing(maxSilence)
	if now.Since(controller.servingSince) < visibilitySettleTime {
		return float64(recent) / float64(max(serving, minServing))
	}
	return min(float64(recent)/float64(serving), controller.members.VisibleFraction())
}

// KeyStatus returns how reliable the API keys and the routes of the table in force are.
func (controller *Controller) KeyStatus() team.KeySetStatus {
	return team.KeySetStatus(controller.teams.keyStatus.Load())
}

// updateKeyStatus determines whether a newer configuration may be in force elsewhere, and whether the configuration of this
// instance is too old to be used.
func (controller *Controller) updateKeyStatus(now clock.Moment) {
	if controller.members.CatalogFresh() {
		controller.teams.freshAt = now
	} else if fresh := controller.members.Leaders().LastFresh; fresh > 0 {
		controller.teams.freshAt = max(controller.teams.freshAt, fresh)
	}
	status := team.KeysCurrent
	silent := now.Since(controller.teams.freshAt)
	heard := controller.teams.freshAt > 0 && silent <= freshViewTimeout
	if heard != controller.teams.heard {
		controller.teams.heard = heard
		controller.logHeard()
	}
	switch bounds := controller.options.Bounds; {
	case bounds.FailClosed && silent > bounds.RevokeWithin:
		status = team.KeysStale
	case !heard || controller.view == nil || controller.versionBehind():
		status = team.KeysUnverified
	}
	controller.teams.keyStatus.Store(int32(status))
}

// logHeard logs that the configuration in force is confirmed by an instance that the store answers, or no longer is.
func (controller *Controller) logHeard() {
	event := controller.options.Log.Info()
	if controller.view != nil && controller.view.Configuration != nil {
		event = event.Uint64("version", uint64(controller.view.Configuration.Version))
	}
	if controller.teams.heard {
		event.Msg("configuration is confirmed by an instance that the store answers")
		return
	}
	event.Msg("no instance with answers of the store is heard of; unknown routes and keys are answered 503")
}
