package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// A request that would start on a slow target can wait for a fast one instead. Where requests keep the pace at which they start,
// one that starts slow takes a place for several times as long: with a quarter of the targets slow at any moment, half of all
// places would be held by such requests, and under load the service would get half as much done. Where requests follow their
// target's pace, a slow spell costs no more than what is left of it, and nobody waits. Which of the two holds is learnt.

// loadReadingDelay is the time after a possible change of slowness within which a reading of it arrives: the owner's probe, and its word to
// the other instances.
const loadReadingDelay = 40 * clock.Millisecond

// slow reports whether the target is known to be slow now, or may just have become so and is about to tell.
func (candidate *candidate) slow(now clock.Moment) bool {
	return candidate.slowNow(now) || candidate.awaitingLoadReading(now)
}

// slowNow reports whether the target is known to be slow now, for another reason than being cold.
func (candidate *candidate) slowNow(now clock.Moment) bool {
	if candidate.stale(now) || candidate.cold(now) || candidate.reading.Slowdown < slowFrom {
		return false
	}
	if candidate.cadence.period == 0 {
		return now.Since(candidate.reading.At) < spellLength
	}
	return candidate.cadence.spell(now) == candidate.cadence.spell(candidate.reading.At)
}

// awaitingLoadReading reports whether the target's slowness may just have changed, so that a reading is under way.
func (candidate *candidate) awaitingLoadReading(now clock.Moment) bool {
	if candidate.cadence.period == 0 || candidate.stale(now) || candidate.cold(now) {
		return false
	}
	return candidate.cadence.spell(now) == candidate.cadence.spell(candidate.reading.At)+1 && candidate.cadence.since(now) < loadReadingDelay
}

// timeUntilFast is how long a slow target takes until it may be fast.
func (candidate *candidate) timeUntilFast(now clock.Moment) clock.Milliseconds {
	switch {
	case candidate.cadence.period == 0:
		return spellLength
	case candidate.awaitingLoadReading(now):
		return loadReadingDelay - candidate.cadence.since(now)
	default:
		return candidate.cadence.until(now)
	}
}

// minWaitGain is how many times longer a place must be taken by a request that starts now than by one that waits: a place that is passed
// over does nothing meanwhile, and the target may stay slow.
const minWaitGain = 1.5

// shouldWaitForFast reports whether a request that would be finished on a slow target after the given time is to wait for a fast one. One
// that can't wait that long starts if it would be finished before its deadline.
func (scheduler *Scheduler) shouldWaitForFast(now clock.Moment, waiter *rankedWaiter, slow *candidate, finish clock.Milliseconds) bool {
	wait := slow.timeUntilFast(now)
	if now.Add(wait) >= waiter.waitDeadline {
		return now.Add(finish) > waiter.request.Deadline
	}
	return finish > minWaitGain*(wait+scheduler.fastCompletionTime(waiter.classStats.work))
}

// fastCompletionTime is how long a request of the given usual length takes that starts when a target has just turned fast.
func (scheduler *Scheduler) fastCompletionTime(work clock.Milliseconds) clock.Milliseconds {
	spell := spellLength
	if scheduler.period > 0 {
		spell = scheduler.period
	}
	followed := work
	if work > spell {
		followed = spell + (work-spell)*clock.Milliseconds(scheduler.overSpells())
	}
	return scheduler.pace.expected(forecast{kept: work, followed: followed})
}
