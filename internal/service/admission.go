package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Admission.
const (
	// retryAfterNoTarget is when a caller may return if a service has no target at all: the list of targets lags by about
	// a second.
	retryAfterNoTarget = 500 * clock.Millisecond
	// minRetryAfter keeps refused callers from returning at once, mostComeBack from staying away longer than the fleet
	// needs to recover.
	minRetryAfter = 50 * clock.Millisecond
	maxRetryAfter = 2 * clock.Second
	// minRetryAfterServerRefusal is when a caller may return whose request backend servers refused while there is room here: another
	// one may take it at once, and a caller that counts from its first attempt is in time only if it returns soon.
	minRetryAfterServerRefusal = 20 * clock.Millisecond
	// retryAfterJitter spreads the returns of callers refused at the same moment, as a part of the time.
	retryAfterJitter = 0.5
	// maxLateWaitShare bounds the wait of a request that will be late: what can't be served soon is refused, while its
	// caller still has time to come back.
	maxLateWaitShare = 0.4
)

// startShares are the parts of all starts that each rank has had, on a moving average.
type startShares [rankCount]float64

func (startShares *startShares) count(started rank) {
	for index := range startShares {
		startShares[index] -= averageWeight * startShares[index]
	}
	startShares[started] += averageWeight
}

// remaining is the part that more urgent requests leave to a rank.
func (startShares *startShares) remaining(rank rank) float64 {
	left := 1.0
	for _, share := range startShares[:rank] {
		left -= share
	}
	return max(left, minRemainingShare)
}

// newWaiter ranks a request.
func (scheduler *Scheduler) newWaiter(now clock.Moment, demand PermitRequest) rankedWaiter {
	expected := scheduler.expect(demand.Class)
	waiter := rankedWaiter{request: demand, classStats: expected, enqueuedAt: now, startDeadline: demand.SoftDeadline.Add(-CallerDistance - expected.work)}
	waiter.waitDeadline = now.Add(maxLateWaitShare * demand.Deadline.Since(now))
	waiter.rank = rankOf(demand, now > waiter.startDeadline)
	return waiter
}

// enqueue makes a request wait. One whose turn would not come in time is refused at once: its caller can come back when
// there is room, and nothing that could still be served waits behind it.
func (scheduler *Scheduler) enqueue(now clock.Moment, waiter *rankedWaiter) error {
	if !waiter.late() && now.Add(scheduler.expectedWait(now, waiter.rank)) > waiter.startDeadline {
		waiter.rank = rankOf(waiter.request, true)
	}
	if waiter.late() && scheduler.expectedWait(now, waiter.rank) > waiter.waitDeadline.Since(now)*maxExpectedWaitShare {
		return &RefusedError{Cause: ErrQueueFull, ComeBack: scheduler.retryAfter(now)}
	}
	scheduler.waiting.push(waiter)
	return nil
}

// demoteOverdue ranks anew the requests whose moment to start has passed: what is late must not make others late as well. One
// that would wait long from now on is refused.
func (scheduler *Scheduler) demoteOverdue(now clock.Moment) {
	for _, waiter := range scheduler.waiting.unmarkOverdue(now) {
		scheduler.waiting.remove(waiter)
		waiter.rank = rankOf(waiter.request, true)
		if err := scheduler.enqueue(now, waiter); err != nil {
			waiter.done <- scheduledGrant{err: err}
		}
	}
}

// hasFreePermits reports whether there is room at all, by what is in flight on targets that are closed for another reason as well.
func (scheduler *Scheduler) hasFreePermits(now clock.Moment) bool {
	taken, room := scheduler.inFlight(now)
	return room > taken
}

// inFlight is how much of the room on all targets is inFlight, and how much there is.
func (scheduler *Scheduler) inFlight(now clock.Moment) (int, int) {
	scheduler.refresh(now)
	taken, room := 0, 0
	for _, slotClass := range scheduler.concurrency.slotClasses {
		each := slotClass.roomNow()
		for count, targets := range slotClass.targets {
			room += targets * each
			taken += targets * min(count, each)
		}
	}
	return taken, room
}

// expectedWait is how long a request of the given rank would wait: those before it, at the pace at which places become
// free for its rank. By Little's law that pace is the number of places taken by the time each is taken.
func (scheduler *Scheduler) expectedWait(now clock.Moment, rank rank) clock.Milliseconds {
	if scheduler.anyOpen(now) {
		return 0
	}
	ahead := clock.Milliseconds(scheduler.waiting.ahead(rank))
	pace := float64(max(scheduler.own, 1)) * scheduler.started.remaining(rank)
	return (ahead + 1) * scheduler.meanHold / clock.Milliseconds(pace) * waitBias
}

// waitBias makes expected waits longer than the pace says. Part of the places are on targets that are slow, which
// requests in time pass over.
const waitBias = 2.0

// retryAfter is when room is expected for a request that was refused now.
func (scheduler *Scheduler) retryAfter(now clock.Moment) clock.Milliseconds {
	return scheduler.retryAfterAtLeast(now, minRetryAfter)
}

// RetryAfter is when a caller may return whose request was refused by backend servers and not here.
func (scheduler *Scheduler) RetryAfter() clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.retryAfterAtLeast(scheduler.clock.Now(), minRetryAfterServerRefusal)
}

// retryAfterAtLeast spreads by chance, so that those refused together don't return together.
func (scheduler *Scheduler) retryAfterAtLeast(now clock.Moment, least clock.Milliseconds) clock.Milliseconds {
	wait := scheduler.expectedWait(now, rankCount-1)
	wait = min(max(wait, least), maxRetryAfter)
	return wait * clock.Milliseconds(1+retryAfterJitter*scheduler.random.Float64())
}
