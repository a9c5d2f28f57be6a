package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// Reading is what a target told of itself at one moment: in the header of an answer, in answer to a probe, or through
// the instance that probes it.
type Reading struct {
	// At is when it was taken, on this process's clock.
	At clock.Moment
	// Running and Waiting are the requests that the target ran and queued then, Slots those it can run at once.
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual work took on the target's machine then; 1 is as usual.
	Slowdown float64
	// ColdKnown tells whether the reading says how warm the target is; ColdFor is then how long it stays cold.
	ColdKnown bool
	ColdFor   clock.Milliseconds
}

// Spells of slowness. A target shares its machine with others, so that its work slows down several times over for a
// spell of some 150 ms and is back to usual just as suddenly. A reading therefore loses its worth over one spell; once
// it is older, the mean over all targets says more. 150 ms is what the users' platform shows, docs/design/0003-platform.md.
const spellLength = 150 * clock.Millisecond

// coldSlowdown is how many times longer work takes on a target that is cold.
const coldSlowdown = 2.0

// slowdownAt is the slowdown to expect at now, with mean what readings say on average.
func (reading *Reading) slowdownAt(now clock.Moment, mean float64) float64 {
	age := now.Since(reading.At)
	if age >= spellLength || reading.Slowdown <= 0 {
		return mean
	}
	fresh := 1 - float64(age/spellLength)
	return fresh*reading.Slowdown + (1-fresh)*mean
}
