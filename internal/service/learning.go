package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// expectation is what is known of a class's requests.
type classStats struct {
	// work is how long a request takes on a fast target that runs few others, told the number of those that have told.
	serviceTime clock.Milliseconds
	samples     int
	// size is the length of a request and its answer.
	answerSize float64
	// patience is the most time that a caller of the class has had left.
	maxTimeLeft clock.Milliseconds
}

// Observe takes a reading of a target.
func (scheduler *Scheduler) Observe(name settings.TargetName, reading LoadReading) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found {
		return
	}
	candidate.observe(reading)
	now := scheduler.clock.Now()
	if reading.Slowdown > 0 && !candidate.cold(now) {
		scheduler.meanSlowdown += averageWeight * (reading.Slowdown - scheduler.meanSlowdown)
		if reading.Slowdown >= slowThreshold {
			scheduler.lastSlowAt = now
		}
		scheduler.meanSpeed += averageWeight * (1/reading.Slowdown - scheduler.meanSpeed)
	}
	scheduler.learnSlowdownCycle(now, candidate)
	scheduler.reindex(now, candidate)
	scheduler.serveWaiting(now)
}

// searchEvery is the time between two searches for a period, which take some milliseconds of processor time.
const periodSearchInterval = clock.Second

// learnCadence finds the period and the target's phase when they are not known yet.
func (scheduler *Scheduler) learnSlowdownCycle(now clock.Moment, candidate *candidate) {
	if candidate.slowdownCycle.period > 0 {
		scheduler.slowdownPeriod = candidate.slowdownCycle.period
		return
	}
	if scheduler.slowdownPeriod == 0 && now >= scheduler.nextPeriodSearch {
		scheduler.nextPeriodSearch = now.Add(periodSearchInterval)
		slowdownCycles := make([]*slowdownCycle, 0, len(scheduler.ordered))
		for _, candidate := range scheduler.ordered {
			slowdownCycles = append(slowdownCycles, &candidate.slowdownCycle)
		}
		scheduler.slowdownPeriod = findPeriod(slowdownCycles)
	}
	if scheduler.slowdownPeriod > 0 {
		candidate.slowdownCycle.learnPhase(scheduler.slowdownPeriod)
	}
}

// SlowdownCycle returns how long from now the target's slowdown stays as it is and the time between changes, 0 when that is not
// known.
func (scheduler *Scheduler) SlowdownCycle(name settings.TargetName) (clock.Milliseconds, clock.Milliseconds) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found || candidate.slowdownCycle.period == 0 {
		return 0, 0
	}
	return candidate.slowdownCycle.untilBoundary(scheduler.clock.Now()), candidate.slowdownCycle.period
}

// NextProbe returns how long to wait until the target is worth probing again: until its slowness may have changed, or
// only a moment while that is not known.
func (scheduler *Scheduler) NextProbe(name settings.TargetName, learning, unknown clock.Milliseconds) clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found {
		return unknown
	}
	now := scheduler.clock.Now()
	if candidate.slowdownCycle.period > 0 {
		interval := candidate.slowdownCycle.nextProbe(now)
		if inFlight, limit := scheduler.taken(now); float64(inFlight) >= busyShare*float64(limit) {
			interval = min(interval, busyProbeInterval)
		}
		return interval
	}
	if candidate.hasReading && !candidate.reportsLoad {
		return nonReportingProbeInterval
	}
	if now.Since(candidate.learningSince) < learnDuration {
		return learning
	}
	if now.Since(candidate.learningSince) > learnRetryInterval {
		candidate.learningSince = now
	}
	return unknown
}

// ExpectedDuration is how long a request of the class takes on a fast target.
func (scheduler *Scheduler) ExpectedDuration(class settings.ClassName) clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.classStatsOf(class).serviceTime
}

func (scheduler *Scheduler) classStatsOf(class settings.ClassName) *classStats {
	known, found := scheduler.classStats[class]
	if !found {
		known = &classStats{serviceTime: initialServiceTime}
		scheduler.classStats[class] = known
	}
	return known
}

