package caller

import (
	"context"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// attempt is the result of sending the request to one backend server.
type attempt struct {
	permit   service.Permit
	exchange *backendserver.Exchange
	// buffered is the part of the response body that has been read but not forwarded.
	buffered []byte
	// share is what buffered takes of the memory for buffered responses, nil if nothing is buffered.
	share *bufferShare
	err   error
	// notRun means that the request certainly did not run.
	notRun bool
	// budgetExempt means that a retry is not charged to the retry budget: the request failed on an idle connection that had
	// been closed unnoticed, which does not indicate a fault of the server, or the retry has been charged already.
	budgetExempt bool
	// connected means that a connection was obtained for the request.
	connected bool
	// cancel cancels the attempt's own context; it is nil if the attempt has none.
	cancel context.CancelFunc
	// released means that send has released the permit.
	released bool
	// endCheck is the check of a server that did not answer, nil if there is none.
	endCheck *endCheck
	trace    trace.Attempt
}

// answered reports whether the attempt has a response that may be forwarded.
func (attempt *attempt) answered() bool {
	return attempt.exchange != nil && attempt.err == nil && !attempt.notRun
}

// recordAttempt updates the call and the class's metrics with the attempt's result.
func (call *call) recordAttempt(attempt *attempt) {
	call.lastTarget = attempt.permit.Target
	call.body.streamUsed = call.body.streamUsed || attempt.connected
	if attempt.exchange != nil {
		call.route.Class.Metrics.AttemptDuration.Record(attempt.trace.Duration)
	}
	call.attempts = append(call.attempts, attempt.trace)
	call.addEndCheck(attempt)
}

func (call *call) addEndCheck(attempt *attempt) {
	if attempt.endCheck != nil {
		call.endChecks = append(call.endChecks, attempt.endCheck)
	}
}

// send sends the request once to the permit's backend server and evaluates the result. It does not modify the call, so
// that two sends may run concurrently. It releases the permit unless there is a response to forward. An attempt that panics has no response
// and may have run.
func (call *call) send(ctx context.Context, permit service.Permit, request *http.Request) attempt {
	attempt := attempt{permit: permit}
	if err := call.handler.options.Guard.Run("attempt", func() { call.sendOnce(ctx, request, &attempt) }); err != nil {
		call.endAttempt(&attempt, err)
	}
	return attempt
}

func (call *call) sendOnce(ctx context.Context, request *http.Request, attempt *attempt) {
	permit := attempt.permit
	target := permit.Target
	freshOnly := !call.route.Class.Settings.Idempotent
	before := call.now()
	attempt.exchange, attempt.err = call.handler.options.Servers.Send(call.sendContext(ctx), target.Name, request, freshOnly)
	attempt.connected = !isConnectError(attempt.err)
	attempt.trace = trace.Attempt{
		Target: target.Name, DataCentre: target.DataCentre, Considered: permit.Considered, InFlight: permit.InFlight, QueueWait: permit.QueueTime,
		Slowdown: permit.LoadReading.Slowdown, LoadReadingAge: max(permit.LoadReadingAge(before), 0),
	}
	if attempt.err == nil {
		call.handleResponse(attempt)
	}
	if attempt.err != nil {
		call.handleError(ctx, before, attempt)
	}
	attempt.trace.Duration = call.now().Since(before)
}

// sendContext returns the context under which the request is sent to a backend server or to another instance.
func (call *call) sendContext(ctx context.Context) context.Context {
	return backendserver.WithRequestID(backendserver.WithWriteCheck(ctx, call.checkCaller), string(call.id))
}

// errCallerGone means that the caller disconnected before the request was written to a backend server.
var errCallerGone = errors.New("caller disconnected before the request was sent")

// checkCaller returns errCallerGone if the caller has disconnected. Requests of multiplexed connections are cancelled by the HTTP
// server alone.
func (call *call) checkCaller() error {
	if call.position.disconnected() {
		return errCallerGone
	}
	return nil
}

// isConnectError reports whether an attempt failed before a connection was obtained for the request.
func isConnectError(err error) bool {
	var failure *backendserver.Error
	return errors.As(err, &failure) && failure.Step == backendserver.StepConnect
}

// isRefusedConnection reports whether the server's process has ended, so that nothing arrived anywhere and another server costs no time.
func isRefusedConnection(err error) bool {
	return isConnectError(err) && errors.Is(err, syscall.ECONNREFUSED)
}

// handleError classifies a failed attempt and releases its permit.
func (call *call) handleError(ctx context.Context, sentAt clock.Moment, attempt *attempt) {
	var failure *backendserver.Error
	reused := errors.As(attempt.err, &failure) && failure.Reused
	attempt.notRun = backendserver.IsErrNotWritten(attempt.err)
	attempt.budgetExempt = attempt.notRun && reused
	attempt.trace.Reused = reused
	attempt.trace.Error = attempt.err.Error()
	attempt.trace.Result = trace.ResultNoResponse
	if attempt.notRun {
		attempt.trace.Result = trace.ResultNotWritten
	}
	if !attempt.notRun {
		call.checkLostAttempt(ctx, sentAt, attempt)
	}
	attempt.release(call.failureResult(ctx, attempt))
}

// failureResult returns Failed if a failed attempt counts against the backend server, otherwise Cancelled. An attempt that
// ended because the caller disconnected or did not send its body does not count.
func (call *call) failureResult(ctx context.Context, attempt *attempt) service.Result {
	switch {
	case attempt.budgetExempt,
		errors.Is(attempt.err, backendserver.ErrConnectionLimitReached),
		errors.Is(attempt.err, backendserver.ErrUnknownTarget),
		errors.Is(ctx.Err(), context.Canceled),
		errors.Is(attempt.err, errCallerGone),
		call.body.readError() != nil:
		return service.Cancelled
	default:
		return service.Failed
	}
}

// handleResponse evaluates a response's header, and buffers its body if the dialect requires it. The permit is released here
// if the server refused the request, otherwise when the response has been forwarded.
func (call *call) handleResponse(attempt *attempt) {
	response := attempt.exchange.Response
	dialect := call.handler.options.Dialect
	attempt.trace.Reused = attempt.exchange.Reused
	attempt.trace.Status = response.StatusCode
	attempt.trace.Result = trace.ResultAnswered
	if attempt.err = dialect.checkResponse(call.id, response); attempt.err != nil {
		attempt.discard()
		return
	}
	if loadReading, reported := dialect.ParseLoad(response.Header); reported {
		loadReading.At = call.now()
		attempt.permit.Observe(loadReading)
	}
	statement := dialect.ParseStatement(response)
	statement.At = call.now()
	if statement.Limit.Named {
		attempt.trace.ServerLimit = &statement.Limit.Rate
	}
	attempt.trace.ServerRest, attempt.trace.ServerLeaving = statement.Rest, statement.Leaving
	if change := attempt.permit.ObserveStatement(statement); change.Changed() && call.handler.options.OnStatement != nil {
		call.handler.options.OnStatement(change)
	}
	if dialect.MaxBufferedResponseBytes > 0 {
		if attempt.err = attempt.bufferBody(dialect.MaxBufferedResponseBytes, &call.handler.bufferedResponses); attempt.err != nil {
			attempt.discard()
			return
		}
	}
	if dialect.NotRun(response, call.route.Service.Settings) {
		attempt.trace.Result = trace.ResultNotRun
		attempt.notRun = true
		attempt.release(service.Failed)
	}
}

// release releases the permit of an attempt that has no response to forward, once.
func (attempt *attempt) release(result service.Result) {
	if attempt.released {
		return
	}
	// A permit whose release panics may have been released.
	attempt.released = true
	attempt.permit.Release(result)
}

// discard closes the response, forwarded or not, and cancels the attempt's own context. The attempt may be nil.
func (attempt *attempt) discard() {
	if attempt == nil {
		return
	}
	attempt.share.release()
	if attempt.exchange != nil {
		attempt.exchange.Close()
		attempt.exchange = nil
	}
	if attempt.cancel != nil {
		attempt.cancel()
	}
}
