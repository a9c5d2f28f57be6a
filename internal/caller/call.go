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
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	table   *routing.Table
	route   routing.Route

	id       trace.RequestID
	started  clock.Moment
	deadline clock.Moment
	// aim is the moment until which an answer is worth most.
	aim      clock.Moment
	identity identity
	body     body
	tried    *service.Target
	attempts []trace.Attempt
	queued   clock.Milliseconds
	sending  clock.Milliseconds
	// place is the one held now; Target is nil when there is none.
	place service.Permit
	// mustClose says that the caller's connection ends with this request.
	mustClose bool
}

// ending is how a request ends without a backend server's answer.
type ending struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	cause   error
	// retryAfter is when the caller may come back; 0 says nothing about it.
	retryAfter clock.Milliseconds
}

// noSettingsComeBack is when a caller may return to an instance that has no settings yet. One that has just started has them
// 30 ms after it listens, if anybody answers it; a caller who comes back within its time is served then.
const noSettingsComeBack = 150 * clock.Millisecond

// serve brings the request to its one end.
func (call *call) serve() {
	// A panic on the way, which the server catches, would otherwise leave a place taken for ever.
	defer call.release(service.Cancelled)
	if problem := call.accept(); problem != nil {
		defer call.armRest()
		call.end(*problem)
		return
	}
	ctx, cancel := context.WithTimeout(call.request.Context(), call.deadline.Since(call.now()).Duration())
	defer cancel()
	defer call.armRest()
	defer call.body.finish(call.handler)
	if problem := call.body.prepare(call); problem != nil {
		call.end(*problem)
		return
	}
	defer call.body.watch(ctx)()
	call.route.Service.Budget.Deposit()
	call.forward(ctx)
}

// release gives back the place that is held, if one is.
func (call *call) release(result service.Result) {
	if call.place.Target == nil {
		return
	}
	place := call.place
	call.place = service.Permit{}
	place.Release(result)
}

func (call *call) now() clock.Moment {
	return call.handler.options.Clock.Now()
}

// accept checks the request and finds where it belongs.
func (call *call) accept() *ending {
	if call.table == nil {
		return &ending{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: noSettingsComeBack}
	}
	mustClose, err := checkFraming(call.request)
	call.mustClose = mustClose
	if err != nil {
		return refusal(http.StatusBadRequest, outcome.ReasonAmbiguousFraming, err)
	}
	if hasDotSegment(call.request.URL.Path) {
		return refusal(http.StatusBadRequest, outcome.ReasonBadRequest, errDotSegment)
	}
	route, err := call.table.Route(call.request.Host, call.request.Method, call.request.URL.Path)
	switch {
	case errors.Is(err, routing.ErrNoService):
		return refusal(http.StatusNotFound, outcome.ReasonNoService, err)
	case errors.Is(err, routing.ErrUnresolvedRoute):
		return &ending{status: http.StatusServiceUnavailable, reason: outcome.ReasonNoSettings, retryAfter: clock.Second, cause: err}
	case err != nil:
		return refusal(http.StatusMethodNotAllowed, outcome.ReasonNoService, err)
	}
	call.route = route
	if problem := call.identify(); problem != nil {
		return problem
	}
	given, err := call.timeLeft(route.Class.Settings.Timeout)
	if err != nil {
		return refusal(http.StatusBadRequest, outcome.ReasonBadRequest, err)
	}
	call.deadline = call.started.Add(min(given, route.Class.Settings.Timeout))
	call.aim = call.deadline
	if aim := route.Class.Settings.Aim; aim > 0 {
		call.aim = min(route.Service.SoftDeadline(route.Class.Name, call.started, aim, given), call.deadline)
	}
	if problem := call.boundByDrain(); problem != nil {
		return problem
	}
	return call.takeQuota()
}

