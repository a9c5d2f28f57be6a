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
	hedgeMarginFactor = 1.15
	// hedgeOverdue is how many times the usual time a request may take on a target that looks calm before a second copy
	// is sent all the same: with a spread of 0.3, 1 in 20 takes longer.
	hedgeOverdueFactor = 1.5
	// hedgeLook is how often a request that is due looks whether its target has slowed down.
	hedgePollInterval = 20 * clock.Millisecond
)

// mayHedge reports whether a second copy of the request could be sent while the first is under way. That protects the
// tail: a target slows down in the midst of a request, and the answer comes too late although others are calm.
func (call *call) mayHedge() bool {
	return call.route.Service.Scheduler != nil && call.route.Class.Settings.Idempotent && call.body.replayable() &&
		call.body.stream == nil && len(call.attempts)+1 < call.maxAttempts()
}

// hedge sends the request, and a second copy to another target at the last moment at which it can still be in time if
// the first one's target is slow. The first usable answer wins and the other copy is cancelled.
func (call *call) hedge(ctx context.Context) attempt {
	results := make(chan attempt, 2)
	first := call.permit
	call.permit = service.Place{}
	cancelFirst := call.sendAsync(ctx, first, results)
	second, winner := call.awaitFirst(ctx, first, results)
	if winner != nil {
		return *winner
	}
	call.attempts = append(call.attempts, trace.Attempt{
		Target: first.Target.Name, DataCentre: first.Target.DataCentre, Considered: first.Listed, Taken: first.Taken,
		Waited: first.Waited, Slowdown: first.Reading.Slowdown, Result: trace.ResultCut, Error: "a second copy was sent",
	})
	call.route.Class.Metrics.CountRetry()
	call.chargeRetry()
	cancelSecond := call.sendAsync(ctx, second, results)
	earlier := <-results
	if earlier.answered() && !call.isRetryableResponse(&earlier) {
		if earlier.permit.Target == first.Target {
			cancelSecond()
		} else {
			cancelFirst()
		}
		go awaitLoser(results)
		return earlier
	}
	later := <-results
	if later.answered() {
		discardLoser(&earlier)
		return later
	}
	if earlier.answered() {
		discardLoser(&later)
		return earlier
	}
	return mergeFailures(earlier, later)
}

// unanswered returns the copy that tells how a request ended of which no copy was answered: it has not run only if neither copy has.
func mergeFailures(one, other attempt) attempt {
	if other.notRun && !one.notRun {
		one, other = other, one
	}
	one.discard()
	return other
}

// sendCopy sends the request under a context of its own, which lasts until what comes of it has been discarded or passed on.
func (call *call) sendAsync(ctx context.Context, permit service.Place, results chan<- attempt) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	request := call.outgoing(permit.Target)
	go func() {
		attempt := call.send(ctx, permit, request)
		attempt.cancel = cancel
		results <- attempt
	}()
	return cancel
}

// settle waits for the copy that lost and gives back what it holds.
func awaitLoser(results <-chan attempt) {
	loser := <-results
	discardLoser(&loser)
}

func discardLoser(loser *attempt) {
	if loser.answered() {
		loser.permit.Release(service.Cancelled)
	}
	loser.discard()
}

// awaitFirst waits for the first copy. It returns a place for the second one when the first is slow, or else what came of
// the first.
func (call *call) awaitFirst(ctx context.Context, first service.Place, results <-chan attempt) (service.Place, *attempt) {
	expected := call.route.Service.Scheduler.Expected(call.route.Class.Name)
	latestStart := call.softDeadline.Add(-service.CallerDistance - hedgeMarginFactor*expected)
	overdueAt := call.now().Add(hedgeOverdueFactor * expected)
	timer := time.NewTimer(max(min(latestStart.Since(call.now()), hedgeOverdueFactor*expected), 0).Duration())
	defer timer.Stop()
	for {
		select {
		case result := <-results:
			return service.Place{}, &result
		case <-timer.C:
		}
		now := call.now()
		if ctx.Err() == nil && call.quotaAllowsRetry() && !call.keyRevoked() && (now >= overdueAt || first.Slow()) {
			permitRequest := call.permitRequest()
			permitRequest.Tried = first.Target
			if second, acquired := call.acquireHedgePermit(permitRequest); acquired {
				return second, nil
			}
		}
		timer.Reset(hedgePollInterval.Duration())
	}
}

func (call *call) acquireHedgePermit(permitRequest service.Demand) (service.Place, bool) {
	second, acquired := call.route.Service.Scheduler.TryTake(permitRequest)
	if !acquired {
		return service.Place{}, false
	}
	if !call.route.Service.Budget.Spend() {
		second.Release(service.Cancelled)
		return service.Place{}, false
	}
	return second, true
}
