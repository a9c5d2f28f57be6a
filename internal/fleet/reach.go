package fleet

import (
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/reachability"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// reachReportInterval is the interval at which a serving instance reports the services that it cannot reach to the others that serve,
	// standbyReachReportInterval the interval of all other reports.
	reachReportInterval        = 200 * clock.Millisecond
	standbyReachReportInterval = clock.Second
	// reachRepetitions is how many reports go to all instances after a change.
	reachRepetitions = 3
	// reachPublishInterval is the shortest interval between two computations of owners and addresses because of reports: those of a whole
	// data centre arrive within a moment.
	reachPublishInterval = 50 * clock.Millisecond
	// checkRequestInterval is the interval between two rounds of checks because of the reports of other instances, at instances that
	// serve or are next to serve; standbyCheckRequestInterval that at all others, of which the first round begins within
	// maxCheckDelay.
	checkRequestInterval        = 2 * clock.Second
	standbyCheckRequestInterval = 5 * clock.Second
	maxCheckDelay               = 300 * clock.Millisecond
)

// Event names of services that an instance cannot reach.
const (
	EventServiceUnreachable = "reach.lost"
	EventServiceReachable   = "reach.regained"
)

// peerReach is what another instance has reported of the services that it cannot reach.
type peerReach struct {
	incarnation membership.Incarnation
	unreachable []ServiceKey
	isolated    bool
	sequence    uint64
	receivedAt  clock.Moment
}

// reachState is what the control loop keeps of services that instances cannot reach.
type reachState struct {
	tracker *reachability.Tracker
	peers   map[settings.InstanceName]peerReach
	// nextReport is when the next report of this instance is due, nextWideReport when the next one to those that need fewer is, and
	// repetitions how many more reports go to all after a change.
	nextReport     clock.Moment
	nextWideReport clock.Moment
	repetitions    int
	// hasServed is whether this instance served when it last reported a change, or has stopped since.
	hasServed bool
	sequence  uint64
	// changed is whether owners and addresses have to be computed anew, nextPublish when they may be.
	changed     bool
	nextPublish clock.Moment
	// checkRequestedAt is when checks that the reports of other instances have caused are due, 0 if none are, and nextCheckRequest when
	// reports may next cause some.
	checkRequestedAt, nextCheckRequest clock.Moment
	// verifiedAt is when a server that its owner reports as down last responded to this instance, nextVerification when it may be
	// probed again. Both are guarded by latestMutex.
	verifiedAt, nextVerification map[settings.TargetName]clock.Moment
}

func newReachState(options Options) reachState {
	return reachState{
		tracker: reachability.New(reachability.Options{Clock: options.Clock, Rand: options.Rand}), peers: map[settings.InstanceName]peerReach{},
		verifiedAt: map[settings.TargetName]clock.Moment{}, nextVerification: map[settings.TargetName]clock.Moment{},
	}
}

// RecordConnect records the result of an attempt to connect to a backend server.
func (controller *Controller) RecordConnect(name settings.TargetName, connected bool) {
	controller.reach.tracker.RecordConnect(name, connected)
}

// Unreachable reports whether this instance cannot reach the service.
func (controller *Controller) Unreachable(name settings.ServiceName) bool {
	return controller.reach.tracker.Unreachable(name)
}

