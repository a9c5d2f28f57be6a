package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// timeFor predicts how long work takes on the target if it follows its target's pace.
func (candidate *candidate) varyingDuration(now clock.Moment, serviceTime clock.Milliseconds, meanSlowdown, longRunSlowdown float64) clock.Milliseconds {
	slowdownForecast := candidate.forecastSlowdown(now, meanSlowdown)
	return slowdownForecast.duration(now, serviceTime, longRunSlowdown).varying
}
