package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// LoadReading is the state that a target reported at one moment: in a header of a response, in the response to a probe,
// or through the instance that probes it.
type LoadReading struct {
	// At is when the reading was taken, on the clock of this process.
	At clock.Moment
	// Running and Waiting are the numbers of requests that the target ran and queued, Slots the number that it can run at
	// once.
	Running, Waiting, Slots int
	// Slowdown is the duration of work on the machine of the target relative to the usual one; 1 is no slowdown.
	Slowdown float64
	// SteadyFor is the time from At until the slowdown may change, and Period the time between two such moments, as another
	// instance has learned them; 0 if they are not known.
	SteadyFor, Period clock.Milliseconds
	// ColdKnown is true if the reading says for how long the target is cold; ColdFor is then the time until it is warm. A target whose
	// probe says nothing of this has not become cold since. ColdUnclear is true if even that does not follow from the reading.
	ColdKnown   bool
	ColdUnclear bool
	ColdFor     clock.Milliseconds
	// Source is where the reading comes from.
	Source Source
	// Delay is how long the reading may have waited before At. What it says of cold or warm is taken for that much older.
	Delay clock.Milliseconds
}

// ReportsLoad reports whether the reading contains the load of the target. Many targets only report that they are reachable.
func (reading *LoadReading) ReportsLoad() bool {
	return reading.Slots > 0 || reading.Running > 0 || reading.Slowdown > 0
}

// defaultSlowdownPeriod is used until the period of a service is known. A target shares its machine with others, so that its
// work takes several times as long for an interval of some 150 ms and returns to the usual duration as suddenly. The weight
// of a reading therefore decreases to zero over one interval; after that, the mean over all targets is the better estimate.
const defaultSlowdownPeriod = 150 * clock.Millisecond

// coldSlowdown is the slowdown of work on a cold target.
const coldSlowdown = 2.0

// expectedSlowdown returns the slowdown to expect at now. meanSlowdown is the average over the readings of warm targets. A
// reading of a cold target already includes the slowdown of cold targets, so only the mean is raised by coldSlowdown.
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
