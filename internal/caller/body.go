package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Limits of buffered bodies, which are read before a backend server is chosen. They can be sent again if a server states that
// it did not run the request, and a caller that sends its body slowly holds no permit meanwhile. All other bodies are streamed,
// as are those of unknown length and those whose callers wait for "100 Continue".
const (
	// alwaysBufferedBytes is the length up to which bodies are buffered whatever the dialect's MaxReplayBodyBytes is.
	alwaysBufferedBytes = 16 << 10
	// maxBufferedBodyBytes bounds the total length of all longer bodies that are buffered at once: an instance has a few hundred
	// megabytes of memory, which many callers that upload batches must not exhaust.
	maxBufferedBodyBytes = 32 << 20
)

var (
	errBodyTooLarge = errors.New("request body is longer than its class allows")
	errBodyRead     = errors.New("could not read request body from caller")
)

// body is a request's body, either buffered or streamed, as it is sent to backend servers.
type body struct {
	// buffered is the whole body if it is buffered.
	buffered []byte
	// bufferComplete means that buffered has been read completely.
	bufferComplete bool
	// share is what a longer buffered body takes of the memory for them, nil for others.
	share *bufferShare
	// stream is the body if it is streamed; it can be read only once.
	stream  *callerBody
	present bool
	// streamUsed means that a connection has been given the stream.
	streamUsed bool
}

// prepare buffers or streams the body, and rejects one that is longer than its class allows.
func (body *body) prepare(call *call) *errorResponse {
	request := call.request
	maxBytes := int64(call.route.Class.Settings.MaxBodySize)
	if request.ContentLength > maxBytes {
		return newRejection(http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge, errBodyTooLarge)
	}
	body.present = request.Body != nil && request.Body != http.NoBody
	if !body.present {
		return nil
	}
	limited := http.MaxBytesReader(call.writer, request.Body, maxBytes)
	stream := &callerBody{reader: limited, controller: call.controller, maxStall: call.handler.options.MaxStall, guard: call.handler.options.Guard}
	// A caller that waits for "100 Continue" is asked for its body only after a permit has been acquired.
	if request.ContentLength < 0 || request.Header.Get("Expect") != "" || !body.reserveBuffer(call) {
		body.stream = stream
		return nil
	}
	// A body that arrives slowly is rejected at the request's deadline, not only if a single read takes too long.
	stream.readDeadline = time.Now().Add(call.deadline.Since(call.now()).Duration())
	body.buffered = make([]byte, request.ContentLength)
	defer context.AfterFunc(request.Context(), stream.guard.Func("request body", stream.expire))()
	if _, err := io.ReadFull(stream, body.buffered); err != nil {
		if endedByDrain(request.Context()) {
			return newDrainRejection()
		}
		if stream.readDeadlineExceeded() {
			return newRejection(http.StatusRequestTimeout, outcome.ReasonDeadline, errors.Join(errBodyRead, err))
		}
		return newRejection(http.StatusBadRequest, outcome.ReasonBodyUnreadable, errors.Join(errBodyRead, err))
	}
	stream.setDeadline(time.Time{})
	body.bufferComplete = true
	return nil
}

// reserveBuffer reports whether the body is to be buffered. Bodies longer than alwaysBufferedBytes are counted towards
// maxBufferedBodyBytes.
func (body *body) reserveBuffer(call *call) bool {
	length := call.request.ContentLength
	if length <= alwaysBufferedBytes {
		return true
	}
	if length > call.handler.options.Dialect.MaxReplayBodyBytes {
		return false
	}
	body.share = &bufferShare{memory: &call.handler.bufferedBodies}
	return body.share.reserve(length)
}

// replayable reports whether the body can be sent again. A stream that a connection has been given cannot, even if nothing
// has been read from it: the connection may still read from it.
func (body *body) replayable() bool {
	return body.stream == nil || !body.streamUsed
}

// reader returns the body for one attempt, and its length in bytes, -1 if it is unknown.
func (body *body) reader(length int64) (io.ReadCloser, int64) {
	switch {
	case !body.present:
		return http.NoBody, 0
	case body.stream != nil:
		return body.stream, length
	default:
		return io.NopCloser(bytes.NewReader(body.buffered)), int64(len(body.buffered))
	}
}

// bytesRead returns the number of bytes of the body that have been read from the caller so far.
func (body *body) bytesRead() int {
	if body.stream != nil {
		return int(body.stream.bytesRead.Load())
	}
	return len(body.buffered)
}

// readError returns the error of reading a streamed body from the caller, if any.
func (body *body) readError() error {
	if body.stream == nil {
		return nil
	}
	return body.stream.readError()
}

// expireOnDone aborts reads of the stream when the context is done, until stop is called. A connection to a backend server ends
// a cancelled request only when it has finished with the body, and the caller may have stalled.
func (body *body) expireOnDone(ctx context.Context) (stop func()) {
	if body.stream == nil {
		return func() {}
	}
	stopWatching := context.AfterFunc(ctx, body.stream.guard.Func("request body", body.stream.expire))
	return func() { stopWatching() }
}

// finish makes all later reads of the stream fail, and gives back the body's share of the memory for buffered bodies.
func (body *body) finish() {
	body.share.release()
	if body.stream != nil {
		body.stream.finish()
	}
}

