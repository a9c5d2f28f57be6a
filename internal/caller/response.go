package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Sizes in bytes of the buffers for copying response bodies. Responses known to be at least largeResponseBytes long are copied
// faster with the large buffer. Shorter ones do not use it, since thousands of them at once would take hundreds of megabytes.
const (
	copyBytes          = 32 << 10
	copyBytesLarge     = 256 << 10
	largeResponseBytes = 1 << 20
)

const (
	// bufferPieceBytes is the length of the pieces in which responses of unknown length are buffered.
	bufferPieceBytes = 32 << 10
	// maxBufferedResponsesBytes bounds the total length of buffered responses: a faulty server may send bodies without end, and many of
	// them must not exhaust the memory of an instance. Responses beyond it are forwarded as they arrive.
	maxBufferedResponsesBytes = 32 << 20
)

var (
	copyBuffers      = newBufferPool(copyBytes)
	copyBuffersLarge = newBufferPool(copyBytesLarge)
)

// bufferPool is a pool of buffers of one size.
type bufferPool struct {
	pool sync.Pool
}

func newBufferPool(size int) *bufferPool {
	return &bufferPool{pool: sync.Pool{New: func() any {
		buffer := make([]byte, size)
		return &buffer
	}}}
}

func (bufferPool *bufferPool) get() *[]byte {
	buffer, _ := bufferPool.pool.Get().(*[]byte)
	return buffer
}

func (bufferPool *bufferPool) put(buffer *[]byte) {
	bufferPool.pool.Put(buffer)
}

// buffersFor returns the buffer pool for a response of the given length in bytes, -1 if it is unknown.
func buffersFor(length int64) *bufferPool {
	if length >= largeResponseBytes {
		return copyBuffersLarge
	}
	return copyBuffers
}

var (
	errCallerWrite = errors.New("write to caller")
	errServerRead  = errors.New("read from backend server")
)

// forwardResponse forwards a backend server's response to the caller. If the response is cut off, the caller's connection is
// aborted as well: a truncated response that ended cleanly would be taken for a complete one.
func (call *call) forwardResponse(attempt attempt) {
	defer attempt.discard()
	exchange := attempt.exchange
	status := exchange.Response.StatusCode
	call.writeResponseHeader(exchange)
	call.permit.TransferredBytes = call.body.bytesRead() + len(attempt.buffered)
	if exchange.FullyRead() {
		// The response has been read completely, so the permit need not be held until it is forwarded.
		exchange.Close()
		call.release(resultOf(status, nil))
	}
	err := call.copyResponseBody(&attempt)
	exchange.Close()
	call.release(resultOf(status, err))
	if err == nil {
		call.recordAnswered()
		call.record(status, outcome.Answered, outcome.ReasonServer, nil)
		return
	}
	reason := outcome.ReasonCutWithinAnswer
	if endedByDrain(call.request.Context()) {
		reason = outcome.ReasonLeaving
	} else if errors.Is(err, errCallerWrite) || call.request.Context().Err() != nil {
		reason = outcome.ReasonCallerGone
	}
	call.record(status, outcome.Unknown, reason, err)
	call.position.abort()
	panic(http.ErrAbortHandler)
}

// resultOf returns how a forwarded response counts for its backend server: as a success, a failure or not at all.
func resultOf(status int, err error) service.Result {
	switch {
	case errors.Is(err, errCallerWrite):
		return service.Cancelled
	case err != nil || status >= http.StatusInternalServerError:
		return service.Failed
	default:
		return service.Succeeded
	}
}

// writeResponseHeader writes the response's header to the caller.
func (call *call) writeResponseHeader(exchange *backendserver.Exchange) {
	response := exchange.Response
	removeHopByHop(response.Header)
	dialect := call.handler.options.Dialect
	removeReserved(response.Header, dialect.IsReservedHeader)
	header := call.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	call.keepUnreadBody()
	call.setResponseHeaders(header, outcome.Answered, outcome.ReasonServer)
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	if dialect.DiagnosticHeaders {
		header.Add("Via", "1.1 "+string(call.handler.options.Instance))
	}
	if _, present := header["Date"]; !present {
		// Otherwise net/http would add a date, as if this instance had generated the response.
		header["Date"] = nil
	}
	call.setWriteDeadline()
	call.responding = true
	call.writer.WriteHeader(response.StatusCode)
	addedLatency := call.now().Since(call.started) - call.queueTime - call.attemptTime
	call.route.Class.Metrics.Overhead.Record(addedLatency)
}

// copyResponseBody forwards the body as it arrives. A response of unknown length is flushed after each read, since it may be
// a live stream.
func (call *call) copyResponseBody(attempt *attempt) error {
	exchange := attempt.exchange
	if len(attempt.buffered) > 0 {
		call.setWriteDeadline()
		if _, err := call.writer.Write(attempt.buffered); err != nil {
			return errors.Join(errCallerWrite, err)
		}
	}
	if exchange.FullyRead() {
		call.copyTrailers(exchange.Response)
		return nil
	}
	buffers := buffersFor(exchange.Response.ContentLength)
	pooled := buffers.get()
	defer buffers.put(pooled)
	flushEach := exchange.Response.ContentLength < 0
	for {
		// On HTTP/2, a write deadline that passes would abort the request even though no write is in progress.
		call.clearWriteDeadline()
		count, readErr := exchange.Read(*pooled)
		if count > 0 {
			call.setWriteDeadline()
			if _, err := call.writer.Write((*pooled)[:count]); err != nil {
				return errors.Join(errCallerWrite, err)
			}
			if flushEach {
				// An error recurs at the next write.
				_ = call.controller.Flush()
			}
		}
		if readErr == io.EOF { //nolint:errorlint // io.Reader returns it bare.
			// net/http writes the rest, such as the final chunk, when the handler returns.
			call.setWriteDeadline()
			call.copyTrailers(exchange.Response)
			return nil
		}
		if readErr != nil {
			return errors.Join(errServerRead, readErr)
		}
	}
}

// bufferBody reads the response body up to maxBytes, and as far as the memory for buffered responses allows; a body known to be longer is
// not read. If the response is cut off, none of it has been forwarded yet, so the request can be retried.
func (attempt *attempt) bufferBody(maxBytes int64, memory *bufferMemory) error {
	length := attempt.exchange.Response.ContentLength
	if length > maxBytes {
		return nil
	}
	attempt.share = &bufferShare{memory: memory}
	var body bytes.Buffer
	piece := int64(bufferPieceBytes)
	if length >= 0 {
		// The end of the body is noticed when more is read.
		piece = length + 1
	}
	for int64(body.Len()) <= maxBytes && attempt.share.reserve(piece) {
		if length > 0 {
			body.Grow(int(length) + bytes.MinRead)
		}
		_, err := io.CopyN(&body, attempt.exchange, piece)
		attempt.buffered = body.Bytes()
		if err == io.EOF { //nolint:errorlint // io.CopyN returns it bare.
			return nil
		}
		if err != nil {
			return errors.Join(errServerRead, err)
		}
	}
	return nil
}

func (call *call) copyTrailers(response *http.Response) {
	for name, values := range response.Trailer {
		if !call.handler.options.Dialect.IsReservedHeader(name) {
			call.writer.Header()[http.TrailerPrefix+name] = values
		}
	}
}

// connectionKey is the context key of the caller's connection.
type connectionKey struct{}
