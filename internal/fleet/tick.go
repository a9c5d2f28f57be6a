package fleet

import (
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// bootClockSkew returns the time for which the machine has been suspended, up to a constant.
func bootClockSkew(options Options) clock.Milliseconds {
	return clock.Milliseconds(options.BootClock.Now()) - clock.Milliseconds(options.Clock.Now())
}

// advanceTick moves the next tick forward if membership has changed, and reports whether it did. Hundreds of instances that
// start together announce each other within a moment; the consequences are computed once for all of them.
func (controller *Controller) advanceTick() bool {
	soon := controller.options.Clock.Now().Add(servingTickInterval)
	if !controller.membershipDirty || controller.nextTick <= soon {
		return false
	}
	controller.nextTick = soon
	return true
}

// tick runs the timed work.
func (controller *Controller) tick() {
	now := controller.options.Clock.Now()
	if controller.nextTick > 0 {
		late := now.Since(controller.nextTick)
		controller.loadMeter.recordTick(late)
		if late >= lateTickEffect {
			controller.lateTickAt, controller.lateTickBy = now, late
		}
	}
	controller.checkSuspended()
	if changed := controller.members.UpdateStates(); changed || controller.membershipDirty {
		controller.membershipDirty = false
		controller.publishIfServingChanged()
	}
	controller.updateState(now)
	controller.updateLoad(now)
	controller.updateReach(now)
	controller.sendHeartbeats()
	if controller.members.Leaderless() {
		// Without a leader, each heartbeat may change which instances are present.
		controller.publishAddresses()
	}
	serving := controller.updateSchedulers()
	if serving {
		controller.shareReadings(now)
	}
	controller.logDown(now)
	controller.logCold(now)
	controller.reportDeclarations(now)
	controller.exchangeLoans(now)
	controller.reportQuarantine(now)
	controller.updateKeyStatus(now)
	controller.updateFleetFraction(now)
	controller.reportQuota(now)
	if now >= controller.nextIdleClose {
		controller.nextIdleClose = now.Add(clock.Second)
		controller.options.Servers.CloseIdle()
		controller.lending.forgetOldSequences(now)
	}
	interval := standbyTickInterval
	if state := controller.members.State(); state == membership.Serving || state == membership.Joining {
		interval = servingTickInterval
	}
	controller.nextTick = now.Add(interval)
}

// updateSchedulers tells the schedulers what part of the limits of servers this instance may use, and reports whether it serves.
func (controller *Controller) updateSchedulers() bool {
	share := standbyRateShare
	serving := controller.members.State() == membership.Serving || controller.members.State() == membership.Leaving
	if serving {
		share = min(maxRateShareFactor*controller.members.VisibleFraction(), 1)
	}
	counting := controller.counting()
	for _, state := range controller.services {
		state.scheduler.SetRateShare(share)
		state.scheduler.SetBorrowing(!counting)
		state.scheduler.Sweep()
	}
	return serving
}

// counting reports whether this instance counts the requests to limited servers. One that leaves does so only if it knows no other that
// does.
func (controller *Controller) counting() bool {
	peers, self := controller.members.Counting()
	return self || controller.members.State() == membership.Leaving && len(peers) == 0
}

// checkSuspended detects that the machine was suspended. Timers do not count that time, so nothing else would show that the
// whole state of this instance is out of date: it would send requests to servers that left long ago.
func (controller *Controller) checkSuspended() {
	skew := bootClockSkew(controller.options)
	jumped := skew - controller.bootClockSkew
	controller.bootClockSkew = skew
	if jumped < suspendThreshold {
		return
	}
	controller.options.Registry.Events.Add(EventSuspended, 1)
	controller.options.Log.Warn().Stringer("for", jumped).Msg("machine was suspended; discarding the routing table and reading the whole catalog again")
	controller.table.Store(nil)
	controller.viewAppliedAt = 0
	for _, state := range controller.services {
		state.scheduler.DiscardReadings()
	}
	controller.catalogReader.Refresh()
}

// updateState updates the state of this instance in the fleet and the role of its catalog reader.
func (controller *Controller) updateState(now clock.Moment) {
	state := controller.members.State()
	needed := controller.members.ShouldServe()
	controller.updateReaderRole(now, needed || state == membership.Serving)
	current := controller.viewAppliedAt > 0 && controller.view.Configuration != nil
	switch {
	case state == membership.Standby && needed && current:
		controller.changeState(membership.Serving)
	case state == membership.Serving && controller.members.ShouldStopServing():
		controller.changeState(membership.Standby)
	}
	controller.checkBehind(now)
	controller.updateCatalogState(now)
}

func (controller *Controller) changeState(state membership.State) {
	controller.options.Log.Info().Stringer("before", controller.members.State()).Stringer("now", state).Msg("state")
	controller.members.SetState(state)
	if controller.reach.tracker.Isolated() {
		// Instances on standby hear of the end of serving only when they miss heartbeats.
		controller.reach.repetitions, controller.reach.hasServed = reachRepetitions, true
	}
	if state == membership.Serving {
		controller.servingSince = controller.options.Clock.Now()
		controller.loadMeter.reset(controller.servingSince)
	}
	controller.publish()
}
