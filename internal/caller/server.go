package caller

import (
	"context"
	"expvar"
	"log" //nolint:depguard // http.Server accepts no other logger.
	"net"
	"net/http"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// NewServer returns an HTTP server for callers that serves HTTP/1.1, and unencrypted HTTP/2 if limits.MaxStreams is not 0, with limits that
// keep slow or hostile callers from affecting others.
func NewServer(handler *Handler, limits settings.Callers, events *expvar.Map) *http.Server {
	return newServer(handler, handler, limits, events)
}

// NewPeerServer returns an HTTP server for other instances, which relay callers' requests to it. It passes all other requests to next.
func NewPeerServer(handler *Handler, next http.Handler, limits settings.Callers, events *expvar.Map) *http.Server {
	relayedOrNext := func(writer http.ResponseWriter, request *http.Request) {
		if isRelayed(request) {
			handler.serveRelayed(writer, request)
			return
		}
		next.ServeHTTP(writer, request)
	}
	return newServer(handler, http.HandlerFunc(relayedOrNext), limits, events)
}

func newServer(handler *Handler, served http.Handler, limits settings.Callers, events *expvar.Map) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(limits.MaxStreams > 0)
	refusal := handler.options.Dialect.headRefusal()
	return &http.Server{
		Handler:           served,
		Protocols:         protocols,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    int(limits.MaxHeaderSize),
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			if guarded, isGuarded := connection.(*guardedConnection); isGuarded {
				guarded.server, _ = ctx.Value(http.ServerContextKey).(*http.Server)
				guarded.refusal, guarded.multiplexing = refusal, limits.MaxStreams > 0
			}
			return context.WithValue(ctx, connectionKey{}, connection)
		},
		ConnState:   handleConnState,
		HTTP2:       &http.HTTP2Config{MaxConcurrentStreams: limits.MaxStreams},
		BaseContext: func(net.Listener) context.Context { return handler.baseContext },
		ErrorLog:    log.New(errorCounter{events: events}, "", 0),
	}
}

// EventServerError counts the errors that the HTTP server logs, such as connections that could not be accepted because no file
// descriptors were left. The lines themselves are not logged, since a flood of connections produces one for each of them.
const EventServerError = "caller.serverError"

// errorCounter is a log writer that counts lines and discards them.
type errorCounter struct {
	events *expvar.Map
}

// Write implements io.Writer.
func (errorCounter errorCounter) Write(line []byte) (int, error) {
	errorCounter.events.Add(EventServerError, 1)
	return len(line), nil
}
