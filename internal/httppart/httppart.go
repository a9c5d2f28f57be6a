// Package httppart runs an HTTP server as a component of a supervisor tree. Its address is bound immediately, so that it is
// known before the tree runs, and bound again when the component is restarted.
//
// # Usage
//
//	server, err := httppart.New(httpServer, "10.0.0.4:8080", httppart.NewListenFunc(httppart.ListenOptions{Guard: guard}))
//	tree.Add(supervisor.Component{Name: "callers", Serve: server.Serve})
//	...
//	server.Shutdown(ctx) // returns when no request is in flight
package httppart

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/supervisor"
)

// Listener accepts a server's connections.
type Listener struct {
	net.Listener
	// Drain stops accepting connections and returns when the accepted ones have ended. It is called again for the connections that the
	// HTTP server itself has closed. It may be nil.
	Drain func(context.Context) error
}

// Server is an HTTP server as a component of a supervisor tree. It is safe for concurrent use.
type Server struct {
	// Guard recovers panics of draining listeners; nil lets them pass. It must be set before the first use.
	Guard *supervisor.Guard

	httpServer *http.Server
	listen     func(address string) (Listener, error)
	address    string

	mutex    sync.Mutex
	listener Listener
	// previous has the listeners from before restarts. Connections that they accepted stay open.
	previous []Listener
	// served reports whether the listener has been passed to the HTTP server, and drained whether Shutdown has been called.
	served, drained bool
}

// New binds the address and returns a server that handles requests once Serve is called. It returns an error if the address
// cannot be bound.
func New(httpServer *http.Server, address string, listen func(string) (Listener, error)) (*Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Server{httpServer: httpServer, listen: listen, address: listener.Addr().String(), listener: listener}, nil
}

// Serve handles requests until the context ends, and then closes the HTTP server. After Shutdown it handles none and only waits
// for the end of the context. It returns earlier if the listener fails.
func (server *Server) Serve(ctx context.Context) error {
	listener, err := server.takeListener()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, server.Guard.Func("close of a server", func() { _ = server.httpServer.Close() }))
	defer stop()
	err = server.httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || server.isDrained() {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Address returns the listening address.
func (server *Server) Address() string {
	return server.address
}

// Close closes the listener of a server that was never served.
func (server *Server) Close() error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.served {
		return nil
	}
	return server.listener.Close()
}

func (server *Server) takeListener() (Listener, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.served && !server.drained {
		listener, err := server.listen(server.address)
		if err != nil {
			return Listener{}, err
		}
		server.previous = append(server.previous, server.listener)
		server.listener = listener
	}
	server.served = true
	return server.listener, nil
}

func (server *Server) isDrained() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.drained
}

// Shutdown stops listening and waits for the requests in flight. It returns the context's error if that takes too long.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mutex.Lock()
	server.drained = true
	listeners := append([]Listener{server.listener}, server.previous...)
	server.mutex.Unlock()
	if err := server.drainAll(ctx, listeners); err != nil {
		return err
	}
	return errors.Join(server.httpServer.Shutdown(ctx), server.drainAll(ctx, listeners))
}

// drainAll drains all listeners at the same time.
func (server *Server) drainAll(ctx context.Context, listeners []Listener) error {
	var draining sync.WaitGroup
	drainErrors := make([]error, len(listeners))
	for index, listener := range listeners {
		if listener.Drain != nil {
			draining.Go(func() {
				if err := server.Guard.Run("drain", func() { drainErrors[index] = listener.Drain(ctx) }); err != nil {
					drainErrors[index] = err
				}
			})
		}
	}
	draining.Wait()
	return errors.Join(drainErrors...)
}

// NewGuardedHandler returns a handler that responds with status 503 if the given one panics before it has written anything. Otherwise
// net/http closes the connection without a response.
func NewGuardedHandler(guard *supervisor.Guard, component string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		recording := &recordingWriter{ResponseWriter: writer}
		defer func() {
			value := recover()
			switch {
			case value == nil:
			case guard == nil, value == http.ErrAbortHandler: //nolint:errorlint // net/http panics with exactly this value.
				panic(value)
			default:
				_ = guard.Record(component, value)
				if recording.written {
					panic(http.ErrAbortHandler)
				}
				clear(writer.Header())
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
		}()
		handler.ServeHTTP(recording, request)
	})
}

// recordingWriter records whether a response has been begun.
type recordingWriter struct {
	http.ResponseWriter

	written bool
}

// WriteHeader implements http.ResponseWriter.
func (recordingWriter *recordingWriter) WriteHeader(status int) {
	recordingWriter.written = true
	recordingWriter.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (recordingWriter *recordingWriter) Write(data []byte) (int, error) {
	recordingWriter.written = true
	return recordingWriter.ResponseWriter.Write(data)
}

// Unwrap returns the writer for http.ResponseController.
func (recordingWriter *recordingWriter) Unwrap() http.ResponseWriter {
	return recordingWriter.ResponseWriter
}
