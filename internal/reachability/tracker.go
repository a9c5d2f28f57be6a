// Package reachability determines which services this instance cannot reach although their backend servers may be sound: an instance
// that has lost its network path to the servers must not take them as down, and may forward requests through another instance. It is
// pure: it does no I/O, and the time comes from the given clock.
//
// A service whose attempts to connect fail at most of the targets tried lately is suspected. A round of checks, which only connect,
// then decides. While a service is unreachable, further rounds show when it is reachable again. Nothing is checked while all
// targets are reached.
//
// # Usage
//
//	tracker := reachability.New(reachability.Options{Clock: clock, Rand: random})
//	tracker.SetTargets(targetsByService)
//	tracker.RecordConnect(target, err == nil)
//	for _, target := range tracker.Update() { go connect(target) }
//	if tracker.Unreachable(service) { ... }
package reachability

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Parameters of the decision.
const (
	// maxChecks is the maximum number of targets in a round of checks, maxRequestedChecks that in a round which only another instance has
	// caused: a whole fleet may check at once then.
	maxChecks          = 8
	maxRequestedChecks = 3
	// roundTimeout is the time after which a round is decided without the checks that have no result yet. It is longer than the
	// timeout for connecting.
	roundTimeout = 300 * clock.Millisecond
	// minRoundUpdates is the minimum number of updates before that. A process without processor time learns of connections late, and
	// its updates are rare.
	minRoundUpdates = 4
	// minRoundInterval is the time between two rounds of a service that has just become unreachable. It doubles with each round, up
	// to maxRoundInterval.
	minRoundInterval = 250 * clock.Millisecond
	maxRoundInterval = clock.Second
	// suspectInterval is the minimum time between two rounds of a service that is reached after all.
	suspectInterval = clock.Second
)

// Options configures a Tracker.
type Options struct {
	Clock *clock.Clock
	Rand  *rand.Rand
}

// Tracker records attempts to reach targets. It is safe for concurrent use.
type Tracker struct {
	clock *clock.Clock

	mutex    sync.Mutex
	random   *rand.Rand
	services map[settings.ServiceName]*serviceState
	targets  map[settings.TargetName]*targetState
	// active is whether Update has anything to do.
	active atomic.Bool
	// doubtful are the services that are suspected or unreachable, unreachable only the latter. Both are replaced, never modified,
	// and nil if there are none.
	doubtful, unreachable atomic.Pointer[map[settings.ServiceName]bool]
	// isolated is whether no service is reachable.
	isolated atomic.Bool
}

// New returns a Tracker without targets.
func New(options Options) *Tracker {
	return &Tracker{
		clock: options.Clock, random: options.Rand, services: map[settings.ServiceName]*serviceState{}, targets: map[settings.TargetName]*targetState{},
	}
}

// SetTargets replaces the targets of all services. What is known of targets that remain is kept.
func (tracker *Tracker) SetTargets(targets map[settings.ServiceName][]settings.TargetName) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := tracker.targets
	tracker.targets = make(map[settings.TargetName]*targetState, len(known))
	for name := range tracker.services {
		if len(targets[name]) == 0 {
			delete(tracker.services, name)
		}
	}
	for name, names := range targets {
		if len(names) == 0 {
			continue
		}
		service, found := tracker.services[name]
		if !found {
			service = &serviceState{}
			tracker.services[name] = service
		}
		service.targets = service.targets[:0]
		for _, targetName := range names {
			target, found := known[targetName]
			if !found {
				target = &targetState{name: targetName}
			}
			tracker.targets[targetName] = target
			target.service, target.index = service, len(service.targets)
			service.targets = append(service.targets, target)
		}
	}
	tracker.publish()
}

// ChangeTargets adds targets to a service, and removes others from it. What is known of targets that remain is kept.
func (tracker *Tracker) ChangeTargets(name settings.ServiceName, added, removed []settings.TargetName) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	service, found := tracker.services[name]
	if !found {
		service = &serviceState{}
		tracker.services[name] = service
	}
	for _, targetName := range removed {
		if target, known := tracker.targets[targetName]; known && target.service == service {
			delete(tracker.targets, targetName)
			service.remove(target)
		}
	}
	for _, targetName := range added {
		target, known := tracker.targets[targetName]
		if !known {
			target = &targetState{name: targetName}
			tracker.targets[targetName] = target
		}
		service.add(target)
	}
	if len(service.targets) == 0 {
		delete(tracker.services, name)
	}
	tracker.publish()
}

// RecordConnect records the result of an attempt to connect to a target.
func (tracker *Tracker) RecordConnect(name settings.TargetName, connected bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target, known := tracker.targets[name]
	if !known {
		return
	}
	target.checking = false
	if connected {
		target.connectedAt = tracker.clock.Now()
		return
	}
	target.connectFailedAt = tracker.clock.Now()
	tracker.active.Store(true)
}

// RecordProbe records the result of a probe of a target.
func (tracker *Tracker) RecordProbe(name settings.TargetName, answered bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target, known := tracker.targets[name]
	if !known {
		return
	}
	if answered {
		target.probedAt = tracker.clock.Now()
		return
	}
	target.probeFailedAt = tracker.clock.Now()
	tracker.active.Store(true)
}

