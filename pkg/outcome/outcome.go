// Package outcome names the ways in which a request can end, and the HTTP headers that tell a caller which one it was.
//
// The set is closed: every request that reaches an instance ends as exactly one of Answered, NotRun and Unknown.
//
// # Usage
//
//	result, reason := outcome.FromHeader(response.Header)
//	if result == outcome.NotRun {
//		// It truly did not run: asking again, even for a payment, cannot run it twice.
//	}
package outcome

import (
	"net/http"
	"strings"
)

// Outcome is one of the ways in which a request ends.
type Outcome string

// The closed set of outcomes.
const (
	// Answered means that a backend server's whole answer was passed on, whatever its status.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request left for a backend server, or that the server itself refused it before
	// running it.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run. It is never sent again by jaywheel.
	Unknown Outcome = "unknown"
)

// All lists every outcome in a fixed order.
var All = []Outcome{Answered, NotRun, Unknown}

// Reason tells why a request ended as it did. It is a counter's name, so it never holds anything a caller sent.
type Reason string

// The reasons that jaywheel gives.
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
)

// Headers between callers, instances and backend servers.
const (
	HeaderOutcome   = "Jaywheel-Outcome"
	HeaderReason    = "Jaywheel-Reason"
	HeaderRequestID = "Jaywheel-Request-Id"
	// HeaderTimeout is the time left for the request, in whole milliseconds, counted from when its sender wrote it. It
	// is relative so that clocks need not agree.
	HeaderTimeout = "Jaywheel-Timeout-Ms"
	// HeaderAttempt counts how often the request has been sent before, 0 for the first time.
	HeaderAttempt = "Jaywheel-Attempt"
	// HeaderPrefix starts every header above; none of them is passed on from a backend server to a caller.
	HeaderPrefix = "Jaywheel-"
)

// FromHeader reads the outcome of an answer. An answer without one did not come whole from an instance and counts as
// Unknown.
func FromHeader(header http.Header) (Outcome, Reason) {
	reason := Reason(header.Get(HeaderReason))
	switch found := Outcome(header.Get(HeaderOutcome)); found {
	case Answered, NotRun, Unknown:
		return found, reason
	default:
		return Unknown, reason
	}
}

// IsOwnHeader reports whether the canonical header name belongs to jaywheel.
func IsOwnHeader(name string) bool {
	return strings.HasPrefix(name, HeaderPrefix)
}
