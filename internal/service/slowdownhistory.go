package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// historyLength is the number of intervals stored for each target. They cover some seconds, in which nearly all requests
// end.
const historyLength = 32

// slowdownHistory stores the slowdowns of a target in its last intervals, from which the slowdown that a request met can be
// determined when it has ended.
type slowdownHistory struct {
	intervals [historyLength]slowdownInterval
	next      int
}

// slowdownInterval is the time between two moments at which the slowdown of a target may change.
type slowdownInterval struct {
	start    clock.Moment
	slowdown float64
	// boundaryDistance is the distance of the stored reading from the nearer end of the interval.
	boundaryDistance clock.Milliseconds
}

// record stores a reading. Of several readings in one interval, the one furthest from its ends is kept, since the others may
// belong to a neighbouring interval.
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

// find returns the interval that began at the given moment, or nil. Starts are compared with a tolerance, since the phase is
// corrected as readings arrive.
func (slowdownHistory *slowdownHistory) find(start clock.Moment, period clock.Milliseconds) *slowdownInterval {
	for back := range historyLength {
		interval := &slowdownHistory.intervals[(slowdownHistory.next+historyLength-1-back)%historyLength]
		if distance := interval.start.Since(start); interval.slowdown > 0 && max(distance, -distance) < period/4 {
			return interval
		}
	}
	return nil
}

// recordedSlowdown returns the slowdown of the target in the interval of the given moment, 0 if it is not known.
func (candidate *candidate) recordedSlowdown(at clock.Moment) float64 {
	if candidate.slowdownCycle.period == 0 || candidate.slowdownHistory == nil {
		return 0
	}
	interval := candidate.slowdownHistory.find(at.Add(-candidate.slowdownCycle.sinceBoundary(at)), candidate.slowdownCycle.period)
	if interval == nil {
		return 0
	}
	return interval.slowdown
}

// retrospectiveForecast returns the durations that the two assumptions of durationForecast predict from the slowdowns recorded
// while a request ran. It returns false if these slowdowns are not all known.
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
		// The step ends one millisecond past the boundary, so that the next one is certainly in the next interval.
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
