package caller

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Dialect defines the HTTP headers and reserved paths that callers, instances and backend servers use among themselves.
// The zero value is not usable; NewDialect returns jaywheel's own dialect.
type Dialect struct {
	// RequestIDHeader carries the request ID in requests and responses.
	RequestIDHeader string
	// EchoesRequestID is whether backend servers' responses carry the ID of their request. A response without it, or with another one,
	// does not belong to the request.
	EchoesRequestID bool
	// TimeoutHeader carries the remaining time in whole milliseconds.
	TimeoutHeader string
	// AttemptHeader carries the number of earlier attempts to send the request; empty if attempts are not counted.
	AttemptHeader string
	// TargetHeader carries the name of the target that the request is addressed to; empty if targets do not check it.
	TargetHeader string
	// TeamHeader carries the name of the team that owns the request's API key. It is sent to backend servers only; empty if
	// requests carry no API key.
	TeamHeader string
	// IsReservedHeader reports whether only jaywheel may set the header. Such headers are removed from callers' requests and
	// backend servers' responses, so that neither can forge them.
	IsReservedHeader func(name string) bool
	// DiagnosticHeaders adds the outcome and its reason to responses, Via to requests and responses, and X-Forwarded-For to
	// requests.
	DiagnosticHeaders bool
	// RetryAfter formats the value of the Retry-After header.
	RetryAfter func(clock.Milliseconds) string
	// NotRun reports whether a backend server's response states that the server did not run the request.
	NotRun func(*http.Response, *settings.Service) bool
	// CheckResponse returns an error if the response does not come from the backend server as it is.
	CheckResponse func(*http.Response) error
	// ParseLoad parses the load that a backend server reports in its response header; false if it reports none.
	ParseLoad func(http.Header) (service.LoadReading, bool)
	// ParseStatement parses what a backend server says of itself in a response.
	ParseStatement func(*http.Response) service.Statement
	// MaxBufferedResponseBytes is the length up to which a response is read completely before any of it is forwarded, so
	// that the request can be retried if the response is truncated. With 0, every response is forwarded as it arrives.
	MaxBufferedResponseBytes int64
	// MaxReplayBodyBytes is the length up to which a request's body is read completely before a backend server is chosen.
	// Values up to alwaysBufferedBytes have no effect: bodies of that length are always read first, unless
	// they are always streamed (unknown length, or the caller waits for "100 Continue").
	MaxReplayBodyBytes int64
	// IsReservedPath reports whether jaywheel serves the path itself.
	IsReservedPath func(path string) bool
}

// errForeignResponse means that a response belongs to another request, as a late copy of an earlier response on the connection does.
var errForeignResponse = errors.New("the response does not carry the request's id")

// belongsTo reports whether the header of a response, also of an informational one, may be that of the request with the ID. A head that
// was broken off within a line and goes on with that of another response has two IDs.
func (dialect *Dialect) belongsTo(id trace.RequestID, header http.Header) bool {
	carried := header.Values(dialect.RequestIDHeader)
	if len(carried) == 0 || len(carried) == 1 && carried[0] == "" {
		return !dialect.EchoesRequestID
	}
	return !slices.ContainsFunc(carried, func(value string) bool { return value != string(id) })
}

// checkResponse returns an error if the response does not belong to the request or does not come from the backend server. Nothing in
// such a response counts, not even that the request has not run.
func (dialect *Dialect) checkResponse(id trace.RequestID, response *http.Response) error {
	if !dialect.belongsTo(id, response.Header) {
		return errForeignResponse
	}
	return dialect.CheckResponse(response)
}

// NewDialect returns jaywheel's own dialect.
func NewDialect() *Dialect {
	return &Dialect{
		RequestIDHeader:   outcome.HeaderRequestID,
		TimeoutHeader:     outcome.HeaderTimeout,
		AttemptHeader:     outcome.HeaderAttempt,
		IsReservedHeader:  outcome.IsOwnHeader,
		DiagnosticHeaders: true,
		RetryAfter:        func(delay clock.Milliseconds) string { return strconv.Itoa(ceilSeconds(delay)) },
		NotRun: func(response *http.Response, serviceSettings *settings.Service) bool {
			return response.Header.Get(serviceSettings.NotRunHeader) != ""
		},
		CheckResponse:  func(*http.Response) error { return nil },
		ParseLoad:      func(http.Header) (service.LoadReading, bool) { return service.LoadReading{}, false },
		ParseStatement: func(*http.Response) service.Statement { return service.Statement{} },
		IsReservedPath: func(path string) bool { return path == AddressesPath },
	}
}