// Doubtful reports whether this instance cannot reach the service, or suspects so.
func (controller *Controller) Doubtful(name settings.ServiceName) bool {
	return controller.reach.tracker.Doubtful(name)
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

// updateReach determines which services this instance cannot reach, reports them, and follows the reports of others.
func (controller *Controller) updateReach(now clock.Moment) {
	if controller.options.CheckConnection == nil {
		return
	}
	reach := &controller.reach
	if controller.Lateness() == 0 {
		// While work waits for the processor, attempts to reach servers time out here, whatever the servers and the network do.
		controller.updateTracker(now)
	}
	for name, peer := range reach.peers {
		member, known := controller.members.Member(name)
		if !known || now.Since(peer.receivedAt) > controller.members.ReachTimeout(member) {
			delete(reach.peers, name)
			reach.changed = true
		}
	}
	controller.requestChecks(now)
	controller.members.SetIsolated(reach.tracker.Isolated())
	reach.changed = controller.members.UpdateReach() || reach.changed
	if reach.changed && now >= reach.nextPublish {
		reach.changed, reach.nextPublish = false, now.Add(reachPublishInterval)
		controller.publishServing()
	}
	controller.reportReach(now)
	controller.setRelayPeers()
}

// updateTracker starts the checks that are due, and applies the changes that earlier ones have shown.
func (controller *Controller) updateTracker(now clock.Moment) {
	checks, changes := controller.reach.tracker.Update()
	for _, name := range checks {
		controller.options.CheckConnection(name)
	}
	for _, change := range changes {
		controller.applyReachChange(now, change)
	}
	controller.reach.changed = controller.reach.changed || len(changes) > 0
}

// applyReachChange acts on the loss of the path to a service, or on its return.
func (controller *Controller) applyReachChange(now clock.Moment, change reachability.Change) {
	event, message := EventServiceUnreachable, "this instance cannot reach the service; requests go through other instances"
	if change.Reachable {
		event, message = EventServiceReachable, "this instance reaches the service again"
	}
	controller.options.Registry.Events.Add(event, 1)
	controller.options.Log.Warn().Str("service", string(change.Service)).Int("failing", change.Failing).Int("tried", change.Tried).
		Bool("isolated", controller.reach.tracker.Isolated()).Msg(message)
	controller.reach.nextReport, controller.reach.repetitions = now, reachRepetitions
	state, known := controller.services[change.Service]
	if !known {
		return
	}
	if change.Reachable {
		state.scheduler.ForgetFailures()
		return
	}
	state.scheduler.RefuseWaiting()
}

// reportReach reports the services that this instance cannot reach: often among serving instances, which decide who serves, and once
// a second between serving instances and the others. A change is reported at once, and to all if this instance serves, has just served,
// or knows of no serving instance. Of any other instance only those that serve need to know: when a data centre loses its servers, reports
// of all of its instances to all others would grow with the square of the fleet.
func (controller *Controller) reportReach(now clock.Moment) {
	reach := &controller.reach
	unreachable := reach.tracker.UnreachableServices()
	if now < reach.nextReport || len(unreachable) == 0 && reach.repetitions == 0 {
		return
	}
	reach.nextReport = now.Add(reachReportInterval)
	changed := reach.repetitions > 0
	wide := changed || now >= reach.nextWideReport
	reach.repetitions = max(reach.repetitions-1, 0)
	if wide {
		reach.nextWideReport = now.Add(standbyReachReportInterval)
	}
	serving := controller.members.State() == membership.Serving
	reach.hasServed = serving || changed && reach.hasServed
	toAll := reach.hasServed || controller.members.Leaderless()
	report := controller.newReachReport(unreachable)
	for _, member := range controller.members.Alive() {
		serves := member.State == membership.Serving
		if wide && (toAll || serves) || serving && serves {
			controller.send(member.Address, &Message{Reach: report})
		}
	}
}

// newReachReport returns the next report.
func (controller *Controller) newReachReport(unreachable []settings.ServiceName) *ReachReport {
	reach := &controller.reach
	reach.sequence++
	report := &ReachReport{
		Sender: controller.options.Self.Name, Incarnation: controller.options.Incarnation, Sequence: reach.sequence,
		Isolated: reach.tracker.Isolated(), Services: len(controller.services),
	}
	for _, name := range unreachable {
		report.Unreachable = append(report.Unreachable, serviceKeyOf(name))
	}
	slices.Sort(report.Unreachable)
	report.Unreachable = report.Unreachable[:min(len(report.Unreachable), maxReportedServices)]
	return report
}

// maxReportedServices is the maximum number of services in a report.
const maxReportedServices = 100

// receiveReach applies the report of another instance.
func (controller *Controller) receiveReach(now clock.Moment, report *ReachReport) {
	reach := &controller.reach
	before, known := reach.peers[report.Sender]
	outdated := known && before.incarnation == report.Incarnation && report.Sequence <= before.sequence
	if outdated || !controller.members.ReceiveReach(report.Sender, report.Incarnation, report.Isolated) {
		return
	}
	reach.peers[report.Sender] = peerReach{
		incarnation: report.Incarnation, unreachable: report.Unreachable, isolated: report.Isolated, sequence: report.Sequence, receivedAt: now,
	}
	if !slices.Equal(before.unreachable, report.Unreachable) || before.isolated != report.Isolated {
		reach.changed = true
	}
	if len(report.Unreachable) == 0 || now < reach.nextCheckRequest {
		return
	}
	if controller.members.State() == membership.Serving || controller.members.TopRanked() {
		reach.checkRequestedAt, reach.nextCheckRequest = now, now.Add(checkRequestInterval)
		return
	}
	reach.checkRequestedAt = now.Add(maxCheckDelay * clock.Milliseconds(controller.options.Rand.Float64()))
	reach.nextCheckRequest = now.Add(standbyCheckRequestInterval)
}

// requestChecks checks the services that other instances cannot reach, if that is due.
func (controller *Controller) requestChecks(now clock.Moment) {
	reach := &controller.reach
	if reach.checkRequestedAt == 0 || now < reach.checkRequestedAt {
		return
	}
	reach.checkRequestedAt = 0
	var services []settings.ServiceName
	for name := range controller.services {
		key := serviceKeyOf(name)
		for _, peer := range reach.peers {
			if slices.Contains(peer.unreachable, key) {
				services = append(services, name)
				break
			}
		}
	}
	reach.tracker.Check(services)
}

// isIsolated reports whether the instance, which may be this one, reaches no service at all as far as is known here.
func (controller *Controller) isIsolated(instance settings.InstanceName) bool {
	if instance == controller.options.Self.Name {
		return controller.reach.tracker.Isolated()
	}
	return controller.reach.peers[instance].isolated
}

// instanceReaches reports whether the instance, which may be this one, can reach the service as far as is known here.
func (controller *Controller) instanceReaches(instance settings.InstanceName, name settings.ServiceName) bool {
	if instance == controller.options.Self.Name {
		return !controller.reach.tracker.Unreachable(name)
	}
	return !slices.Contains(controller.reach.peers[instance].unreachable, serviceKeyOf(name))
}

// anyUnreachable reports whether any instance cannot reach some service as far as is known here.
func (controller *Controller) anyUnreachable() bool {
	return len(controller.reach.peers) > 0 || controller.reach.tracker.AnyDoubtful()
}

// reassignUnreachable gives the servers whose owners cannot reach their service to instances that can, if there are any.
func (controller *Controller) reassignUnreachable(owners map[settings.TargetName]settings.InstanceName, all []routing.Instance) {
	if !controller.anyUnreachable() {
		return
	}
	orphans := map[settings.ServiceName][]settings.TargetName{}
	for server := range controller.view.Servers.All() {
		if owner, owned := owners[server.Name]; owned && !controller.instanceReaches(owner, server.Service) {
			orphans[server.Service] = append(orphans[server.Service], server.Name)
		}
	}
	for name, targets := range orphans {
		able := slices.DeleteFunc(slices.Clone(all), func(instance routing.Instance) bool { return !controller.instanceReaches(instance.Name, name) })
		if len(able) == 0 {
			continue
		}
		maps.Copy(owners, routing.Owners(targets, able))
	}
}
