package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// TryTake takes a place for a second copy of a request, if one is free on another target that is fast.
func (scheduler *Scheduler) TryTake(demand PermitRequest) (Permit, bool) {
	now := scheduler.clock.Now()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.waiting.length > 0 || !scheduler.hasFreePermits(now) {
		return Permit{}, false
	}
	expected := scheduler.expect(demand.Class)
	best, finish := scheduler.best(now, expected, demand.PreviousTarget, false)
	if best == nil || best.Target == demand.PreviousTarget || finish > 2*expected.work {
		return Permit{}, false
	}
	return scheduler.bind(now, best, expected, rankOf(demand, false)), true
}

// Slow reports whether the request at the place takes long: its target was slow when it started, or has slowed down since where
// requests follow that; or the target has gone.
func (place Permit) Slow() bool {
	if place.scheduler == nil {
		return false
	}
	scheduler := place.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	known, found := scheduler.candidates[place.Target.Name]
	now := scheduler.clock.Now()
	if !found || known.down || known.stale(now) {
		return true
	}
	if known.slowdownIn(place.acquiredAt) >= slowFrom {
		return true
	}
	return scheduler.mayFollow(now) && known.slowdownAt(now, 1) >= slowFrom
}

func (scheduler *Scheduler) takeNow(now clock.Moment, waiter *rankedWaiter) (Permit, bool) {
	if waiter.late() && !scheduler.hasFreePermits(now) {
		return Permit{}, false
	}
	chosen := scheduler.choose(now, waiter)
	if chosen == nil {
		return Permit{}, false
	}
	return scheduler.bind(now, chosen, waiter.classStats, waiter.rank), true
}

// bind takes a place on the chosen target.
func (scheduler *Scheduler) bind(now clock.Moment, chosen *candidate, expected *expectation, rank rank) Permit {
	cold := chosen.cold(now)
	if cold {
		chosen.tokens--
	}
	scheduler.own++
	scheduler.started.count(rank)
	taken := chosen.own + 1 + chosen.others(now)
	var tried *slotClass
	if room := chosen.slotClass; taken > room.room {
		tried = room
		tried.trials++
	}
	started := scheduler.newFlight()
	chosen.takeOff(started, taken)
	if cold {
		scheduler.file(now, chosen)
	} else {
		scheduler.fileTaken(now, chosen)
	}
	return Permit{
		activeRequest: started, trialClass: tried,
		Target: chosen.Target, scheduler: scheduler, candidate: chosen, classStats: expected,
		InFlight: taken, Considered: scheduler.usable, acquiredAt: now,
		startedFast: !cold && chosen.slowdownAt(now, scheduler.meanSlowdown) < slowFrom,
		LoadReading: chosen.reading,
	}
}

// newFlight returns a record for a request, one of an ended request if there is any.
func (scheduler *Scheduler) newFlight() *flight {
	last := len(scheduler.flights) - 1
	if last < 0 {
		return &flight{}
	}
	ended := scheduler.flights[last]
	scheduler.flights = scheduler.flights[:last]
	return ended
}

// release gives a place back and learns from how the request ended.
func (scheduler *Scheduler) release(place Permit, result Result) {
	now := scheduler.clock.Now()
	held := now.Since(place.acquiredAt)
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	known := place.candidate.land(place.activeRequest)
	scheduler.own--
	scheduler.learnPace(now, place, held, result == Succeeded)
	if place.trialClass != nil {
		place.trialClass.trials--
	}
	scheduler.meanHold += averageWeight * (held - scheduler.meanHold)
	switch result {
	case Succeeded:
		place.candidate.succeed()
		scheduler.learn(place, held)
	case Failed:
		place.candidate.fail(now)
	case Cancelled:
	}
	scheduler.fileEnded(now, place.candidate, result)
	if known {
		scheduler.flights = append(scheduler.flights, place.activeRequest)
	}
	scheduler.serveWaiting(now)
}
