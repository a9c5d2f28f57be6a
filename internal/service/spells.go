package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// spellsKept is the number of spells that are remembered of each target: those of some seconds, in which nearly all requests end.
const spellsKept = 32

// spells remembers how slow a target was in its last spells, so that it can be told afterwards what a request met there.
type spells struct {
	kept [spellsKept]spell
	next int
}

// spell is the time between two moments at which a target's slowness may change.
type spell struct {
	from     clock.Moment
	slowdown float64
	// inside is how far from either end it was read.
	inside clock.Milliseconds
}

// note takes a reading. Of several in one spell the one furthest from its ends counts: the others may belong to the next one.
func (spells *spells) note(cadence *cadence, reading LoadReading) {
	since := cadence.since(reading.At)
	from := reading.At.Add(-since)
	inside := min(since, cadence.period-since)
	if known := spells.find(from, cadence.period); known != nil {
		if inside >= known.inside {
			known.slowdown, known.inside = reading.Slowdown, inside
		}
		return
	}
	spells.kept[spells.next] = spell{from: from, slowdown: reading.Slowdown, inside: inside}
	spells.next = (spells.next + 1) % spellsKept
}

// find returns the spell that began at the given moment, or nil. What is known of the moment moves a little as readings come.
func (spells *spells) find(from clock.Moment, period clock.Milliseconds) *spell {
	for back := range spellsKept {
		known := &spells.kept[(spells.next+spellsKept-1-back)%spellsKept]
		if apart := known.from.Since(from); known.slowdown > 0 && max(apart, -apart) < period/4 {
			return known
		}
	}
	return nil
}

// slowdownIn is how slow the target was in the spell of the given moment, 0 when that is not known.
func (candidate *candidate) slowdownIn(at clock.Moment) float64 {
	if candidate.cadence.period == 0 {
		return 0
	}
	known := candidate.spells.find(at.Add(-candidate.cadence.since(at)), candidate.cadence.period)
	if known == nil {
		return 0
	}
	return known.slowdown
}

// hindsight is what the two assumptions say, now that it is known what a request met. It reports whether that is known in full.
func (candidate *candidate) hindsight(since, now clock.Moment, work clock.Milliseconds, overSpells float64) (forecast, bool) {
	first := candidate.slowdownIn(since)
	if first == 0 || candidate.cadence.nearChange(since) {
		return forecast{}, false
	}
	told := forecast{kept: work * clock.Milliseconds(first)}
	left := work
	for at := since; at < now; {
		slowdown := clock.Milliseconds(candidate.slowdownIn(at))
		if slowdown == 0 {
			return forecast{}, false
		}
		// A moment past the boundary, so that the next step is in the next spell for certain.
		length := candidate.cadence.until(at) + clock.Millisecond
		if left*slowdown <= length {
			told.followed += left * slowdown
			return told, true
		}
		told.followed += length
		left -= length / slowdown
		at = at.Add(length)
	}
	told.followed += left * clock.Milliseconds(overSpells)
	return told, true
}
