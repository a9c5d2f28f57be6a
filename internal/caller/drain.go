package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// errLeaving is the cause with which requests end when the time for leaving is nearly over.
var errDraining = errors.New("this instance leaves before the request could end")

// leavingComeBack is when a caller may return whose request has not run at an instance that leaves. Others serve meanwhile.
const drainRetryAfter = 20 * clock.Millisecond

// drain is what requests are held to while the instance leaves.
type drain struct {
	// takeUntil is when requests are no longer taken that may last until answerBy, when every one must be answered.
	acceptUntil, respondBy clock.Moment
}

// Drain has every request answered within the given time: those that arrive later than takeFor are refused unless all of their own time
// fits. Callers are told that their connections end.
func (handler *Handler) Drain(acceptFor, respondWithin clock.Milliseconds) {
	now := handler.options.Clock.Now()
	if !handler.drain.CompareAndSwap(nil, &drain{acceptUntil: now.Add(acceptFor), respondBy: now.Add(respondWithin)}) {
		return
	}
	time.AfterFunc(respondWithin.Duration(), func() { handler.cancelAll(errDraining) })
}

// draining reports whether the instance leaves.
func (handler *Handler) draining() bool {
	return handler.drain.Load() != nil
}

// leaves reports whether the request ended because the instance leaves.
func endedByDrain(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDraining)
}

// boundByDrain shortens the request's time to what is left of the time for leaving, or refuses it.
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

func newDrainRejection() *errorResponse {
	errorResponse := newRejection(http.StatusServiceUnavailable, outcome.ReasonLeaving, errDraining)
	errorResponse.retryAfter = drainRetryAfter
	return errorResponse
}
