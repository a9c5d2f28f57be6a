package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// A request that would start on a slow target can wait for a fast one instead. There are two kinds of service:
//   - A request keeps the slowdown at which it started (fixed). One that starts on a slow target then uses a permit for several times
//     as long: with a quarter of the targets slow at any moment, such requests would use half of all permits, and under load the throughput
//     of the service would be halved.
//   - The slowdown of a request varies with that of its target (varying). A slow interval then delays the request by no more than the
//     rest of the interval, and no request waits.
//
// The Scheduler learns from completed requests which of the two applies.

// loadReadingDelay is the time after a possible change of a target's slowdown within which a new load reading arrives: the
// probe by the target's owner and the owner's message to the other instances.
const loadReadingDelay = 40 * clock.Millisecond

// slow reports whether the target is known to be slow, or its slowdown may just have changed and the new load reading has not
// arrived yet.
func (candidate *candidate) slow(now clock.Moment) bool {
	return candidate.slowNow(now) || candidate.awaitingLoadReading(now)
}

// slowNow reports whether the target is known to be slow for a reason other than being cold.
func (candidate *candidate) slowNow(now clock.Moment) bool {
	if candidate.stale(now) || candidate.cold(now) || candidate.reading.Slowdown < slowThreshold {
		return false
	}
	if candidate.slowdownCycle.period == 0 {
		return now.Since(candidate.reading.At) < defaultSlowdownPeriod
	}
	return candidate.slowdownCycle.intervalAt(now) == candidate.slowdownCycle.intervalAt(candidate.reading.At)
}

// awaitingLoadReading reports whether the target's slowdown may just have changed and a new load reading is expected within
// loadReadingDelay.
func (candidate *candidate) awaitingLoadReading(now clock.Moment) bool {
	if candidate.slowdownCycle.period == 0 || candidate.stale(now) || candidate.cold(now) {
		return false
	}
	return candidate.slowdownCycle.intervalAt(now) == candidate.slowdownCycle.intervalAt(candidate.reading.At)+1 &&
		candidate.slowdownCycle.sinceBoundary(now) < loadReadingDelay
}

// timeUntilFast returns the time until a slow target may be fast.
func (candidate *candidate) timeUntilFast(now clock.Moment) clock.Milliseconds {
	switch {
	case candidate.slowdownCycle.period == 0:
		return defaultSlowdownPeriod
	case candidate.awaitingLoadReading(now):
		return loadReadingDelay - candidate.slowdownCycle.sinceBoundary(now)
	default:
		return candidate.slowdownCycle.untilBoundary(now)
	}
}

// minWaitGain is the ratio from which a request waits: its duration on the slow target, divided by the wait plus its duration on
// a fast target. It is above 1 because a permit that is skipped stays unused meanwhile and the target may stay slow.
const minWaitGain = 1.5

// shouldWaitForFast reports whether a request waits for a fast target instead of starting on the given slow one, where it is
// expected to take the given duration. A request that cannot wait that long starts on the slow target if it would complete there
// before its deadline.
func (scheduler *Scheduler) shouldWaitForFast(now clock.Moment, waiter *rankedWaiter, slow *candidate, duration clock.Milliseconds) bool {
	wait := slow.timeUntilFast(now)
	if wait > unknownProbeTime && scheduler.mayAskOthers(now) {
		// Most targets are fast at any moment, so that one of those that are asked probably is.
		wait = unknownProbeTime
	}
	if now.Add(wait) >= waiter.waitDeadline {
		return now.Add(duration) > waiter.request.Deadline
	}
	return duration > minWaitGain*(wait+scheduler.fastDuration(waiter.classStats.serviceTime))
}

// fastDuration returns the expected duration of a request with the given usual duration that starts when a target has
// just become fast.
func (scheduler *Scheduler) fastDuration(work clock.Milliseconds) clock.Milliseconds {
	interval := defaultSlowdownPeriod
	if scheduler.slowdownPeriod > 0 {
		interval = scheduler.slowdownPeriod
	}
	varying := work
	if work > interval {
		varying = interval + (work-interval)*clock.Milliseconds(scheduler.longRunSlowdown())
	}
	return scheduler.slowdownModel.weighted(durationForecast{fixed: work, varying: varying})
}
