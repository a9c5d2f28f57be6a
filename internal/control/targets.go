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
	EventTargetAdded     = "target.added"
	EventTargetRemoved   = "target.removed"
	EventTargetCold      = "target.cold"
	EventTargetWarm      = "target.warm"
	EventReportRead      = "report.read"
	EventReportFailed    = "report.failed"
	EventReportRequested = "report.asked"
)

// phase is the warm-up state of a backend server.
type phase string

const (
	// phaseUnknown means that no instance has reported the target's state yet. It gets no requests.
	phaseUnknown phase = "unknown"
	// phaseCold means that the target is warming up. Only its owner sends requests to it.
	phaseCold phase = "cold"
	// phaseWarm means that the target can run its full number of concurrent requests.
	phaseWarm phase = "warm"
)

// serviceState is the control goroutine's state of a service.
type serviceState struct {
	name       settings.ServiceName
	settings   *settings.Service
	dispatcher *service.Dispatcher
	budget     *service.RetryBudget
	targets    map[settings.TargetName]*targetState
	serving    []routing.Instance
	// owners maps each target to the instance that warms it up and reads its load reports.
	owners map[settings.TargetName]settings.InstanceName
}

// targetState is the control goroutine's state of a backend server.
type targetState struct {
	record platform.Instance
	key    instance.TargetKey
	phase  phase
	// owned reports whether this instance is the target's owner.
	owned bool
	// presentAtStart reports whether the target was listed during the learning period of this instance. During that period
	// a report from any peer that such a target is warm is accepted. A target that is listed later is cold until its owner
	// reports that it is warm.
	presentAtStart bool
	// waitUntil is the moment until which a new owner delays the warm-up.
	waitUntil clock.Moment
	// warmupStart is when this instance started to warm up the target.
	warmupStart clock.Moment
	// startedMs is the start time of the server process in its last load report.
	startedMs  int64
	nextReport clock.Moment
	limit      service.TargetLimit
	limitSet   bool
}

// syncTargets updates a service's targets from the list of instances and the states of the data centres.
func (controller *Controller) syncTargets(state *serviceState) {
	wanted := map[settings.TargetName]platform.Instance{}
	for _, record := range controller.list.Instances {
		if record.Kind == platform.KindBackendServer && record.Service == state.name && controller.acceptsTraffic(record) {
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
			Address:        record.Address,
			MaxConnections: backendserver.FixedLimit(controller.connectionShare(state)),
			Connections:    state.settings.Connections,
		})
	}
}

// acceptsTraffic reports whether an instance is live and its data centre is in service.
func (controller *Controller) acceptsTraffic(record platform.Instance) bool {
	dataCentre, known := controller.site.DataCentres[record.DataCentre]
	return record.State == platform.StateLive && known && dataCentre.State == settings.DataCentreIn
}

// connectionShare returns the number of connections that this instance may open to one target. It depends only on the
// settings, so that the limit for all instances together holds even if they disagree about the fleet's members.
func (controller *Controller) connectionShare(state *serviceState) int {
	return max(state.settings.ConnectionsPerTarget/controller.site.Fleet.MaxInstances, 1)
}

