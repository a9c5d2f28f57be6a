package service

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// PendingPermit is a request that waits for a permit. Its holder polls for the result, so a waiting request needs no goroutine.
type PendingPermit struct {
	scheduler *Scheduler
	waiter    rankedWaiter
}

// AcquireOrEnqueue requests a permit without blocking. It returns a Permit, or a PendingPermit if the request was queued, or a
// *RefusedError.
func (scheduler *Scheduler) AcquireOrEnqueue(request PermitRequest) (Permit, *PendingPermit, error) {
	now := scheduler.clock.Now()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.lastAcquire = now
	if scheduler.usableCount == 0 {
		return Permit{}, nil, &RefusedError{Cause: ErrNoTarget, RetryAfter: retryAfterNoTarget}
	}
	waiter := scheduler.newWaiter(now, request)
	if scheduler.waiting.ahead(waiter.rank, nil) == 0 {
		if permit, found := scheduler.acquireNow(now, &waiter); found {
			return permit, nil, nil
		}
	}
	scheduler.requestProbes(now)
	pendingPermit := &PendingPermit{scheduler: scheduler, waiter: waiter}
	pendingPermit.waiter.done = make(chan scheduledGrant, 1)
	if err := scheduler.enqueue(now, &pendingPermit.waiter); err != nil {
		return Permit{}, nil, err
	}
	return Permit{}, pendingPermit, nil
}

// Poll returns the permit or a *RefusedError, and whether the wait has ended with one of them.
func (pendingPermit *PendingPermit) Poll() (Permit, bool, error) {
	select {
	case granted := <-pendingPermit.waiter.done:
		permit, err := pendingPermit.scheduler.grantedPermit(&pendingPermit.waiter, granted)
		return permit, true, err
	default:
		return Permit{}, false, nil
	}
}

// WaitDeadline returns the moment at which the wait ends: the holder must call Cancel then.
func (pendingPermit *PendingPermit) WaitDeadline() clock.Moment {
	return pendingPermit.waiter.waitDeadline
}

// Cancel ends the wait. It returns the permit if one was granted in the meantime, and the caller must release it, as the permit
// would stay in use for ever otherwise. If none was granted, it returns a *RefusedError.
func (pendingPermit *PendingPermit) Cancel() (Permit, error) {
	refusal := pendingPermit.remove()
	if refusal == nil {
		return pendingPermit.scheduler.grantedPermit(&pendingPermit.waiter, <-pendingPermit.waiter.done)
	}
	return Permit{}, refusal
}

// remove removes the request from the queue and returns its refusal, or nil if the wait has ended already.
func (pendingPermit *PendingPermit) remove() *RefusedError {
	scheduler := pendingPermit.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stillWaiting := scheduler.waiting.remove(&pendingPermit.waiter)
	retryAfter := scheduler.retryAfter(scheduler.clock.Now())
	if !stillWaiting {
		return nil
	}
	return &RefusedError{Cause: ErrQueueWait, RetryAfter: retryAfter}
}

// wait blocks until the permit is granted or the request is refused. The error is a *RefusedError or the context's.
func (pendingPermit *PendingPermit) wait(ctx context.Context) (Permit, error) {
	scheduler, waiter := pendingPermit.scheduler, &pendingPermit.waiter
	timer := time.NewTimer(waiter.waitDeadline.Since(scheduler.clock.Now()).Duration())
	defer timer.Stop()
	var cancelled error
	select {
	case granted := <-waiter.done:
		return scheduler.grantedPermit(waiter, granted)
	case <-timer.C:
	case <-ctx.Done():
		cancelled = ctx.Err()
	}
	permit, err := pendingPermit.Cancel()
	if cancelled != nil && errors.Is(err, ErrQueueWait) {
		return Permit{}, cancelled
	}
	return permit, err
}

// grantedPermit returns the result of a wait, with the queue time filled in.
func (scheduler *Scheduler) grantedPermit(waiter *rankedWaiter, granted scheduledGrant) (Permit, error) {
	if granted.err != nil {
		return Permit{}, granted.err
	}
	permit := granted.permit
	permit.QueueTime = permit.acquiredAt.Since(waiter.enqueuedAt)
	return permit, nil
}
