package fleet

import (
	"github.com/jaywheel/jaywheel/internal/reachability"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// verificationInterval is the shortest interval between two probes of a backend server that its owner reports as down, and
	// verificationValidity how long the owner's report is ignored after the server has responded to one.
	verificationInterval = clock.Second
	verificationValidity = 1500 * clock.Millisecond
)

// Event names of services that an instance cannot reach.
const (
	EventServiceUnreachable = "reach.lost"
	EventServiceReachable   = "reach.regained"
)

// reachState is what the control loop keeps of services that instances cannot reach.
type reachState struct {
	tracker *reachability.Tracker
	// verifiedAt is when a server that its owner reports as down last responded to this instance, nextVerification when it may be
	// probed again. Both are guarded by latestMutex.
	verifiedAt, nextVerification map[settings.TargetName]clock.Moment
}

func newReachState(options Options) reachState {
	return reachState{
		tracker:    reachability.New(reachability.Options{Clock: options.Clock, Rand: options.Rand}),
		verifiedAt: map[settings.TargetName]clock.Moment{}, nextVerification: map[settings.TargetName]clock.Moment{},
	}
}

// RecordConnect records the result of an attempt to connect to a backend server.
func (controller *Controller) RecordConnect(name settings.TargetName, connected bool) {
	controller.reach.tracker.RecordConnect(name, connected)
}

// setReachTargets passes the usable servers to the tracker.
func (controller *Controller) setReachTargets(configs map[settings.ServiceName][]service.TargetConfig) {
	targets := make(map[settings.ServiceName][]settings.TargetName, len(configs))
	for name, targetConfigs := range configs {
		for index := range targetConfigs {
			if targetConfigs[index].Usable {
				targets[name] = append(targets[name], targetConfigs[index].Name)
			}
		}
	}
	controller.reach.tracker.SetTargets(targets)
}

// updateReach determines which services this instance cannot reach.
func (controller *Controller) updateReach() {
	if controller.options.CheckConnection == nil {
		return
	}
	checks, changes := controller.reach.tracker.Update()
	for _, name := range checks {
		controller.options.CheckConnection(name)
	}
	for _, change := range changes {
		controller.applyReachChange(change)
	}
}

// applyReachChange applies that this instance can no longer reach a service, or can again.
func (controller *Controller) applyReachChange(change reachability.Change) {
	event, message := EventServiceUnreachable, "this instance cannot reach the service"
	if change.Reachable {
		event, message = EventServiceReachable, "this instance reaches the service again"
	}
	controller.options.Registry.Events.Add(event, 1)
	controller.options.Log.Warn().Str("service", string(change.Service)).Int("failing", change.Failing).Int("tried", change.Tried).
		Bool("isolated", controller.reach.tracker.Isolated()).Msg(message)
	state, known := controller.services[change.Service]
	if !known {
		return
	}
	if change.Reachable {
		state.scheduler.ForgetFailures()
	}
}

// receiveDown applies the report of its owner that a backend server is down. The owner may be the one that has lost the path to the
// server, so this instance probes it as well.
func (controller *Controller) receiveDown(now clock.Moment, ref targetRef) {
	state := controller.services[ref.service]
	controller.latestMutex.Lock()
	verified := now.Since(controller.reach.verifiedAt[ref.name]) <= verificationValidity && controller.reach.verifiedAt[ref.name] > 0
	due := now >= controller.reach.nextVerification[ref.name] && !controller.reach.tracker.Unreachable(ref.service)
	if due {
		controller.reach.nextVerification[ref.name] = now.Add(verificationInterval)
	}
	controller.latestMutex.Unlock()
	if !verified {
		controller.setDown(state.scheduler, ref.name, true, service.FromPeer)
	}
	server, known := controller.knownServers[ref.name]
	if due && known && controller.options.Verify != nil && state.limits.ProbePath != "" {
		controller.options.Verify(controller.probeJob(&server, state, true))
	}
}

// recordVerification records a probe of a server that its owner reports as down.
func (controller *Controller) recordVerification(scheduler *service.Scheduler, result sensing.Result) {
	if result.Err != nil {
		return
	}
	controller.latestMutex.Lock()
	controller.reach.verifiedAt[result.Target] = controller.options.Clock.Now()
	controller.latestMutex.Unlock()
	scheduler.Observe(result.Target, result.Health.LoadReading)
	controller.setDown(scheduler, result.Target, false, service.FromProbe)
}

// forgetVerification forgets the probes of a server that is gone.
func (controller *Controller) forgetVerification(name settings.TargetName) {
	controller.latestMutex.Lock()
	defer controller.latestMutex.Unlock()
	delete(controller.reach.verifiedAt, name)
	delete(controller.reach.nextVerification, name)
}