// refusal ends a request that was never sent anywhere.
func refusal(status int, reason outcome.Reason, cause error) *ending {
	return &ending{status: status, outcome: outcome.NotRun, reason: reason, cause: cause}
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
func (call *call) timeLeft(most clock.Milliseconds) (clock.Milliseconds, error) {
	name := call.handler.options.Dialect.TimeoutHeader
	given := call.request.Header.Get(name)
	if given == "" {
		return most, nil
	}
	milliseconds, err := strconv.ParseInt(given, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, errors.Wrapf(errTimeout, "%s: %s", name, strconv.Quote(given))
	}
	return clock.Milliseconds(milliseconds), nil
}

// end tells the caller how the request ended, when no backend server's answer does.
func (call *call) end(ending ending) {
	if ending.outcome == "" {
		ending.outcome = outcome.NotRun
	}
	if ending.outcome == outcome.NotRun {
		call.returnQuota()
	}
	header := call.writer.Header()
	// Unless the connection ends with it, the answer would be held back until the rest of the body has come.
	call.mustClose = call.mustClose || call.bodyUnread()
	call.setOwnHeaders(header, ending.outcome, ending.reason)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if ending.retryAfter > 0 {
		header.Set("Retry-After", call.handler.options.Dialect.RetryAfter(ending.retryAfter))
	}
	text := string(ending.outcome) + ": " + string(ending.reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	call.armWrite()
	call.writer.WriteHeader(ending.status)
	if call.request.Method != http.MethodHead {
		// A caller that is gone can't be told.
		_, _ = call.writer.Write([]byte(text))
	}
	call.record(ending.status, ending.outcome, ending.reason, ending.cause)
}

// wholeSeconds rounds up, since Retry-After has no finer unit.
func wholeSeconds(length clock.Milliseconds) int {
	return int((length + clock.Second - 1) / clock.Second)
}

func (call *call) setOwnHeaders(header http.Header, result outcome.Outcome, reason outcome.Reason) {
	dialect := call.handler.options.Dialect
	if dialect.Explains {
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
func (call *call) armWrite() {
	// Writers that know no deadline, as in tests, are left without one.
	_ = call.control.SetWriteDeadline(time.Now().Add(call.handler.options.StallMost.Duration()))
}

// disarmWrite ends the time that armWrite has given.
func (call *call) disarmWrite() {
	_ = call.control.SetWriteDeadline(time.Time{})
}

// record counts the request and keeps its story.
func (call *call) record(status int, result outcome.Outcome, reason outcome.Reason, cause error) {
	whole := call.now().Since(call.started)
	story := trace.Request{
		ID: call.id, Started: time.Now().Add(-whole.Duration()), Method: call.request.Method,
		Attempts: call.attempts, Outcome: result, Reason: reason, Status: status, Whole: whole,
	}
	if cause != nil {
		story.Error = cause.Error()
	}
	if call.table != nil {
		story.Tenant = call.table.Site.Tenant
	}
	if call.identity.team != nil {
		story.Tenant = string(call.identity.team.Name)
	}
	if call.route.Class == nil {
		call.handler.options.Registry.Events.Add("refused."+string(reason), 1)
		call.tell(&story)
		return
	}
	story.Service = call.route.Service.Name
	story.Class = call.route.Class.Name
	story.Revision = call.route.Service.Settings.Revision
	story.Timeout = call.deadline.Since(call.started)
	call.tell(&story)
	call.measure(whole, result, reason)
}

// tell keeps the request's story and hands it to whoever writes it down.
func (call *call) tell(story *trace.Request) {
	call.handler.options.Traces.Add(*story)
	if decided := call.handler.options.Decided; decided != nil {
		decided(story)
	}
}

func (call *call) measure(whole clock.Milliseconds, result outcome.Outcome, reason outcome.Reason) {
	measures := call.route.Class.Metrics
	measures.Count(result, reason)
	measures.Whole.Record(whole)
	if call.queued > 0 {
		measures.Queued.Record(call.queued)
	}
}