// hasUnreadBody reports whether a part of the body has not been read.
func (call *call) hasUnreadBody() bool {
	switch {
	case call.request.Body == nil || call.request.Body == http.NoBody:
		return false
	case call.body.stream != nil:
		return !call.body.stream.complete.Load()
	default:
		return !call.body.bufferComplete
	}
}

// keepUnreadBody keeps net/http from reading the rest of the body before it sends a response. A connection to a backend server that has
// answered early may read that rest still, and would get a body with pieces missing; and the response would wait for the rest. The connection
// is closed after the response: net/http may begin to wait for a disconnect when it has read the rest, and still be at it when the next
// request comes. On HTTP/2 nothing reads the rest.
func (call *call) keepUnreadBody() {
	if call.request.ProtoMajor == 1 && call.hasUnreadBody() && call.controller.EnableFullDuplex() == nil {
		call.mustClose = true
	}
}

// setUnreadBodyDeadline limits the read of the rest of the body to MaxStall. When the request has ended, net/http reads the
// rest to reach the next request, and would otherwise wait for it indefinitely.
func (call *call) setUnreadBodyDeadline() {
	if !call.hasUnreadBody() {
		return
	}
	_ = call.controller.SetReadDeadline(time.Now().Add(call.handler.options.MaxStall.Duration()))
}

// callerBody reads a body from the caller with a deadline for each read, so that a caller that sends a byte a minute does not
// hold a permit of a backend server. A connection to a backend server may go on reading after the request has ended; the mutex
// keeps such a read from setting a deadline that would apply to the caller's next request.
type callerBody struct {
	reader     io.Reader
	controller *http.ResponseController
	maxStall   clock.Milliseconds
	guard      *supervisor.Guard
	// readDeadline is the deadline of all reads together; the zero time means none.
	readDeadline time.Time
	// cappedByReadDeadline means that the latest read was limited by readDeadline, because it came before the end of maxStall.
	cappedByReadDeadline bool

	// complete means that the body has been read to its end; bytesRead is the number of bytes read.
	complete  atomic.Bool
	bytesRead atomic.Int64

	mutex    sync.Mutex
	finished bool
	expired  bool
	err      error
}

// Read implements io.Reader. net/http calls it on a goroutine of its own when it writes the body to a backend server.
func (callerBody *callerBody) Read(buffer []byte) (count int, err error) {
	if panicError := callerBody.guard.Run("request body", func() { count, err = callerBody.read(buffer) }); panicError != nil {
		callerBody.setError(panicError)
		return 0, panicError
	}
	return count, err
}

func (callerBody *callerBody) read(buffer []byte) (int, error) {
	deadline := time.Now().Add(callerBody.maxStall.Duration())
	callerBody.cappedByReadDeadline = !callerBody.readDeadline.IsZero() && callerBody.readDeadline.Before(deadline)
	if callerBody.cappedByReadDeadline {
		deadline = callerBody.readDeadline
	}
	if !callerBody.setDeadline(deadline) {
		return 0, errBodyRead
	}
	count, err := callerBody.reader.Read(buffer)
	callerBody.bytesRead.Add(int64(count))
	switch err {
	case nil:
		// On HTTP/2, a deadline that passes between reads would discard the rest of the body.
		callerBody.setDeadline(time.Time{})
	case io.EOF: //nolint:errorlint // io.Reader returns it bare.
		callerBody.markComplete()
	default:
		// The deadline is kept: net/http reads the rest of the body before the next request, and a caller that has stalled
		// would otherwise hold the connection indefinitely.
		callerBody.setError(err)
	}
	return count, err
}

// markComplete marks the body as read to its end and clears the read deadline. While the request is handled, net/http reads from
// the connection in the background, and would treat a deadline that passes as a disconnect of the caller.
func (callerBody *callerBody) markComplete() {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	if callerBody.finished || callerBody.expired {
		return
	}
	_ = callerBody.controller.SetReadDeadline(time.Time{})
	callerBody.complete.Store(true)
}

// readDeadlineExceeded reports whether readDeadline limited the latest read and has passed.
func (callerBody *callerBody) readDeadlineExceeded() bool {
	return callerBody.cappedByReadDeadline && !time.Now().Before(callerBody.readDeadline)
}

// setDeadline sets the deadline of the next read. It reports false, and sets none, if the body has been finished or has expired.
func (callerBody *callerBody) setDeadline(deadline time.Time) bool {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	if callerBody.finished || callerBody.expired {
		return false
	}
	// Connections that do not support deadlines, as in tests, are left without one.
	_ = callerBody.controller.SetReadDeadline(deadline)
	return true
}

// expire aborts the current read and all later ones, unless the body is complete: then the only reader is net/http, which would
// treat the deadline as a disconnect of the caller.
func (callerBody *callerBody) expire() {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	if callerBody.finished || callerBody.complete.Load() {
		return
	}
	callerBody.expired = true
	_ = callerBody.controller.SetReadDeadline(pastDeadline)
}

func (callerBody *callerBody) setError(err error) {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	callerBody.err = err
}

func (callerBody *callerBody) readError() error {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	return callerBody.err
}

func (callerBody *callerBody) finish() {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	callerBody.finished = true
}

// Close implements io.Closer. It does nothing, since net/http closes the caller's body.
func (callerBody *callerBody) Close() error {
	return nil
}
