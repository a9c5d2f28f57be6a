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

// forward sends the request until it is answered or may not be retried.
func (call *call) forward(ctx context.Context) {
	// failedAttempt is the last attempt answered with a server error; its response is forwarded if no retry gets a better one.
	var failedAttempt *attempt
	for {
		if call.relayFirst(ctx, failedAttempt) {
			return
		}
		call.countRequest()
		if errorResponse := call.acquirePermit(ctx); errorResponse != nil {
			if call.relaysRefused(errorResponse) && call.relay(ctx, failedAttempt) {
				return
			}
			if failedAttempt != nil {
				call.forwardResponse(*failedAttempt)
				return
			}
			call.respondWithError(*errorResponse)
			return
		}
		attempt := call.attemptOnce(ctx)
		if attempt.answered() && !call.isRetryableResponse(&attempt) {
			failedAttempt.discard()
			call.forwardResponse(attempt)
			return
		}
		if call.relaysUnconnected(&attempt) && call.relay(ctx, failedAttempt) {
			return
		}
		if !call.mayRetry(ctx, &attempt) {
			call.finishAttempts(ctx, &attempt, failedAttempt)
			return
		}
		if attempt.answered() {
			failedAttempt.discard()
			failedAttempt = &attempt
			call.release(service.Failed)
		} else {
			attempt.discard()
		}
		call.route.Class.Metrics.CountRetry()
		if !attempt.notRun {
			call.chargeRetry()
		}
	}
}

// countRequest counts the request towards the retry budget, unless that has been done.
func (call *call) countRequest() {
	if !call.counted {
		call.counted = true
		call.route.Service.Budget.Deposit(call.route.Class.Settings.Priority)
	}
}

// finishAttempts ends a request that is not retried, with a backend server's response if there is one.
func (call *call) finishAttempts(ctx context.Context, lastAttempt, failedAttempt *attempt) {
	if lastAttempt.answered() {
		failedAttempt.discard()
		call.forwardResponse(*lastAttempt)
		return
	}
	if failedAttempt != nil {
		lastAttempt.discard()
		call.forwardResponse(*failedAttempt)
		return
	}
	call.respondWithFailure(ctx, lastAttempt)
}

// isRetryableResponse reports whether the response is a server error that another backend server might not return. Only
// dialects that buffer responses can retry after one, since other dialects forward each response as it arrives.
func (call *call) isRetryableResponse(attempt *attempt) bool {
	return call.route.Class.Settings.Idempotent && call.handler.options.Dialect.MaxBufferedResponseBytes > 0 &&
		attempt.exchange.Response.StatusCode >= http.StatusInternalServerError
}

// acquirePermit waits for a permit of a backend server.
func (call *call) acquirePermit(ctx context.Context) *errorResponse {
	before := call.now()
	permit, err := call.route.Service.Acquire(ctx, call.permitRequest())
	if err == nil {
		call.queueTime += permit.QueueTime
		call.permit = permit
		if (permit.QueueTime > 0 || len(call.attempts) > 0) && call.keyRevoked() {
			return call.rejectRevoked()
		}
		return nil
	}
	call.queueTime += call.now().Since(before)
	retryAfter := call.route.Service.Settings.Queue.RetryAfter
	var refusedError *service.RefusedError
	if errors.As(err, &refusedError) {
		retryAfter = refusedError.RetryAfter
	}
	errorResponse := &errorResponse{status: http.StatusServiceUnavailable, outcome: call.outcomeSoFar(), retryAfter: retryAfter, cause: err}
	switch {
	case errors.Is(err, service.ErrNoTarget):
		errorResponse.reason = outcome.ReasonNoTarget
	case errors.Is(err, service.ErrQueueFull):
		errorResponse.reason = outcome.ReasonQueueFull
	case errors.Is(err, service.ErrQueueWait):
		errorResponse.reason = outcome.ReasonQueueWait
	case endedByDrain(ctx):
		errorResponse.reason = outcome.ReasonLeaving
		errorResponse.retryAfter = drainRetryAfter
	case errors.Is(err, context.Canceled):
		errorResponse.reason = outcome.ReasonCallerGone
	default:
		errorResponse.status = http.StatusGatewayTimeout
		errorResponse.reason = outcome.ReasonDeadline
	}
	if errorResponse.outcome == outcome.Unknown && errorResponse.status == http.StatusServiceUnavailable {
		// Status 503 would promise that the request did not run.
		errorResponse.status = http.StatusBadGateway
	}
	return errorResponse
}

