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

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Bodies that are read before a backend server is chosen. They can be sent again when a server says that it did not run the request,
// and a caller that sends slowly holds no place meanwhile. All others are streamed.
const (
	// replayBodyMost is the largest such body, in bytes, unless the dialect says otherwise.
	alwaysBufferedBytes = 16 << 10
	// heldBodiesMost bounds the bytes of all larger ones that are held at once: an instance has a few hundred megabytes, and
	// many callers with batches must not take them.
	maxBufferedBodyBytes = 32 << 20
)

var (
	errBodyTooLarge = errors.New("the body is larger than the class allows")
	errBodyRead     = errors.New("the body could not be read from the caller")
)

// body is a request's body as it is sent to backend servers.
type body struct {
	// small is the whole body, when it is small.
	buffered []byte
	// smallRead says that it has been read.
	bufferComplete bool
	// held are the bytes that count towards those of all bodies held at once.
	reservedBytes int64
	// stream is the rest, when it is not; it can be read once.
	stream  *callerBody
	present bool
	// handedOver says that a connection has been given the stream.
	streamUsed bool
}

// prepare reads a small body, and bounds a large one.
func (body *body) prepare(call *call) *errorResponse {
	request := call.request
	maxBytes := int64(call.route.Class.Settings.BodyMost)
	if request.ContentLength > maxBytes {
		return newRejection(http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge, errBodyTooLarge)
	}
	body.present = request.Body != nil && request.Body != http.NoBody
	if !body.present {
		return nil
	}
	limited := http.MaxBytesReader(call.writer, request.Body, maxBytes)
	stream := &callerBody{reader: limited, controller: call.controller, maxStall: call.handler.options.MaxStall}
	// A caller that waits for "100 Continue" is asked for its body only once a place is there.
	if request.ContentLength < 0 || request.Header.Get("Expect") != "" || !body.reserveBuffer(call) {
		body.stream = stream
		return nil
	}
	// Whoever sends slowly is refused when the time of the request is over, and not only when a single read takes too long.
	stream.readDeadline = time.Now().Add(call.deadline.Since(call.now()).Duration())
	body.buffered = make([]byte, request.ContentLength)
	defer context.AfterFunc(request.Context(), stream.expire)()
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

// hold reports whether the body is to be read whole, and counts it if it is one of the larger ones.
func (body *body) reserveBuffer(call *call) bool {
	length := call.request.ContentLength
	if length <= alwaysBufferedBytes {
		return true
	}
	if length > call.handler.options.Dialect.MaxReplayBodyBytes {
		return false
	}
	if call.handler.bufferedBodyBytes.Add(length) > maxBufferedBodyBytes {
		call.handler.bufferedBodyBytes.Add(-length)
		return false
	}
	body.reservedBytes = length
	return true
}

// replayable reports whether the body can be sent once more. A stream that has been handed to a connection can't be,
// even when nothing was read from it: the connection may still be about to read.
func (body *body) replayable() bool {
	return body.stream == nil || !body.streamUsed
}

// reader returns the body for one attempt, and its length, -1 when it is not known.
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

// length is the number of bytes that were read of the body so far.
func (body *body) bytesRead() int {
	if body.stream != nil {
		return int(body.stream.bytesRead.Load())
	}
	return len(body.buffered)
}

// failed returns what went wrong on the caller's side of a streamed body, if anything did.
func (body *body) readError() error {
	if body.stream == nil {
		return nil
	}
	return body.stream.readError()
}

// watch ends the reading of a stream with the context, until stop is called. A connection to a backend server gives a request up only when
// it has done with its body, and the caller may have stalled.
func (body *body) expireOnDone(ctx context.Context) (stop func()) {
	if body.stream == nil {
		return func() {}
	}
	stopWatching := context.AfterFunc(ctx, body.stream.expire)
	return func() { stopWatching() }
}

// finish ends every later read of the stream.
func (body *body) finish(handler *Handler) {
	handler.bufferedBodyBytes.Add(-body.reservedBytes)
	if body.stream != nil {
		body.stream.finish()
	}
}

// bodyUnread reports whether a part of the body has not been read.
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

// armRest gives what is left of the body its time. Once the request has ended, the server reads the rest to come to the
// next one, and would wait for it without end.
func (call *call) setUnreadBodyDeadline() {
	if !call.hasUnreadBody() {
		return
	}
	_ = call.controller.SetReadDeadline(time.Now().Add(call.handler.options.MaxStall.Duration()))
}

// callerBody reads a body from the caller and gives each read its time, so that a caller which sends a byte a minute
// does not hold a place on a backend server. A connection to a backend server may go on reading after the request has
// ended; the mutex keeps it from setting a deadline that would then belong to the caller's next request.
type callerBody struct {
	reader     io.Reader
	controller *http.ResponseController
	maxStall   clock.Milliseconds
	// until bounds all reads together; the zero time stands for no bound.
	readDeadline time.Time
	// lastRead says that the read under way may last only as long as all together.
	cappedByReadDeadline bool

	// whole says that the body was read to its end, count how many bytes were read.
	complete  atomic.Bool
	bytesRead atomic.Int64

	mutex    sync.Mutex
	finished bool
	expired  bool
	err      error
}

// Read implements io.Reader.
func (callerBody *callerBody) Read(buffer []byte) (int, error) {
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
		// A multiplexed request would lose the rest of its body when the deadline passes although nobody reads.
		callerBody.setDeadline(time.Time{})
	case io.EOF: //nolint:errorlint // io.Reader returns it bare.
		callerBody.markComplete()
	default:
		// The deadline stays: the server reads what is left of a body before it goes on, and a caller that has stalled
		// once would hold the connection for ever.
		callerBody.setError(err)
	}
	return count, err
}

// end notes that the body is whole. The server watches the connection while the answer is made, and would take a deadline for the caller's
// going away.
func (callerBody *callerBody) markComplete() {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	if callerBody.finished || callerBody.expired {
		return
	}
	_ = callerBody.controller.SetReadDeadline(time.Time{})
	callerBody.complete.Store(true)
}

// untilOver reports whether the time for all reads together is over.
func (callerBody *callerBody) readDeadlineExceeded() bool {
	return callerBody.cappedByReadDeadline && !time.Now().Before(callerBody.readDeadline)
}

// setDeadline reports whether the request is still under way.
func (callerBody *callerBody) setDeadline(deadline time.Time) bool {
	callerBody.mutex.Lock()
	defer callerBody.mutex.Unlock()
	if callerBody.finished || callerBody.expired {
		return false
	}
	// Connections that know no deadline, as in tests, are left without one.
	_ = callerBody.controller.SetReadDeadline(deadline)
	return true
}

// expire ends the read under way and every later one, unless the body is whole: what is read then is the server's, which would take
// the deadline for the caller's going away.
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

// Close implements io.Closer. The server closes the caller's body itself.
func (callerBody *callerBody) Close() error {
	return nil
}
