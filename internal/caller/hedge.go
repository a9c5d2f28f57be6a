package caller

import (
	"context"
	"time"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Parameters of hedging.
const (
	// hedgeMarginFactor multiplies the expected time of the hedged request when its latest start is computed, so that it can
	// take somewhat longer than expected and still meet the soft deadline.
	hedgeMarginFactor = 1.15
	// hedgeOverdueFactor is the multiple of the expected time after which a hedged request is sent even though the first
	// request's target does not look slow: with a spread of 0.3, 1 in 20 requests takes longer than that.
	hedgeOverdueFactor = 1.5
	// hedgePollInterval is how often a request that is due for hedging checks whether its target has slowed down.
	hedgePollInterval = 20 * clock.Millisecond
)

// mayHedge reports whether a hedged request could be sent while the first request is in flight. Hedging reduces tail latency:
// a target may slow down during a request, whose response would then be late although other targets are not slow. A request that a server
// has lost, here or under another caller, goes to one server at a time, since that one may have ended because of it.
func (call *call) mayHedge() bool {
	return call.route.Service.Scheduler != nil && call.route.Class.Settings.Idempotent && call.body.replayable() &&
		call.body.stream == nil && len(call.attempts)+1 < call.maxAttempts() && len(call.endChecks) == 0 && !call.suspected()
}

// race holds the attempts of a hedged request that are in progress.
type race struct {
	results chan attempt
	pending int
}

// next waits for the result of an attempt.
func (race *race) next() attempt {
	return race.took(<-race.results)
}

// took records that the result has been received.
func (race *race) took(result attempt) attempt {
	race.pending--
	return result
}

// discardPending discards the results of the attempts in progress when they arrive.
func (race *race) discardPending(guard *supervisor.Guard) {
	if race.pending > 0 {
		guard.Go("loser of a hedge", func() {
			for race.pending > 0 {
				loser := race.next()
				_ = guard.Run("loser of a hedge", func() { discardLoser(&loser) })
			}
		})
	}
}

// hedge sends the request. If the first request's target is slow, it sends a hedged request to another target at the latest
// time at which that one can still meet the soft deadline. It also sends one if the first request is
// overdue. The first usable response wins and the other request is cancelled.
func (call *call) hedge(ctx context.Context) attempt {
	race := &race{results: make(chan attempt, 2)}
	defer race.discardPending(call.handler.options.Guard)
	first := call.permit
	cancelFirst := call.sendAsync(ctx, race)
	if winner := call.awaitFirst(ctx, first, cancelFirst, race); winner != nil {
		return *winner
	}
	record := len(call.attempts)
	call.attempts = append(call.attempts, trace.Attempt{
		Target: first.Target.Name, DataCentre: first.Target.DataCentre, Considered: first.Considered, InFlight: first.InFlight,
		QueueWait: first.QueueTime, Slowdown: first.LoadReading.Slowdown, Result: trace.ResultNoResponse, Error: "hedged request was sent",
	})
	call.route.Class.Metrics.CountRetry()
	call.chargeRetry()
	cancelSecond := call.sendAsync(ctx, race)
	earlier := race.next()
	if earlier.answered() && !call.isRetryableResponse(&earlier) {
		if earlier.permit.Target == first.Target {
			cancelSecond()
		} else {
			cancelFirst()
		}
		return earlier
	}
	chosen, other := chooseResult(earlier, race.next())
	// Both results are known, so that the record need not state that the first request may have run.
	call.attempts[record] = other.trace
	call.addEndCheck(&other)
	discardLoser(&other)
	return chosen
}

// chooseResult returns the attempt that determines the outcome, of the first and the hedged request, and the other one. An answered
// attempt is chosen, the later one if both are. If neither is, the chosen attempt has not run only if neither has.
func chooseResult(earlier, later attempt) (attempt, attempt) {
	switch {
	case later.answered():
		return later, earlier
	case earlier.answered(), later.notRun && !earlier.notRun:
		return earlier, later
	default:
		return later, earlier
	}
}

// sendAsync sends the request to the backend server of the held permit in a goroutine, which takes over the permit, under a context of its
// own that lasts until the attempt is discarded.
func (call *call) sendAsync(ctx context.Context, race *race) context.CancelFunc {
	request := call.outgoing(call.permit.Target)
	permit := call.permit
	call.permit, call.sending = service.Permit{}, true
	ctx, cancel := context.WithCancel(ctx)
	race.pending++
	go func() {
		attempt := call.send(ctx, permit, request)
		attempt.cancel = cancel
		race.results <- attempt
	}()
	return cancel
}

// discardLoser releases the permit of an attempt that is not used, and closes its response.
func discardLoser(loser *attempt) {
	if loser.answered() {
		loser.permit.Release(service.Cancelled)
	}
	loser.discard()
}

// awaitFirst waits for the first request. The call holds a permit for the hedged request, and there is no result, if the first one is slow
// or overdue. Otherwise it returns the result of the first one. It cancels the first one if the service turns out to be unreachable: the request is then
// relayed.
func (call *call) awaitFirst(ctx context.Context, first service.Permit, cancelFirst context.CancelFunc, race *race) *attempt {
	expected := call.route.Service.Scheduler.ExpectedDuration(call.route.Class.Name)
	latestStart := call.softDeadline.Add(-service.CallerNetworkDelay - hedgeMarginFactor*expected)
	overdueAt := call.now().Add(hedgeOverdueFactor * expected)
	timer := time.NewTimer(max(min(latestStart.Since(call.now()), hedgeOverdueFactor*expected), 0).Duration())
	defer timer.Stop()
	for {
		select {
		case result := <-race.results:
			result = race.took(result)
			return &result
		case <-timer.C:
		}
		now := call.now()
		if call.mayBreakOff() {
			cancelFirst()
			result := race.next()
			// The retry has been charged.
			result.budgetExempt = true
			return &result
		}
		if ctx.Err() == nil && call.mayHedgeNow() && (now >= overdueAt || first.Slow()) {
			permitRequest := call.permitRequest()
			permitRequest.PreviousTarget = first.Target
			if call.acquireHedgePermit(permitRequest) {
				return nil
			}
		}
		timer.Reset(hedgePollInterval.Duration())
	}
}

// mayHedgeNow reports whether the request may still be sent to a second server: the first one may not answer because of it.
func (call *call) mayHedgeNow() bool {
	_, blocked := call.quarantined()
	return !blocked && call.quotaAllowsRetry() && !call.keyRevoked()
}

// mayBreakOff reports whether the first request is broken off because the service turns out to be unreachable, and charges the retry to
// the budget: without a retry, nobody would answer the caller. An instance that is leaving ends what it has begun.
func (call *call) mayBreakOff() bool {
	return call.unreachable() && !call.handler.draining() && call.route.Service.Budget.TryWithdraw(service.Retry{Priority: call.route.Class.Settings.Priority})
}

// acquireHedgePermit acquires a permit for the hedged request without waiting, and charges it to the retry budget.
func (call *call) acquireHedgePermit(permitRequest service.PermitRequest) bool {
	second, acquired := call.route.Service.Scheduler.TryAcquire(permitRequest)
	if !acquired {
		return false
	}
	call.permit = second
	if !call.route.Service.Budget.TryWithdraw(service.Retry{Priority: call.route.Class.Settings.Priority, Hedged: true}) {
		call.release(service.Cancelled)
		return false
	}
	return true
}
