package fleet

import (
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// lead decides whether this instance reads the store or follows a peer that does. One that finds no peer with a fresh
// view reads for itself, since it is bound by what it would have read there.
func (controller *Controller) lead(now clock.Moment, serves bool) {
	leaders := controller.members.Leaders()
	newest := leaders.NewestRevision
	role := controller.nextRole(now, serves, leaders)
	if role != controller.role {
		controller.role = role
		controller.feed.SetRole(role)
	}
	leads := role != catalog.RoleFollower
	switch {
	case leads:
		controller.seekHelp(now)
	case controller.view == nil:
		controller.feed.Follow(controller.members.NewestConfiguredRevision())
	case newest > controller.view.Revision && (now.Since(controller.viewAt) >= followEvery || controller.versionBehind()):
		controller.feed.Follow(newest)
	}
}

// nextRole chooses the reader's role.
func (controller *Controller) nextRole(now clock.Moment, serves bool, leaders membership.Leaders) catalog.Role {
	switch {
	case serves || leaders.LastFresh > 0:
		controller.unledFrom = 0
	case controller.unledFrom == 0:
		controller.unledFrom = now
	}
	silent := leaders.LastSeen > 0 && now.Since(max(leaders.LastSeen, controller.started)) >= silentLead || controller.missesUpdate()
	switch {
	case serves || controller.view == nil && controller.startsAlone(now):
		return catalog.RoleLeader
	case silent:
		return catalog.RoleFallback
	case controller.unledFrom > 0 && now.Since(controller.unledFrom) >= controller.unledMost() && now.Since(controller.started) >= restartAlone:
		return catalog.RoleFallback
	default:
		return catalog.RoleFollower
	}
}

// missesUpdate reports whether a serving instance is known to have a newer view, and nobody tells it.
func (controller *Controller) missesUpdate() bool {
	return controller.view != nil && controller.members.Leaders().NewestRevision > controller.view.Revision && controller.feed.PeerFailing()
}

// startsAlone reports whether this instance, which knows nothing yet, reads the store for want of others who do.
func (controller *Controller) startsAlone(now clock.Moment) bool {
	waited := now.Since(controller.started)
	if controller.options.FleetStarts {
		return controller.isSeed || waited >= startAlone
	}
	return waited >= restartAlone && controller.members.TopRanked() || waited >= restartAloneLast
}

// unledMost is how long this instance waits for a serving one with a fresh view before it reads the store for itself.
func (controller *Controller) unledMost() clock.Milliseconds {
	if controller.members.TopRanked() {
		return unledFor
	}
	return unledLast
}

// seekHelp has a newer view of any other instance read while the store turns this one away.
func (controller *Controller) seekHelp(now clock.Moment) {
	if controller.view == nil || !controller.feed.Failing() || now < controller.nextHelp {
		return
	}
	if known := controller.members.NewestConfiguredRevision(); known > controller.view.Revision {
		controller.nextHelp = now.Add(helpEvery)
		controller.feed.Follow(known)
	}
}

// versionBehind reports whether a serving peer has a newer configuration.
func (controller *Controller) versionBehind() bool {
	for _, peer := range controller.members.ServingPeers() {
		if controller.view.Configuration == nil || peer.Version > controller.view.Configuration.Version {
			return true
		}
	}
	return false
}

func (controller *Controller) noteCatalog(now clock.Moment) {
	var revision catalog.Revision
	var version catalog.Version
	if controller.view != nil {
		revision = controller.view.Revision
		if controller.view.Configuration != nil {
			version = controller.view.Configuration.Version
		}
	}
	contact := controller.feed.Contact()
	fresh := controller.role != catalog.RoleFollower && !controller.feed.Failing() && contact > 0 && now.Since(contact) < freshWithin
	controller.members.SetCatalog(revision, version, fresh)
}

// freshWithin is how recently the store must have answered an instance that says its view is fresh: one watch and its
// slack.
const freshWithin = 2800 * clock.Millisecond

// checkBehind reads everything anew when a serving peer has known a newer revision for a while.
func (controller *Controller) checkBehind(now clock.Moment) {
	newer, behindMost := false, behindFor
	if controller.role != catalog.RoleFollower && controller.view != nil {
		newer = controller.members.Leaders().NewestRevision > controller.view.Revision
		if controller.versionBehind() {
			behindMost = versionBehindFor
		}
	}
	switch {
	case !newer:
		controller.behindFrom = 0
	case controller.behindFrom == 0:
		controller.behindFrom = now
	case now.Since(controller.behindFrom) > behindMost:
		controller.behindFrom = 0
		controller.options.Registry.Events.Add(EventBehind, 1)
		controller.options.Log.Warn().Uint64("revision", uint64(controller.view.Revision)).Msg("a peer knows a newer revision; reading everything anew")
		controller.feed.CatchUp(controller.members.Leaders().NewestRevision)
	}
}
