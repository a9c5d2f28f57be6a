package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/headmemory"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// call is the state of one request while the instance handles it. It is owned by the goroutine that serves the request.
type call struct {
	handler    *Handler
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	table      *routing.Table
	route      routing.Route

	id trace.RequestID
	// position is the request's place among those of its connection, and behind the number of earlier ones in progress when it arrived.
	position position
	behind   int
	started  clock.Moment
	deadline clock.Moment
	// softDeadline is the time until which a response is worth most; it is never later than deadline.
	softDeadline clock.Moment
	identity     identity
	body         body
	lastTarget   *service.Target
	attempts     []trace.Attempt
	queueTime    clock.Milliseconds
	attemptTime  clock.Milliseconds
	// permit is the permit held now; its Target is nil if none is held.
	permit service.Permit
	// relayed is what the instance that received the request from the caller has added to it, nil if this is that instance.
	relayed *relay.Request
	// relayState is what has been done to relay the request from here.
	relayState relayState
	// requestDigest is computed when it is first needed, by any attempt.
	requestDigest quarantine.Digest
	digestOnce    sync.Once
	// endChecks are the checks of servers that did not answer.
	endChecks []*endCheck
	// headMemory is what the request's head takes if it came over HTTP/2, nil for others.
	headMemory *headmemory.Share
	// counted means that the request has been counted towards the retry budget.
	counted bool
	// retryDenied means that the retry budget did not allow another attempt.
	retryDenied bool
	// sending means that an attempt is in progress whose result is not among attempts, and responding that a part of the response may have
	// been written.
	sending, responding bool
	// mustClose means that the caller's connection is closed after this request.
	mustClose bool
}

// errorResponse is the instance's own response to a request that no backend server answered.
type errorResponse struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	cause   error
	// retryAfter is the time after which the caller may retry; 0 omits the Retry-After header.
	retryAfter clock.Milliseconds
}

// noSettingsRetryAfter is the retry delay given by an instance that has no settings yet. A newly started instance has its
// settings 30 ms after it starts to listen, provided that its requests for them are answered, so a caller that retries
// within its timeout is served.
const noSettingsRetryAfter = 150 * clock.Millisecond

// serve handles the request and ends it exactly once, with a backend server's response or an error response.
func (call *call) serve() {
	// Without this, a panic, which the HTTP server recovers from, would leak the permit.
	defer call.release(service.Cancelled)
	defer call.releaseHead()
	call.begin()
	if errorResponse := call.accept(); errorResponse != nil {
		defer call.setUnreadBodyDeadline()
		call.respondWithError(*errorResponse)
		return
	}
	ctx, cancel := context.WithTimeout(call.request.Context(), call.deadline.Since(call.now()).Duration())
	defer cancel()
	defer call.setUnreadBodyDeadline()
	defer call.body.finish()
	if errorResponse := call.body.prepare(call); errorResponse != nil {
		call.respondWithError(*errorResponse)
		return
	}
	defer call.body.expireOnDone(ctx)()
	if errorResponse := call.checkQuarantine(); errorResponse != nil {
		call.respondWithError(*errorResponse)
		return
	}
	call.forward(ctx)
}

// release releases the permit held, if any.
func (call *call) release(result service.Result) {
	if call.permit.Target == nil {
		return
	}
	permit := call.permit
	call.permit = service.Permit{}
	permit.Release(result)
}

func (call *call) now() clock.Moment {
	return call.handler.options.Clock.Now()
}

// accept validates, routes and authenticates the request, sets its deadlines and charges it to its team's rate limit.
func (call *call) accept() *errorResponse {
	if errorResponse := call.checkConnections(); errorResponse != nil {
		return errorResponse
	}
	if errorResponse := call.reserveMultiplexedHead(); errorResponse != nil {
		return errorResponse
	}
	if call.table == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: noSettingsRetryAfter}
	}
	mustClose, err := checkFraming(call.request)
	call.mustClose = mustClose
	if err != nil {
		return newRejection(http.StatusBadRequest, outcome.ReasonAmbiguousFraming, err)
	}
	if err := call.checkPath(); err != nil {
		return newRejection(http.StatusBadRequest, outcome.ReasonBadRequest, err)
	}
	route, err := call.findRoute()
	if err != nil {
		return call.rejectRoute(err)
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
	if softTimeout := route.Class.Settings.SoftTimeout; softTimeout > 0 {
		call.softDeadline = min(call.softDeadlineOf(softTimeout, timeout), call.deadline)
	}
	if errorResponse := call.awaitTurn(); errorResponse != nil {
		return errorResponse
	}
	if errorResponse := call.checkOverload(); errorResponse != nil {
		return errorResponse
	}
	if errorResponse := call.applyDrainDeadline(); errorResponse != nil {
		return errorResponse
	}
	return call.chargeQuota()
}

