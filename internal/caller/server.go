package caller

import (
	"context"
	"expvar"
	"log" //nolint:depguard // The server takes no other logger.
	"net"
	"net/http"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// NewServer returns an HTTP server for callers that takes HTTP/1.1 and HTTP/2 without encryption, with every limit that
// keeps a slow or hostile caller from costing the others anything.
func NewServer(handler *Handler, limits settings.Callers, events *expvar.Map) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleMost.Duration(),
		MaxHeaderBytes:    int(limits.HeaderMost),
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, connection)
		},
		ConnState:   handleConnState,
		BaseContext: func(net.Listener) context.Context { return handler.baseContext },
		ErrorLog:    log.New(errorCounter{events: events}, "", 0),
	}
}

// EventServerError counts what the HTTP server complains of, such as connections that could not be taken for want of
// file descriptors. Under a flood it complains for each connection, so that the lines themselves would do harm.
const EventServerError = "caller.serverError"

// errorCounter counts the lines that the HTTP server writes to its log.
type errorCounter struct {
	events *expvar.Map
}

// Write implements io.Writer.
func (errorCounter errorCounter) Write(line []byte) (int, error) {
	errorCounter.events.Add(EventServerError, 1)
	return len(line), nil
}
