package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// errDraining is the cause with which requests that are still in flight at the end of the drain are cancelled.
var errDraining = errors.New("instance is shutting down and the request cannot end in time")

// drainRetryAfter is the retry delay for a request that has not run because the instance is draining. Other instances serve
// meanwhile.
const drainRetryAfter = 20 * clock.Millisecond

// drain holds the time limits of requests while the instance is draining.
type drain struct {
	// Until acceptUntil, every request is accepted, with its deadline shortened to respondBy. After that, only requests whose
	// own deadline is not later than respondBy are accepted.
	acceptUntil, respondBy clock.Moment
}

// Drain ends every request within respondWithin. Requests that arrive after acceptFor are rejected unless their deadline falls
// within respondWithin. Responses carry Connection: close from then on. Later calls have no effect.
func (handler *Handler) Drain(acceptFor, respondWithin clock.Milliseconds) {
	now := handler.options.Clock.Now()
	if !handler.drain.CompareAndSwap(nil, &drain{acceptUntil: now.Add(acceptFor), respondBy: now.Add(respondWithin)}) {
		return
	}
	time.AfterFunc(respondWithin.Duration(), handler.options.Guard.Func("drain", func() { handler.cancelAll(errDraining) }))
}

// draining reports whether Drain has been called.
func (handler *Handler) draining() bool {
	return handler.drain.Load() != nil
}

// endedByDrain reports whether the request was cancelled because the instance is draining.
func endedByDrain(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDraining)
}

// applyDrainDeadline shortens the request's deadline to the end of the drain, or rejects the request.
func (call *call) applyDrainDeadline() *errorResponse {
	drain := call.handler.drain.Load()
	if drain == nil || call.deadline <= drain.respondBy {
		return nil
	}
	if call.started >= drain.acceptUntil {
		return newDrainRejection()
	}
	call.deadline = drain.respondBy
	return nil
}

// newDrainRejection returns the error response for a request that has not run because the instance is draining.
func newDrainRejection() *errorResponse {
	errorResponse := newRejection(http.StatusServiceUnavailable, outcome.ReasonLeaving, errDraining)
	errorResponse.retryAfter = drainRetryAfter
	return errorResponse
}
