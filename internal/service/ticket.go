package service

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Ticket is a request that waits for a place. Whoever holds it looks whether there is one, which needs no goroutine of its own.
type Ticket struct {
	scheduler *Scheduler
	waiter    rankedWaiter
}

// Enter asks for a place without waiting: it returns one, or a ticket, or a *RefusedError.
func (scheduler *Scheduler) Enter(demand Demand) (Place, *Ticket, error) {
	now := scheduler.clock.Now()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.lastAcquire = now
	if scheduler.usableCount == 0 {
		return Place{}, nil, &RefusedError{Cause: ErrNoTarget, RetryAfter: comeBackNoTarget}
	}
	waiter := scheduler.newWaiter(now, demand)
	if scheduler.waiting.ahead(waiter.rank) == 0 {
		if place, found := scheduler.acquireNow(now, &waiter); found {
			return place, nil, nil
		}
	}
	ticket := &Ticket{scheduler: scheduler, waiter: waiter}
	ticket.waiter.done = make(chan scheduledGrant, 1)
	if err := scheduler.enqueue(now, &ticket.waiter); err != nil {
		return Place{}, nil, err
	}
	return Place{}, ticket, nil
}

// Poll returns the place or the refusal, if there is one by now.
func (ticket *Ticket) Poll() (Place, bool, error) {
	select {
	case granted := <-ticket.waiter.done:
		place, err := ticket.scheduler.granted(&ticket.waiter, granted)
		return place, true, err
	default:
		return Place{}, false, nil
	}
}

// Until is when the wait is over.
func (ticket *Ticket) Until() clock.Moment {
	return ticket.waiter.until
}

// GiveUp ends the wait. A place that has come meanwhile is returned, or else it would stay taken for ever; otherwise the error is a
// *RefusedError.
func (ticket *Ticket) GiveUp() (Place, error) {
	scheduler := ticket.scheduler
	scheduler.mutex.Lock()
	stillWaiting := scheduler.waiting.remove(&ticket.waiter)
	comeBack := scheduler.comeBack(scheduler.clock.Now())
	scheduler.mutex.Unlock()
	if !stillWaiting {
		return scheduler.granted(&ticket.waiter, <-ticket.waiter.done)
	}
	return Place{}, &RefusedError{Cause: ErrQueueWait, RetryAfter: comeBack}
}

// wait blocks until there is a place or a refusal.
func (ticket *Ticket) wait(ctx context.Context) (Place, error) {
	scheduler, waiter := ticket.scheduler, &ticket.waiter
	timer := time.NewTimer(waiter.until.Since(scheduler.clock.Now()).Duration())
	defer timer.Stop()
	var cancelled error
	select {
	case granted := <-waiter.done:
		return scheduler.granted(waiter, granted)
	case <-timer.C:
	case <-ctx.Done():
		cancelled = ctx.Err()
	}
	place, err := ticket.GiveUp()
	if cancelled != nil && errors.Is(err, ErrQueueWait) {
		return Place{}, cancelled
	}
	return place, err
}

func (scheduler *Scheduler) granted(waiter *rankedWaiter, granted scheduledGrant) (Place, error) {
	if granted.err != nil {
		return Place{}, granted.err
	}
	place := granted.place
	place.Waited = place.since.Since(waiter.since)
	return place, nil
}
