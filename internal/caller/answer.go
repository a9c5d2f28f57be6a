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

// Buffers through which answers pass. The large one is for answers known to be long, which pass faster through it. Small answers don't use it, since
// thousands of them at once would take hundreds of megabytes.
const (
	copyBytes      = 32 << 10
	copyBytesLarge = 256 << 10
	largeAnswer    = 1 << 20
)

var (
	copyBuffers      = newBufferPool(copyBytes)
	copyBuffersLarge = newBufferPool(copyBytesLarge)
)

// bufferPool keeps buffers of one size.
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

// buffersFor returns the buffers for an answer of the given length, -1 when it is not known.
func buffersFor(length int64) *bufferPool {
	if length >= largeAnswer {
		return copyBuffersLarge
	}
	return copyBuffers
}

var (
	errCallerWrite = errors.New("write to caller")
	errServerRead  = errors.New("read from backend server")
)

// answer passes a backend server's answer on. When it breaks off, the caller's connection is broken as well: an answer
// that ends cleanly would be taken for the whole one.
func (call *call) answer(attempt attempt) {
	defer attempt.discard()
	exchange := attempt.exchange
	status := exchange.Response.StatusCode
	call.startAnswer(exchange)
	call.place.TransferredBytes = call.body.length() + len(attempt.buffered)
	if exchange.Whole() {
		// The answer is here in full, so its server is free again.
		exchange.Close()
		call.release(resultOf(status, nil))
	}
	err := call.copyAnswer(&attempt)
	exchange.Close()
	call.release(resultOf(status, err))
	if err == nil {
		call.record(status, outcome.Answered, outcome.ReasonServer, nil)
		return
	}
	reason := outcome.ReasonCutWithinAnswer
	if leaves(call.request.Context()) {
		reason = outcome.ReasonLeaving
	} else if errors.Is(err, errCallerWrite) || call.request.Context().Err() != nil {
		reason = outcome.ReasonCallerGone
	}
	call.record(status, outcome.Unknown, reason, err)
	breakConnection(call.request)
	panic(http.ErrAbortHandler)
}

// resultOf tells whether an answer counts for or against its backend server.
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

// startAnswer writes the answer's header.
func (call *call) startAnswer(exchange *backendserver.Exchange) {
	response := exchange.Response
	removeHopByHop(response.Header)
	dialect := call.handler.options.Dialect
	removeOwn(response.Header, dialect.Own)
	header := call.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	call.setOwnHeaders(header, outcome.Answered, outcome.ReasonServer)
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	if dialect.Explains {
		header.Add("Via", "1.1 "+string(call.handler.options.Instance))
	}
	if _, given := header["Date"]; !given {
		// The library would add one, as if the answer had been made here.
		header["Date"] = nil
	}
	call.armWrite()
	call.writer.WriteHeader(response.StatusCode)
	added := call.now().Since(call.started) - call.queued - call.sending
	call.route.Class.Metrics.Added.Record(added)
}

// copyAnswer passes the body on as it arrives. An answer without a known length is flushed after each read, since it
// may be a stream that somebody watches.
func (call *call) copyAnswer(attempt *attempt) error {
	exchange := attempt.exchange
	if len(attempt.buffered) > 0 {
		call.armWrite()
		if _, err := call.writer.Write(attempt.buffered); err != nil {
			return errors.Join(errCallerWrite, err)
		}
	}
	if exchange.Whole() {
		call.copyTrailers(exchange.Response)
		return nil
	}
	buffers := buffersFor(exchange.Response.ContentLength)
	pooled := buffers.get()
	defer buffers.put(pooled)
	flushEach := exchange.Response.ContentLength < 0
	for {
		// A multiplexed request would be cut off when the time for a write is over although none is under way.
		call.disarmWrite()
		count, readError := exchange.Read(*pooled)
		if count > 0 {
			call.armWrite()
			if _, err := call.writer.Write((*pooled)[:count]); err != nil {
				return errors.Join(errCallerWrite, err)
			}
			if flushEach {
				// An error shows again at the next write.
				_ = call.control.Flush()
			}
		}
		if readError == io.EOF { //nolint:errorlint // io.Reader returns it bare.
			// The library writes what is left, such as the mark of the end.
			call.armWrite()
			call.copyTrailers(exchange.Response)
			return nil
		}
		if readError != nil {
			return errors.Join(errServerRead, readError)
		}
	}
}

// readAhead reads the answer's body up to the given length. An answer that breaks off within it has not been passed on
// yet, so its request can be sent again.
func (attempt *attempt) readAhead(most int64) error {
	length := attempt.exchange.Response.ContentLength
	if length > most {
		return nil
	}
	var body bytes.Buffer
	if length > 0 {
		body.Grow(int(length) + bytes.MinRead)
	}
	_, err := io.CopyN(&body, attempt.exchange, most+1)
	attempt.buffered = body.Bytes()
	if err == nil || err == io.EOF { //nolint:errorlint // io.CopyN returns it bare.
		return nil
	}
	return errors.Join(errServerRead, err)
}

func (call *call) copyTrailers(response *http.Response) {
	for name, values := range response.Trailer {
		if !call.handler.options.Dialect.Own(name) {
			call.writer.Header()[http.TrailerPrefix+name] = values
		}
	}
}

// connectionKey is the context key of the caller's connection.
type connectionKey struct{}

// breakConnection makes the end of the caller's connection a reset. An answer that is delimited by the end of its
// connection, as HTTP/1.0 has it, would otherwise look whole.
func breakConnection(request *http.Request) {
	connection, found := request.Context().Value(connectionKey{}).(*guardedConnection)
	if found && request.ProtoMajor == 1 {
		// It is about to be closed in any case.
		_ = connection.SetLinger(0)
	}
}
