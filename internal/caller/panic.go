package caller

import (
	"net/http"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// panicRetryAfter is the retry delay for a request that has not run because its handling panicked.
const panicRetryAfter = 100 * clock.Millisecond

// endPanicked ends a request whose handling has panicked with the given value. Without a response, net/http would close the connection.
// If a part of the response may have been written, or there is no guard, the connection is aborted, so that the request does not look
// answered.
func (call *call) endPanicked(value any) {
	guard := call.handler.options.Guard
	if value == http.ErrAbortHandler { //nolint:errorlint // net/http panics with exactly this value.
		panic(value)
	}
	call.handler.options.Registry.Events.Add(EventPanic, 1)
	cause := guard.Record("request", value)
	if call.responding || guard == nil || guard.Run("response after a panic", func() { call.respondPanicked(cause) }) != nil {
		_ = guard.Run("abort after a panic", call.position.abort)
		panic(http.ErrAbortHandler)
	}
}

// respondPanicked responds to a request whose handling has panicked before anything was written. It promises that the request has not run
// only if no server can have begun it.
func (call *call) respondPanicked(cause error) {
	// The headers of a server's response must not be sent with another response.
	clear(call.writer.Header())
	defer call.setUnreadBodyDeadline()
	if call.mayHaveRun() {
		call.respondWithError(errorResponse{status: http.StatusBadGateway, outcome: outcome.Unknown, reason: outcome.ReasonInternal, cause: cause})
		return
	}
	call.respondWithError(errorResponse{
		status: http.StatusServiceUnavailable, outcome: outcome.NotRun, reason: outcome.ReasonInternal, retryAfter: panicRetryAfter, cause: cause,
	})
}

// mayHaveRun reports whether a server may have run the request, answered or not.
func (call *call) mayHaveRun() bool {
	for index := range call.attempts {
		switch call.attempts[index].Result {
		case trace.ResultNotWritten, trace.ResultNotRun:
		default:
			return true
		}
	}
	return call.sending
}

// endAttempt turns an attempt whose handling has panicked into one without a response, which may have run.
func (call *call) endAttempt(attempt *attempt, cause error) {
	guard := call.handler.options.Guard
	_ = guard.Run("end of an attempt", attempt.discard)
	attempt.exchange, attempt.buffered = nil, nil
	attempt.err, attempt.notRun, attempt.budgetExempt, attempt.connected = cause, false, false, true
	attempt.trace.Target, attempt.trace.DataCentre = attempt.permit.Target.Name, attempt.permit.Target.DataCentre
	attempt.trace.Result, attempt.trace.Error = trace.ResultNoResponse, cause.Error()
	_ = guard.Run("release of a permit", func() { attempt.release(service.Cancelled) })
}
