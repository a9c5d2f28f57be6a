package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Choice.
const (
	// slowFrom is the slowdown from which a target counts as slow.
	slowFrom = 2.0
	// finishMargin is how much longer than usual a request may take and still be expected in time.
	finishMargin = 1.15
	// holdMost is the number of waiting requests up to which one is held back from slow targets: when many wait, a slow
	// place used is better than none.
	holdMost = 3
	// CallerDistance is the part of a caller's time that passes on the way between caller and instance, which is not
	// seen here: three ways until the request is here on a new connection, and one for the answer. The users' callers
	// are up to 8 ms away.
	CallerDistance = 34 * clock.Millisecond
	// farCost is what a target in another data centre costs against one in the own: its distance and the bytes, which
	// are charged. bytesPerMillisecond turns the usual length of an answer into time; an answer of 90 KB costs 45 ms.
	farCost             = 4 * clock.Millisecond
	bytesPerMillisecond = 2000.0
	// crowdCost is the part of the usual work that a full target costs against an empty one: with all else equal, the
	// emptier one is taken, whose spell of slowness would hit fewer.
	crowdCost = 0.15
)

// finishOn predicts how long the request takes on the target.
func (scheduler *Scheduler) finishOn(now clock.Moment, candidate *candidate, expected *expectation) clock.Milliseconds {
	slowdown := candidate.reading.slowdownAt(now, scheduler.meanSlowdown)
	if !candidate.read {
		slowdown = scheduler.meanSlowdown
	}
	if candidate.cold(now) {
		slowdown *= coldSlowdown
	}
	taken := float64(candidate.own + candidate.others(now))
	slowdown += crowdCost * taken / float64(candidate.room())
	slowdown += failureCosts * candidate.failRate
	finish := expected.work * clock.Milliseconds(slowdown)
	if !candidate.offer.Local {
		finish += farCost + clock.Milliseconds(expected.size/bytesPerMillisecond)
	}
	return finish
}

// best returns the open target with the earliest finish, passing over the one that was tried as long as there is another.
func (scheduler *Scheduler) best(now clock.Moment, demand Demand, despiteFailures bool) (*candidate, clock.Milliseconds) {
	expected := scheduler.expect(demand.Class)
	var best, tried *candidate
	var bestFinish, triedFinish clock.Milliseconds
	for _, candidate := range scheduler.ordered {
		if !candidate.open(now, despiteFailures) {
			continue
		}
		// A little chance keeps instances with the same view from all choosing the same target.
		finish := scheduler.finishOn(now, candidate, expected) * clock.Milliseconds(1+choiceSpread*scheduler.random.Float64())
		if &candidate.Target == demand.Tried {
			tried, triedFinish = candidate, finish
			continue
		}
		if best == nil || finish < bestFinish {
			best, bestFinish = candidate, finish
		}
	}
	if best == nil {
		return tried, triedFinish
	}
	return best, bestFinish
}

// choiceSpread is the chance in a choice, as a part of the predicted time.
const choiceSpread = 0.03

// choose picks the target for a request, or nil when it is better off waiting.
func (scheduler *Scheduler) choose(now clock.Moment, demand Demand) *candidate {
	chosen, finish := scheduler.best(now, demand, false)
	if chosen == nil {
		chosen, finish = scheduler.best(now, demand, true)
	}
	if chosen == nil {
		return nil
	}
	work := scheduler.expect(demand.Class).work
	latest := demand.Aim.Add(-CallerDistance)
	if scheduler.waiting.length <= holdMost && now.Add(finish) > latest && now.Add(work*finishMargin) < latest && finish > slowFrom*work {
		// Everything open is slow, and a spell may end soon enough.
		return nil
	}
	return chosen
}

// anyOpen reports whether any target takes a request now.
func (scheduler *Scheduler) anyOpen(now clock.Moment) bool {
	for _, candidate := range scheduler.ordered {
		if candidate.open(now, true) {
			return true
		}
	}
	return false
}
