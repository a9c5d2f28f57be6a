package caller

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// attempt is what came of sending the request to one backend server.
type attempt struct {
	exchange *backendserver.Exchange
	err      error
	// notRun says that the request truly did not run.
	notRun bool
	// free says that sending again costs the retry budget nothing: an idle connection had died unnoticed, which says
	// nothing about the server.
	free bool
}

// forward sends the request until it is answered or may not be sent again.
func (call *call) forward(ctx context.Context) {
	for {
		if problem := call.takePlace(ctx); problem != nil {
			call.end(*problem)
			return
		}
		attempt := call.send(ctx)
		if attempt.exchange != nil && !attempt.notRun {
			call.answer(attempt)
			return
		}
		if !call.mayRetry(ctx, attempt) {
			call.endFailed(ctx, attempt)
			return
		}
		attempt.discard()
		call.route.Class.Metrics.CountRetry()
	}
}

// takePlace waits for a place on a backend server.
func (call *call) takePlace(ctx context.Context) *ending {
	demand := service.Demand{Priority: call.route.Class.Settings.Priority, Deadline: call.deadline, Tried: call.tried}
	before := call.now()
	place, err := call.route.Service.Dispatcher.Take(ctx, demand)
	if err == nil {
		call.queued += place.Waited
		call.place = place
		return nil
	}
	call.queued += call.now().Since(before)
	retryAfter := call.route.Service.Settings.Queue.RetryAfter
	problem := &ending{status: http.StatusServiceUnavailable, outcome: call.outcomeSoFar(), retryAfter: retryAfter, cause: err}
	switch {
	case errors.Is(err, service.ErrNoTarget):
		problem.reason = outcome.ReasonNoTarget
	case errors.Is(err, service.ErrQueueFull):
		problem.reason = outcome.ReasonQueueFull
	case errors.Is(err, service.ErrQueueWait):
		problem.reason = outcome.ReasonQueueWait
	case errors.Is(err, context.Canceled):
		problem.reason = outcome.ReasonCallerGone
	default:
		problem.status = http.StatusGatewayTimeout
		problem.reason = outcome.ReasonDeadline
	}
	return problem
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

// send sends the request to the backend server of the place held, once.
func (call *call) send(ctx context.Context) attempt {
	place := call.place
	target := place.Target
	request := call.outgoing(target)
	freshOnly := !call.route.Class.Settings.Idempotent
	before := call.now()
	hints := &hints{call: call}
	exchange, err := call.handler.options.Servers.Send(hints.watch(ctx), target.Name, request, freshOnly)
	hints.end()
	took := call.now().Since(before)
	call.sending += took
	call.tried = target
	call.body.handedOver = call.body.handedOver || !neverConnected(err)
	attempt := attempt{exchange: exchange, err: err}
	story := trace.Attempt{
		Target: target.Name, DataCentre: target.DataCentre,
		Considered: place.Listed, Taken: place.Taken, Waited: place.Waited, Took: took,
	}
	if err != nil {
		call.judgeError(ctx, &attempt, &story)
	} else {
		call.judgeAnswer(&attempt, &story)
		call.route.Class.Metrics.Attempt.Record(took)
	}
	call.attempts = append(call.attempts, story)
	return attempt
}

// neverConnected reports whether an attempt failed before any connection had the request.
func neverConnected(err error) bool {
	var failure *backendserver.Error
	return errors.As(err, &failure) && failure.Step == backendserver.StepConnect
}

// judgeError learns from a failed attempt, and gives the place back.
func (call *call) judgeError(ctx context.Context, attempt *attempt, story *trace.Attempt) {
	var failure *backendserver.Error
	reused := errors.As(attempt.err, &failure) && failure.Reused
	attempt.notRun = backendserver.IsErrNotWritten(attempt.err)
	attempt.free = attempt.notRun && reused
	story.Reused = reused
	story.Error = attempt.err.Error()
	story.Result = trace.ResultCut
	if attempt.notRun {
		story.Result = trace.ResultNotWritten
	}
	call.release(call.blame(ctx, attempt))
}

// blame tells whether a failed attempt counts against the backend server. One that ended because its caller went away,
// or whose body the caller did not send, does not.
func (call *call) blame(ctx context.Context, attempt *attempt) service.Result {
	switch {
	case attempt.free,
		errors.Is(attempt.err, backendserver.ErrConnectionsUsed),
		errors.Is(attempt.err, backendserver.ErrUnknownTarget),
		errors.Is(ctx.Err(), context.Canceled),
		call.body.failed() != nil:
		return service.Cancelled
	default:
		return service.Failed
	}
}

// judgeAnswer learns from an answer's header. The place is given back when the answer has been read, or at once when
// the server refused.
func (call *call) judgeAnswer(attempt *attempt, story *trace.Attempt) {
	response := attempt.exchange.Response
	story.Reused = attempt.exchange.Reused
	story.Status = response.StatusCode
	story.Result = trace.ResultAnswered
	if response.Header.Get(call.route.Service.Settings.NotRunHeader) == "" {
		return
	}
	story.Result = trace.ResultNotRun
	attempt.notRun = true
	call.release(service.Failed)
}

// discard closes an answer that is not passed on.
func (attempt *attempt) discard() {
	if attempt.exchange != nil {
		attempt.exchange.Close()
	}
}

// mayRetry decides whether the request is sent again. One that may have run is sent again only if it is idempotent; so
// no payment is, whatever failed. A request that was a retry already when it came here is left to whoever retried it,
// since nine calls deep each level's retries would multiply.
func (call *call) mayRetry(ctx context.Context, attempt attempt) bool {
	if ctx.Err() != nil || !call.body.replayable() || call.body.failed() != nil {
		return false
	}
	if !attempt.notRun && !call.route.Class.Settings.Idempotent {
		return false
	}
	if len(call.attempts) >= min(call.route.Service.Settings.Retry.Attempts, trace.AttemptsMost) {
		return false
	}
	if attempt.free {
		return true
	}
	return attemptNumber(call.request) == 0 && call.route.Service.Budget.Spend()
}

// endFailed ends a request that is not sent again.
func (call *call) endFailed(ctx context.Context, attempt attempt) {
	defer attempt.discard()
	failure := ending{status: http.StatusBadGateway, outcome: call.outcomeSoFar(), cause: attempt.err}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		failure.reason = outcome.ReasonCallerGone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.status = http.StatusGatewayTimeout
		failure.reason = outcome.ReasonDeadline
	case call.body.failed() != nil:
		failure.status = http.StatusBadRequest
		failure.reason = outcome.ReasonBodyUnreadable
		failure.cause = call.body.failed()
	case attempt.exchange != nil:
		failure.status = http.StatusServiceUnavailable
		failure.reason = outcome.ReasonServerRefused
		failure.retryAfter = call.route.Service.Settings.Queue.RetryAfter
	case attempt.notRun:
		failure.status = http.StatusServiceUnavailable
		failure.reason = outcome.ReasonConnect
		failure.retryAfter = clock.Second
	default:
		failure.reason = outcome.ReasonCutBeforeAnswer
	}
	call.end(failure)
}
