package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// call is one request on its way through the instance. It belongs to the goroutine that serves it.
type call struct {
	handler    *Handler
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	table      *routing.Table
	route      routing.Route

	id       trace.RequestID
	started  clock.Moment
	deadline clock.Moment
	// aim is the moment until which an answer is worth most.
	softDeadline clock.Moment
	identity     identity
	body         body
	lastTarget   *service.Target
	attempts     []trace.Attempt
	queueTime    clock.Milliseconds
	attemptTime  clock.Milliseconds
	// place is the one held now; Target is nil when there is none.
	permit service.Place
	// mustClose says that the caller's connection ends with this request.
	mustClose bool
}

// ending is how a request ends without a backend server's answer.
type errorResponse struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	cause   error
	// retryAfter is when the caller may come back; 0 says nothing about it.
	retryAfter clock.Milliseconds
}

// noSettingsComeBack is when a caller may return to an instance that has no settings yet. One that has just started has them
// 30 ms after it listens, if anybody answers it; a caller who comes back within its time is served then.
const noSettingsRetryAfter = 150 * clock.Millisecond

// serve brings the request to its one end.
func (call *call) serve() {
	// A panic on the way, which the server catches, would otherwise leave a place taken for ever.
	defer call.release(service.Cancelled)
	if errorResponse := call.accept(); errorResponse != nil {
		defer call.setUnreadBodyDeadline()
		call.respondWithError(*errorResponse)
		return
	}
	ctx, cancel := context.WithTimeout(call.request.Context(), call.deadline.Since(call.now()).Duration())
	defer cancel()
	defer call.setUnreadBodyDeadline()
	defer call.body.finish(call.handler)
	if errorResponse := call.body.prepare(call); errorResponse != nil {
		call.respondWithError(*errorResponse)
		return
	}
	defer call.body.expireOnDone(ctx)()
	call.route.Service.Budget.Earn()
	call.forward(ctx)
}

// release gives back the place that is held, if one is.
func (call *call) release(result service.Result) {
	if call.permit.Target == nil {
		return
	}
	permit := call.permit
	call.permit = service.Place{}
	permit.Release(result)
}

func (call *call) now() clock.Moment {
	return call.handler.options.Clock.Now()
}

// accept checks the request and finds where it belongs.
func (call *call) accept() *errorResponse {
	if call.table == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: noSettingsRetryAfter}
	}
	mustClose, err := checkFraming(call.request)
	call.mustClose = mustClose
	if err != nil {
		return newRejection(http.StatusBadRequest, outcome.ReasonAmbiguousFraming, err)
	}
	if hasDotSegment(call.request.URL.Path) {
		return newRejection(http.StatusBadRequest, outcome.ReasonBadRequest, errDotSegment)
	}
	route, err := call.table.Route(call.request.Host, call.request.Method, call.request.URL.Path)
	switch {
	case errors.Is(err, routing.ErrNoService):
		return newRejection(http.StatusNotFound, outcome.ReasonNoService, err)
	case errors.Is(err, routing.ErrNotUnderstood):
		return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: clock.Second, cause: err}
	case err != nil:
		return newRejection(http.StatusMethodNotAllowed, outcome.ReasonNoService, err)
	}
	call.route = route
	if errorResponse := call.authenticate(); errorResponse != nil {
		return errorResponse
	}
	timeout, err := call.callerTimeout(route.Class.Settings.Timeout)
	if err != nil {
		return newRejection(http.StatusBadRequest, outcome.ReasonBadRequest, err)
	}
	call.deadline = call.started.Add(min(timeout, route.Class.Settings.Timeout))
	call.softDeadline = call.deadline
	if softTimeout := route.Class.Settings.Aim; softTimeout > 0 {
		call.softDeadline = min(route.Service.Aim(route.Class.Name, call.started, softTimeout, timeout), call.deadline)
	}
	if errorResponse := call.applyDrainDeadline(); errorResponse != nil {
		return errorResponse
	}
	return call.chargeQuota()
}

// refusal ends a request that was never sent anywhere.
func newRejection(status int, reason outcome.Reason, cause error) *errorResponse {
	return &errorResponse{status: status, outcome: outcome.NotRun, reason: reason, cause: cause}
}

var (
	errDotSegment = errors.New("the path has a segment that goes up or stays")
	errTimeout    = errors.New("the time left is no whole number of milliseconds above 0")
)

