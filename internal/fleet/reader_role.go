package fleet

import (
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// updateReaderRole decides whether this instance reads the store or follows a peer that does. An instance that finds no peer
// with a fresh view reads the store itself, because it must apply the changes that it would have received from that peer.
func (controller *Controller) updateReaderRole(now clock.Moment, serves bool) {
	leaders := controller.members.Leaders()
	newest := leaders.NewestRevision
	controller.updateUnanswered(now, leaders)
	role, reason := controller.nextRole(now, serves, leaders)
	if role != controller.role || reason != controller.readReason {
		controller.logRole(reason, leaders)
	}
	controller.readReason = reason
	if role != controller.role {
		controller.role = role
		controller.catalogReader.SetRole(role)
	}
	if role == catalog.RoleLeader {
		position, count := controller.members.ServingPosition()
		controller.catalogReader.SetPhase(float64(position+1) / float64(count))
	}
	readsStore := role != catalog.RoleFollower
	switch {
	case readsStore:
		controller.readPeerOnStoreFailure(now)
	case controller.view == nil:
		controller.catalogReader.SetPeerRevision(controller.members.NewestConfiguredRevision())
	case newest > controller.view.Revision && (now.Since(controller.viewAppliedAt) >= peerReadInterval || controller.versionBehind()):
		controller.catalogReader.SetPeerRevision(newest)
	}
}

// readReason is why an instance reads the store, empty when it follows a peer.
type readReason string

// The reasons to read the store.
const (
	readServes     readReason = "serves"
	readStarts     readReason = "noPeerHasAView"
	readSilent     readReason = "servingSilent"
	readMissed     readReason = "updateMissed"
	readDoubts     readReason = "servingUnanswered"
	readLeaderless readReason = "noneAnswered"
)

// logRole logs that this instance begins or ends to read the store, and why.
func (controller *Controller) logRole(reason readReason, leaders membership.Leaders) {
	event := controller.options.Log.Info().Int("unanswered", leaders.Unanswered)
	if controller.view != nil {
		event = event.Uint64("revision", uint64(controller.view.Revision))
	}
	if reason == "" {
		event.Str("before", string(controller.readReason)).Msg("follows other instances")
		return
	}
	event.Str("reason", string(reason)).Msg("reads the store")
}

// nextRole chooses the role of the catalog reader, and says why it reads the store.
func (controller *Controller) nextRole(now clock.Moment, serves bool, leaders membership.Leaders) (catalog.Role, readReason) {
	switch {
	case serves || leaders.LastFresh > 0:
		controller.leaderlessSince = 0
	case controller.leaderlessSince == 0:
		controller.leaderlessSince = now
	}
	switch {
	case serves:
		return catalog.RoleLeader, readServes
	case controller.view == nil && controller.readsAtStart(now):
		return catalog.RoleLeader, readStarts
	case leaders.LastSeen > 0 && now.Since(max(leaders.LastSeen, controller.started)) >= silentLeadersTimeout:
		return catalog.RoleFallback, readSilent
	case controller.missesUpdate():
		return catalog.RoleFallback, readMissed
	case controller.doubtsLeaders(now, leaders):
		return catalog.RoleFallback, readDoubts
	case controller.leaderlessSince > 0 && now.Since(controller.leaderlessSince) >= controller.leaderlessTimeout() && now.Since(controller.started) >= restartReadDelayNext:
		return catalog.RoleFallback, readLeaderless
	default:
		return catalog.RoleFollower, ""
	}
}

// updateUnanswered records when the number of serving instances that get no answers of the store last increased.
func (controller *Controller) updateUnanswered(now clock.Moment, leaders membership.Leaders) {
	if leaders.Unanswered > controller.unanswered {
		controller.unansweredSince = now
		if controller.unanswered == 0 || now.Since(controller.turnsSince) > doubtPeriod {
			controller.turnsSince = now
		}
	}
	controller.unanswered = leaders.Unanswered
}

// doubtsLeaders reports whether this instance reads the store because a serving instance gets no answers of it. The store may answer none
// of those that serve, and the others notice it only when their own watches end. Those that serve next read first. If no answer of any of
// them is heard of, the others of each data centre try one after the other, and go on if they get answers.
func (controller *Controller) doubtsLeaders(now clock.Moment, leaders membership.Leaders) bool {
	if controller.unanswered == 0 || controller.view == nil || now.Since(controller.started) < restartReadDelayNext {
		return false
	}
	passed := now.Since(controller.unansweredSince)
	doubtful := leaders.LastFresh == 0 || passed < doubtPeriod
	switch position := controller.members.PositionAfterNext(); {
	case position < 0 || position > maxTurns:
		return false
	case position == 0:
		return passed >= doubtDelay && passed < doubtPeriod
	case controller.readReason == readDoubts && controller.members.CatalogFresh():
		return doubtful
	default:
		turn := now.Since(controller.turnsSince) - doubtDelay - clock.Milliseconds(position)*turnInterval
		return doubtful && !leaders.Replaced && turn >= 0 && turn < turnLength
	}
}

// missesUpdate reports whether a serving instance is known to have a newer view that no peer delivers.
func (controller *Controller) missesUpdate() bool {
	return controller.view != nil && controller.members.Leaders().NewestRevision > controller.view.Revision && controller.catalogReader.PeerFailing()
}

// readsAtStart reports whether this instance, which has no view yet, reads the store because it has not received a view from a
// peer.
func (controller *Controller) readsAtStart(now clock.Moment) bool {
	waited := now.Since(controller.started)
	if controller.options.FleetStarts {
		return controller.isSeed || waited >= firstStartReadDelay
	}
	return waited >= restartReadDelayNext && controller.members.TopRanked() || waited >= restartReadDelayOthers
}

// leaderlessTimeout returns how long this instance waits for a serving instance with a fresh view before it reads the store
// itself.
func (controller *Controller) leaderlessTimeout() clock.Milliseconds {
	if controller.members.TopRanked() {
		return leaderlessTimeoutNext
	}
	return leaderlessTimeoutOthers
}

// readPeerOnStoreFailure reads a newer view of any other instance while the store refuses the calls of this instance.
func (controller *Controller) readPeerOnStoreFailure(now clock.Moment) {
	if controller.view == nil || !controller.catalogReader.Failing() || now < controller.nextStoreFailurePeerRead {
		return
	}
	if known := controller.members.NewestConfiguredRevision(); known > controller.view.Revision {
		controller.nextStoreFailurePeerRead = now.Add(storeFailurePeerReadInterval)
		controller.catalogReader.CatchUp(known)
	}
}

// versionBehind reports whether a peer that serves or reads the store has a newer configuration.
func (controller *Controller) versionBehind() bool {
	var version catalog.Version
	if controller.view.Configuration != nil {
		version = controller.view.Configuration.Version
	}
	return controller.members.Leaders().NewestVersion > version
}

func (controller *Controller) updateCatalogState(now clock.Moment) {
	var revision catalog.Revision
	var version catalog.Version
	if controller.view != nil {
		revision = controller.view.Revision
		if controller.view.Configuration != nil {
			version = controller.view.Configuration.Version
		}
	}
	lastResponse := controller.catalogReader.LastResponse()
	fresh := controller.role != catalog.RoleFollower && !controller.catalogReader.Failing() && lastResponse > 0 && now.Since(lastResponse) < maxFreshResponseAge
	controller.members.SetCatalog(revision, version, fresh)
}

// maxFreshResponseAge is how recently the store must have responded for an instance to report its view as fresh: the duration of
// one watch plus some slack.
const maxFreshResponseAge = 2800 * clock.Millisecond

// checkBehind catches up with a newer revision that a peer that serves or reads the store has had for a while.
func (controller *Controller) checkBehind(now clock.Moment) {
	newer, maxBehind := false, behindTimeout
	if controller.role != catalog.RoleFollower && controller.view != nil {
		newer = controller.members.Leaders().NewestRevision > controller.view.Revision
		if controller.versionBehind() {
			maxBehind = versionBehindTimeout
		}
	}
	switch {
	case !newer:
		controller.behindSince = 0
	case controller.behindSince == 0:
		controller.behindSince = now
	case now.Since(controller.behindSince) > maxBehind:
		controller.behindSince = 0
		controller.options.Registry.Events.Add(EventBehind, 1)
		controller.options.Log.Warn().Uint64("revision", uint64(controller.view.Revision)).Msg("a peer that reads the store has a newer catalog revision; catching up")
		controller.catalogReader.CatchUp(controller.members.Leaders().NewestRevision)
	}
}
