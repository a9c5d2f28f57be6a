package service

import (
	"math"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// never is later than any moment.
var never = clock.Moment(math.Inf(1))

// prediction is what the predictions for one request have in common.
type prediction struct {
	now        clock.Moment
	classStats *classStats
	// keeping is the weight of the assumption that a request keeps the pace at which it starts.
	fixedWeight     clock.Milliseconds
	meanSlowdown    float64
	longRunSlowdown float64
}

// predict prepares predictions for a request of the given expectation.
func (scheduler *Scheduler) predict(now clock.Moment, classStats *classStats) prediction {
	return prediction{
		now: now, classStats: classStats,
		fixedWeight: clock.Milliseconds(scheduler.slowdownModel.fixedWeight()), meanSlowdown: scheduler.meanSlowdown, longRunSlowdown: scheduler.longRunSlowdown(),
	}
}

// finishOn predicts how long a usual and a long request take on the target.
func (prediction *prediction) finishOn(candidate *candidate) (clock.Milliseconds, clock.Milliseconds) {
	slowdownForecast := candidate.forecastSlowdown(prediction.now, prediction.meanSlowdown)
	return prediction.finish(&slowdownForecast, candidate.loadPenalty(candidate.ownInFlight+candidate.othersInFlight(prediction.now), candidate.concurrencyLimit()))
}

// finishAsFiled predicts the same from what was found when the target was filed.
func (prediction *prediction) finishAsIndexed(candidate *candidate) (clock.Milliseconds, clock.Milliseconds) {
	indexEntry := &candidate.indexEntry
	if indexEntry.forecast.until < prediction.now {
		return prediction.finishOn(candidate)
	}
	return prediction.finish(&indexEntry.forecast, indexEntry.loadPenalty)
}

func (prediction *prediction) finish(slowdownForecast *slowdownForecast, loadPenalty float64) (clock.Milliseconds, clock.Milliseconds) {
	serviceTime := prediction.classStats.serviceTime
	penalty := serviceTime * clock.Milliseconds(loadPenalty)
	usual := slowdownForecast.duration(prediction.now, serviceTime, prediction.longRunSlowdown)
	long := slowdownForecast.duration(prediction.now, serviceTime*longRequestFactor, prediction.longRunSlowdown)
	return usual.weighted(prediction.fixedWeight) + penalty, long.weighted(prediction.fixedWeight) + penalty
}

// sharedBy is how many times the usual work a request takes longer for those beside it and for failures.
func (candidate *candidate) loadPenalty(inFlight, limit int) float64 {
	return concurrencyCost*float64(inFlight)/float64(limit) + failureCost*candidate.failureRate
}

// outlook is how slow a target is expected to be.
type slowdownForecast struct {
	// slowdown is what it is until it may change.
	slowdown clock.Milliseconds
	until    clock.Moment
	cold     bool
}

// outlookAt is what to expect of the target, with mean what readings of warm targets say on average.
func (candidate *candidate) forecastSlowdown(now clock.Moment, meanSlowdown float64) slowdownForecast {
	slowdownForecast := slowdownForecast{slowdown: clock.Milliseconds(candidate.expectedSlowdown(now, meanSlowdown)), until: never}
	if candidate.slowdownCycle.period > 0 {
		slowdownForecast.until = now.Add(candidate.slowdownCycle.untilBoundary(now))
		slowdownForecast.cold = candidate.cold(now)
	}
	return slowdownForecast
}

// forecast predicts how long work of the given usual length takes if it starts now, with overSpells how many times longer than usual it
// takes over many spells.
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

// expected weighs the assumptions.
func (durationForecast durationForecast) weighted(fixedWeight clock.Milliseconds) clock.Milliseconds {
	return durationForecast.varying + fixedWeight*(durationForecast.fixed-durationForecast.varying)
}