// hasDotSegment reports whether a backend server could read the path as another than the one by which the class was
// chosen: a payment would be taken for something that may run twice.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// timeLeft returns the time that the caller will wait: what it says, or else what its class allows.
func (call *call) callerTimeout(maxTimeout clock.Milliseconds) (clock.Milliseconds, error) {
	name := call.handler.options.Dialect.TimeoutHeader
	value := call.request.Header.Get(name)
	if value == "" {
		return maxTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, errors.Wrapf(errTimeout, "%s: %s", name, strconv.Quote(value))
	}
	return clock.Milliseconds(milliseconds), nil
}

// end tells the caller how the request ended, when no backend server's answer does.
func (call *call) respondWithError(errorResponse errorResponse) {
	if errorResponse.outcome == "" {
		errorResponse.outcome = outcome.NotRun
	}
	if errorResponse.outcome == outcome.NotRun {
		call.refundQuota()
	}
	header := call.writer.Header()
	// Unless the connection ends with it, the answer would be held back until the rest of the body has come.
	call.mustClose = call.mustClose || call.hasUnreadBody()
	call.setResponseHeaders(header, errorResponse.outcome, errorResponse.reason)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if errorResponse.retryAfter > 0 {
		header.Set("Retry-After", call.handler.options.Dialect.RetryAfter(errorResponse.retryAfter))
	}
	text := string(errorResponse.outcome) + ": " + string(errorResponse.reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	call.setWriteDeadline()
	call.writer.WriteHeader(errorResponse.status)
	if call.request.Method != http.MethodHead {
		// A caller that is gone can't be told.
		_, _ = call.writer.Write([]byte(text))
	}
	call.record(errorResponse.status, errorResponse.outcome, errorResponse.reason, errorResponse.cause)
}

// wholeSeconds rounds up, since Retry-After has no finer unit.
func ceilSeconds(duration clock.Milliseconds) int {
	return int((duration + clock.Second - 1) / clock.Second)
}

func (call *call) setResponseHeaders(header http.Header, result outcome.Outcome, reason outcome.Reason) {
	dialect := call.handler.options.Dialect
	if dialect.DiagnosticHeaders {
		header.Set(outcome.HeaderOutcome, string(result))
		header.Set(outcome.HeaderReason, string(reason))
	}
	header.Set(dialect.RequestIDHeader, string(call.id))
	if call.mustClose || call.handler.draining() {
		header.Set("Connection", "close")
	}
}

// armWrite gives the next write to the caller its time. A caller that stops reading would otherwise hold a place on a
// backend server for as long as it likes.
func (call *call) setWriteDeadline() {
	// Writers that know no deadline, as in tests, are left without one.
	_ = call.controller.SetWriteDeadline(time.Now().Add(call.handler.options.MaxStall.Duration()))
}

// disarmWrite ends the time that armWrite has given.
func (call *call) clearWriteDeadline() {
	_ = call.controller.SetWriteDeadline(time.Time{})
}

// record counts the request and keeps its story.
func (call *call) record(status int, result outcome.Outcome, reason outcome.Reason, cause error) {
	elapsed := call.now().Since(call.started)
	requestTrace := trace.Request{
		ID: call.id, Started: time.Now().Add(-elapsed.Duration()), Method: call.request.Method,
		Attempts: call.attempts, Outcome: result, Reason: reason, Status: status, Whole: elapsed,
	}
	if cause != nil {
		requestTrace.Error = cause.Error()
	}
	if call.table != nil {
		requestTrace.Tenant = call.table.Site.Tenant
	}
	if call.identity.team != nil {
		requestTrace.Tenant = string(call.identity.team.Name)
	}
	if call.route.Class == nil {
		call.handler.options.Registry.Events.Add("refused."+string(reason), 1)
		call.storeTrace(&requestTrace)
		return
	}
	requestTrace.Service = call.route.Service.Name
	requestTrace.Class = call.route.Class.Name
	requestTrace.Revision = call.route.Service.Settings.Revision
	requestTrace.Timeout = call.deadline.Since(call.started)
	call.storeTrace(&requestTrace)
	call.recordMetrics(elapsed, result, reason)
}

// tell keeps the request's story and hands it to whoever writes it down.
func (call *call) storeTrace(requestTrace *trace.Request) {
	call.handler.options.Traces.Add(*requestTrace)
	if onRequestDone := call.handler.options.OnRequestDone; onRequestDone != nil {
		onRequestDone(requestTrace)
	}
}

func (call *call) recordMetrics(elapsed clock.Milliseconds, result outcome.Outcome, reason outcome.Reason) {
	classMetrics := call.route.Class.Metrics
	classMetrics.Count(result, reason)
	classMetrics.Whole.Record(elapsed)
	if call.queueTime > 0 {
		classMetrics.Queued.Record(call.queueTime)
	}
}
