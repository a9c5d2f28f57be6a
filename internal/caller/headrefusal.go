package caller

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// EventHeadRefused counts the requests that were refused before their heads were complete, because the heads of all requests together take
// as much memory as they may.
const EventHeadRefused = "caller.headsRefused"

// headRetryAfter is the retry delay of such a refusal. The heads of requests that are being served are held for a fraction of it.
const headRetryAfter = 500 * clock.Millisecond

var errHeadMemory = errors.New("the heads of requests take as much memory as they may")

var lineFeed = []byte("\n")

// markUnhandled records that bytes of a request have been read that is not being handled.
func (guardedConnection *guardedConnection) markUnhandled() {
	if !guardedConnection.unhandledBytes.Swap(true) {
		guardedConnection.headSince.Store(time.Now().UnixNano())
	}
}

// reserveHead counts what has been read of the current request's head. It reports false if that takes more memory than is left.
func (guardedConnection *guardedConnection) reserveHead() bool {
	guard := &guardedConnection.guard
	if guardedConnection.multiplexed.Load() {
		return true
	}
	if guard.desynchronized && !guardedConnection.handled.Load() {
		guard.countUninspected()
	}
	return guardedConnection.headMemory.ReserveHead(guard.headBytes, guard.headLines)
}

// refuseHead answers the request whose head is being read, unless responses to earlier requests are still to be sent, and returns the error
// of the read, with which net/http closes the connection. The request has not been passed on, so that it never runs.
func (guardedConnection *guardedConnection) refuseHead() error {
	guardedConnection.pipelining.events.Add(EventHeadRefused, 1)
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.ended = true
	requestPipeline := guardedConnection.pipeline
	if !guardedConnection.handling && (requestPipeline == nil || requestPipeline.sequence.InProgress() == 0 && !requestPipeline.sending) {
		guardedConnection.refused.Store(true)
		_ = guardedConnection.TCPConn.SetWriteDeadline(time.Now().Add(guardedConnection.pipelining.maxStall.Duration()))
		// An error does not matter: the connection is closed in any case.
		_, _ = guardedConnection.TCPConn.Write(guardedConnection.refusal)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeadMemory}
}

// reserveMultiplexedHead counts the head of a request that came over HTTP/2, and rejects the request if that takes more memory than is left.
// Such a head is not seen before it has been read completely, one at a time for each connection.
func (call *call) reserveMultiplexedHead() *errorResponse {
	guarded, isGuarded := call.request.Context().Value(connectionKey{}).(*guardedConnection)
	if !isGuarded || call.request.ProtoMajor == 1 {
		return nil
	}
	length, lines := 0, 0
	for name, values := range call.request.Header {
		for _, value := range values {
			length += len(name) + len(value)
			lines++
		}
	}
	call.headMemory = guarded.connections.headMemory.NewShare()
	if call.headMemory.ReserveHead(length, lines) {
		return nil
	}
	guarded.pipelining.events.Add(EventHeadRefused, 1)
	return &errorResponse{status: http.StatusServiceUnavailable, reason: outcome.ReasonOverloaded, retryAfter: headRetryAfter, cause: errHeadMemory}
}

func (call *call) releaseHead() {
	if call.headMemory != nil {
		call.headMemory.Close()
	}
}

// headRefusal returns the response to a request whose head cannot be kept.
func (dialect *Dialect) headRefusal() []byte {
	text := string(outcome.NotRun) + ": " + string(outcome.ReasonOverloaded) + "\n"
	response := "HTTP/1.1 " + strconv.Itoa(http.StatusServiceUnavailable) + " " + http.StatusText(http.StatusServiceUnavailable) +
		"\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: " + strconv.Itoa(len(text)) +
		"\r\nRetry-After: " + dialect.RetryAfter(headRetryAfter) + "\r\n"
	if dialect.DiagnosticHeaders {
		response += outcome.HeaderOutcome + ": " + string(outcome.NotRun) + "\r\n" + outcome.HeaderReason + ": " + string(outcome.ReasonOverloaded) + "\r\n"
	}
	return []byte(response + "\r\n" + text)
}
