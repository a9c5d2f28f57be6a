package reachability

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// evidenceAge is how long the result of an attempt to reach a target counts.
	evidenceAge = 1500 * clock.Millisecond
	// minFailing is the minimum number of targets that cannot be reached for a service to be unreachable, if it has as many: a single
	// target that cannot be reached has probably failed itself.
	minFailing = 2
	// minReachedShare is the share of the targets of a round that have to be reached for a service that was unreachable to be
	// reachable again. It exceeds one half, so that a service of which half is reached does not change its state with each round.
	minReachedShare = 0.75
)

// status is the state of a service.
type status int

const (
	reachable status = iota
	suspected
	unreachable
)

// serviceState is what is known of a service.
type serviceState struct {
	status  status
	targets []*targetState
	// roundStart is when the current or last round of checks began, 0 if there was none; roundOpen is whether it is undecided, and
	// roundUpdates the number of updates since it began.
	roundStart    clock.Moment
	roundOpen     bool
	roundUpdates  int
	roundInterval clock.Milliseconds
	// requested is whether a round is due although nothing failed here.
	requested bool
}

// targetState is when a target was last reached, and when it was not.
type targetState struct {
	name    settings.TargetName
	service *serviceState
	// index is the position of the target in its service.
	index int
	// connectedAt and connectFailedAt are the last attempts to connect, probedAt and probeFailedAt the last probes, which mostly
	// use open connections.
	connectedAt, connectFailedAt clock.Moment
	probedAt, probeFailedAt      clock.Moment
	// checking is whether the target is in the current round and has no result yet.
	checking bool
}

// add adds a target, which is moved if it belongs to another service.
func (service *serviceState) add(target *targetState) {
	if target.service == service {
		return
	}
	if target.service != nil {
		target.service.remove(target)
	}
	target.service, target.index = service, len(service.targets)
	service.targets = append(service.targets, target)
}

// remove removes a target. The last one takes its position.
func (service *serviceState) remove(target *targetState) {
	last := service.targets[len(service.targets)-1]
	service.targets[target.index], last.index = last, target.index
	service.targets[len(service.targets)-1] = nil
	service.targets = service.targets[:len(service.targets)-1]
	target.service = nil
}

// roundDue reports whether a round of checks is to begin.
func (service *serviceState) roundDue(now clock.Moment, suspicious bool) bool {
	sinceLast := now.Since(service.roundStart)
	switch {
	case service.status == unreachable:
		return sinceLast >= service.roundInterval
	case service.requested || suspicious:
		return service.roundStart == 0 || sinceLast >= suspectInterval
	default:
		return false
	}
}

// decide ends a round of checks.
func (service *serviceState) decide() {
	service.roundOpen = false
	failing, reached := service.roundResults()
	for _, target := range service.targets {
		target.checking = false
	}
	switch {
	case service.status == unreachable:
		if float64(reached) >= minReachedShare*float64(failing+reached) && reached > 0 {
			service.setReachable()
		}
	case service.mostFail(failing, reached):
		service.status = unreachable
		service.roundInterval = 0
	default:
		service.status, service.roundInterval = reachable, 0
	}
}

// setReachable makes the service reachable. What failed before does not count any more.
func (service *serviceState) setReachable() {
	service.status, service.roundInterval = reachable, 0
	for _, target := range service.targets {
		target.connectFailedAt, target.probeFailedAt = 0, 0
	}
}

// checking reports whether a check of the current round has no result yet.
func (service *serviceState) checking() bool {
	return slices.ContainsFunc(service.targets, func(target *targetState) bool { return target.checking })
}

// roundResults returns how many targets could not be reached, and how many could, since the current round began.
func (service *serviceState) roundResults() (failing, reached int) {
	for _, target := range service.targets {
		switch {
		case target.connectFailedAt >= service.roundStart && target.connectFailedAt >= target.connectedAt, target.checking:
			failing++
		case target.connectedAt >= service.roundStart:
			reached++
		}
	}
	return failing, reached
}

// evidence returns how many targets could not be reached lately, and how many could.
func (service *serviceState) evidence(now clock.Moment) (failing, reached int) {
	for _, target := range service.targets {
		switch {
		case target.failing(now):
			failing++
		case recent(now, target.connectedAt) || recent(now, target.probedAt):
			reached++
		}
	}
	return failing, reached
}

// mostFail reports whether that many targets of a round that cannot be reached, and that many that can, make the service unreachable.
func (service *serviceState) mostFail(failing, reached int) bool {
	return failing >= min(minFailing, len(service.targets)) && failing > reached
}

// anyFailing reports whether any target could not be reached lately.
func (service *serviceState) anyFailing(now clock.Moment) bool {
	return slices.ContainsFunc(service.targets, func(target *targetState) bool { return target.failing(now) })
}

// failing reports whether the target could not be reached lately. Probes on open connections may succeed while new connections
// fail.
func (target *targetState) failing(now clock.Moment) bool {
	return recent(now, target.connectFailedAt) && target.connectFailedAt > target.connectedAt ||
		recent(now, target.probeFailedAt) && target.probeFailedAt > max(target.probedAt, target.connectedAt)
}

func recent(now, at clock.Moment) bool {
	return at > 0 && now.Since(at) <= evidenceAge
}
