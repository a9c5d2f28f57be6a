package caller

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
)

// attempt is what came of sending the request to one backend server.
type attempt struct {
	permit   service.Place
	exchange *backendserver.Exchange
	// buffered is the answer's body, as far as it was read ahead.
	buffered []byte
	err      error
	// notRun says that the request truly did not run.
	notRun bool
	// free says that sending again costs the retry budget nothing: an idle connection had died unnoticed, which says
	// nothing about the server.
	budgetExempt bool
	// reached says that a connection had the request.
	connected bool
	// cancel ends a context that belongs to this attempt alone; it may be nil.
	cancel context.CancelFunc
	trace  trace.Attempt
}

// answered reports whether the attempt brought an answer that may be passed on.
func (attempt *attempt) answered() bool {
	return attempt.exchange != nil && attempt.err == nil && !attempt.notRun
}

// note keeps what an attempt tells of the request.
func (call *call) recordAttempt(attempt *attempt) {
	call.lastTarget = attempt.permit.Target
	call.body.streamUsed = call.body.streamUsed || attempt.connected
	if attempt.exchange != nil {
		call.route.Class.Metrics.Attempt.Record(attempt.trace.Took)
	}
	call.attempts = append(call.attempts, attempt.trace)
}

// send sends the request to the backend server of a place, once, and judges what comes back. It leaves the call as it
// is, so that two may run at once. The place is given back unless there is an answer to pass on.
func (call *call) send(ctx context.Context, permit service.Place, request *http.Request) attempt {
	target := permit.Target
	freshOnly := !call.route.Class.Settings.Idempotent
	before := call.now()
	exchange, err := call.handler.options.Servers.Send(ctx, target.Name, request, freshOnly)
	attempt := attempt{permit: permit, exchange: exchange, err: err, connected: !isConnectError(err)}
	attempt.trace = trace.Attempt{
		Target: target.Name, DataCentre: target.DataCentre, Considered: permit.Listed, Taken: permit.Taken, Waited: permit.Waited,
		Slowdown: permit.Reading.Slowdown, ReadingAge: max(permit.ReadingAge(before), 0),
	}
	if err == nil {
		call.handleResponse(&attempt)
	}
	if attempt.err != nil {
		call.handleError(ctx, &attempt)
	}
	attempt.trace.Took = call.now().Since(before)
	return attempt
}

// neverConnected reports whether an attempt failed before any connection had the request.
func isConnectError(err error) bool {
	var failure *backendserver.Error
	return errors.As(err, &failure) && failure.Step == backendserver.StepConnect
}

// judgeError learns from a failed attempt, and gives the place back.
func (call *call) handleError(ctx context.Context, attempt *attempt) {
	var failure *backendserver.Error
	reused := errors.As(attempt.err, &failure) && failure.Reused
	attempt.notRun = backendserver.IsErrNotWritten(attempt.err)
	attempt.budgetExempt = attempt.notRun && reused
	attempt.trace.Reused = reused
	attempt.trace.Error = attempt.err.Error()
	attempt.trace.Result = trace.ResultCut
	if attempt.notRun {
		attempt.trace.Result = trace.ResultNotWritten
	}
	attempt.permit.Release(call.failureResult(ctx, attempt))
}

// blame tells whether a failed attempt counts against the backend server. One that ended because its caller went away,
// or whose body the caller did not send, does not.
func (call *call) failureResult(ctx context.Context, attempt *attempt) service.Result {
	switch {
	case attempt.budgetExempt,
		errors.Is(attempt.err, backendserver.ErrConnectionsUsed),
		errors.Is(attempt.err, backendserver.ErrUnknownTarget),
		errors.Is(ctx.Err(), context.Canceled),
		call.body.readError() != nil:
		return service.Cancelled
	default:
		return service.Failed
	}
}

// judgeAnswer learns from an answer's header, and reads the body ahead where the dialect asks for it. The place is given
// back when the answer has been passed on, or at once when the server refused.
func (call *call) handleResponse(attempt *attempt) {
	response := attempt.exchange.Response
	dialect := call.handler.options.Dialect
	attempt.trace.Reused = attempt.exchange.Reused
	attempt.trace.Status = response.StatusCode
	attempt.trace.Result = trace.ResultAnswered
	if loadReading, reported := dialect.ParseLoad(response.Header); reported {
		loadReading.At = call.now()
		attempt.permit.Observe(loadReading)
	}
	if attempt.err = dialect.CheckResponse(call.id, response); attempt.err != nil {
		attempt.discard()
		return
	}
	if dialect.MaxBufferedResponseBytes > 0 {
		if attempt.err = attempt.bufferBody(dialect.MaxBufferedResponseBytes); attempt.err != nil {
			attempt.discard()
			return
		}
	}
	if dialect.NotRun(response, call.route.Service.Settings) {
		attempt.trace.Result = trace.ResultNotRun
		attempt.notRun = true
		attempt.permit.Release(service.Failed)
	}
}

// discard closes an answer that is not passed on, or has been.
func (attempt *attempt) discard() {
	if attempt == nil {
		return
	}
	if attempt.exchange != nil {
		attempt.exchange.Close()
		attempt.exchange = nil
	}
	if attempt.cancel != nil {
		attempt.cancel()
	}
}
