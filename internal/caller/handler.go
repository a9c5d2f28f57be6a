package caller

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// AddressesPath is the path that lists the instances that a caller may use.
const AddressesPath = settings.ReservedPath + "v1/addresses"

// Options configures a Handler.
type Options struct {
	// Table returns the active routing table, or nil if there are no settings yet.
	Table func() *routing.Table
	// AwaitTable waits briefly for a routing table if there is none yet. It may be nil.
	AwaitTable func(context.Context) *routing.Table
	// Quota enforces the teams' rate limits; it may be nil.
	Quota *quota.Limiter
	// KeyFreshness returns how current the API keys and the routes of the active table are; nil means that they are current.
	KeyFreshness func() team.KeySetStatus
	// Servers are the connections to backend servers.
	Servers *backendserver.Servers
	// Registry counts events that belong to no class.
	Registry *metrics.Registry
	// Traces keeps the traces of recent requests.
	Traces *trace.Ring
	// Clock is the source of the current time.
	Clock *clock.Clock
	// Instance is this instance's name, which is added to Via.
	Instance settings.InstanceName
	// MaxBufferMemory is the memory for buffered request bodies, and that for buffered responses; 0, and more than 32 MiB, mean 32 MiB.
	MaxBufferMemory settings.Bytes
	// MaxStall bounds each read of a request's body and each write of a response.
	MaxStall clock.Milliseconds
	// Dialect defines headers and reserved paths; nil means NewDialect().
	Dialect *Dialect
	// Lateness returns how long work waits for the processor of this instance, 0 while it does not wait. It may be nil.
	Lateness func() clock.Milliseconds
	// OnRequestDone is called with the trace of each completed request. It must not block. It may be nil.
	OnRequestDone func(*trace.Request)
	// Relay forwards requests of services that this instance cannot reach through other instances; nil if none are relayed.
	Relay *Relay
	// OnStatement is called when a backend server's response has changed what is known of it. It must not block. It may be nil.
	OnStatement func(service.StatementChange)
	// Quarantine keeps requests from servers under which others have ended; nil if none are kept.
	Quarantine *quarantine.Quarantine
	// OnServerEnd is called with a backend server that ended while it had the given number of requests. It must not block. It may be nil.
	OnServerEnd func(name settings.TargetName, requests int)
	// Guard recovers panics of requests and of goroutines that work for them; nil lets them pass.
	Guard *supervisor.Guard
}

// Handler handles callers' requests.
type Handler struct {
	options  Options
	inFlight atomic.Int64
	// drain is nil until Drain is called.
	drain atomic.Pointer[drain]
	// baseContext is the parent context of all requests; cancelAll cancels it.
	baseContext context.Context
	cancelAll   context.CancelCauseFunc
	// bufferedBodies is the memory for request bodies longer than alwaysBufferedBytes, bufferedResponses that for responses.
	bufferedBodies, bufferedResponses bufferMemory
	endChecks                         endChecks
}

// NewHandler returns a Handler with the given options.
func NewHandler(options Options) *Handler {
	if options.Dialect == nil {
		options.Dialect = NewDialect()
	}
	handler := &Handler{options: options}
	handler.bufferedBodies.limit, handler.bufferedResponses.limit = maxBufferedBodyBytes, maxBufferedResponsesBytes
	if most := int64(options.MaxBufferMemory); most > 0 {
		handler.bufferedBodies.limit, handler.bufferedResponses.limit = min(most, maxBufferedBodyBytes), min(most, maxBufferedResponsesBytes)
	}
	handler.baseContext, handler.cancelAll = context.WithCancelCause(context.Background())
	return handler
}

// InFlight returns the number of requests in flight.
func (handler *Handler) InFlight() int64 {
	return handler.inFlight.Load()
}

// Events of callers' connections.
const (
	// EventUnfinished counts connections that were closed within a malformed or incomplete request.
	EventUnfinished = "caller.unfinished"
	// EventSentBytes counts the bytes written to callers.
	EventSentBytes = "caller.sentBytes"
	// EventPanic counts requests whose handling panicked unexpectedly.
	EventPanic = "caller.panic"
)

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
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
	if handler.options.Dialect.IsReservedPath(sentPath(request)) {
		call.responding = true
		handler.serveAddresses(writer, request)
		return
	}
	call.serve()
}

// newCall returns the call of a request, without what may panic. begin adds the rest.
func newCall(handler *Handler, writer http.ResponseWriter, request *http.Request) *call {
	return &call{handler: handler, writer: writer, request: request, controller: http.NewResponseController(writer)}
}

// begin determines what is known of the request before it is handled.
func (call *call) begin() {
	options := &call.handler.options
	call.started = options.Clock.Now()
	call.id = call.handler.requestID(call.request)
	call.position = positionOf(call.request)
	call.behind = call.position.behind()
	call.table = options.Table()
	if call.table == nil && options.AwaitTable != nil {
		call.table = options.AwaitTable(call.request.Context())
	}
}

// maxRequestIDLength is the length in bytes of the longest request ID accepted from a caller, since the ring of traces keeps the
// ID and explain shows it.
const maxRequestIDLength = 128

// requestID returns the caller's request ID, or a random one if there is none or it is too long.
func (handler *Handler) requestID(request *http.Request) trace.RequestID {
	value := request.Header.Get(handler.options.Dialect.RequestIDHeader)
	if value == "" || len(value) > maxRequestIDLength {
		return trace.RequestID(rand.Text())
	}
	return trace.RequestID(value)
}
