package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// TryAcquire acquires a permit for a hedged request without waiting. It returns false if other requests wait, or if no target
// other than PreviousTarget is expected to complete the request within twice its usual service time.
func (scheduler *Scheduler) TryAcquire(permitRequest PermitRequest) (Permit, bool) {
	now := scheduler.clock.Now()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.waiting.length > 0 || !scheduler.hasFreePermits(now) {
		return Permit{}, false
	}
	classStats := scheduler.classStatsOf(permitRequest.Class)
	best, duration := scheduler.best(now, classStats, permitRequest.PreviousTarget, false)
	if best == nil || best.Target == permitRequest.PreviousTarget || duration > 2*classStats.serviceTime {
		return Permit{}, false
	}
	return scheduler.bind(now, best, classStats, rankOf(permitRequest, false)), true
}

// Slow reports whether the request of the permit is expected to take long: its target was slow when it started, or has
// become slow and the slowdown of requests may vary with it, or the target is unreachable, removed, or without a recent load
// reading.
func (permit Permit) Slow() bool {
	if permit.scheduler == nil {
		return false
	}
	scheduler := permit.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[permit.Target.Name]
	now := scheduler.clock.Now()
	if !found || candidate.down || candidate.stale(now) {
		return true
	}
	if candidate.recordedSlowdown(permit.acquiredAt) >= slowThreshold {
		return true
	}
	return scheduler.slowdownMayVary(now) && candidate.expectedSlowdown(now, 1) >= slowThreshold
}

// acquireNow acquires a permit unless none is free or the request should wait for a fast target.
func (scheduler *Scheduler) acquireNow(now clock.Moment, waiter *rankedWaiter) (Permit, bool) {
	if waiter.late() && !scheduler.hasFreePermits(now) {
		return Permit{}, false
	}
	chosen := scheduler.choose(now, waiter)
	if chosen == nil {
		return Permit{}, false
	}
	return scheduler.bind(now, chosen, waiter.classStats, waiter.rank), true
}

// bind acquires a permit on the chosen target.
func (scheduler *Scheduler) bind(now clock.Moment, chosen *candidate, classStats *classStats, rank rank) Permit {
	cold := chosen.mayBeCold(now)
	if cold {
		chosen.tokens--
		chosen.sentCold++
	}
	scheduler.countSent(now, chosen)
	scheduler.ownInFlight++
	scheduler.rankShares.recordGrant(rank)
	inFlight := chosen.ownInFlight + 1 + chosen.othersInFlight(now)
	var explored *slotClass
	if slotClass := chosen.slotClass; inFlight > slotClass.concurrencyLimit {
		explored = slotClass
		explored.explorations++
	}
	activeRequest := scheduler.newActiveRequest()
	chosen.startRequest(activeRequest, inFlight)
	if cold || chosen.limited() {
		scheduler.reindex(now, chosen)
	} else {
		scheduler.reindexInFlight(now, chosen)
	}
	return Permit{
		activeRequest: activeRequest, exploredClass: explored,
		Target: chosen.Target, scheduler: scheduler, candidate: chosen, classStats: classStats,
		InFlight: inFlight, Considered: scheduler.usableCount, acquiredAt: now, started: chosen.config.Started,
		startedFast: !cold && chosen.expectedSlowdown(now, scheduler.meanSlowdown) < slowThreshold,
		LoadReading: chosen.reading,
	}
}

// newActiveRequest returns the record of an ended request for reuse, or a new one.
func (scheduler *Scheduler) newActiveRequest() *activeRequest {
	last := len(scheduler.freeActiveRequests) - 1
	if last < 0 {
		return &activeRequest{}
	}
	activeRequest := scheduler.freeActiveRequests[last]
	scheduler.freeActiveRequests = scheduler.freeActiveRequests[:last]
	return activeRequest
}

// release returns a permit and learns from the duration and the result of its request.
func (scheduler *Scheduler) release(permit Permit, result Result) {
	now := scheduler.clock.Now()
	duration := now.Since(permit.acquiredAt)
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	recorded := permit.candidate.endRequest(permit.activeRequest)
	scheduler.ownInFlight--
	scheduler.learnSlowdownModel(now, permit, duration, result == Succeeded)
	if permit.exploredClass != nil {
		permit.exploredClass.explorations--
	}
	scheduler.meanPermitDuration += averageWeight * (duration - scheduler.meanPermitDuration)
	switch result {
	case Succeeded:
		permit.candidate.recordSuccess()
		scheduler.learnServiceTime(permit, duration)
	case Failed:
		permit.candidate.recordFailure(now)
	case Cancelled:
	}
	scheduler.reindexAfterRequest(now, permit.candidate, result)
	if recorded {
		scheduler.freeActiveRequests = append(scheduler.freeActiveRequests, permit.activeRequest)
	}
	scheduler.serveWaiting(now)
}
