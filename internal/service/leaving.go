package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// leavingProbeInterval is the shortest time between two probes of a target that is about to stop.
const leavingProbeInterval = 250 * clock.Millisecond

// usable reports whether the target may get requests at all.
func (candidate *candidate) usable() bool {
	return candidate.config.Usable && !candidate.leaving()
}

// leaving reports whether the target has said that it is about to stop. Its entry may not say so, or not yet.
func (candidate *candidate) leaving() bool {
	return candidate.declaration != nil && candidate.declaration.leaving
}

// setLeaving records that the target is about to stop. It holds until the target starts again.
func (scheduler *Scheduler) setLeaving(now clock.Moment, candidate *candidate, change *StatementChange) {
	declaration := scheduler.declarationOf(now, candidate)
	if declaration.leaving {
		return
	}
	declaration.leaving, declaration.unreported = true, true
	change.Leaving = true
	scheduler.countUsable()
	scheduler.reindex(now, candidate)
	if scheduler.usableCount == 0 {
		scheduler.refuseAll(ErrNoTarget)
	}
}
