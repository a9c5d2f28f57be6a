package caller

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// AddressesPath is where an instance answers which instances to use.
const AddressesPath = settings.ReservedPath + "v1/addresses"

// Options are what a Handler is made from.
type Options struct {
	// Table returns the table in force, or nil before there are settings.
	Table func() *routing.Table
	// AwaitTable waits a moment for a table when there is none yet. It may be nil.
	AwaitTable func(context.Context) *routing.Table
	// Quota holds teams to their rate limits; it may be nil.
	Quota *quota.Ledger
	// Keys tells what the API keys of the table in force are worth; nil means that they are current.
	Keys func() team.KeySetStatus
	// Servers are the connections to backend servers.
	Servers *backendserver.Servers
	// Registry counts what belongs to no class.
	Registry *metrics.Registry
	// Traces keeps the story of each request.
	Traces *trace.Ring
	// Clock tells the time.
	Clock *clock.Clock
	// Instance is this instance's name; it is written into Via.
	Instance settings.InstanceName
	// StallMost is the longest pause within a body.
	StallMost clock.Milliseconds
	// Dialect is how HTTP is spoken; nil means jaywheel's own.
	Dialect *Dialect
	// Decided takes the story of each request as it ends; it must not block. It may be nil.
	Decided func(*trace.Request)
}

// Handler takes callers' requests.
type Handler struct {
	options  Options
	inFlight atomic.Int64
	// drain is nil until the instance leaves.
	drain atomic.Pointer[drain]
	// running is the context of all requests; endAll ends it.
	running context.Context
	endAll  context.CancelCauseFunc
	// heldBodies is the number of bytes of larger bodies that are held.
	heldBodies atomic.Int64
}

// NewHandler returns a handler.
func NewHandler(options Options) *Handler {
	if options.Dialect == nil {
		options.Dialect = NewDialect()
	}
	handler := &Handler{options: options}
	handler.running, handler.endAll = context.WithCancelCause(context.Background())
	return handler
}

// InFlight returns the number of requests under way.
func (handler *Handler) InFlight() int64 {
	return handler.inFlight.Load()
}

// Events of callers' connections.
const (
	// EventUnfinished counts connections that ended within a request that made no sense or was never whole.
	EventUnfinished = "caller.unfinished"
	// EventPanic counts requests whose handling went wrong in a way that nobody foresaw.
	EventPanic = "caller.panic"
)

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	defer handler.countPanic()
	if guarded, isGuarded := request.Context().Value(connectionKey{}).(*guardedConnection); isGuarded {
		guarded.begin(request)
		defer guarded.finish()
	}
	if handler.options.Dialect.Reserved(request.URL.Path) {
		handler.serveAddresses(writer, request)
		return
	}
	call := handler.newCall(writer, request)
	call.serve()
}

// countPanic turns an unforeseen panic into one that breaks the caller's connection, so that the request does not end as
// if it had been answered, and counts it.
func (handler *Handler) countPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler { //nolint:errorlint // The library panics with this very value.
		handler.options.Registry.Events.Add(EventPanic, 1)
	}
	panic(http.ErrAbortHandler)
}

func (handler *Handler) newCall(writer http.ResponseWriter, request *http.Request) *call {
	call := &call{
		handler: handler,
		writer:  writer,
		request: request,
		control: http.NewResponseController(writer),
		started: handler.options.Clock.Now(),
		id:      handler.requestID(request),
		table:   handler.options.Table(),
	}
	if call.table == nil && handler.options.AwaitTable != nil {
		call.table = handler.options.AwaitTable(request.Context())
	}
	return call
}

// mostRequestID is the longest id that is taken over from a caller; explain shows it and the ring keeps it.
const mostRequestID = 128

// requestID returns the caller's id, or a random one when there is none fit to keep.
func (handler *Handler) requestID(request *http.Request) trace.RequestID {
	given := request.Header.Get(handler.options.Dialect.RequestIDHeader)
	if given == "" || len(given) > mostRequestID {
		return trace.RequestID(rand.Text())
	}
	return trace.RequestID(given)
}
