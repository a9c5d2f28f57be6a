package caller

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/jaywheel/jaywheel/internal/headmemory"
	"github.com/jaywheel/jaywheel/internal/pipeline"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// pipelinedRequest is a connection in memory that carries one request of a caller's connection to the HTTP server, and its response back.
// The response is held until those to all earlier requests have been sent. The mutex of the caller's connection guards it.
type pipelinedRequest struct {
	connection *guardedConnection
	pipeline   *requestPipeline
	number     pipeline.Number
	// memory is what the request takes of the memory of heads.
	memory *headmemory.Share
	// unread is the part of the request that the HTTP server has not read.
	unread []byte
	// held is the part of the response that has not been sent; sending is the length of the part that is being sent.
	held    []byte
	sending int
	// heldSince is since when the response has been held for earlier ones, zero if it has not been. heldFor is how long it was, known when
	// its turn has come; onHeld is called with it then.
	heldSince time.Time
	heldFor   clock.Milliseconds
	onHeld    func(clock.Milliseconds)
	// finished means that the HTTP server has ended the response, aborted that it was cut off, and abandoned that the caller's connection
	// has ended.
	finished, aborted, abandoned bool
	// readAborted means that reads fail at once.
	readAborted bool
}

// Read implements net.Conn. After the request it waits until the caller leaves or the response is complete.
func (request *pipelinedRequest) Read(buffer []byte) (count int, err error) {
	if panicError := request.connection.run(func() { count, err = request.read(buffer) }); panicError != nil {
		return 0, panicError
	}
	return count, err
}

func (request *pipelinedRequest) read(buffer []byte) (int, error) {
	request.connection.mutex.Lock()
	defer request.connection.mutex.Unlock()
	if len(request.unread) > 0 && !request.abandoned {
		count := copy(buffer, request.unread)
		request.unread = request.unread[count:]
		return count, nil
	}
	for !request.abandoned && !request.finished && !request.readAborted {
		request.pipeline.changed.Wait()
	}
	if request.readAborted {
		return 0, os.ErrDeadlineExceeded
	}
	return 0, io.EOF
}

// Write implements net.Conn. It waits while the connection holds as much as it may, or the caller does not read. net/http also writes while
// it recovers from a panic.
func (request *pipelinedRequest) Write(data []byte) (count int, err error) {
	if panicError := request.connection.run(func() { count, err = request.write(data) }); panicError != nil {
		return 0, panicError
	}
	return count, err
}

func (request *pipelinedRequest) write(data []byte) (int, error) {
	if !request.hold(data) {
		return 0, net.ErrClosed
	}
	request.connection.sendResponses()
	request.connection.mutex.Lock()
	defer request.connection.mutex.Unlock()
	for !request.abandoned && request.pipeline.sequence.HasTurn(request.number) && len(request.held)+request.sending > maxUnsentBytes {
		request.pipeline.changed.Wait()
	}
	return len(data), nil
}

// hold adds data to the part of the response that has not been sent. It reports false if the connection has ended.
func (request *pipelinedRequest) hold(data []byte) bool {
	request.connection.mutex.Lock()
	defer request.connection.mutex.Unlock()
	sequence := request.pipeline.sequence
	shared := &request.connection.pipelining.heldBytes
	for !request.abandoned && !sequence.HasTurn(request.number) &&
		(!sequence.MayHold(request.number, len(data)) || shared.Load()+int64(len(data)) > maxHeldBytes) {
		request.pipeline.changed.Wait()
	}
	if request.abandoned {
		return false
	}
	if request.heldSince.IsZero() && !sequence.HasTurn(request.number) {
		request.heldSince = time.Now()
	}
	request.held = append(request.held, data...)
	sequence.Hold(request.number, len(data))
	shared.Add(int64(len(data)))
	return true
}

// takeHeld returns the held part of the response, and no longer counts it. The mutex of the caller's connection must be held.
func (request *pipelinedRequest) takeHeld() []byte {
	data := request.held
	request.held = nil
	request.pipeline.sequence.Release(request.number, len(data))
	request.connection.pipelining.heldBytes.Add(-int64(len(data)))
	return data
}

// endHold records how long the response was held, when its turn has come. The mutex of the caller's connection must be held.
func (request *pipelinedRequest) endHold() {
	if request.heldSince.IsZero() || request.heldFor > 0 {
		return
	}
	request.heldFor = clock.Of(time.Since(request.heldSince))
	if request.onHeld != nil {
		request.onHeld(request.heldFor)
	}
}

// abort records that the response has been cut off.
func (request *pipelinedRequest) abort() {
	request.connection.mutex.Lock()
	defer request.connection.mutex.Unlock()
	request.aborted = true
}

// finish ends the response and lets the next one be sent.
func (request *pipelinedRequest) finish(result pipeline.Result) {
	if request.end(result) {
		request.connection.sendResponses()
	}
}

// end ends the response, and reports whether it had not been ended before.
func (request *pipelinedRequest) end(result pipeline.Result) bool {
	request.connection.mutex.Lock()
	defer request.connection.mutex.Unlock()
	if request.finished {
		return false
	}
	request.finished = true
	request.memory.Close()
	if request.aborted {
		result = pipeline.Aborted
	}
	if !request.abandoned {
		request.pipeline.sequence.Finish(request.number, result)
	}
	request.pipeline.notify()
	return true
}

// Close implements net.Conn. The HTTP server closes it before it has become idle if the connection must not be used further.
func (request *pipelinedRequest) Close() error {
	return request.connection.run(func() { request.finish(pipeline.AnsweredLast) })
}

// CloseWrite ends the response, after which the connection must not be used further.
func (request *pipelinedRequest) CloseWrite() error {
	return request.Close()
}

// LocalAddr implements net.Conn.
func (request *pipelinedRequest) LocalAddr() net.Addr {
	return request.connection.LocalAddr()
}

// RemoteAddr implements net.Conn.
func (request *pipelinedRequest) RemoteAddr() net.Addr {
	return request.connection.RemoteAddr()
}

// SetDeadline implements net.Conn.
func (request *pipelinedRequest) SetDeadline(deadline time.Time) error {
	return request.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn. Only a deadline in the past has an effect, with which net/http aborts its wait for a disconnect: the
// whole request is there from the start.
func (request *pipelinedRequest) SetReadDeadline(deadline time.Time) error {
	request.connection.mutex.Lock()
	defer request.connection.mutex.Unlock()
	request.readAborted = !deadline.IsZero() && !deadline.After(time.Now())
	request.pipeline.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. Deadlines are set for each write to the caller's connection instead, since the wait for earlier
// responses does not count.
func (*pipelinedRequest) SetWriteDeadline(time.Time) error {
	return nil
}

// connectionList is a listener that returns the connections of pipelined requests, and then an error.
type connectionList []*pipelinedRequest

// Accept implements net.Listener.
func (connectionList *connectionList) Accept() (net.Conn, error) {
	if len(*connectionList) == 0 {
		return nil, net.ErrClosed
	}
	next := (*connectionList)[0]
	*connectionList = (*connectionList)[1:]
	return next, nil
}

// Close implements net.Listener.
func (*connectionList) Close() error {
	return nil
}

// Addr implements net.Listener.
func (*connectionList) Addr() net.Addr {
	return &net.TCPAddr{}
}
