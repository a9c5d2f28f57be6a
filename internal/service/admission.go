package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Bounds of admission and of the Retry-After time of refused requests.
const (
	// retryAfterNoTarget is the Retry-After time of a service without targets. The list of targets is about a second out of
	// date, so that a target may exist already.
	retryAfterNoTarget = 500 * clock.Millisecond
	// minRetryAfter prevents immediate retries of refused requests. maxRetryAfter limits the delay to the time that the fleet
	// needs to recover.
	minRetryAfter = 50 * clock.Millisecond
	maxRetryAfter = 2 * clock.Second
	// minRetryAfterServerRefusal is the minimum for a request that backend servers refused while permits are free here. Another
	// backend server may accept it immediately, and a caller whose time limit runs from its first attempt gets a timely response
	// only by retrying soon.
	minRetryAfterServerRefusal = 20 * clock.Millisecond
	// retryAfterJitter is the maximum random increase of a Retry-After time, as a fraction of it, so that callers refused at the
	// same moment do not retry at the same moment.
	retryAfterJitter = 0.5
	// maxLateWaitShare bounds the wait of a request that will miss its soft deadline, as a fraction of the time until its deadline.
	// A request that cannot be served soon is refused while its caller still has time to retry.
	maxLateWaitShare = 0.4
)

// rankShares holds each rank's share of all granted permits, as a moving average.
type rankShares [rankCount]float64

// recordGrant updates the shares with a permit granted to a request of the given rank.
func (rankShares *rankShares) recordGrant(granted rank) {
	for index := range rankShares {
		rankShares[index] -= averageWeight * rankShares[index]
	}
	rankShares[granted] += averageWeight
}

// remaining returns the share of the permits that is left for a rank by more urgent ones, at least minRemainingShare.
func (rankShares *rankShares) remaining(rank rank) float64 {
	remaining := 1.0
	for _, share := range rankShares[:rank] {
		remaining -= share
	}
	return max(remaining, minRemainingShare)
}

// newWaiter creates the queue element of a request, with its rank and its time limits.
func (scheduler *Scheduler) newWaiter(now clock.Moment, request PermitRequest) rankedWaiter {
	classStats := scheduler.classStatsOf(request.Class)
	waiter := rankedWaiter{request: request, classStats: classStats, enqueuedAt: now, startDeadline: request.SoftDeadline.Add(-CallerNetworkDelay - classStats.serviceTime)}
	waiter.waitDeadline = now.Add(maxLateWaitShare * request.Deadline.Since(now))
	waiter.rank = rankOf(request, now > waiter.startDeadline)
	return waiter
}

// enqueue adds a request to the queue, with a late rank if it is not expected to start before its start deadline. A late request
// that is not expected to start before its wait deadline is refused immediately: its caller can retry when permits are free, and
// the request does not delay others that can still be served.
func (scheduler *Scheduler) enqueue(now clock.Moment, waiter *rankedWaiter) error {
	if !waiter.late() && now.Add(scheduler.expectedWait(now, waiter.rank, waiter.classStats)) > waiter.startDeadline {
		waiter.rank = rankOf(waiter.request, true)
	}
	if waiter.late() && scheduler.expectedWait(now, waiter.rank, waiter.classStats) > waiter.waitDeadline.Since(now)*maxExpectedWaitShare {
		return &RefusedError{Cause: ErrQueueFull, RetryAfter: scheduler.retryAfter(now)}
	}
	scheduler.waiting.push(waiter)
	return nil
}

// demoteOverdue assigns a late rank to the requests whose start deadline has passed, so that a late request does not make others
// late. A request whose expected wait is then too long is refused.
func (scheduler *Scheduler) demoteOverdue(now clock.Moment) {
	for _, waiter := range scheduler.waiting.popOverdue(now) {
		scheduler.waiting.remove(waiter)
		waiter.rank = rankOf(waiter.request, true)
		if err := scheduler.enqueue(now, waiter); err != nil {
			waiter.done <- scheduledGrant{err: err}
		}
	}
}

// hasFreePermits reports whether the concurrency limits of all targets together permit another request. It counts targets that are
// unavailable for another reason as well.
func (scheduler *Scheduler) hasFreePermits(now clock.Moment) bool {
	inFlight, limit := scheduler.inFlight(now)
	return limit > inFlight
}

// inFlight returns the number of requests in flight on all targets, counting each target up to its concurrency limit, and the sum
// of these limits.
func (scheduler *Scheduler) inFlight(now clock.Moment) (int, int) {
	scheduler.reindexDue(now)
	inFlight, limit := 0, 0
	for _, slotClass := range scheduler.concurrencyModel.slotClasses {
		classInFlight, classLimit := slotClass.inFlight()
		inFlight, limit = inFlight+classInFlight, limit+classLimit
	}
	return inFlight, limit
}

// expectedWait returns the expected queue time of a request of the given rank and class, or of any class if that is nil: the number
// of requests ahead of it, divided by the rate at which permits are released for its rank. By Little's law that rate is the number
// of permits in use divided by the mean time that a permit is in use. If all targets limit their rate, it is at least the time
// until they accept as many requests, and if all rest, the time until one accepts requests. The expected wait is 0 while a fast
// target is available.
func (scheduler *Scheduler) expectedWait(now clock.Moment, rank rank, classStats *classStats) clock.Milliseconds {
	if scheduler.anyFastAvailable(now) {
		return 0
	}
	ahead := scheduler.waiting.ahead(rank, classStats)
	availablePermits := float64(max(scheduler.ownInFlight, 1)) * scheduler.rankShares.remaining(rank)
	if scheduler.unknown.pending(now) {
		return unknownProbeTime
	}
	if scheduler.borrowing && scheduler.allLimited() && scheduler.hasFreePermits(now) {
		// Requests wait for loans, not for permits, of which few are in use.
		return max(scheduler.limitedWait(now, ahead+1), scheduler.restWait(now))
	}
	untilPermit := clock.Milliseconds(ahead+1) * scheduler.meanPermitDuration / clock.Milliseconds(availablePermits) * waitBias
	return max(untilPermit, scheduler.limitedWait(now, ahead+1), scheduler.restWait(now))
}

// waitBias is the factor by which expected waits exceed the estimate by Little's law. Some of the permits belong to slow targets,
// which requests that are still on time skip.
const waitBias = 2.0

// retryAfter returns the time after which a request that is refused now may be retried.
func (scheduler *Scheduler) retryAfter(now clock.Moment) clock.Milliseconds {
	return scheduler.retryAfterAtLeast(now, minRetryAfter)
}

// RetryAfter returns the time after which a request that backend servers refused, rather than the Scheduler, may be retried.
func (scheduler *Scheduler) RetryAfter() clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.retryAfterAtLeast(scheduler.clock.Now(), minRetryAfterServerRefusal)
}

// retryAfterAtLeast returns the expected wait of the lowest rank within the given minimum and maxRetryAfter, plus jitter, so that
// callers refused together do not retry together.
func (scheduler *Scheduler) retryAfterAtLeast(now clock.Moment, minimum clock.Milliseconds) clock.Milliseconds {
	wait := scheduler.expectedWait(now, rankCount-1, nil)
	wait = min(max(wait, minimum), maxRetryAfter)
	return wait * clock.Milliseconds(1+retryAfterJitter*scheduler.random.Float64())
}