const (
	// learnWeight is the weight of one request in what is expected of its class, once there were some.
	learnWeight = 0.03
	// learntFrom is the number of requests from which what is expected of a class is trusted enough to tell an outlier.
	minSamples = 5
)

// learn takes the time of a request that started on a fast target as the usual one, but for what others on the target made of it.
func (scheduler *Scheduler) learnServiceTime(permit Place, held clock.Milliseconds) {
	classStats := permit.expected
	classStats.answerSize += learnWeight * (float64(permit.Size) - classStats.answerSize)
	slotClass := permit.candidate.slotClass
	uncontended := held / slotClass.durationFactor(permit.flight.inFlightAtStart)
	if !permit.fast || classStats.samples >= minSamples && uncontended > maxOutlierFactor*classStats.serviceTime {
		// Slowed down on the way; a slow spell says nothing about the usual time. A guess that is far too low is
		// still raised, slowly.
		classStats.serviceTime += learnWeight * learnWeight * (uncontended - classStats.serviceTime)
		return
	}
	// Were both learnt from requests beside many others, each could take the other's part.
	if classStats.samples >= minSamples && !slotClass.uncontended(permit.flight.peakInFlight) {
		scheduler.concurrencyModel.learning = !scheduler.slowdownMayVary(scheduler.clock.Now())
		slotClass.learn(permit.flight, classStats.serviceTime, held)
		return
	}
	classStats.samples++
	classStats.serviceTime += max(learnWeight, 1/clock.Milliseconds(classStats.samples)) * (uncontended - classStats.serviceTime)
}

// learnPace takes the time of a request to tell whether requests keep the pace at which they start. The usual work of a class must be
// known for it.
func (scheduler *Scheduler) learnSlowdownModel(now clock.Moment, permit Place, held clock.Milliseconds, finished bool) {
	classStats := permit.expected
	if classStats.samples < minSamples {
		return
	}
	serviceTime := classStats.serviceTime * permit.candidate.slotClass.durationFactor(permit.flight.inFlightAtStart)
	if forecast, found := permit.candidate.retrospectiveForecast(permit.since, now, serviceTime, scheduler.longRunSlowdown()); found {
		scheduler.slowdownModel.learn(forecast, serviceTime, held, finished)
	}
}

// Where requests follow the pace of their target, what they take tells little of how many others it ran when they started.
const (
	// followsBelow is the weight of the assumption that they keep their own below which they count as following it.
	varyingBelow = 0.7
	// steadyAfter is the time without a slow target after which there is nothing to follow.
	steadyAfter = 10 * clock.Second
)

// mayFollow reports whether requests may follow the pace of their target.
func (scheduler *Scheduler) slowdownMayVary(now clock.Moment) bool {
	if now.Since(scheduler.lastSlowAt) >= steadyAfter {
		return false
	}
	return !scheduler.slowdownModel.hasEvidence() || scheduler.slowdownModel.fixedWeight() < varyingBelow
}

// mostOutlying is how many times the usual time a request may take to count as one that was not slowed down.
const maxOutlierFactor = 2.5

// Observe takes a reading that came with the answer to the place's request.
func (permit Place) Observe(reading LoadReading) {
	if permit.scheduler != nil {
		permit.scheduler.Observe(permit.Target.Name, reading)
	}
}

// firstTryLeft is the part of the most patient caller's time that one who comes for the first time has at least. Callers
// of one class differ in patience; one with less left than that has come before.
const minFirstAttemptShare = 0.8

// usualPatience is the part of it that callers have on average.
const meanTimeShare = 0.92

// SoftDeadline returns the moment until which an answer is worth most to a caller that has the given time left. A caller counts
// from its first attempt, and one that comes back has less time left than others of its class, who so show how much has
// passed.
func (scheduler *Scheduler) SoftDeadline(class settings.ClassName, now clock.Moment, aim, left clock.Milliseconds) clock.Moment {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	classStats := scheduler.classStatsOf(class)
	classStats.maxTimeLeft = max(classStats.maxTimeLeft, left)
	if left >= minFirstAttemptShare*classStats.maxTimeLeft {
		return now.Add(aim)
	}
	return now.Add(aim - (meanTimeShare*classStats.maxTimeLeft - left))
}