func (controller *Controller) addTarget(state *serviceState, name settings.TargetName, record platform.Instance) {
	target := &targetState{record: record, key: keyOf(state.name, name), phase: phaseUnknown}
	target.presentAtStart = controller.inLearningPeriod(controller.options.Clock.Now())
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

// firstHeartbeatTimeouts is the multiple of SuspectAfter for which a new instance waits for the first heartbeat of a peer.
const firstHeartbeatTimeouts = 5

// inLearningPeriod reports whether this instance has just started and still waits for peers to report which targets are
// warm, before it treats the remaining targets as cold. The period lasts from the first heartbeat of a peer until that peer
// has had time to report all its targets. Without any heartbeat it ends after a timeout, since the instance may be alone.
func (controller *Controller) inLearningPeriod(now clock.Moment) bool {
	fleet := controller.site.Fleet
	if controller.firstHeartbeat == 0 {
		return now < controller.started.Add(controller.scaleByFleetSize(firstHeartbeatTimeouts*fleet.SuspectAfter)) && len(controller.peers) > 0
	}
	return now < controller.firstHeartbeat.Add(controller.targetSyncDuration())
}

// targetSyncDuration returns how long a peer needs to report all its targets to a new instance.
func (controller *Controller) targetSyncDuration() clock.Milliseconds {
	rounds := clock.Milliseconds(len(controller.list.Instances)/instance.MaxTargets + 3)
	return controller.scaleByFleetSize(max(controller.site.Fleet.SuspectAfter, rounds*controller.site.Fleet.HeartbeatInterval))
}

// updateTargets updates the ownership, warm-up and limits of a service's targets, and requests the load reports that are due.
func (controller *Controller) updateTargets(now clock.Moment, state *serviceState) {
	for name, target := range state.targets {
		controller.setOwned(now, target, state.owners[name] == controller.options.Name)
		if target.owned {
			controller.advanceWarmup(now, state, name, target)
		}
		if target.owned || controller.options.Policy.NeedsLoadReports() {
			controller.requestReport(now, state, name, target)
		}
		controller.setLimit(now, state, name, target)
	}
}

// setOwned records a change of ownership. A new owner delays the warm-up of a target that is not warm: the previous owner
// may still be sending to it, and both together would overload it.
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

// advanceWarmup moves an owned target from unknown to cold and from cold to warm when it is due.
func (controller *Controller) advanceWarmup(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState) {
	switch {
	case target.phase == phaseUnknown && now >= target.waitUntil && !(target.presentAtStart && controller.inLearningPeriod(now)):
		controller.markCold(now, state, name, target, "no peer reported it as warm")
	case target.phase == phaseCold && now.Since(target.warmupStart) >= state.settings.ColdStart.RampUpTime:
		target.phase = phaseWarm
		controller.heartbeat.prioritize(target.key)
		controller.options.Registry.Events.Add(EventTargetWarm, 1)
	}
}

func (controller *Controller) markCold(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState, reason string) {
	target.phase = phaseCold
	target.warmupStart = now
	controller.heartbeat.prioritize(target.key)
	controller.options.Registry.Events.Add(EventTargetCold, 1)
	controller.options.Log.Debug().Str("service", string(state.name)).Str("target", string(name)).Str("why", reason).Msg("cold")
}

// requestReport requests the target's load report when it is due. Unless a baseline policy needs the reports, only the owner
// reads them, so that the load from measuring does not grow with the fleet.
func (controller *Controller) requestReport(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState) {
	if now < target.nextReport {
		return
	}
	interval := clock.Second / clock.Milliseconds(controller.site.Measuring.ReportsPerTargetPerSecond)
	target.nextReport = now.Add(interval)
	request := ReportRequest{Service: state.name, Target: name, Path: state.settings.ReportPath}
	if controller.options.RequestReport(request) {
		controller.options.Registry.Events.Add(EventReportRequested, 1)
	}
}

// apply processes a load report. A changed start time shows that the server process was restarted under the same address,
// which the platform does not announce; its target is then cold again. The load passed to the dispatcher is for baseline
// policies only.
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
	state.dispatcher.SetReportedLoad(read.target, read.report.InFlight+read.report.Queued)
	before := target.startedMs
	target.startedMs = read.report.StartedMs
	if before != 0 && before != target.startedMs && target.owned {
		now := controller.options.Clock.Now()
		controller.markCold(now, state, read.target, target, "the server was restarted")
		controller.setLimit(now, state, read.target, target)
	}
}

// setLimit passes a changed limit of this instance's concurrent requests on the target to the dispatcher.
func (controller *Controller) setLimit(now clock.Moment, state *serviceState, name settings.TargetName, target *targetState) {
	limit := controller.targetLimit(now, state, target)
	if target.limitSet && limit == target.limit {
		return
	}
	target.limit = limit
	target.limitSet = true
	state.dispatcher.SetLimit(name, limit, 0)
}

func (controller *Controller) targetLimit(now clock.Moment, state *serviceState, target *targetState) service.TargetLimit {
	maxOwn := controller.connectionShare(state)
	switch {
	case target.phase == phaseWarm && controller.isServing(state):
		return service.WarmTargetLimit(controller.options.Policy, state.settings.SlotsPerTarget, len(state.serving), maxOwn)
	case target.phase == phaseWarm:
		// Callers that still use cached addresses of this instance are served, with a minimal share of each target.
		return service.TargetLimit{Limit: 1, MinShare: 1, MaxOwnInFlight: 1}
	case target.phase == phaseCold && target.owned:
		warmup := service.Warmup{
			InitialLimit: state.settings.ColdStart.InitialPermits, FullLimit: state.settings.SlotsPerTarget, RampDuration: state.settings.ColdStart.RampUpTime,
		}
		limit := min(warmup.LimitAt(now.Since(target.warmupStart)), maxOwn)
		return service.TargetLimit{Limit: limit, MaxOwnInFlight: limit}
	default:
		return service.TargetLimit{}
	}
}

// isServing reports whether this instance is among the addresses given to callers of the service.
func (controller *Controller) isServing(state *serviceState) bool {
	for _, serving := range state.serving {
		if serving.Name == controller.options.Name {
			return true
		}
	}
	return false
}
