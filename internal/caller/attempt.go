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
	place    service.Permit
	exchange *backendserver.Exchange
	// buffered is the answer's body, as far as it was read ahead.
	buffered []byte
	err      error
	// notRun says that the request truly did not run.
	notRun bool
	// free says that sending again costs the retry budget nothing: an idle connection had died unnoticed, which says
	// nothing about the server.
	free bool
	// reached says that a connection had the request.
	reached bool
	// cancel ends a context that belongs to this attempt alone; it may be nil.
	cancel context.CancelFunc
	story  trace.Attempt
}

// answered reports whether the attempt brought an answer that may be passed on.
func (attempt *attempt) answered() bool {
	return attempt.exchange != nil && attempt.err == nil && !attempt.notRun
}

// note keeps what an attempt tells of the request.
func (call *call) note(attempt *attempt) {
	call.tried = attempt.place.Target
	call.body.handedOver = call.body.handedOver || attempt.reached
	if attempt.exchange != nil {
		call.route.Class.Metrics.Attempt.Record(attempt.story.Took)
	}
	call.attempts = append(call.attempts, attempt.story)
}

// send sends the request to the backend server of a place, once, and judges what comes back. It leaves the call as it
// is, so that two may run at once. The place is given back unless there is an answer to pass on.
func (call *call) send(ctx context.Context, place service.Permit, request *http.Request) attempt {
	target := place.Target
	freshOnly := !call.route.Class.Settings.Idempotent
	before := call.now()
	exchange, err := call.handler.options.Servers.Send(ctx, target.Name, request, freshOnly)
	attempt := attempt{place: place, exchange: exchange, err: err, reached: !neverConnected(err)}
	attempt.story = trace.Attempt{
		Target: target.Name, DataCentre: target.DataCentre, Considered: place.Considered, Taken: place.InFlight, Waited: place.QueueTime,
		Slowdown: place.LoadReading.Slowdown, ReadingAge: max(place.ReadingAge(before), 0),
	}
	if err == nil {
		call.judgeAnswer(&attempt)
	}
	if attempt.err != nil {
		call.judgeError(ctx, &attempt)
	}
	attempt.story.Took = call.now().Since(before)
	return attempt
}

// neverConnected reports whether an attempt failed before any connection had the request.
func neverConnected(err error) bool {
	var failure *backendserver.Error
	return errors.As(err, &failure) && failure.Step == backendserver.StepConnect
}

// judgeError learns from a failed attempt, and gives the place back.
func (call *call) judgeError(ctx context.Context, attempt *attempt) {
	var failure *backendserver.Error
	reused := errors.As(attempt.err, &failure) && failure.Reused
	attempt.notRun = backendserver.IsErrNotWritten(attempt.err)
	attempt.free = attempt.notRun && reused
	attempt.story.Reused = reused
	attempt.story.Error = attempt.err.Error()
	attempt.story.Result = trace.ResultCut
	if attempt.notRun {
		attempt.story.Result = trace.ResultNotWritten
	}
	attempt.place.Release(call.blame(ctx, attempt))
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

// judgeAnswer learns from an answer's header, and reads the body ahead where the dialect asks for it. The place is given
// back when the answer has been passed on, or at once when the server refused.
func (call *call) judgeAnswer(attempt *attempt) {
	response := attempt.exchange.Response
	dialect := call.handler.options.Dialect
	attempt.story.Reused = attempt.exchange.Reused
	attempt.story.Status = response.StatusCode
	attempt.story.Result = trace.ResultAnswered
	if reading, told := dialect.Load(response.Header); told {
		reading.At = call.now()
		attempt.place.Observe(reading)
	}
	if attempt.err = dialect.Check(call.id, response); attempt.err != nil {
		attempt.discard()
		return
	}
	if dialect.BufferMost > 0 {
		if attempt.err = attempt.readAhead(dialect.BufferMost); attempt.err != nil {
			attempt.discard()
			return
		}
	}
	if dialect.NotRun(response, call.route.Service.Settings) {
		attempt.story.Result = trace.ResultNotRun
		attempt.notRun = true
		attempt.place.Release(service.Failed)
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
