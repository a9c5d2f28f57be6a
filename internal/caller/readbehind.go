package caller

import (
	"bytes"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"github.com/jaywheel/jaywheel/internal/pipeline"
)

// step is what the goroutine does next that reads a connection behind a request.
type step int

const (
	// stepDeliver passes bytes on to the HTTP server.
	stepDeliver step = iota
	// stepReceive receives bytes of requests behind those in progress.
	stepReceive
	// stepDiscard receives bytes of requests that will not be read.
	stepDiscard
	// stepEnd lets the HTTP server close the connection.
	stepEnd
	// stepWait waits for a change without receiving.
	stepWait
)

// readBehind reads the connection while the HTTP server has a complete request, or requests behind one are in progress. It starts the
// requests that it receives, and returns bytes only when the HTTP server may read the next request itself. net/http calls it while a
// request is handled, to notice a disconnect, and between requests.
func (guardedConnection *guardedConnection) readBehind(buffer []byte) (int, error) {
	for {
		started, next := guardedConnection.takeRequests()
		guardedConnection.serve(started)
		switch next {
		case stepDeliver:
			if count := guardedConnection.deliver(buffer); count > 0 {
				return count, nil
			}
			return guardedConnection.readRequest(buffer)
		case stepWait:
			if err := guardedConnection.awaitChange(); err != nil {
				return 0, err
			}
		case stepEnd:
			return 0, io.EOF
		case stepReceive, stepDiscard:
			if err := guardedConnection.receive(buffer, next); err != nil {
				return 0, err
			}
		}
	}
}

// takeRequests starts the received requests that may be served at the same time as those in progress, and decides what to do next. Both
// happen under one lock: a request that ends in between would leave one unstarted that has been received already.
func (guardedConnection *guardedConnection) takeRequests() (connectionList, step) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	return guardedConnection.startRequests(), guardedConnection.nextStep()
}

// nextStep decides what to do next. The mutex must be held.
func (guardedConnection *guardedConnection) nextStep() step {
	requestPipeline := guardedConnection.pipeline
	ended, behind := guardedConnection.ended, 0
	if requestPipeline != nil {
		ended, behind = ended || requestPipeline.sequence.Ended(), len(requestPipeline.behind)
	}
	switch {
	case !guardedConnection.guard.complete() && behind == 0 && (guardedConnection.handling || !ended):
		return stepDeliver
	case ended && behind == 0 && !guardedConnection.handling:
		return stepEnd
	case ended:
		return stepDiscard
	case requestPipeline == nil || len(requestPipeline.unread) == 0:
		return stepReceive
	default:
		return guardedConnection.nextStepUnread()
	}
}

// nextStepUnread decides what to do next while bytes have been received that belong to no request that has been started.
func (guardedConnection *guardedConnection) nextStepUnread() step {
	requestPipeline := guardedConnection.pipeline
	switch {
	case guardedConnection.guard.complete() && !guardedConnection.accepted, requestPipeline.sequential, len(requestPipeline.unread) >= guardedConnection.maxUnread():
		return stepWait
	case requestPipeline.sequence.MayStart():
		requestPipeline.full = false
		return stepReceive
	}
	if !requestPipeline.full {
		requestPipeline.full = true
		guardedConnection.pipelining.events.Add(EventPipelineFull, 1)
	}
	return stepWait
}

// deliver passes bytes of the next request on to the HTTP server. The pipeline ends with the last of them.
func (guardedConnection *guardedConnection) deliver(buffer []byte) int {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	requestPipeline := guardedConnection.pipeline
	if requestPipeline == nil {
		return 0
	}
	count := copy(buffer, requestPipeline.unread)
	count = guardedConnection.guard.observe(buffer[:count])
	guardedConnection.setUnread(requestPipeline.unread[count:])
	requestPipeline.sequential = false
	if requestPipeline.idle() {
		guardedConnection.pipeline = nil
	}
	if count > 0 {
		guardedConnection.markUnhandled()
	}
	return count
}

