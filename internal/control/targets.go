package control

import (
	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Events of backend servers.
const (
	EventTargetAdded   = "target.added"
	EventTargetRemoved = "target.removed"
	EventTargetCold    = "target.cold"
	EventTargetWarm    = "target.warm"
	EventReportRead    = "report.read"
	EventReportFailed  = "report.failed"
	EventReportAsked   = "report.asked"
)

// phase is how far a backend server has come since it started.
type phase string

const (
	// phaseUnknown: nobody has said anything yet; nothing is sent to it.
	phaseUnknown phase = "unknown"
	// phaseCold: it warms up, and only its owner sends to it.
	phaseCold phase = "cold"
	// phaseWarm: it bears its full number.
	phaseWarm phase = "warm"
)

// serviceState is a service as the control goroutine sees it.
type serviceState struct {
	name       settings.ServiceName
	settings   *settings.Service
	dispatcher *service.Dispatcher
	budget     *service.RetryBudget
	targets    map[settings.TargetName]*targetState
	serving    []routing.Instance
	// owners are the serving instances that answer for each target.
	owners map[settings.TargetName]settings.InstanceName
}

// targetState is a backend server as the control goroutine sees it.
type targetState struct {
	record platform.Instance
	key    instance.TargetKey
	phase  phase
	// owned says that this instance answers for it.
	owned bool
	// early says that it was there before this instance, so that while the instance still learns, any peer's word that
	// it is warm is taken. One that arrives later is cold until its owner says otherwise.
	early bool
	// waitUntil is the moment before which a new owner does not start it.
	waitUntil clock.Moment
	// rampStart is when it began to warm up here.
	rampStart clock.Moment
	// startedMs is the start that it last reported.
	startedMs  int64
	nextReport clock.Moment
	limit      service.TargetLimit
	limitSet   bool
}

// matchTargets brings a service's targets into line with the list and the data centres that are in.
func (controller *Controller) matchTargets(state *serviceState) {
	wanted := map[settings.TargetName]platform.Instance{}
	for _, record := range controller.list.Instances {
		if record.Kind == platform.KindBackendServer && record.Service == state.name && controller.takesWork(record) {
			wanted[settings.TargetName(record.Name)] = record
		}
	}
	for name, target := range state.targets {
		if record, stays := wanted[name]; !stays || record.Address != target.record.Address {
			controller.dropTarget(state, name)
		}
	}
	for name, record := range wanted {
		if _, known := state.targets[name]; !known {
			controller.addTarget(state, name, record)
		}
		controller.options.Servers.Set(name, backendserver.Options{
			Address:         record.Address,
			ConnectionsMost: controller.connectionShare(state),
			Connections:     state.settings.Connections,
		})
	}
}

// takesWork reports whether an instance is live and its data centre is in.
func (controller *Controller) takesWork(record platform.Instance) bool {
	dataCentre, known := controller.site.DataCentres[record.DataCentre]
	return record.State == platform.StateLive && known && dataCentre.State == settings.DataCentreIn
}

// connectionShare is the number of connections that this instance may open to one target. It rests on the settings
// alone, so that the agreed number holds whatever the instances know of each other.
func (controller *Controller) connectionShare(state *serviceState) int {
	return max(state.settings.ConnectionsPerTarget/controller.site.Fleet.MaxInstances, 1)
}

func (controller *Controller) addTarget(state *serviceState, name settings.TargetName, record platform.Instance) {
	target := &targetState{record: record, key: keyOf(state.name, name), phase: phaseUnknown}
	target.early = controller.learning(controller.options.Clock.Now())
	state.targets[name] = target
	state.dispatcher.Add(name, record.Address, record.DataCentre)
	controller.options.Registry.Events.Add(EventTargetAdded, 1)
}

func (controller *Controller) dropTarget(state *serviceState, name settings.TargetName) {
	state.dispatcher.Remove(name)
	controller.options.Servers.Remove(name)
	delete(state.targets, name)
	controller.options.Registry.Events.Add(EventTargetRemoved, 1)
}

// silentStarts is how many times suspectAfter an instance that has just started waits for a first word from a peer.
const silentStarts = 5

// learning reports whether this instance, just started, still listens before it takes servers that nobody has called
// warm for cold ones. It listens from the first word of a peer until that peer had time to go once through everything
// it has to tell; with no word at all it goes on after a while, since then it may well be alone.
func (controller *Controller) learning(now clock.Moment) bool {
	fleet := controller.site.Fleet
	if controller.firstHeard == 0 {
		return now < controller.started.Add(controller.paced(silentStarts*fleet.SuspectAfter)) && len(controller.peers) > 0
	}
	return now < controller.firstHeard.Add(controller.tellingTakes())
}

// tellingTakes is how long a peer takes to tell a new one everything it knows.
func (controller *Controller) tellingTakes() clock.Milliseconds {
	rounds := clock.Milliseconds(len(controller.list.Instances)/instance.TargetsMost + 3)
	return controller.paced(max(controller.site.Fleet.SuspectAfter, rounds*controller.site.Fleet.HeartbeatInterval))
}

// tendTargets moves a service's targets on in time: who owns them, how warm they are, and when to read their reports.
func (controller *Controller) tendTargets(now clock.Moment, state *serviceState) {
	for name, target := range state.targets {
		controller.setOwned(now, target, state.owners[name] == controller.options.Name)
		if target.owned {
			controller.warmUp(now, state, name, target)
		}
		if target.owned || controller.options.Policy.ReadsReports() {
			controller.askReport(now, state, name, target)
		}
		controller.setLimit(now, state, name, target)
	}
}

// setOwned notes a change of ownership. A new owner waits before it warms up a server that is not warm: the one before
// may still be sending to it, and the two together would give it more than it bears.
func (controller *Controller) setOwned(now clock.Moment, target *targetState, owned bool) {
	if target.owned == owned {
		return
	}
	target.owned = owned
	if owned && target.phase != phaseWarm {
		target.phase = phaseUnknown
		target.waitUntil = now.Add(controller.site.Fleet.SuspectAfter)
	}
}

// warmUp moves an owned target on from unknown to cold to warm.
func (controller *Controller) warmUp(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState) {
	switch {
	case target.phase == phaseUnknown && now >= target.waitUntil && !(target.early && controller.learning(now)):
		controller.turnCold(now, state, name, target, "nobody called it warm")
	case target.phase == phaseCold && now.Since(target.rampStart) >= state.settings.ColdStart.RampUpTime:
		target.phase = phaseWarm
		controller.heartbeat.urgent(target.key)
		controller.options.Registry.Events.Add(EventTargetWarm, 1)
	}
}

func (controller *Controller) turnCold(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState, why string) {
	target.phase = phaseCold
	target.rampStart = now
	controller.heartbeat.urgent(target.key)
	controller.options.Registry.Events.Add(EventTargetCold, 1)
	controller.options.Log.Debug().Str("service", string(state.name)).Str("target", string(name)).Str("why", why).Msg("cold")
}

// askReport has the target's load report read when its turn has come. Only the owner reads it, so that what measuring
// adds does not grow with the fleet.
func (controller *Controller) askReport(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState) {
	if now < target.nextReport {
		return
	}
	every := clock.Second / clock.Milliseconds(controller.site.Measuring.ReportsPerTargetPerSecond)
	target.nextReport = now.Add(every)
	request := ReportRequest{Service: state.name, Target: name, Path: state.settings.ReportPath}
	if controller.options.AskReport(request) {
		controller.options.Registry.Events.Add(EventReportAsked, 1)
	}
}

// apply takes a load report. All that is believed of it is that the server's process is another than before: it is
// cold again, under the same address and without a word from the platform.
func (read reportRead) apply(controller *Controller) {
	if read.err != nil {
		controller.options.Registry.Events.Add(EventReportFailed, 1)
		return
	}
	controller.options.Registry.Events.Add(EventReportRead, 1)
	state, known := controller.services[read.service]
	if !known {
		return
	}
	target, known := state.targets[read.target]
	if !known {
		return
	}
	state.dispatcher.SetReported(read.target, read.report.InFlight+read.report.Queued)
	before := target.startedMs
	target.startedMs = read.report.StartedMs
	if before != 0 && before != target.startedMs && target.owned {
		now := controller.options.Clock.Now()
		controller.turnCold(now, state, read.target, target, "it has started anew")
		controller.setLimit(now, state, read.target, target)
	}
}

// setLimit tells the dispatcher how many requests this instance may have on the target.
func (controller *Controller) setLimit(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState) {
	limit := controller.limitOf(now, state, target)
	if target.limitSet && limit == target.limit {
		return
	}
	target.limit = limit
	target.limitSet = true
	state.dispatcher.SetLimit(name, limit, 0)
}

func (controller *Controller) limitOf(now clock.Moment, state *serviceState, target *targetState) service.TargetLimit {
	ownMost := controller.connectionShare(state)
	switch {
	case target.phase == phaseWarm && controller.serves(state):
		return service.WarmShare(controller.options.Policy, state.settings.SlotsPerTarget, len(state.serving), ownMost)
	case target.phase == phaseWarm:
		// Callers with an old answer are served, but never with much of a target.
		return service.TargetLimit{Limit: 1, ShareLeast: 1, OwnMost: 1}
	case target.phase == phaseCold && target.owned:
		warmup := service.Warmup{
			Places: state.settings.ColdStart.InitialPermits, Slots: state.settings.SlotsPerTarget, FullAfter: state.settings.ColdStart.RampUpTime,
		}
		limit := min(warmup.LimitAt(now.Since(target.rampStart)), ownMost)
		return service.TargetLimit{Limit: limit, OwnMost: limit}
	default:
		return service.TargetLimit{}
	}
}

// serves reports whether callers of the service are sent to this instance.
func (controller *Controller) serves(state *serviceState) bool {
	for _, serving := range state.serving {
		if serving.Name == controller.options.Name {
			return true
		}
	}
	return false
}
