package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// prediction is what the predictions for one request have in common.
type prediction struct {
	now      clock.Moment
	expected *expectation
	// keeping is the weight of the assumption that a request keeps the pace at which it starts.
	keeping    clock.Milliseconds
	mean       float64
	overSpells float64
}

// predict prepares predictions for a request of the given expectation.
func (scheduler *Scheduler) predict(now clock.Moment, expected *expectation) prediction {
	return prediction{
		now: now, expected: expected,
		keeping: clock.Milliseconds(scheduler.pace.keeping()), mean: scheduler.meanSlowdown, overSpells: scheduler.overSpells(),
	}
}

// finishOn predicts how long a usual and a long request take on the target.
func (prediction *prediction) finishOn(candidate *candidate) (clock.Milliseconds, clock.Milliseconds) {
	outlook := candidate.outlookAt(prediction.now, prediction.mean, prediction.overSpells)
	work := prediction.expected.work
	taken := float64(candidate.own + candidate.others(prediction.now))
	shared := work * clock.Milliseconds(crowdCost*taken/float64(candidate.room())+failureCosts*candidate.failRate)
	return outlook.forecast(work).expected(prediction.keeping) + shared, outlook.forecast(work*longTimes).expected(prediction.keeping) + shared
}

// outlook is how slow a target is expected to be.
type outlook struct {
	// slowdown is what it is now, for as long as steady says, and overSpells from then on.
	slowdown, overSpells clock.Milliseconds
	steady               clock.Milliseconds
	// changes says that it is known when the slowdown may change.
	changes bool
}

// outlookAt is what to expect of the target, with mean what readings of warm targets say on average and overSpells how many times longer
// than usual work takes over many spells.
func (candidate *candidate) outlookAt(now clock.Moment, mean, overSpells float64) outlook {
	outlook := outlook{slowdown: clock.Milliseconds(candidate.slowdownAt(now, mean)), changes: candidate.cadence.period > 0}
	if !outlook.changes {
		return outlook
	}
	outlook.steady = candidate.cadence.until(now)
	if candidate.cold(now) {
		overSpells *= coldSlowdown
	}
	outlook.overSpells = clock.Milliseconds(overSpells)
	return outlook
}

// forecast predicts how long work of the given usual length takes.
func (outlook *outlook) forecast(work clock.Milliseconds) forecast {
	told := forecast{kept: work * outlook.slowdown}
	told.followed = told.kept
	if outlook.changes && told.kept > outlook.steady {
		told.followed = outlook.steady + (work-outlook.steady/outlook.slowdown)*outlook.overSpells
	}
	return told
}

// expected weighs the assumptions.
func (forecast forecast) expected(keeping clock.Milliseconds) clock.Milliseconds {
	return forecast.followed + keeping*(forecast.kept-forecast.followed)
}