func (call *call) permitRequest() service.PermitRequest {
	return service.PermitRequest{
		Priority: call.route.Class.Settings.Priority, TeamPriority: call.teamPriority(), Deadline: call.deadline, PreviousTarget: call.lastTarget,
		Class: call.route.Class.Name, SoftDeadline: call.softDeadline,
	}
}

// outcomeSoFar returns Unknown if an earlier attempt may have run, otherwise NotRun.
func (call *call) outcomeSoFar() outcome.Outcome {
	for _, earlier := range call.attempts {
		if earlier.Result == trace.ResultNoResponse {
			return outcome.Unknown
		}
	}
	return outcome.NotRun
}

// attemptOnce sends the request to the backend server of the held permit, and a hedged request to another one if the first is
// slow and the class allows it. The call then holds the permit of the returned attempt, or none if that attempt failed.
func (call *call) attemptOnce(ctx context.Context) attempt {
	before := call.now()
	var attempt attempt
	if call.mayHedge() {
		attempt = call.hedge(ctx)
	} else {
		hints := &hints{call: call}
		request := call.outgoing(call.permit.Target)
		call.sending = true
		attempt = call.send(hints.withHints(ctx), call.permit, request)
		hints.stop()
	}
	call.attemptTime += call.now().Since(before)
	call.recordAttempt(&attempt)
	call.sending = false
	call.permit = attempt.permit
	if !attempt.answered() {
		call.permit = service.Permit{}
	}
	return attempt
}

// mayRetry reports whether the request is retried, and charges the retry to the retry budget. A request that may have run is
// retried only if it is idempotent, so a payment never is. A request that was already a retry when it arrived is left to the
// sender that retried it, since the retries of each level of calls, up to nine deep, would multiply. Attempts that are
// exempt from the budget are retried in either case.
func (call *call) mayRetry(ctx context.Context, attempt *attempt) bool {
	if ctx.Err() != nil || errors.Is(attempt.err, errCallerGone) || !call.body.replayable() || call.body.readError() != nil {
		return false
	}
	if !attempt.notRun && !call.route.Class.Settings.Idempotent {
		return false
	}
	if len(call.attempts) >= call.maxAttempts() || call.mayEndServers(ctx) {
		return false
	}
	if attempt.budgetExempt || isRefusedConnection(attempt.err) {
		return true
	}
	if call.attemptNumber() > 0 {
		return false
	}
	call.retryDenied = !call.route.Service.Budget.TryWithdraw(service.Retry{Priority: call.route.Class.Settings.Priority})
	return !call.retryDenied
}

func (call *call) maxAttempts() int {
	limit := call.route.Class.Settings.Attempts
	if limit == 0 {
		limit = call.route.Service.Settings.Retry.Attempts
	}
	if call.relayed != nil {
		limit = min(limit, call.relayed.Attempts)
	}
	return min(limit, trace.MaxAttempts)
}

// respondWithFailure ends a request that is not retried with an error response.
func (call *call) respondWithFailure(ctx context.Context, attempt *attempt) {
	defer attempt.discard()
	errorResponse := errorResponse{status: http.StatusBadGateway, outcome: call.outcomeSoFar(), cause: attempt.err}
	switch {
	case endedByDrain(ctx) && errorResponse.outcome == outcome.NotRun:
		errorResponse = *newDrainRejection()
	case endedByDrain(ctx):
		errorResponse.status = http.StatusGatewayTimeout
		errorResponse.reason = outcome.ReasonLeaving
	case errors.Is(ctx.Err(), context.Canceled), errors.Is(attempt.err, errCallerGone):
		errorResponse.reason = outcome.ReasonCallerGone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		errorResponse.status = http.StatusGatewayTimeout
		errorResponse.reason = outcome.ReasonDeadline
	case call.body.readError() != nil:
		errorResponse.status = http.StatusBadRequest
		errorResponse.reason = outcome.ReasonBodyUnreadable
		errorResponse.cause = call.body.readError()
	case errorResponse.outcome == outcome.Unknown:
		errorResponse.reason = outcome.ReasonCutBeforeAnswer
	case attempt.exchange != nil:
		errorResponse.status = http.StatusServiceUnavailable
		errorResponse.reason = outcome.ReasonServerRefused
		errorResponse.retryAfter = call.route.Service.RetryAfter()
	default:
		errorResponse.status = http.StatusServiceUnavailable
		errorResponse.reason = outcome.ReasonConnect
		errorResponse.retryAfter = clock.Second
		if call.handler.options.Dialect.MaxBufferedResponseBytes > 0 {
			errorResponse.retryAfter = call.route.Service.Settings.Queue.RetryAfter
		}
	}
	call.respondWithError(errorResponse)
}
