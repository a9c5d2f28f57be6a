package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// varyingDuration predicts the duration of work on the target if its slowdown varies with the target.
func (candidate *candidate) varyingDuration(now clock.Moment, serviceTime clock.Milliseconds, meanSlowdown, longRunSlowdown float64) clock.Milliseconds {
	slowdownForecast := candidate.forecastSlowdown(now, meanSlowdown)
	return slowdownForecast.duration(now, serviceTime, longRunSlowdown).varying
}
