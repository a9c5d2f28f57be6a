package caller

import (
	"math/rand/v2"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

const (
	// waitsPerRequest is how often a request waits for the processor until its response is written: it is read, passed to the goroutine
	// that writes to a backend server, and the response takes the same way back.
	waitsPerRequest = 4
	// minOverloadRetryAfter is the minimum Retry-After time of an instance that lacks processor time or connections. Others begin to
	// serve within a second or two.
	minOverloadRetryAfter = 200 * clock.Millisecond
)

var (
	errOverloaded  = errors.New("the instance has no processor time to complete the request in time")
	errConnections = errors.New("too many connections of callers are open")
)

// checkConnections rejects a request on a connection beyond the limit, if no other connection has been closed meanwhile, and closes it.
func (call *call) checkConnections() *errorResponse {
	connection := call.position.connection
	if connection == nil || call.position.request != nil || !connection.exceedsLimit() {
		return nil
	}
	call.mustClose = true
	connection.connections.countRefused(EventConnectionsRefused)
	errorResponse := newRejection(http.StatusServiceUnavailable, outcome.ReasonConnections, errConnections)
	errorResponse.retryAfter = minOverloadRetryAfter * clock.Milliseconds(1+rand.Float64()/2)
	return errorResponse
}

// checkOverload rejects a request that cannot be answered in time because work waits for the processor. It shortens the deadline of
// other requests by the time for which they have probably waited unread.
func (call *call) checkOverload() *errorResponse {
	if call.handler.options.Lateness == nil {
		return nil
	}
	lateness := call.handler.options.Lateness()
	if lateness <= 0 {
		return nil
	}
	call.deadline = call.deadline.Add(-lateness)
	call.softDeadline = min(call.softDeadline, call.deadline)
	if call.deadline > call.now().Add(waitsPerRequest*lateness) {
		return nil
	}
	errorResponse := newRejection(http.StatusServiceUnavailable, outcome.ReasonOverloaded, errOverloaded)
	errorResponse.retryAfter = max(lateness, minOverloadRetryAfter) * clock.Milliseconds(1+rand.Float64()/2)
	return errorResponse
}
