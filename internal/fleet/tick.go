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

// tickStep is a part of the timed work that is done although others panic.
type tickStep struct {
	component string
	run       func(*Controller, clock.Moment)
}

// tickSteps are the parts of the timed work, in their order.
var tickSteps = []tickStep{
	{"suspension", func(controller *Controller, _ clock.Moment) { controller.checkSuspended() }},
	{"membership", (*Controller).updateMembership},
	{"instance state", (*Controller).updateState},
	{"load", (*Controller).updateLoad},
	{"reach", (*Controller).updateReach},
	{"heartbeats", func(controller *Controller, _ clock.Moment) { controller.sendHeartbeats() }},
	{"addresses", (*Controller).updateAddresses},
	{"schedulers", (*Controller).updateSchedulers},
	{"readings", (*Controller).shareReadings},
	{"log of targets that are down", (*Controller).logDown},
	{"log of cold targets", (*Controller).logCold},
	{"declarations", (*Controller).reportDeclarations},
	{"loans", (*Controller).exchangeLoans},
	{"quarantine", (*Controller).reportQuarantine},
	{"key status", (*Controller).updateKeyStatus},
	{"fleet fraction", (*Controller).updateFleetFraction},
	{"quota", (*Controller).reportQuota},
	{"idle connections", (*Controller).closeIdle},
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
	// This holds if the computation of the interval panics.
	controller.nextTick = now.Add(standbyTickInterval)
	for index := range tickSteps {
		step := &tickSteps[index]
		controller.isolate(step.component, func() { step.run(controller, now) })
	}
	interval := standbyTickInterval
	if state := controller.members.State(); state == membership.Serving || state == membership.Joining {
		interval = servingTickInterval
	}
	controller.nextTick = now.Add(interval)
}

// updateMembership follows the changes of membership since the last tick, and computes everything again if a part has panicked.
func (controller *Controller) updateMembership(now clock.Moment) {
	changed := controller.members.UpdateStates()
	if changed || controller.membershipDirty {
		controller.membershipDirty = false
		controller.publishIfServingChanged()
	}
	if controller.incomplete && now >= controller.nextRecompute {
		controller.nextRecompute = now.Add(recomputeInterval)
		controller.publish()
	}
}

// updateAddresses updates the addresses given to callers while there is no leader: each heartbeat may change which instances are present.
func (controller *Controller) updateAddresses(clock.Moment) {
	if controller.members.Leaderless() {
		controller.publishAddresses()
	}
}

// closeIdle closes idle connections to backend servers.
func (controller *Controller) closeIdle(now clock.Moment) {
	if now < controller.nextIdleClose {
		return
	}
	controller.nextIdleClose = now.Add(clock.Second)
	controller.options.Servers.CloseIdle()
	controller.lending.forgetOldSequences(now)
}

// sharesLoad reports whether this instance serves callers in the view of the others.
func (controller *Controller) sharesLoad() bool {
	state := controller.members.State()
	return state == membership.Serving || state == membership.Leaving
}

// updateSchedulers tells the schedulers what part of the limits of servers this instance may use.
func (controller *Controller) updateSchedulers(clock.Moment) {
	share := standbyRateShare
	if controller.sharesLoad() {
		share = min(maxRateShareFactor*controller.members.VisibleFraction(), 1)
	}
	counting := controller.counting()
	for _, state := range controller.services {
		controller.isolate("scheduler", func() {
			state.scheduler.SetRateShare(share)
			state.scheduler.SetBorrowing(!counting)
			state.scheduler.Sweep()
		})
	}
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
