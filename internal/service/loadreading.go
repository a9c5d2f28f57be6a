package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// LoadReading is what a target told of itself at one moment: in the header of an answer, in answer to a probe, or through
// the instance that probes it.
type LoadReading struct {
	// At is when it was taken, on this process's clock.
	At clock.Moment
	// Running and Waiting are the requests that the target ran and queued then, Slots those it can run at once.
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual work took on the target's machine then; 1 is as usual.
	Slowdown float64
	// SteadyFor is how long from then the slowdown stays as it is, and Period the time between two moments at which it
	// may change, as another instance has learnt them; 0 when it is not known.
	SteadyFor, Period clock.Milliseconds
	// ColdKnown tells whether the reading says how warm the target is; ColdFor is then how long it stays cold.
	ColdKnown bool
	ColdFor   clock.Milliseconds
}

// ReportsLoad reports whether the target told its load. Many only tell that they are there.
func (reading *LoadReading) ReportsLoad() bool {
	return reading.Slots > 0 || reading.Running > 0 || reading.Slowdown > 0
}

// Spells of slowness. A target shares its machine with others, so that its work slows down several times over for a
// spell of some 150 ms and is back to usual just as suddenly. A reading therefore loses its worth over one spell; once
// it is older, the mean over all targets says more. The length counts until a service's own period is known.
const defaultSlowdownPeriod = 150 * clock.Millisecond

// coldSlowdown is how many times longer work takes on a target that is cold.
const coldSlowdown = 2.0

// slowdownAt is the slowdown to expect at now, with mean what readings of warm targets say on average. What a target tells
// of itself includes that it is cold, so only what is expected without a reading is raised for it.
func (candidate *candidate) expectedSlowdown(now clock.Moment, meanSlowdown float64) float64 {
	if candidate.cold(now) {
		meanSlowdown *= coldSlowdown
	}
	reading := &candidate.reading
	age := now.Since(reading.At)
	if !candidate.hasReading || age >= defaultSlowdownPeriod && candidate.slowdownCycle.period == 0 || reading.Slowdown <= 0 {
		return meanSlowdown
	}
	if candidate.slowdownCycle.period > 0 {
		if candidate.slowdownCycle.intervalAt(reading.At) == candidate.slowdownCycle.intervalAt(now) {
			return reading.Slowdown
		}
		return meanSlowdown
	}
	fresh := 1 - float64(age/defaultSlowdownPeriod)
	return fresh*reading.Slowdown + (1-fresh)*meanSlowdown
}
