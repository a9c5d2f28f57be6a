package caller

import (
	"context"
	"time"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Hedging.
const (
	// hedgeMargin is how much longer than usual the second copy is given to be in time.
	hedgeMargin = 1.15
	// hedgeOverdue is how many times the usual time a request may take on a target that looks calm before a second copy
	// is sent all the same: with a spread of 0.3, 1 in 20 takes longer.
	hedgeOverdue = 1.5
	// hedgeLook is how often a request that is due looks whether its target has slowed down.
	hedgeLook = 20 * clock.Millisecond
)

// mayHedge reports whether a second copy of the request could be sent while the first is under way. That protects the
// tail: a target slows down in the midst of a request, and the answer comes too late although others are calm.
func (call *call) mayHedge() bool {
	return call.route.Service.Scheduler != nil && call.route.Class.Settings.Idempotent && call.body.replayable() &&
		call.body.stream == nil && len(call.attempts)+1 < call.attemptsMost()
}

// hedge sends the request, and a second copy to another target at the last moment at which it can still be in time if
// the first one's target is slow. The first usable answer wins and the other copy is cancelled.
func (call *call) hedge(ctx context.Context) attempt {
	results := make(chan attempt, 2)
	first := call.place
	call.place = service.Permit{}
	cancelFirst := call.sendCopy(ctx, first, results)
	second, winner := call.awaitFirst(ctx, first, results)
	if winner != nil {
		return *winner
	}
	call.attempts = append(call.attempts, trace.Attempt{
		Target: first.Target.Name, DataCentre: first.Target.DataCentre, Considered: first.Considered, Taken: first.InFlight,
		Waited: first.QueueTime, Slowdown: first.LoadReading.Slowdown, Result: trace.ResultCut, Error: "a second copy was sent",
	})
	call.route.Class.Metrics.CountRetry()
	call.repeatQuota()
	cancelSecond := call.sendCopy(ctx, second, results)
	one := <-results
	if one.answered() && !call.worthRetry(&one) {
		if one.place.Target == first.Target {
			cancelSecond()
		} else {
			cancelFirst()
		}
		go settle(results)
		return one
	}
	other := <-results
	if other.answered() {
		settleAttempt(&one)
		return other
	}
	if one.answered() {
		settleAttempt(&other)
		return one
	}
	return unanswered(one, other)
}

// unanswered returns the copy that tells how a request ended of which no copy was answered: it has not run only if neither copy has.
func unanswered(one, other attempt) attempt {
	if other.notRun && !one.notRun {
		one, other = other, one
	}
	one.discard()
	return other
}

// sendCopy sends the request under a context of its own, which lasts until what comes of it has been discarded or passed on.
func (call *call) sendCopy(ctx context.Context, place service.Permit, results chan<- attempt) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	request := call.outgoing(place.Target)
	go func() {
		attempt := call.send(ctx, place, request)
		attempt.cancel = cancel
		results <- attempt
	}()
	return cancel
}

// settle waits for the copy that lost and gives back what it holds.
func settle(results <-chan attempt) {
	lost := <-results
	settleAttempt(&lost)
}

func settleAttempt(lost *attempt) {
	if lost.answered() {
		lost.place.Release(service.Cancelled)
	}
	lost.discard()
}

// awaitFirst waits for the first copy. It returns a place for the second one when the first is slow, or else what came of
// the first.
func (call *call) awaitFirst(ctx context.Context, first service.Permit, results <-chan attempt) (service.Permit, *attempt) {
	work := call.route.Service.Scheduler.Expected(call.route.Class.Name)
	last := call.aim.Add(-service.CallerDistance - hedgeMargin*work)
	overdue := call.now().Add(hedgeOverdue * work)
	timer := time.NewTimer(max(min(last.Since(call.now()), hedgeOverdue*work), 0).Duration())
	defer timer.Stop()
	for {
		select {
		case result := <-results:
			return service.Permit{}, &result
		case <-timer.C:
		}
		now := call.now()
		if ctx.Err() == nil && call.mayRepeat() && !call.revoked() && (now >= overdue || first.Slow()) {
			demand := call.demand()
			demand.PreviousTarget = first.Target
			if second, taken := call.takeSecond(demand); taken {
				return second, nil
			}
		}
		timer.Reset(hedgeLook.Duration())
	}
}

func (call *call) takeSecond(demand service.PermitRequest) (service.Permit, bool) {
	second, taken := call.route.Service.Scheduler.TryTake(demand)
	if !taken {
		return service.Permit{}, false
	}
	if !call.route.Service.Budget.TryWithdraw() {
		second.Release(service.Cancelled)
		return service.Permit{}, false
	}
	return second, true
}
