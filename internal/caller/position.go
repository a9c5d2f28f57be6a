package caller

import (
	"context"
	"net/http"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// position is the place of a request among those of its connection. The zero value is that of a request that has its connection to itself.
type position struct {
	connection *guardedConnection
	// request is nil if the HTTP server reads the request from the connection itself.
	request *pipelinedRequest
}

// positionOf returns the place of a caller's request.
func positionOf(request *http.Request) position {
	switch connection := request.Context().Value(connectionKey{}).(type) {
	case *guardedConnection:
		if request.ProtoMajor == 1 {
			return position{connection: connection}
		}
	case *pipelinedRequest:
		return position{connection: connection.connection, request: connection}
	}
	return position{}
}

// behind returns the number of earlier requests of the connection whose responses have not been sent.
func (position position) behind() int {
	if position.request == nil {
		return 0
	}
	position.connection.mutex.Lock()
	defer position.connection.mutex.Unlock()
	if position.request.abandoned {
		return 0
	}
	return position.request.pipeline.sequence.Behind(position.request.number)
}

// onHeld calls the function with the time for which the response was held for those to earlier requests, when its turn comes or now if
// that is known. It is not called if the response is not held.
func (position position) onHeld(record func(clock.Milliseconds)) {
	position.connection.mutex.Lock()
	defer position.connection.mutex.Unlock()
	if position.request.heldFor > 0 {
		record(position.request.heldFor)
		return
	}
	position.request.onHeld = record
}

// endConnection reports whether the response to the request may end its connection. It may not if a later request has been started, whose
// response has to follow. No other request is started after that.
func (position position) endConnection() bool {
	connection := position.connection
	if connection == nil {
		return true
	}
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.ended = true
	requestPipeline := connection.pipeline
	if requestPipeline == nil {
		return true
	}
	requestPipeline.sequence.End()
	requestPipeline.notify()
	if position.request == nil {
		return len(requestPipeline.behind) == 0
	}
	return requestPipeline.sequence.EndWith(position.request.number)
}

// awaitTurn waits until all earlier requests of the connection have been answered. It reports false if the connection or the context has
// ended before.
func (position position) awaitTurn(ctx context.Context) bool {
	request := position.request
	if request == nil {
		return true
	}
	mutex := &position.connection.mutex
	defer context.AfterFunc(ctx, func() {
		mutex.Lock()
		defer mutex.Unlock()
		request.pipeline.changed.Broadcast()
	})()
	mutex.Lock()
	defer mutex.Unlock()
	for !request.abandoned && ctx.Err() == nil && !request.pipeline.sequence.HasTurn(request.number) {
		request.pipeline.changed.Wait()
	}
	return !request.abandoned && ctx.Err() == nil
}

// disconnected reports whether the caller has closed the connection or its sending side.
func (position position) disconnected() bool {
	return position.connection != nil && position.connection.disconnected()
}

// abort makes the connection end with a TCP reset after this request. A response that is delimited by the end of its connection, as in
// HTTP/1.0, would otherwise look complete.
func (position position) abort() {
	switch {
	case position.request != nil:
		position.request.abort()
	case position.connection != nil:
		position.connection.reset()
	}
}
