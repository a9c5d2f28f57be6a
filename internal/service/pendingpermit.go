package service

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// PendingPermit is a request that waits for a place. Whoever holds it looks whether there is one, which needs no goroutine of its own.
type PendingPermit struct {
	scheduler *Scheduler
	waiter    rankedWaiter
}

// AcquireOrEnqueue asks for a place without waiting: it returns one, or a ticket, or a *RefusedError.
func (scheduler *Scheduler) AcquireOrEnqueue(demand PermitRequest) (Permit, *PendingPermit, error) {
	now := scheduler.clock.Now()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.lastTake = now
	if scheduler.usable == 0 {
		return Permit{}, nil, &RefusedError{Cause: ErrNoTarget, ComeBack: retryAfterNoTarget}
	}
	waiter := scheduler.newWaiter(now, demand)
	if scheduler.waiting.ahead(waiter.rank) == 0 {
		if place, found := scheduler.takeNow(now, &waiter); found {
			return place, nil, nil
		}
	}
	ticket := &PendingPermit{scheduler: scheduler, waiter: waiter}
	ticket.waiter.done = make(chan scheduledGrant, 1)
	if err := scheduler.enqueue(now, &ticket.waiter); err != nil {
		return Permit{}, nil, err
	}
	return Permit{}, ticket, nil
}

// Poll returns the place or the refusal, if there is one by now.
func (ticket *PendingPermit) Poll() (Permit, bool, error) {
	select {
	case granted := <-ticket.waiter.done:
		place, err := ticket.scheduler.grantedPermit(&ticket.waiter, granted)
		return place, true, err
	default:
		return Permit{}, false, nil
	}
}

// WaitDeadline is when the wait is over.
func (ticket *PendingPermit) WaitDeadline() clock.Moment {
	return ticket.waiter.waitDeadline
}

// Cancel ends the wait. A place that has come meanwhile is returned, or else it would stay taken for ever; otherwise the error is a
// *RefusedError.
func (ticket *PendingPermit) Cancel() (Permit, error) {
	scheduler := ticket.scheduler
	scheduler.mutex.Lock()
	stillWaiting := scheduler.waiting.remove(&ticket.waiter)
	comeBack := scheduler.retryAfter(scheduler.clock.Now())
	scheduler.mutex.Unlock()
	if !stillWaiting {
		return scheduler.grantedPermit(&ticket.waiter, <-ticket.waiter.done)
	}
	return Permit{}, &RefusedError{Cause: ErrQueueWait, ComeBack: comeBack}
}

// wait blocks until there is a place or a refusal.
func (ticket *PendingPermit) wait(ctx context.Context) (Permit, error) {
	scheduler, waiter := ticket.scheduler, &ticket.waiter
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
	place, err := ticket.Cancel()
	if cancelled != nil && errors.Is(err, ErrQueueWait) {
		return Permit{}, cancelled
	}
	return place, err
}

func (scheduler *Scheduler) grantedPermit(waiter *rankedWaiter, granted scheduledGrant) (Permit, error) {
	if granted.err != nil {
		return Permit{}, granted.err
	}
	place := granted.place
	place.QueueTime = place.acquiredAt.Since(waiter.enqueuedAt)
	return place, nil
}
