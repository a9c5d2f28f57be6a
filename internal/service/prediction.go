package service

import (
	"math"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// never is later than any moment.
var never = clock.Moment(math.Inf(1))

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
	outlook := candidate.outlookAt(prediction.now, prediction.mean)
	return prediction.finish(&outlook, candidate.sharedBy(candidate.own+candidate.others(prediction.now), candidate.room()))
}

// finishAsFiled predicts the same from what was found when the target was filed.
func (prediction *prediction) finishAsFiled(candidate *candidate) (clock.Milliseconds, clock.Milliseconds) {
	filing := &candidate.filing
	if filing.outlook.until < prediction.now {
		return prediction.finishOn(candidate)
	}
	return prediction.finish(&filing.outlook, filing.shared)
}

func (prediction *prediction) finish(outlook *outlook, sharedBy float64) (clock.Milliseconds, clock.Milliseconds) {
	work := prediction.expected.work
	shared := work * clock.Milliseconds(sharedBy)
	usual := outlook.forecast(prediction.now, work, prediction.overSpells)
	long := outlook.forecast(prediction.now, work*longTimes, prediction.overSpells)
	return usual.expected(prediction.keeping) + shared, long.expected(prediction.keeping) + shared
}

// sharedBy is how many times the usual work a request takes longer for those beside it and for failures.
func (candidate *candidate) sharedBy(taken, room int) float64 {
	return concurrencyCost*float64(taken)/float64(room) + failureCosts*candidate.failRate
}

// outlook is how slow a target is expected to be.
type outlook struct {
	// slowdown is what it is until it may change.
	slowdown clock.Milliseconds
	until    clock.Moment
	cold     bool
}

// outlookAt is what to expect of the target, with mean what readings of warm targets say on average.
func (candidate *candidate) outlookAt(now clock.Moment, mean float64) outlook {
	outlook := outlook{slowdown: clock.Milliseconds(candidate.slowdownAt(now, mean)), until: never}
	if candidate.cadence.period > 0 {
		outlook.until = now.Add(candidate.cadence.until(now))
		outlook.cold = candidate.cold(now)
	}
	return outlook
}

// forecast predicts how long work of the given usual length takes if it starts now, with overSpells how many times longer than usual it
// takes over many spells.
func (outlook *outlook) forecast(now clock.Moment, work clock.Milliseconds, overSpells float64) forecast {
	told := forecast{kept: work * outlook.slowdown}
	told.followed = told.kept
	if steady := outlook.until.Since(now); told.kept > steady {
		if outlook.cold {
			overSpells *= coldSlowdown
		}
		told.followed = steady + (work-steady/outlook.slowdown)*clock.Milliseconds(overSpells)
	}
	return told
}

// expected weighs the assumptions.
func (forecast forecast) expected(keeping clock.Milliseconds) clock.Milliseconds {
	return forecast.followed + keeping*(forecast.kept-forecast.followed)
}