// rejectRoute returns the error response for a request without a route. While a newer configuration may exist, it may have the route.
func (call *call) rejectRoute(err error) *errorResponse {
	switch {
	case errors.Is(err, routing.ErrNoService) && call.keyFreshness() != team.KeysCurrent:
		return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: unconfirmedRetryAfter, cause: errUnconfirmedRoute}
	case errors.Is(err, routing.ErrNoService):
		return newRejection(http.StatusNotFound, outcome.ReasonNoService, err)
	case errors.Is(err, routing.ErrUnresolvedRoute):
		return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: clock.Second, cause: err}
	default:
		return newRejection(http.StatusMethodNotAllowed, outcome.ReasonNoService, err)
	}
}

// awaitTurn lets a request that must not run twice wait until all earlier ones of its connection have been answered. If one of their
// responses closed the connection, the request would count as not read, and the caller would send it again.
func (call *call) awaitTurn() *errorResponse {
	if call.route.Class.Settings.Idempotent || call.position.request == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(call.request.Context(), call.deadline.Since(call.now()).Duration())
	defer cancel()
	if call.position.awaitTurn(ctx) {
		return nil
	}
	reason := outcome.ReasonDeadline
	if call.request.Context().Err() != nil {
		reason = outcome.ReasonCallerGone
	}
	return newRejection(http.StatusServiceUnavailable, reason, errTurn)
}

// softDeadlineOf returns the time until which a response has its full value.
func (call *call) softDeadlineOf(softTimeout, timeout clock.Milliseconds) clock.Moment {
	if call.relayed != nil {
		return call.started.Add(call.relayed.SoftTimeout)
	}
	return call.route.Service.SoftDeadline(call.route.Class.Name, call.started, softTimeout, timeout)
}

// newRejection returns the error response for a request that was not sent to any backend server.
func newRejection(status int, reason outcome.Reason, cause error) *errorResponse {
	return &errorResponse{status: status, outcome: outcome.NotRun, reason: reason, cause: cause}
}

var (
	errDotSegment = errors.New("path contains a \".\" or \"..\" segment")
	errTurn       = errors.New("earlier requests of the connection were not answered in time")
	errTimeout    = errors.New("timeout is not a positive whole number of milliseconds")
)

// hasDotSegment reports whether the path has a "." or ".." segment. A backend server might resolve it to another path than
// the one that determined the class, so that a payment would be treated as idempotent and might run twice.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// maxQuotedLength is the length in bytes of the longest part of a request that an error message quotes, since the ring of traces keeps it.
const maxQuotedLength = 64

// callerTimeout returns the timeout that the request states, or defaultTimeout if it states none.
func (call *call) callerTimeout(defaultTimeout clock.Milliseconds) (clock.Milliseconds, error) {
	name := call.handler.options.Dialect.TimeoutHeader
	value := call.request.Header.Get(name)
	if value == "" {
		return defaultTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, errors.Wrapf(errTimeout, "%s: %s", name, strconv.Quote(value[:min(len(value), maxQuotedLength)]))
	}
	return clock.Milliseconds(milliseconds), nil
}

// respondWithError sends an error response to the caller. An empty outcome stands for NotRun.
func (call *call) respondWithError(errorResponse errorResponse) {
	if errorResponse.outcome == "" {
		errorResponse.outcome = outcome.NotRun
	}
	if errorResponse.outcome == outcome.NotRun {
		call.refundQuota()
	}
	header := call.writer.Header()
	// If the connection stayed open, net/http would hold the response back until the rest of the body has arrived.
	call.mustClose = call.mustClose || call.hasUnreadBody()
	call.setResponseHeaders(header, errorResponse.outcome, errorResponse.reason)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if errorResponse.retryAfter > 0 {
		header.Set("Retry-After", call.handler.options.Dialect.RetryAfter(errorResponse.retryAfter))
	}
	text := string(errorResponse.outcome) + ": " + string(errorResponse.reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	call.setWriteDeadline()
	call.responding = true
	call.writer.WriteHeader(errorResponse.status)
	if call.request.Method != http.MethodHead {
		// An error is ignored: the caller has disconnected or does not read.
		_, _ = call.writer.Write([]byte(text))
	}
	call.record(errorResponse.status, errorResponse.outcome, errorResponse.reason, errorResponse.cause)
}

// ceilSeconds rounds up to whole seconds, the unit of Retry-After.
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
	relay.RemoveHeaders(header)
	if call.relayed != nil {
		relay.SetOutcome(header, result, reason)
	}
	if (call.mustClose || call.handler.draining()) && call.position.endConnection() {
		header.Set("Connection", "close")
	}
}

// setWriteDeadline limits the next write to the caller to MaxStall. A caller that stops reading would otherwise hold a
// permit of a backend server indefinitely.
func (call *call) setWriteDeadline() {
	// Writers that do not support deadlines, as in tests, are left without one.
	_ = call.controller.SetWriteDeadline(time.Now().Add(call.handler.options.MaxStall.Duration()))
}

// clearWriteDeadline removes the deadline that setWriteDeadline has set.
func (call *call) clearWriteDeadline() {
	_ = call.controller.SetWriteDeadline(time.Time{})
}
