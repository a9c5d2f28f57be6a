package caller

import (
	"net/http"
	"strconv"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Dialect is how callers, instances and backend servers write on HTTP what they tell each other. The zero value can't be
// used; NewDialect returns jaywheel's own.
type Dialect struct {
	// RequestIDHeader carries the request's id, both ways.
	RequestIDHeader string
	// TimeoutHeader carries the time that is left, in whole milliseconds.
	TimeoutHeader string
	// AttemptHeader counts how often the request was sent before; empty when nobody counts.
	AttemptHeader string
	// TargetHeader names the target for which a request is meant; empty when targets don't look.
	TargetHeader string
	// TeamHeader names the team whose key a request bears, to backend servers alone; empty when requests bear none.
	TeamHeader string
	// Own reports whether only jaywheel sets the header, so that neither side can speak in its name.
	Own func(name string) bool
	// Explains says that answers tell how the request ended, and that requests tell through whom they came.
	Explains bool
	// RetryAfter writes when a caller may come back.
	RetryAfter func(clock.Milliseconds) string
	// NotRun reports whether a backend server's answer says that it did not run the request.
	NotRun func(*http.Response, *settings.Service) bool
	// Check finds what shows that an answer does not belong to the request, or is not the backend server's own.
	Check func(trace.RequestID, *http.Response) error
	// Load reads what a backend server tells of its load along with an answer.
	Load func(http.Header) (service.LoadReading, bool)
	// BufferMost is the length in bytes up to which an answer is read whole before any of it is passed on, so that one
	// that breaks off can be fetched again instead. 0 passes every answer on as it arrives.
	BufferMost int64
	// ReplayBodyMost is the length in bytes up to which a request's body is read whole before a backend server is chosen, if that is
	// more than is read in any case.
	ReplayBodyMost int64
	// Reserved reports whether a path belongs to jaywheel itself.
	Reserved func(path string) bool
}

// NewDialect returns jaywheel's own dialect.
func NewDialect() *Dialect {
	return &Dialect{
		RequestIDHeader: outcome.HeaderRequestID,
		TimeoutHeader:   outcome.HeaderTimeout,
		AttemptHeader:   outcome.HeaderAttempt,
		Own:             outcome.IsOwnHeader,
		Explains:        true,
		RetryAfter:      func(length clock.Milliseconds) string { return strconv.Itoa(wholeSeconds(length)) },
		NotRun: func(response *http.Response, serviceSettings *settings.Service) bool {
			return response.Header.Get(serviceSettings.NotRunHeader) != ""
		},
		Check:    func(trace.RequestID, *http.Response) error { return nil },
		Load:     func(http.Header) (service.LoadReading, bool) { return service.LoadReading{}, false },
		Reserved: func(path string) bool { return path == AddressesPath },
	}
}
