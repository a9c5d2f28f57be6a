package caller

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaywheel/jaywheel/internal/pipeline"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Events of pipelined requests.
const (
	// EventPipelined counts the requests that were started while earlier ones of their connection were in progress.
	EventPipelined = "caller.pipelined"
	// EventPipelineFull counts how often a connection was not read on because it had as many requests in progress as are allowed.
	EventPipelineFull = "caller.pipelineFull"
	// EventPipelineScarce counts the requests that waited for earlier ones of their connection because too much memory was in use.
	EventPipelineScarce = "caller.pipelineScarce"
	// EventPipelineUnread counts the connections that were closed with requests on them that were not read.
	EventPipelineUnread = "caller.pipelineUnread"
)

const (
	// maxUnreadBytes is the length of requests that have been received but not started at which a connection is not read on, and
	// maxScarceUnreadBytes the same while memory is scarce.
	maxUnreadBytes       = 32 << 10
	maxScarceUnreadBytes = 4 << 10
	// pipelineReadBytes is the size of the buffer with which requests behind the one in progress are read.
	pipelineReadBytes = 4 << 10
	// maxHeldBytes is the length of the responses that all connections together hold. An instance has a few hundred megabytes of memory.
	maxHeldBytes = 32 << 20
	// maxUnsentBytes is the length of a response that waits for the caller to read it, above which no more of it is accepted.
	maxUnsentBytes = 64 << 10
	// disconnectPollInterval is how often a connection that is not read on is checked for a disconnect of the caller.
	disconnectPollInterval = 50 * clock.Millisecond
)

// pipelining is what all connections of a listener have in common for requests that callers send before earlier ones have been answered.
type pipelining struct {
	limits       pipeline.Limits
	maxHeadBytes int
	maxStall     clock.Milliseconds
	events       *expvar.Map
	// heldBytes is the length of the responses that all connections hold.
	heldBytes atomic.Int64
}

func newPipelining(limits settings.Callers, events *expvar.Map) *pipelining {
	return &pipelining{
		limits:       pipeline.Limits{Requests: limits.MaxPipelined, HeldBytes: int(limits.MaxPipelinedHeld)},
		maxHeadBytes: int(limits.MaxHeaderSize), maxStall: limits.MaxStall, events: events,
	}
}

// enabled reports whether requests of one connection may be served at the same time.
func (pipelining *pipelining) enabled() bool {
	return pipelining.limits.Requests > 1
}

// requestPipeline contains the requests of a connection whose responses have not been sent completely: one that the HTTP server reads
// from the connection itself, and those behind it. It exists only while a caller pipelines requests. The connection's mutex guards it.
type requestPipeline struct {
	sequence *pipeline.Sequence
	// behind are the requests that the HTTP server does not read from the connection itself.
	behind []*pipelinedRequest
	// unread are bytes that have been received and belong to no request that has been started.
	unread []byte
	// buffer is used to receive more of them.
	buffer []byte
	// sequential means that the request at the start of unread waits until all before it have been answered.
	sequential bool
	// full means that as many requests are in progress as are allowed, and sending that a goroutine sends responses.
	full, sending bool
	// idleTimeout is the idle timeout that applies once nothing is in progress, 0 if none has been set.
	idleTimeout time.Duration
	// handled is the request that the HTTP server reads from the connection itself.
	handled pipeline.Number
	// changed is signalled when a request may go on; wake when the connection may be read on.
	changed *sync.Cond
	wake    chan struct{}
}

// newPipeline creates the connection's pipeline if there is none. The request that the HTTP server handles becomes its first one. The
// mutex must be held.
func (guardedConnection *guardedConnection) newPipeline() *requestPipeline {
	if guardedConnection.pipeline == nil {
		guardedConnection.pipeline = &requestPipeline{
			sequence: pipeline.NewSequence(guardedConnection.pipelining.limits), changed: sync.NewCond(&guardedConnection.mutex), wake: make(chan struct{}, 1),
		}
		if guardedConnection.handling {
			guardedConnection.pipeline.handled, _ = guardedConnection.pipeline.sequence.Start()
		}
	}
	return guardedConnection.pipeline
}

// idle reports whether no request is in progress and none has been received. The connection's mutex must be held.
func (requestPipeline *requestPipeline) idle() bool {
	return requestPipeline.sequence.InProgress() == 0 && len(requestPipeline.unread) == 0
}

// notify wakes everything that waits for a change. The connection's mutex must be held.
func (requestPipeline *requestPipeline) notify() {
	requestPipeline.changed.Broadcast()
	select {
	case requestPipeline.wake <- struct{}{}:
	default:
	}
}

// holdBack keeps bytes that follow the current request.
func (guardedConnection *guardedConnection) holdBack(data []byte) {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	if guardedConnection.closed {
		return
	}
	requestPipeline := guardedConnection.newPipeline()
	guardedConnection.setUnread(append(requestPipeline.unread, data...))
}

// setUnread replaces the bytes that belong to no request that has been started, and counts them among the memory of heads. The mutex must be
// held.
func (guardedConnection *guardedConnection) setUnread(unread []byte) {
	requestPipeline := guardedConnection.pipeline
	guardedConnection.connections.headMemory.Hold(len(unread) - len(requestPipeline.unread))
	requestPipeline.unread = unread
}

// maxUnread returns the length of requests that have been received but not started at which the connection is not read on.
func (guardedConnection *guardedConnection) maxUnread() int {
	if guardedConnection.connections.headMemory.Scarce() {
		return maxScarceUnreadBytes
	}
	return maxUnreadBytes
}

// endHandling records that the HTTP server has sent the response to the request that it has read from the connection. It reports whether
// requests are behind that one.
func (guardedConnection *guardedConnection) endHandling() bool {
	guardedConnection.mutex.Lock()
	defer guardedConnection.mutex.Unlock()
	guardedConnection.handling, guardedConnection.accepted = false, false
	requestPipeline := guardedConnection.pipeline
	if requestPipeline == nil {
		return false
	}
	requestPipeline.sequence.Finish(requestPipeline.handled, pipeline.Answered)
	requestPipeline.sequence.Advance()
	requestPipeline.notify()
	return true
}
