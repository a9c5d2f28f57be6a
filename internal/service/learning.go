package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// expectation is what is known of a class's requests.
type expectation struct {
	// work is how long a request takes on a fast target that runs few others, told the number of those that have told.
	work clock.Milliseconds
	told int
	// size is the length of a request and its answer.
	size float64
	// patience is the most time that a caller of the class has had left.
	patience clock.Milliseconds
}

// Observe takes a reading of a target.
func (scheduler *Scheduler) Observe(name settings.TargetName, reading Reading) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	known, found := scheduler.candidates[name]
	if !found {
		return
	}
	known.observe(reading)
	now := scheduler.clock.Now()
	if reading.Slowdown > 0 && !known.cold(now) {
		scheduler.meanSlowdown += averageWeight * (reading.Slowdown - scheduler.meanSlowdown)
		if reading.Slowdown >= slowFrom {
			scheduler.slowAt = now
		}
		scheduler.meanSpeed += averageWeight * (1/reading.Slowdown - scheduler.meanSpeed)
	}
	scheduler.learnCadence(now, known)
	scheduler.file(now, known)
	scheduler.serveWaiting(now)
}

// searchEvery is the time between two searches for a period, which take some milliseconds of processor time.
const searchEvery = clock.Second

// learnCadence finds the period and the target's phase when they are not known yet.
func (scheduler *Scheduler) learnCadence(now clock.Moment, known *candidate) {
	if known.cadence.period > 0 {
		scheduler.period = known.cadence.period
		return
	}
	if scheduler.period == 0 && now >= scheduler.nextSearch {
		scheduler.nextSearch = now.Add(searchEvery)
		cadences := make([]*cadence, 0, len(scheduler.ordered))
		for _, candidate := range scheduler.ordered {
			cadences = append(cadences, &candidate.cadence)
		}
		scheduler.period = findPeriod(cadences)
	}
	if scheduler.period > 0 {
		known.cadence.learn(scheduler.period)
	}
}

// Steady returns how long from now the target's slowdown stays as it is and the time between changes, 0 when that is not
// known.
func (scheduler *Scheduler) Steady(name settings.TargetName) (clock.Milliseconds, clock.Milliseconds) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	known, found := scheduler.candidates[name]
	if !found || known.cadence.period == 0 {
		return 0, 0
	}
	return known.cadence.until(scheduler.clock.Now()), known.cadence.period
}

// NextProbe returns how long to wait until the target is worth probing again: until its slowness may have changed, or
// only a moment while that is not known.
func (scheduler *Scheduler) NextProbe(name settings.TargetName, learning, unknown clock.Milliseconds) clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	known, found := scheduler.candidates[name]
	if !found {
		return unknown
	}
	now := scheduler.clock.Now()
	if known.cadence.period > 0 {
		look := known.cadence.nextLook(now)
		if taken, room := scheduler.inFlight(now); float64(taken) >= busyFrom*float64(room) {
			look = min(look, busyLook)
		}
		return look
	}
	if known.read && !known.tells {
		return silentLook
	}
	if now.Since(known.learningFrom) < learnFor {
		return learning
	}
	if now.Since(known.learningFrom) > learnAgain {
		known.learningFrom = now
	}
	return unknown
}

// Expected is how long a request of the class takes on a fast target.
func (scheduler *Scheduler) Expected(class settings.ClassName) clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.expect(class).work
}

func (scheduler *Scheduler) expect(class settings.ClassName) *expectation {
	known, found := scheduler.work[class]
	if !found {
		known = &expectation{work: firstWork}
		scheduler.work[class] = known
	}
	return known
}

const (
	// learnWeight is the weight of one request in what is expected of its class, once there were some.
	learnWeight = 0.03
	// learntFrom is the number of requests from which what is expected of a class is trusted enough to tell an outlier.
	learntFrom = 5
)

// learn takes the time of a request that started on a fast target as the usual one, but for what others on the target made of it.
func (scheduler *Scheduler) learn(place Permit, held clock.Milliseconds) {
	known := place.classStats
	known.size += learnWeight * (float64(place.TransferredBytes) - known.size)
	slotClass := place.candidate.slotClass
	alone := held / slotClass.times(place.activeRequest.first)
	if !place.startedFast || known.told >= learntFrom && alone > mostOutlying*known.work {
		// Slowed down on the way; a slow spell says nothing about the usual time. A guess that is far too low is
		// still raised, slowly.
		known.work += learnWeight * learnWeight * (alone - known.work)
		return
	}
	// Were both learnt from requests beside many others, each could take the other's part.
	if known.told >= learntFrom && !slotClass.unhindered(place.activeRequest.peak) {
		scheduler.concurrency.learns = !scheduler.mayFollow(scheduler.clock.Now())
		slotClass.learn(place.activeRequest, known.work, held)
		return
	}
	known.told++
	known.work += max(learnWeight, 1/clock.Milliseconds(known.told)) * (alone - known.work)
}

// learnPace takes the time of a request to tell whether requests keep the pace at which they start. The usual work of a class must be
// known for it.
func (scheduler *Scheduler) learnPace(now clock.Moment, place Permit, held clock.Milliseconds, finished bool) {
	known := place.classStats
	if known.told < learntFrom {
		return
	}
	work := known.work * place.candidate.slotClass.times(place.activeRequest.first)
	if told, found := place.candidate.hindsight(place.acquiredAt, now, work, scheduler.overSpells()); found {
		scheduler.pace.learn(told, work, held, finished)
	}
}

// Where requests follow the pace of their target, what they take tells little of how many others it ran when they started.
const (
	// followsBelow is the weight of the assumption that they keep their own below which they count as following it.
	followsBelow = 0.7
	// steadyAfter is the time without a slow target after which there is nothing to follow.
	steadyAfter = 10 * clock.Second
)

// mayFollow reports whether requests may follow the pace of their target.
func (scheduler *Scheduler) mayFollow(now clock.Moment) bool {
	if now.Since(scheduler.slowAt) >= steadyAfter {
		return false
	}
	return !scheduler.pace.known() || scheduler.pace.keeping() < followsBelow
}

// mostOutlying is how many times the usual time a request may take to count as one that was not slowed down.
const mostOutlying = 2.5

// Observe takes a reading that came with the answer to the place's request.
func (place Permit) Observe(reading Reading) {
	if place.scheduler != nil {
		place.scheduler.Observe(place.Target.Name, reading)
	}
}

// firstTryLeft is the part of the most patient caller's time that one who comes for the first time has at least. Callers
// of one class differ in patience; one with less left than that has come before.
const firstTryLeft = 0.8

// usualPatience is the part of it that callers have on average.
const usualPatience = 0.92

// Aim returns the moment until which an answer is worth most to a caller that has the given time left. A caller counts
// from its first attempt, and one that comes back has less time left than others of its class, who so show how much has
// passed.
func (scheduler *Scheduler) Aim(class settings.ClassName, now clock.Moment, aim, left clock.Milliseconds) clock.Moment {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	known := scheduler.expect(class)
	known.patience = max(known.patience, left)
	if left >= firstTryLeft*known.patience {
		return now.Add(aim)
	}
	return now.Add(aim - (usualPatience*known.patience - left))
}
