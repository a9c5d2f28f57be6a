package fleet

import (
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

func awakeSkew(options Options) clock.Milliseconds {
	return clock.Milliseconds(options.Awake.Now()) - clock.Milliseconds(options.Clock.Now())
}

// advanceTick brings the next tick forward when there is news, and reports whether it did. Hundreds of instances that start together
// tell of each other within a moment; what follows from that is worked out once for all of them.
func (controller *Controller) advanceTick() bool {
	soon := controller.options.Clock.Now().Add(tickServing)
	if !controller.heardNews || controller.nextTick <= soon {
		return false
	}
	controller.nextTick = soon
	return true
}

// tick looks after everything that depends on time.
func (controller *Controller) tick() {
	now := controller.options.Clock.Now()
	controller.checkFrozen()
	if changed := controller.members.Review(); changed || controller.heardNews {
		controller.heardNews = false
		controller.membersChanged()
	}
	controller.moveOn(now)
	controller.sendBeats()
	if controller.members.Leaderless() {
		// Who is there changes with each word.
		controller.publishAddresses()
	}
	if controller.members.State() == membership.Serving || controller.members.State() == membership.Leaving {
		share := min(coldShareMost*controller.members.Sight(), 1)
		for _, state := range controller.services {
			state.scheduler.SetColdShare(share)
			state.scheduler.Sweep()
		}
		controller.shareReadings(now)
	}
	controller.judgeKeys(now)
	controller.shareQuota(now)
	controller.reportQuota(now)
	if now >= controller.nextClean {
		controller.nextClean = now.Add(clock.Second)
		controller.options.Servers.CloseIdle()
	}
	every := tickStandby
	if state := controller.members.State(); state == membership.Serving || state == membership.Joining {
		every = tickServing
	}
	controller.nextTick = now.Add(every)
}

// checkFrozen finds out whether the machine stood still. Timers don't count that time, so nothing else would show that
// all this instance knows is old: it would send work to servers that left long ago.
func (controller *Controller) checkFrozen() {
	skew := awakeSkew(controller.options)
	jumped := skew - controller.awakeSkew
	controller.awakeSkew = skew
	if jumped < frozenFor {
		return
	}
	controller.options.Registry.Events.Add(EventFrozen, 1)
	controller.options.Log.Warn().Stringer("for", jumped).Msg("this machine stood still; reading everything anew")
	controller.table.Store(nil)
	controller.viewAt = 0
	for _, state := range controller.services {
		state.scheduler.DiscardReadings()
	}
	controller.feed.Refresh()
}

// moveOn changes what this instance is to the fleet, and whether it reads the catalog.
func (controller *Controller) moveOn(now clock.Moment) {
	state := controller.members.State()
	needed := controller.members.Needed()
	controller.lead(now, needed || state == membership.Serving)
	current := controller.viewAt > 0 && controller.view.Configuration != nil
	switch {
	case state == membership.StandingBy && needed && current:
		controller.changeState(membership.Serving)
	case state == membership.Serving && controller.members.Unneeded():
		controller.changeState(membership.StandingBy)
	}
	controller.checkBehind(now)
	controller.noteCatalog(now)
}

func (controller *Controller) changeState(state membership.State) {
	controller.options.Log.Info().Stringer("before", controller.members.State()).Stringer("now", state).Msg("state")
	controller.members.SetState(state)
	if state == membership.Serving {
		controller.servesFrom = controller.options.Clock.Now()
	}
	controller.publish()
}
