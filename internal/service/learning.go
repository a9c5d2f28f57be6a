package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// classStats holds the estimates for the requests of a class.
type classStats struct {
	// serviceTime is the duration of a request on a fast target with few other requests, samples the number of requests that
	// it was learned from.
	serviceTime clock.Milliseconds
	samples     int
	// transferredBytes is the average size of a request and its response in bytes.
	transferredBytes float64
	// maxTimeLeft is the longest time that a caller of the class had left when its request arrived.
	maxTimeLeft clock.Milliseconds
}

// Observe adds a load reading of a target.
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

// periodSearchInterval is the time between two searches for a period, which take some milliseconds of CPU time.
const periodSearchInterval = clock.Second

// learnSlowdownCycle determines the period, and the phase of the target, unless they are known.
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
		scheduler.slowdownPeriod = findPeriod(slowdownCycles, scheduler.periodSearchFirst)
		// A search compares at least as many targets.
		scheduler.periodSearchFirst = (scheduler.periodSearchFirst + enoughChanges/maxChanges) % len(slowdownCycles)
	}
	if scheduler.slowdownPeriod > 0 {
		candidate.slowdownCycle.learnPhase(scheduler.slowdownPeriod)
	}
}

// SlowdownCycle returns the time from now until the slowdown of the target may change, and the period of its cycle, both 0
// if they are not known.
func (scheduler *Scheduler) SlowdownCycle(name settings.TargetName) (clock.Milliseconds, clock.Milliseconds) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found || candidate.slowdownCycle.period == 0 {
		return 0, 0
	}
	return candidate.slowdownCycle.untilBoundary(scheduler.clock.Now()), candidate.slowdownCycle.period
}

// NextProbe returns the time to wait before the next probe of the target: until its slowdown may have changed, or a short
// time while its cycle is not known. learning is the time between probes while the cycle is being learned, unknown the time
// if the target is not known or has no known cycle.
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
		if inFlight, limit := scheduler.inFlight(now); float64(inFlight) >= busyShare*float64(limit) {
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

// ExpectedDuration returns the expected duration of a request of the class on a fast target.
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
	// learnWeight is the weight of one request in the estimates of its class, once there are enough samples.
	learnWeight = 0.03
	// minSamples is the number of requests from which the estimates of a class are good enough to detect outliers.
	minSamples = 5
)

// learnServiceTime updates the usual service time with a request that started on a fast target, corrected for the other
// requests on that target.
func (scheduler *Scheduler) learnServiceTime(permit Permit, duration clock.Milliseconds) {
	classStats := permit.classStats
	classStats.transferredBytes += learnWeight * (float64(permit.TransferredBytes) - classStats.transferredBytes)
	slotClass := permit.candidate.slotClass
	uncontended := duration / slotClass.durationFactor(permit.activeRequest.inFlightAtStart)
	if !permit.startedFast || classStats.samples >= minSamples && uncontended > maxOutlierFactor*classStats.serviceTime {
		// The request was slowed down while it ran, or started on a slow target, which does not show the usual time. An
		// estimate that is far too low is still raised, slowly.
		classStats.serviceTime += learnWeight * learnWeight * (uncontended - classStats.serviceTime)
		return
	}
	// If both the service time and the duration factors were learned from requests beside many others, the time of one could
	// be attributed to the other.
	if classStats.samples >= minSamples && !slotClass.uncontended(permit.activeRequest.peakInFlight) {
		scheduler.concurrencyModel.learning = !scheduler.slowdownMayVary(scheduler.clock.Now())
		slotClass.learn(permit.activeRequest, classStats.serviceTime, duration)
		return
	}
	classStats.samples++
	classStats.serviceTime += max(learnWeight, 1/clock.Milliseconds(classStats.samples)) * (uncontended - classStats.serviceTime)
}

// learnSlowdownModel learns from the duration of a request whether requests keep the slowdown at which they start. It
// requires a known service time of the class.
func (scheduler *Scheduler) learnSlowdownModel(now clock.Moment, permit Permit, duration clock.Milliseconds, finished bool) {
	classStats := permit.classStats
	if classStats.samples < minSamples {
		return
	}
	serviceTime := classStats.serviceTime * permit.candidate.slotClass.durationFactor(permit.activeRequest.inFlightAtStart)
	if forecast, found := permit.candidate.retrospectiveForecast(permit.acquiredAt, now, serviceTime, scheduler.longRunSlowdown()); found {
		scheduler.slowdownModel.learn(forecast, serviceTime, duration, finished)
	}
}

// If the slowdown of a request varies with the slowdown of its target, its duration shows little about the effect of the
// other requests in flight when it started.
const (
	// fixedWeightThreshold is the weight of the fixed slowdown below which the slowdown of requests counts as varying.
	fixedWeightThreshold = 0.7
	// slowdownFreePeriod is the time without a slow target after which no slowdown is left to vary.
	slowdownFreePeriod = 10 * clock.Second
)

// slowdownMayVary reports whether the slowdown of running requests may vary with the slowdown of their target.
func (scheduler *Scheduler) slowdownMayVary(now clock.Moment) bool {
	if now.Since(scheduler.lastSlowAt) >= slowdownFreePeriod {
		return false
	}
	return !scheduler.slowdownModel.hasEvidence() || scheduler.slowdownModel.fixedWeight() < fixedWeightThreshold
}

// maxOutlierFactor is the longest duration, relative to the usual one, of a request that counts as not slowed down.
const maxOutlierFactor = 2.5

// Observe adds a load reading that arrived with the response to the request of the permit.
func (permit Permit) Observe(reading LoadReading) {
	if permit.scheduler != nil {
		reading.Source = FromAnswer
		permit.scheduler.Observe(permit.Target.Name, reading)
	}
}

// minFirstAttemptShare is the least time left at a first attempt, relative to the longest time left of any caller of the
// class. Callers of one class differ in their time limits; a caller with less time left has made an earlier attempt.
const minFirstAttemptShare = 0.8

// meanTimeShare is the average time limit of callers, relative to the longest one.
const meanTimeShare = 0.92

// SoftDeadline returns the moment until which a response has its full value to a caller with the given time left. softTimeout
// is the time from the first attempt of the caller until then. A caller that retries has less time left than others of its
// class, which shows how much of its time has passed.
func (scheduler *Scheduler) SoftDeadline(class settings.ClassName, now clock.Moment, softTimeout, left clock.Milliseconds) clock.Moment {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	classStats := scheduler.classStatsOf(class)
	classStats.maxTimeLeft = max(classStats.maxTimeLeft, left)
	if left >= minFirstAttemptShare*classStats.maxTimeLeft {
		return now.Add(softTimeout)
	}
	return now.Add(softTimeout - (meanTimeShare*classStats.maxTimeLeft - left))
}
