package service

import (
	"math"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// never is later than any moment.
var never = clock.Moment(math.Inf(1))

// prediction holds the values that the predictions for one request share.
type prediction struct {
	now        clock.Moment
	classStats *classStats
	// fixedWeight is the weight of the assumption that a request keeps the slowdown at which it starts.
	fixedWeight     clock.Milliseconds
	meanSlowdown    float64
	longRunSlowdown float64
}

// predict prepares the predictions for a request of a class.
func (scheduler *Scheduler) predict(now clock.Moment, classStats *classStats) prediction {
	return prediction{
		now: now, classStats: classStats,
		fixedWeight: clock.Milliseconds(scheduler.slowdownModel.fixedWeight()), meanSlowdown: scheduler.meanSlowdown, longRunSlowdown: scheduler.longRunSlowdown(),
	}
}

// durationsOn predicts the durations of a usual and a long request on the target.
func (prediction *prediction) durationsOn(candidate *candidate) (clock.Milliseconds, clock.Milliseconds) {
	slowdownForecast := candidate.forecastSlowdown(prediction.now, prediction.meanSlowdown)
	return prediction.durations(&slowdownForecast, candidate.loadPenalty(candidate.ownInFlight+candidate.othersInFlight(prediction.now), candidate.concurrencyLimit()))
}

// durationsAsIndexed predicts the same durations from the forecast that was stored when the target was indexed.
func (prediction *prediction) durationsAsIndexed(candidate *candidate) (clock.Milliseconds, clock.Milliseconds) {
	indexEntry := &candidate.indexEntry
	if indexEntry.forecast.until < prediction.now {
		return prediction.durationsOn(candidate)
	}
	return prediction.durations(&indexEntry.forecast, indexEntry.loadPenalty)
}

func (prediction *prediction) durations(slowdownForecast *slowdownForecast, loadPenalty float64) (clock.Milliseconds, clock.Milliseconds) {
	serviceTime := prediction.classStats.serviceTime
	penalty := serviceTime * clock.Milliseconds(loadPenalty)
	usual := slowdownForecast.duration(prediction.now, serviceTime, prediction.longRunSlowdown)
	long := slowdownForecast.duration(prediction.now, serviceTime*longRequestFactor, prediction.longRunSlowdown)
	return usual.weighted(prediction.fixedWeight) + penalty, long.weighted(prediction.fixedWeight) + penalty
}

// loadPenalty returns the time added by other requests in flight and by failures, relative to the usual service time.
func (candidate *candidate) loadPenalty(inFlight, limit int) float64 {
	return concurrencyCost*float64(inFlight)/float64(limit) + failureCost*candidate.failureRate
}

// slowdownForecast is the expected slowdown of a target.
type slowdownForecast struct {
	// slowdown is expected until the moment until, from which it may change.
	slowdown clock.Milliseconds
	until    clock.Moment
	cold     bool
}

// forecastSlowdown returns the expected slowdown of the target. meanSlowdown is the average over the readings of warm
// targets.
func (candidate *candidate) forecastSlowdown(now clock.Moment, meanSlowdown float64) slowdownForecast {
	slowdownForecast := slowdownForecast{slowdown: clock.Milliseconds(candidate.expectedSlowdown(now, meanSlowdown)), until: never}
	if candidate.slowdownCycle.period > 0 {
		slowdownForecast.until = now.Add(candidate.slowdownCycle.untilBoundary(now))
		slowdownForecast.cold = candidate.cold(now)
	}
	return slowdownForecast
}

// duration predicts the duration of work of the given service time that starts now. longRunSlowdown is the average slowdown
// over many intervals.
func (slowdownForecast *slowdownForecast) duration(now clock.Moment, serviceTime clock.Milliseconds, longRunSlowdown float64) durationForecast {
	forecast := durationForecast{fixed: serviceTime * slowdownForecast.slowdown}
	forecast.varying = forecast.fixed
	if steady := slowdownForecast.until.Since(now); forecast.fixed > steady {
		if slowdownForecast.cold {
			longRunSlowdown *= coldSlowdown
		}
		forecast.varying = steady + (serviceTime-steady/slowdownForecast.slowdown)*clock.Milliseconds(longRunSlowdown)
	}
	return forecast
}

// weighted returns the average of the two assumptions, with the given weight for the fixed slowdown.
func (durationForecast durationForecast) weighted(fixedWeight clock.Milliseconds) clock.Milliseconds {
	return durationForecast.varying + fixedWeight*(durationForecast.fixed-durationForecast.varying)
}