// awaitChange waits until the connection may be read on. It returns an error if net/http has aborted the read or the caller has left.
func (guardedConnection *guardedConnection) awaitChange() error {
	timer := time.NewTimer(disconnectPollInterval.Duration())
	defer timer.Stop()
	wake, aborted := guardedConnection.wakeChannel()
	if aborted {
		return os.ErrDeadlineExceeded
	}
	select {
	case <-wake:
	case <-timer.C:
		if guardedConnection.disconnected() {
			guardedConnection.abandonRequests()
			return io.EOF
		}
	}
	return nil
}

// wakeChannel returns the channel that is signalled when the connection may be read on, and whether net/http has aborted the read.
func (guardedConnection *guardedConnection) wakeChannel() (<-chan struct{}, bool) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	return guardedConnection.pipeline.wake, guardedConnection.readAborted
}

// receive receives bytes behind the requests in progress. The buffer is used as long as no request is known to come, so that a
// connection with one request at a time needs no other.
func (guardedConnection *guardedConnection) receive(buffer []byte, next step) error {
	guardedConnection.mutex.Lock()
	if requestPipeline := guardedConnection.pipeline; requestPipeline != nil {
		if requestPipeline.buffer == nil {
			requestPipeline.buffer = make([]byte, pipelineReadBytes)
		}
		buffer = requestPipeline.buffer
	}
	guardedConnection.mutex.Unlock()
	count, err := guardedConnection.TCPConn.Read(buffer)
	if count > 0 && next == stepReceive {
		guardedConnection.holdBack(buffer[:count])
	}
	switch {
	case err == nil:
		return nil
	case !isTimeout(err):
		guardedConnection.abandonRequests()
		return err
	default:
		guardedConnection.mutex.Lock()
		defer guardedConnection.mutex.Unlock()
		if guardedConnection.nextStep() == stepEnd {
			return nil
		}
		return err
	}
}

func isTimeout(err error) bool {
	netError, isNetError := err.(net.Error) //nolint:errorlint // net returns it bare.
	return isNetError && netError.Timeout()
}

// startRequests returns the received requests that may be served at the same time as those in progress, as connections that the HTTP server
// has to serve. The mutex must be held.
func (guardedConnection *guardedConnection) startRequests() connectionList {
	var started connectionList
	requestPipeline := guardedConnection.pipeline
	for requestPipeline != nil && len(requestPipeline.unread) > 0 && guardedConnection.mayStartBehind() {
		length, framing := pipeline.Split(requestPipeline.unread, guardedConnection.pipelining.maxHeadBytes)
		requestPipeline.sequential = framing == pipeline.Sequential
		if framing != pipeline.Concurrent {
			break
		}
		text := requestPipeline.unread[:length]
		memory := guardedConnection.connections.headMemory.NewShare()
		if !memory.ReserveRequest(length, bytes.Count(text, lineFeed)) {
			// It is read when all before it have been answered, as if it had been sent then.
			requestPipeline.sequential = true
			guardedConnection.pipelining.events.Add(EventPipelineScarce, 1)
			break
		}
		number, _ := requestPipeline.sequence.Start()
		request := &pipelinedRequest{connection: guardedConnection, pipeline: requestPipeline, number: number, unread: slices.Clone(text), memory: memory}
		guardedConnection.setUnread(requestPipeline.unread[length:])
		requestPipeline.behind = append(requestPipeline.behind, request)
		started = append(started, request)
	}
	return started
}

// serve lets the HTTP server serve requests. It returns as soon as it has begun to do so.
func (guardedConnection *guardedConnection) serve(started connectionList) {
	if len(started) == 0 {
		return
	}
	guardedConnection.pipelining.events.Add(EventPipelined, int64(len(started)))
	// The list ends with an error when all of its connections have been accepted.
	_ = guardedConnection.server.Serve(&started)
	// A server that shuts down serves no further ones; the connection ends before them.
	for _, unserved := range started {
		_ = unserved.Close()
	}
}

// mayStartBehind reports whether another request may be started while one is in progress: net/http must have read the same request from
// the bytes before it. The mutex must be held.
func (guardedConnection *guardedConnection) mayStartBehind() bool {
	requestPipeline := guardedConnection.pipeline
	if guardedConnection.ended || guardedConnection.closing || !requestPipeline.sequence.MayStart() {
		return false
	}
	if guardedConnection.handling {
		return guardedConnection.accepted && guardedConnection.guard.complete()
	}
	return len(requestPipeline.behind) > 0
}
