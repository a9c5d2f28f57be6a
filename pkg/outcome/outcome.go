// Package outcome defines the outcomes of a request and the HTTP headers that report them to the caller.
//
// The set is closed: every request that reaches an instance ends with exactly one of Answered, NotRun and Unknown.
//
// # Usage
//
//	result, reason := outcome.FromHeader(response.Header)
//	if result == outcome.NotRun {
//		// The request did not run: a retry cannot run it twice, even if it is a payment.
//	}
package outcome

import (
	"net/http"
	"strings"
)

// Outcome is the result of a request with regard to whether it ran.
type Outcome string

// The closed set of outcomes.
const (
	// Answered means that the complete response of a backend server was forwarded, whatever its status.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request was sent to a backend server, or that the backend server rejected the
	// request before running it.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run. Jaywheel never retries it.
	Unknown Outcome = "unknown"
)

// All lists all outcomes in a fixed order.
var All = []Outcome{Answered, NotRun, Unknown}

// Reason is the cause of an outcome. It is used as the name of a counter, so it never contains data that a caller sent.
type Reason string

// The reasons that jaywheel reports.
const (
	ReasonServer           Reason = "server"
	ReasonBadRequest       Reason = "badRequest"
	ReasonNoService        Reason = "noService"
	ReasonNoTarget         Reason = "noTarget"
	ReasonQueueFull        Reason = "queueFull"
	ReasonQueueWait        Reason = "queueWait"
	ReasonDeadline         Reason = "deadline"
	ReasonCallerGone       Reason = "callerGone"
	ReasonBodyTooLarge     Reason = "bodyTooLarge"
	ReasonBodyUnreadable   Reason = "bodyUnreadable"
	ReasonConnect          Reason = "connect"
	ReasonServerRefused    Reason = "serverRefused"
	ReasonCutBeforeAnswer  Reason = "cutBeforeAnswer"
	ReasonCutWithinAnswer  Reason = "cutWithinAnswer"
	ReasonNoSettings       Reason = "noSettings"
	ReasonLeaving          Reason = "leaving"
	ReasonAmbiguousFraming Reason = "ambiguousFraming"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonTeamLimit        Reason = "teamLimit"
	ReasonOverloaded       Reason = "overloaded"
	ReasonConnections      Reason = "tooManyConnections"
	ReasonQuarantined      Reason = "quarantined"
	// ReasonInternal means that the instance failed to handle the request because of a fault of its own.
	ReasonInternal Reason = "internal"
)

// Headers between callers, instances and backend servers.
const (
	HeaderOutcome   = "Jaywheel-Outcome"
	HeaderReason    = "Jaywheel-Reason"
	HeaderRequestID = "Jaywheel-Request-Id"
	// HeaderTimeout is the remaining time of the request in whole milliseconds, counted from the moment at which its
	// sender wrote it. It is relative so that clocks need not be synchronized.
	HeaderTimeout = "Jaywheel-Timeout-Ms"
	// HeaderAttempt is the number of earlier attempts of the request, 0 for the first attempt.
	HeaderAttempt = "Jaywheel-Attempt"
	// HeaderPrefix is the prefix of all these headers. Headers with this prefix are never forwarded from a backend server
	// to a caller.
	HeaderPrefix = "Jaywheel-"
)

// FromHeader returns the outcome and reason of a response. A response without a valid outcome did not come complete from
// an instance, so its outcome is Unknown.
func FromHeader(header http.Header) (Outcome, Reason) {
	reason := Reason(header.Get(HeaderReason))
	switch found := Outcome(header.Get(HeaderOutcome)); found {
	case Answered, NotRun, Unknown:
		return found, reason
	default:
		return Unknown, reason
	}
}

// IsOwnHeader reports whether the header belongs to jaywheel. The name must be in canonical form.
func IsOwnHeader(name string) bool {
	return strings.HasPrefix(name, HeaderPrefix)
}
