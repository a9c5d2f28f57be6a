package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// spellsKept is the number of spells that are remembered of each target: those of some seconds, in which nearly all requests end.
const historyLength = 32

// spells remembers how slow a target was in its last spells, so that it can be told afterwards what a request met there.
type slowdownHistory struct {
	intervals [historyLength]slowdownInterval
	next      int
}

// spell is the time between two moments at which a target's slowness may change.
type slowdownInterval struct {
	start    clock.Moment
	slowdown float64
	// inside is how far from either end it was read.
	boundaryDistance clock.Milliseconds
}

// note takes a reading. Of several in one spell the one furthest from its ends counts: the others may belong to the next one.
func (slowdownHistory *slowdownHistory) record(slowdownCycle *slowdownCycle, reading LoadReading) {
	since := slowdownCycle.sinceBoundary(reading.At)
	start := reading.At.Add(-since)
	boundaryDistance := min(since, slowdownCycle.period-since)
	if interval := slowdownHistory.find(start, slowdownCycle.period); interval != nil {
		if boundaryDistance >= interval.boundaryDistance {
			interval.slowdown, interval.boundaryDistance = reading.Slowdown, boundaryDistance
		}
		return
	}
	slowdownHistory.intervals[slowdownHistory.next] = slowdownInterval{start: start, slowdown: reading.Slowdown, boundaryDistance: boundaryDistance}
	slowdownHistory.next = (slowdownHistory.next + 1) % historyLength
}

// find returns the spell that began at the given moment, or nil. What is known of the moment moves a little as readings come.
func (slowdownHistory *slowdownHistory) find(start clock.Moment, period clock.Milliseconds) *slowdownInterval {
	for back := range historyLength {
		interval := &slowdownHistory.intervals[(slowdownHistory.next+historyLength-1-back)%historyLength]
		if distance := interval.start.Since(start); interval.slowdown > 0 && max(distance, -distance) < period/4 {
			return interval
		}
	}
	return nil
}

// slowdownIn is how slow the target was in the spell of the given moment, 0 when that is not known.
func (candidate *candidate) recordedSlowdown(at clock.Moment) float64 {
	if candidate.slowdownCycle.period == 0 {
		return 0
	}
	interval := candidate.slowdownHistory.find(at.Add(-candidate.slowdownCycle.sinceBoundary(at)), candidate.slowdownCycle.period)
	if interval == nil {
		return 0
	}
	return interval.slowdown
}

// hindsight is what the two assumptions say, now that it is known what a request met. It reports whether that is known in full.
func (candidate *candidate) retrospectiveForecast(since, now clock.Moment, serviceTime clock.Milliseconds, longRunSlowdown float64) (durationForecast, bool) {
	first := candidate.recordedSlowdown(since)
	if first == 0 || candidate.slowdownCycle.nearBoundary(since) {
		return durationForecast{}, false
	}
	forecast := durationForecast{fixed: serviceTime * clock.Milliseconds(first)}
	remaining := serviceTime
	for at := since; at < now; {
		slowdown := clock.Milliseconds(candidate.recordedSlowdown(at))
		if slowdown == 0 {
			return durationForecast{}, false
		}
		// A moment past the boundary, so that the next step is in the next spell for certain.
		length := candidate.slowdownCycle.untilBoundary(at) + clock.Millisecond
		if remaining*slowdown <= length {
			forecast.varying += remaining * slowdown
			return forecast, true
		}
		forecast.varying += length
		remaining -= length / slowdown
		at = at.Add(length)
	}
	forecast.varying += remaining * clock.Milliseconds(longRunSlowdown)
	return forecast, true
}
