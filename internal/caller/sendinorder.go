package caller

import (
	"time"

	"github.com/jaywheel/jaywheel/internal/pipeline"
)

// abandonRequests cancels the requests behind the one that the HTTP server reads itself, because the connection has ended.
func (guardedConnection *guardedConnection) abandonRequests() {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.abandonLocked()
}

// abandonLocked is abandonRequests for callers that hold the mutex.
func (guardedConnection *guardedConnection) abandonLocked() {
	guardedConnection.ended = true
	requestPipeline := guardedConnection.pipeline
	if requestPipeline == nil {
		return
	}
	for _, request := range requestPipeline.behind {
		request.abandoned = true
		request.takeHeld()
	}
	requestPipeline.behind = nil
	requestPipeline.sequence.Abandon()
	requestPipeline.notify()
}

// sendResponses sends what has been held of the responses whose turn has come.
func (guardedConnection *guardedConnection) sendResponses() {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	requestPipeline := guardedConnection.pipeline
	if requestPipeline == nil || requestPipeline.sending {
		return
	}
	requestPipeline.sending = true
	defer func() { requestPipeline.sending = false }()
	for !guardedConnection.handling && len(requestPipeline.behind) > 0 {
		if first := requestPipeline.behind[0]; len(first.held) > 0 {
			if !guardedConnection.sendHeld(first) {
				return
			}
			continue
		}
		switch requestPipeline.sequence.Advance() {
		case pipeline.InProgress:
			return
		case pipeline.Answered:
			requestPipeline.behind = requestPipeline.behind[1:]
			requestPipeline.notify()
		case pipeline.AnsweredLast:
			guardedConnection.abandonLocked()
		case pipeline.Aborted:
			guardedConnection.abandonLocked()
			// A response that was cut off must not look complete.
			_ = guardedConnection.TCPConn.SetLinger(0)
			_ = guardedConnection.TCPConn.Close()
			return
		}
	}
	if !guardedConnection.handling {
		guardedConnection.endProgress()
	}
}

// sendHeld sends the held bytes of the response that has the turn, and reports whether the connection still serves requests. The mutex
// must be held, and is released meanwhile.
func (guardedConnection *guardedConnection) sendHeld(request *pipelinedRequest) bool {
	request.endHold()
	data := request.takeHeld()
	request.sending = len(data)
	err := guardedConnection.writeUnlocked(data)
	request.sending = 0
	if err != nil && !request.abandoned {
		guardedConnection.abandonLocked()
		_ = guardedConnection.TCPConn.Close()
	}
	request.pipeline.changed.Broadcast()
	return !request.abandoned
}

// writeUnlocked writes to the caller. The mutex must be held, and is released meanwhile. It is held again after a panic: the unlock of an
// unlocked mutex would end the process.
func (guardedConnection *guardedConnection) writeUnlocked(data []byte) error {
	guardedConnection.mutex.Unlock()
	defer guardedConnection.mutex.Lock()
	_ = guardedConnection.TCPConn.SetWriteDeadline(time.Now().Add(guardedConnection.pipelining.maxStall.Duration()))
	_, err := guardedConnection.Write(data)
	_ = guardedConnection.TCPConn.SetWriteDeadline(time.Time{})
	return err
}

// endProgress applies what was put off while requests were in progress: the end of a connection that must not be used further, or else the
// idle timeout. The mutex must be held.
func (guardedConnection *guardedConnection) endProgress() {
	requestPipeline := guardedConnection.pipeline
	guardedConnection.since = time.Now()
	switch {
	case guardedConnection.closing, guardedConnection.ended, requestPipeline.sequence.Ended():
		guardedConnection.ended = true
		// The caller sees the end of the connection at once. What it has sent is discarded before the connection is closed.
		_ = guardedConnection.TCPConn.CloseWrite()
		_ = guardedConnection.TCPConn.SetReadDeadline(pastDeadline)
	case requestPipeline.idleTimeout > 0:
		_ = guardedConnection.TCPConn.SetReadDeadline(time.Now().Add(requestPipeline.idleTimeout))
	}
	requestPipeline.idleTimeout = 0
	requestPipeline.notify()
}
