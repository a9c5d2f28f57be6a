// Package relay is the protocol between instances for relayed requests. An instance that cannot reach the backend servers of a service
// sends a caller's request to another instance, which sends it to a server and returns the response. That instance never relays the
// request further.
//
// A relayed request is the caller's request with Path before its own path and with the headers of Request, which replace those that
// the caller may have sent. The response states in headers of its own whether a backend server sent it.
//
// # Usage
//
//	client := relay.NewClient(relay.Options{Clock: clock, Rand: random})
//	client.SetPeers(peers)
//	peer, found := client.Choose(service, nil)
//	request.SetHeader(outgoing.Header)
//	exchange, err := client.Send(ctx, peer, outgoing, freshOnly)
package relay

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Path precedes the path of the caller's request.
const Path = "/v1/relay"

// Headers of relayed requests and of their responses.
const (
	headerPrefix      = "Jaywheel-Relay-"
	headerOrigin      = headerPrefix + "Origin"
	headerService     = headerPrefix + "Service"
	headerSoftTimeout = headerPrefix + "Soft-Timeout-Ms"
	headerAttempts    = headerPrefix + "Attempts"
	headerCounted     = headerPrefix + "Counted"
	headerOutcome     = headerPrefix + "Outcome"
	headerReason      = headerPrefix + "Reason"
)

// ErrInvalidRequest means that the headers of a relayed request are missing or not understood.
var ErrInvalidRequest = errors.New("relayed request not understood")

// Request is what an instance adds to a caller's request.
type Request struct {
	// Origin is the instance that received the request from the caller.
	Origin settings.InstanceName
	// Service is the service that it chose for the request.
	Service settings.ServiceName
	// SoftTimeout is the time until which a response is worth most, at least 0.
	SoftTimeout clock.Milliseconds
	// Attempts is the number of backend servers to which the request may be sent.
	Attempts int
	// Counted is whether the origin has counted the request towards its retry budget.
	Counted bool
}

// SetHeader sets the headers of the request, in place of any that the caller has sent.
func (request Request) SetHeader(header http.Header) {
	RemoveHeaders(header)
	header.Set(headerOrigin, string(request.Origin))
	header.Set(headerService, string(request.Service))
	header.Set(headerSoftTimeout, strconv.FormatInt(int64(request.SoftTimeout), 10))
	header.Set(headerAttempts, strconv.Itoa(request.Attempts))
	header.Set(headerCounted, strconv.FormatBool(request.Counted))
}

// ParseRequest parses the headers of a relayed request. The error is ErrInvalidRequest.
func ParseRequest(header http.Header) (Request, error) {
	request := Request{Origin: settings.InstanceName(header.Get(headerOrigin)), Service: settings.ServiceName(header.Get(headerService))}
	softTimeout, softErr := strconv.ParseInt(header.Get(headerSoftTimeout), 10, 32)
	attempts, attemptsErr := strconv.Atoi(header.Get(headerAttempts))
	counted, countedErr := strconv.ParseBool(header.Get(headerCounted))
	if err := errors.Join(softErr, attemptsErr, countedErr); err != nil {
		return Request{}, errors.Wrapf(ErrInvalidRequest, "%v", err)
	}
	if request.Origin == "" || request.Service == "" || softTimeout < 0 || attempts < 1 {
		return Request{}, errors.Wrap(ErrInvalidRequest, "a value is missing or out of range")
	}
	request.SoftTimeout, request.Attempts, request.Counted = clock.Milliseconds(softTimeout), attempts, counted
	return request, nil
}

// SetOutcome states in the header of a response how the relayed request ended.
func SetOutcome(header http.Header, result outcome.Outcome, reason outcome.Reason) {
	header.Set(headerOutcome, string(result))
	header.Set(headerReason, string(reason))
}

// ParseOutcome returns how a relayed request ended, from the header of its response. A response without an outcome may come from any
// process that has the address by now, so the outcome is not known.
func ParseOutcome(header http.Header) (outcome.Outcome, outcome.Reason) {
	switch result := outcome.Outcome(header.Get(headerOutcome)); result {
	case outcome.Answered, outcome.NotRun, outcome.Unknown:
		return result, outcome.Reason(header.Get(headerReason))
	default:
		return outcome.Unknown, ""
	}
}

// RemoveHeaders removes the headers of relayed requests and responses. Neither callers nor backend servers may set them.
func RemoveHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}