// Check requests a round of checks of the services: another instance has reported that it cannot reach them.
func (tracker *Tracker) Check(services []settings.ServiceName) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, name := range services {
		if service, known := tracker.services[name]; known && service.status == reachable {
			service.requested = true
			tracker.active.Store(true)
		}
	}
}

// Unreachable reports whether this instance cannot reach the service.
func (tracker *Tracker) Unreachable(service settings.ServiceName) bool {
	services := tracker.unreachable.Load()
	return services != nil && (*services)[service]
}

// Doubtful reports whether this instance cannot reach the service, or suspects so.
func (tracker *Tracker) Doubtful(service settings.ServiceName) bool {
	services := tracker.doubtful.Load()
	return services != nil && (*services)[service]
}

// UnreachableServices returns the services that this instance cannot reach, in no particular order.
func (tracker *Tracker) UnreachableServices() []settings.ServiceName {
	services := tracker.unreachable.Load()
	if services == nil {
		return nil
	}
	return slices.Collect(maps.Keys(*services))
}

// AnyDoubtful reports whether any service is suspected or unreachable.
func (tracker *Tracker) AnyDoubtful() bool {
	return tracker.doubtful.Load() != nil
}

// Isolated reports whether this instance can reach no service at all.
func (tracker *Tracker) Isolated() bool {
	return tracker.isolated.Load()
}

// Change is a service that this instance can reach no more, or again.
type Change struct {
	Service settings.ServiceName
	// Reachable is whether the service can be reached now. Failing and Tried are the targets that could not be reached, and all that
	// were tried.
	Reachable      bool
	Failing, Tried int
}

// Update decides on the states of all services. It returns the targets to which a connection is to be opened now, whose results are
// passed to RecordConnect, and the changes.
func (tracker *Tracker) Update() ([]settings.TargetName, []Change) {
	if !tracker.active.Load() {
		return nil, nil
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := tracker.clock.Now()
	tracker.active.Store(false)
	var checks []settings.TargetName
	var changes []Change
	// A fixed order makes the choice of targets repeatable.
	for _, name := range slices.Sorted(maps.Keys(tracker.services)) {
		service := tracker.services[name]
		before := service.status
		checks = append(checks, tracker.updateService(now, service)...)
		if service.status == before || before != unreachable && service.status != unreachable {
			continue
		}
		failing, reached := service.evidence(now)
		changes = append(changes, Change{Service: name, Reachable: service.status == reachable, Failing: failing, Tried: failing + reached})
	}
	if slices.ContainsFunc(changes, func(change Change) bool { return !change.Reachable }) {
		// Whether other services can be reached shows whether this instance is isolated.
		for _, service := range tracker.services {
			service.requested = service.requested || service.status == reachable
		}
		tracker.active.Store(true)
	}
	tracker.publish()
	return checks, changes
}

// updateService decides on the state of one service, and returns the targets to check.
func (tracker *Tracker) updateService(now clock.Moment, service *serviceState) []settings.TargetName {
	service.roundUpdates++
	expired := now.Since(service.roundStart) >= roundTimeout && service.roundUpdates >= minRoundUpdates
	if service.roundOpen && (expired || !service.checking()) {
		service.decide()
	}
	failing, reached := service.evidence(now)
	suspicious := failing > reached
	due := !service.roundOpen && service.roundDue(now, suspicious)
	if service.roundOpen || due || service.status != reachable || service.requested || service.anyFailing(now) {
		tracker.active.Store(true)
	}
	switch {
	case !due:
		return nil
	case service.status == reachable && !suspicious:
		return tracker.startRound(now, service, maxRequestedChecks)
	case service.status == reachable:
		service.status = suspected
	}
	return tracker.startRound(now, service, maxChecks)
}

// startRound chooses the targets of a round of checks, at most as many as the given size.
func (tracker *Tracker) startRound(now clock.Moment, service *serviceState, size int) []settings.TargetName {
	service.roundStart, service.roundOpen, service.roundUpdates, service.requested = now, true, 0, false
	service.roundInterval = min(max(2*service.roundInterval, minRoundInterval), maxRoundInterval)
	checks := make([]settings.TargetName, 0, size)
	for _, index := range tracker.random.Perm(len(service.targets))[:min(len(service.targets), size)] {
		service.targets[index].checking = true
		checks = append(checks, service.targets[index].name)
	}
	return checks
}

// publish makes the states visible to readers.
func (tracker *Tracker) publish() {
	var doubtful, unreached map[settings.ServiceName]bool
	for name, service := range tracker.services {
		if service.status == reachable {
			continue
		}
		if doubtful == nil {
			doubtful = map[settings.ServiceName]bool{}
		}
		doubtful[name] = true
		if service.status != unreachable {
			continue
		}
		if unreached == nil {
			unreached = map[settings.ServiceName]bool{}
		}
		unreached[name] = true
	}
	storeSet(&tracker.doubtful, doubtful)
	storeSet(&tracker.unreachable, unreached)
	tracker.isolated.Store(len(unreached) > 0 && len(unreached) == len(tracker.services))
}

func storeSet(pointer *atomic.Pointer[map[settings.ServiceName]bool], set map[settings.ServiceName]bool) {
	if set == nil {
		pointer.Store(nil)
		return
	}
	pointer.Store(&set)
}
