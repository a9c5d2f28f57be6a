package caller

import (
	"context"
	"expvar"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// maxRelayAttempts is the maximum number of instances to which a request is relayed; a second one is tried if the first certainly did
// not send the request to a backend server.
const maxRelayAttempts = 2

// Names of the events of relayed requests.
const (
	EventRelaySent     = "relay.sent"
	EventRelayAnswered = "relay.answered"
	EventRelayNotRun   = "relay.notRun"
	EventRelayUnknown  = "relay.unknown"
	EventRelayReceived = "relay.received"
	EventRelayInvalid  = "relay.notUnderstood"
)

// errNotRelayed means that this instance cannot reach the service, and that no other instance could serve the request.
var errNotRelayed = errors.New("this instance cannot reach the service, and the instances that were asked did not send the request")

// relayRetryAfter is the retry delay for a request that could not be sent from here, nor through another instance.
const relayRetryAfter = 100 * clock.Millisecond

// Relay forwards requests of services that this instance cannot reach through other instances.
type Relay struct {
	Client *relay.Client
	// Unreachable reports whether this instance cannot reach the service, Doubtful whether it suspects so at least.
	Unreachable, Doubtful func(settings.ServiceName) bool
}

// relayState is what has been done to relay a request.
type relayState struct {
	// tried are the instances to which the request was relayed.
	tried []settings.InstanceName
	// ended means that the request is not relayed any more.
	ended bool
}

// mayRelay reports whether the request may be relayed. A request that was relayed to this instance is not relayed further.
func (call *call) mayRelay() bool {
	return call.handler.options.Relay != nil && call.relayed == nil && !call.relayState.ended && call.body.replayable() && strings.HasPrefix(call.request.URL.Path, "/")
}

// relaysRefused reports whether a request is relayed that got no permit of a backend server here.
func (call *call) relaysRefused(errorResponse *errorResponse) bool {
	switch errorResponse.reason {
	case outcome.ReasonNoTarget, outcome.ReasonQueueFull, outcome.ReasonQueueWait:
		return call.mayRelay() && call.handler.options.Relay.Doubtful(call.route.Service.Name)
	default:
		return false
	}
}

// relaysUnconnected reports whether a request is relayed for which no connection to a backend server could be opened.
func (call *call) relaysUnconnected(attempt *attempt) bool {
	return attempt.notRun && !attempt.connected && call.mayRelay() && call.handler.options.Relay.Doubtful(call.route.Service.Name)
}

// unreachable reports whether the request may be relayed and this instance cannot reach its service.
func (call *call) unreachable() bool {
	return call.mayRelay() && call.handler.options.Relay.Unreachable(call.route.Service.Name)
}

// relayFirst relays the request if this instance cannot reach the service, and reports whether that has ended the request. If no other
// instance could serve it, it is refused: attempts from here would only fail later.
func (call *call) relayFirst(ctx context.Context, failedAttempt *attempt) bool {
	if !call.unreachable() {
		return false
	}
	if call.relay(ctx, failedAttempt) {
		return true
	}
	if len(call.relayState.tried) == 0 || ctx.Err() != nil {
		return false
	}
	if failedAttempt != nil {
		call.forwardResponse(*failedAttempt)
		return true
	}
	errorResponse := errorResponse{
		status: http.StatusServiceUnavailable, outcome: call.outcomeSoFar(), reason: outcome.ReasonConnect, retryAfter: relayRetryAfter, cause: errNotRelayed,
	}
	if errorResponse.outcome == outcome.Unknown {
		errorResponse.status = http.StatusBadGateway
	}
	call.respondWithError(errorResponse)
	return true
}

// relay sends the request to a backend server through another instance, and reports whether that has ended the request.
// failedAttempt is an earlier attempt that was answered with a server error, or nil.
func (call *call) relay(ctx context.Context, failedAttempt *attempt) bool {
	left := min(call.maxAttempts()-call.attemptsSent(), maxLostServers-call.lostServers())
	for len(call.relayState.tried) < maxRelayAttempts && left > 0 && ctx.Err() == nil && call.body.replayable() {
		peer, found := call.handler.options.Relay.Client.Choose(call.route.Service.Name, call.relayState.tried)
		if !found {
			break
		}
		call.relayState.tried = append(call.relayState.tried, peer.Name)
		attempt := call.sendRelayed(ctx, peer, left)
		if attempt.answered() {
			failedAttempt.discard()
			call.forwardResponse(attempt)
			return true
		}
		if !attempt.notRun {
			call.relayState.ended = true
			if failedAttempt != nil {
				attempt.discard()
				call.forwardResponse(*failedAttempt)
				return true
			}
			call.respondWithFailure(ctx, &attempt)
			return true
		}
		attempt.discard()
	}
	call.relayState.ended = true
	return false
}

// attemptsSent returns the number of attempts so far that may have reached a backend server.
func (call *call) attemptsSent() int {
	sent := 0
	for _, attempt := range call.attempts {
		if attempt.Result != trace.ResultNotWritten && attempt.Relay == "" {
			sent++
		}
	}
	return sent
}

// sendRelayed relays the request to one instance and evaluates its response.
func (call *call) sendRelayed(ctx context.Context, peer relay.Peer, attempts int) attempt {
	events := &call.handler.options.Registry.Events
	events.Add(EventRelaySent, 1)
	call.sending = true
	hints := &hints{call: call}
	defer hints.stop()
	before := call.now()
	freshOnly := !call.route.Class.Settings.Idempotent
	exchange, err := call.handler.options.Relay.Client.Send(call.sendContext(hints.withHints(ctx)), peer, call.relayedRequest(peer, attempts), freshOnly)
	attempt := attempt{exchange: exchange, err: err, connected: !isConnectError(err), trace: trace.Attempt{Relay: peer.Name}}
	if err != nil {
		attempt.notRun = backendserver.IsErrNotWritten(err)
		attempt.trace.Error = err.Error()
		attempt.trace.Result = trace.ResultNoResponse
		if attempt.notRun {
			attempt.trace.Result = trace.ResultNotWritten
		}
	} else {
		call.evaluateRelayed(&attempt)
	}
	attempt.trace.Duration = call.now().Since(before)
	call.attemptTime += attempt.trace.Duration
	call.body.streamUsed = call.body.streamUsed || attempt.connected
	call.attempts = append(call.attempts, attempt.trace)
	call.sending = false
	countRelayed(events, &attempt)
	return attempt
}

func countRelayed(events *expvar.Map, attempt *attempt) {
	switch {
	case attempt.answered():
		events.Add(EventRelayAnswered, 1)
	case attempt.notRun:
		events.Add(EventRelayNotRun, 1)
	default:
		events.Add(EventRelayUnknown, 1)
	}
}

// evaluateRelayed evaluates the response of the instance to which the request was relayed.
func (call *call) evaluateRelayed(attempt *attempt) {
	response := attempt.exchange.Response
	result, reason := relay.ParseOutcome(response.Header)
	relay.RemoveHeaders(response.Header)
	attempt.trace.Status, attempt.trace.Reused = response.StatusCode, attempt.exchange.Reused
	if !call.handler.options.Dialect.belongsTo(call.id, response.Header) {
		attempt.err = errForeignResponse
		attempt.trace.Result, attempt.trace.Error = trace.ResultNoResponse, attempt.err.Error()
		return
	}
	switch result {
	case outcome.Answered:
		call.checkRelayedResponse(attempt)
	case outcome.NotRun:
		attempt.notRun = true
		attempt.trace.Result, attempt.trace.Error = trace.ResultNotRun, string(reason)
	case outcome.Unknown:
		attempt.err = errors.Newf("instance cannot tell whether the request has run: %s", reason)
		attempt.trace.Result, attempt.trace.Error = trace.ResultNoResponse, attempt.err.Error()
	}
}

// checkRelayedResponse checks and buffers the response of a backend server that another instance has relayed, as if it came from the
// server itself.
func (call *call) checkRelayedResponse(attempt *attempt) {
	dialect := call.handler.options.Dialect
	attempt.trace.Result = trace.ResultAnswered
	attempt.err = dialect.CheckResponse(attempt.exchange.Response)
	if attempt.err == nil && dialect.MaxBufferedResponseBytes > 0 {
		attempt.err = attempt.bufferBody(dialect.MaxBufferedResponseBytes, &call.handler.bufferedResponses)
	}
	if attempt.err != nil {
		attempt.trace.Result, attempt.trace.Error = trace.ResultNoResponse, attempt.err.Error()
	}
}

// relayedRequest builds the request to the instance.
func (call *call) relayedRequest(peer relay.Peer, attempts int) *http.Request {
	header := call.outgoingHeader()
	relay.Request{
		Origin: call.handler.options.Instance, Service: call.route.Service.Name, SoftTimeout: max(call.softDeadline.Since(call.now()), 0),
		Attempts: attempts, Counted: call.counted,
	}.SetHeader(header)
	if name := call.handler.options.Dialect.AttemptHeader; name != "" {
		header.Set(name, strconv.Itoa(call.attemptNumber()+call.attemptsSent()))
	}
	return call.outgoingRequest(call.outgoingURL(peer.Address, relay.Path), header)
}

// isRelayed reports whether an instance has relayed the request, by its path. Only the server for other instances asks.
func isRelayed(request *http.Request) bool {
	return strings.HasPrefix(sentPath(request), relay.Path+"/")
}

// serveRelayed handles a request that another instance has relayed to this one.
func (handler *Handler) serveRelayed(writer http.ResponseWriter, request *http.Request) {
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	call := newCall(handler, writer, request)
	defer func() {
		if value := recover(); value != nil {
			call.endPanicked(value)
		}
	}()
	if guarded, isGuarded := request.Context().Value(connectionKey{}).(*guardedConnection); isGuarded {
		guarded.beginRequest(request)
		defer guarded.endRequest()
	}
	events := &handler.options.Registry.Events
	relayed, err := relay.ParseRequest(request.Header)
	if err != nil {
		events.Add(EventRelayInvalid, 1)
		writer.Header().Set(handler.options.Dialect.RequestIDHeader, request.Header.Get(handler.options.Dialect.RequestIDHeader))
		relay.SetOutcome(writer.Header(), outcome.NotRun, outcome.ReasonBadRequest)
		call.responding = true
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	events.Add(EventRelayReceived, 1)
	original := *request.URL
	original.Path = strings.TrimPrefix(original.Path, relay.Path)
	original.RawPath = strings.TrimPrefix(original.RawPath, relay.Path)
	request.URL = &original
	call.relayed, call.counted = &relayed, relayed.Counted
	call.serve()
}

// findRoute returns the route of the request. One that is split between services leads to the service that the first instance has chosen,
// if the route still has it.
func (call *call) findRoute() (routing.Route, error) {
	request := call.request
	if call.relayed != nil {
		if route, found := call.table.RouteTo(request.Host, call.sentPath(), call.relayed.Service); found {
			return route, nil
		}
	}
	return call.table.Route(request.Host, request.Method, call.sentPath())
}
