package fleet

import (
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// verificationInterval is the shortest interval between two probes of a backend server that its owner reports as down, and
// verificationValidity how long the owner's report is ignored after the server has responded to one.
const (
	verificationInterval = clock.Second
	verificationValidity = 1500 * clock.Millisecond
)

// EventUnknownProbed counts probes of backend servers of which it was not known that they are warm.
const EventUnknownProbed = "server.unknownProbed"

// receiveDown applies the report of its owner that a backend server is down. The owner may be the one that has lost the path to the
// server, so this instance probes it as well.
func (controller *Controller) receiveDown(now clock.Moment, ref targetRef) {
	state := controller.services[ref.service]
	verified, due := controller.verification(now, ref)
	if !verified {
		controller.setDown(state.scheduler, ref.name, true, service.FromPeer)
	}
	server, known := controller.knownServers[ref.name]
	if due && known && controller.options.Verify != nil && state.limits.ProbePath != "" {
		controller.options.Verify(controller.probeJob(&server, state, true))
	}
}

// verification reports whether the server has responded lately to a probe of this instance, and whether it is to be probed now.
func (controller *Controller) verification(now clock.Moment, ref targetRef) (bool, bool) {
	due := !controller.reach.tracker.Unreachable(ref.service)
	controller.latestMutex.Lock()
	defer controller.latestMutex.Unlock()
	verified := now.Since(controller.reach.verifiedAt[ref.name]) <= verificationValidity && controller.reach.verifiedAt[ref.name] > 0
	due = due && now >= controller.reach.nextVerification[ref.name]
	if due {
		controller.reach.nextVerification[ref.name] = now.Add(verificationInterval)
	}
	return verified, due
}

// recordVerification records a probe of a server that its owner reports as down.
func (controller *Controller) recordVerification(scheduler *service.Scheduler, result sensing.Result) {
	if result.Err != nil {
		return
	}
	controller.latestMutex.Lock()
	controller.reach.verifiedAt[result.Target] = controller.options.Clock.Now()
	controller.latestMutex.Unlock()
	result.Health.LoadReading.Source = service.FromCheck
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

// requestProbes has the backend servers of a service probed that requests wait for because it is not known that they are warm. It is
// called while the scheduler of the service is locked, and does not block.
func (controller *Controller) requestProbes(name settings.ServiceName) {
	select {
	case controller.inbox <- func(controller *Controller) { controller.probeUnknown(name) }:
	default:
		controller.options.Registry.Events.Add(EventInboxFull, 1)
	}
}

// probeUnknown probes backend servers of a service whose state is unknown while requests wait for them.
func (controller *Controller) probeUnknown(name settings.ServiceName) {
	state, known := controller.services[name]
	if !known || controller.options.Verify == nil || state.limits.ProbePath == "" {
		return
	}
	for _, target := range state.scheduler.TakeUnknown() {
		if server, listed := controller.knownServers[target]; listed {
			controller.options.Registry.Events.Add(EventUnknownProbed, 1)
			controller.options.Verify(controller.probeJob(&server, state, true))
		}
	}
}
