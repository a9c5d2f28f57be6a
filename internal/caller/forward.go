package caller

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// forward sends the request until it is answered or may not be sent again.
func (call *call) forward(ctx context.Context) {
	// failed is an earlier answer that told of a failure; it is passed on when nothing better comes.
	var failed *attempt
	for {
		if problem := call.takePlace(ctx); problem != nil {
			if failed != nil {
				call.answer(*failed)
				return
			}
			call.end(*problem)
			return
		}
		attempt := call.attemptOnce(ctx)
		if attempt.answered() && !call.worthRetry(&attempt) {
			failed.discard()
			call.answer(attempt)
			return
		}
		if !call.mayRetry(ctx, &attempt) {
			call.endAttempts(ctx, &attempt, failed)
			return
		}
		if attempt.answered() {
			failed.discard()
			failed = &attempt
			call.release(service.Failed)
		} else {
			attempt.discard()
		}
		call.route.Class.Metrics.CountRetry()
		if !attempt.notRun {
			call.repeatQuota()
		}
	}
}

// endAttempts ends a request that is not sent again: with a backend server's answer if there is any.
func (call *call) endAttempts(ctx context.Context, last, failed *attempt) {
	if last.answered() {
		failed.discard()
		call.answer(*last)
		return
	}
	if failed != nil {
		last.discard()
		call.answer(*failed)
		return
	}
	call.endFailed(ctx, last)
}

// worthRetry reports whether an answer tells of a failure that another backend server may not have. Answers are only
// held back for that where they are read ahead.
func (call *call) worthRetry(attempt *attempt) bool {
	return call.route.Class.Settings.Idempotent && call.handler.options.Dialect.BufferMost > 0 &&
		attempt.exchange.Response.StatusCode >= http.StatusInternalServerError
}

// takePlace waits for a place on a backend server.
func (call *call) takePlace(ctx context.Context) *ending {
	before := call.now()
	place, err := call.route.Service.Acquire(ctx, call.demand())
	if err == nil {
		call.queued += place.QueueTime
		call.place = place
		if (place.QueueTime > 0 || len(call.attempts) > 0) && call.revoked() {
			return call.endRevoked()
		}
		return nil
	}
	call.queued += call.now().Since(before)
	retryAfter := call.route.Service.Settings.Queue.RetryAfter
	var refused *service.RefusedError
	if errors.As(err, &refused) {
		retryAfter = refused.ComeBack
	}
	problem := &ending{status: http.StatusServiceUnavailable, outcome: call.outcomeSoFar(), retryAfter: retryAfter, cause: err}
	switch {
	case errors.Is(err, service.ErrNoTarget):
		problem.reason = outcome.ReasonNoTarget
	case errors.Is(err, service.ErrQueueFull):
		problem.reason = outcome.ReasonQueueFull
	case errors.Is(err, service.ErrQueueWait):
		problem.reason = outcome.ReasonQueueWait
	case leaves(ctx):
		problem.reason = outcome.ReasonLeaving
		problem.retryAfter = leavingComeBack
	case errors.Is(err, context.Canceled):
		problem.reason = outcome.ReasonCallerGone
	default:
		problem.status = http.StatusGatewayTimeout
		problem.reason = outcome.ReasonDeadline
	}
	if problem.outcome == outcome.Unknown && problem.status == http.StatusServiceUnavailable {
		// That status would promise that the request did not run.
		problem.status = http.StatusBadGateway
	}
	return problem
}

func (call *call) demand() service.PermitRequest {
	return service.PermitRequest{
		Priority: call.route.Class.Settings.Priority, TeamPriority: call.teamPriority(), Deadline: call.deadline, PreviousTarget: call.tried,
		Class: call.route.Class.Name, SoftDeadline: call.aim,
	}
}

// outcomeSoFar is Unknown once an attempt may have run.
func (call *call) outcomeSoFar() outcome.Outcome {
	for _, earlier := range call.attempts {
		if earlier.Result == trace.ResultCut {
			return outcome.Unknown
		}
	}
	return outcome.NotRun
}

// attemptOnce sends the request to the backend server of the place held, and to a second one when the first is slow and
// the class allows it. What it returns holds its place, unless it has failed.
func (call *call) attemptOnce(ctx context.Context) attempt {
	before := call.now()
	var attempt attempt
	if call.mayHedge() {
		attempt = call.hedge(ctx)
	} else {
		hints := &hints{call: call}
		attempt = call.send(hints.watch(ctx), call.place, call.outgoing(call.place.Target))
		hints.end()
	}
	call.sending += call.now().Since(before)
	call.note(&attempt)
	call.place = attempt.place
	if !attempt.answered() {
		call.place = service.Permit{}
	}
	return attempt
}

// mayRetry decides whether the request is sent again. One that may have run is sent again only if it is idempotent; so
// no payment is, whatever failed. A request that was a retry already when it came here is left to whoever retried it,
// since nine calls deep each level's retries would multiply.
func (call *call) mayRetry(ctx context.Context, attempt *attempt) bool {
	if ctx.Err() != nil || !call.body.replayable() || call.body.failed() != nil {
		return false
	}
	if !attempt.notRun && !call.route.Class.Settings.Idempotent {
		return false
	}
	if len(call.attempts) >= call.attemptsMost() {
		return false
	}
	if attempt.free {
		return true
	}
	return call.attemptNumber() == 0 && call.route.Service.Budget.TryWithdraw()
}

func (call *call) attemptsMost() int {
	most := call.route.Class.Settings.Attempts
	if most == 0 {
		most = call.route.Service.Settings.Retry.Attempts
	}
	return min(most, trace.AttemptsMost)
}

// endFailed ends a request that is not sent again.
func (call *call) endFailed(ctx context.Context, attempt *attempt) {
	defer attempt.discard()
	failure := ending{status: http.StatusBadGateway, outcome: call.outcomeSoFar(), cause: attempt.err}
	switch {
	case leaves(ctx) && failure.outcome == outcome.NotRun:
		failure = *leavingRefusal()
	case leaves(ctx):
		failure.status = http.StatusGatewayTimeout
		failure.reason = outcome.ReasonLeaving
	case errors.Is(ctx.Err(), context.Canceled):
		failure.reason = outcome.ReasonCallerGone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.status = http.StatusGatewayTimeout
		failure.reason = outcome.ReasonDeadline
	case call.body.failed() != nil:
		failure.status = http.StatusBadRequest
		failure.reason = outcome.ReasonBodyUnreadable
		failure.cause = call.body.failed()
	case failure.outcome == outcome.Unknown:
		failure.reason = outcome.ReasonCutBeforeAnswer
	case attempt.exchange != nil:
		failure.status = http.StatusServiceUnavailable
		failure.reason = outcome.ReasonServerRefused
		failure.retryAfter = call.route.Service.RetryAfter()
	default:
		failure.status = http.StatusServiceUnavailable
		failure.reason = outcome.ReasonConnect
		failure.retryAfter = clock.Second
		if call.handler.options.Dialect.BufferMost > 0 {
			failure.retryAfter = call.route.Service.Settings.Queue.RetryAfter
		}
	}
	call.end(failure)
}
