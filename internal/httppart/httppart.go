// Package httppart runs an HTTP server as a part of a supervisor's tree. Its address is bound at once, so that it is known
// before the tree runs, and again when the part is started anew.
//
// # Usage
//
//	part, err := httppart.New(server, "10.0.0.4:8080", httppart.Listen)
//	tree.Add(supervisor.Part{Name: "callers", Serve: server.Serve})
//	...
//	server.Shutdown(ctx) // returns when no request is under way any more
package httppart

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Listener is where a part takes connections.
type Listener struct {
	net.Listener
	// Drain takes no more connections and returns when those that were taken have ended. It may be nil.
	Drain func(context.Context) error
}

// Listen listens on a TCP address.
func Listen(address string) (Listener, error) {
	listener, err := net.Listen("tcp", address)
	return Listener{Listener: listener}, err
}

// Server is an HTTP server as a part of a tree.
type Server struct {
	httpServer *http.Server
	listen     func(address string) (Listener, error)
	address    string

	mutex    sync.Mutex
	listener Listener
	// former are the listeners from before the part was started again; connections that they took go on.
	former []Listener
	// served says that the listener has been handed to the server, drained that it takes no more connections for good.
	served, drained bool
}

// New binds the address and returns a part that answers there once it is served.
func New(httpServer *http.Server, address string, listen func(string) (Listener, error)) (*Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Server{httpServer: httpServer, listen: listen, address: listener.Addr().String(), listener: listener}, nil
}

// Serve answers until the context ends, or until the part has been shut down.
func (server *Server) Serve(ctx context.Context) error {
	listener, err := server.takeListener()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.httpServer.Close() })
	defer stop()
	err = server.httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || server.isDrained() {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Address is where the part listens.
func (server *Server) Address() string {
	return server.address
}

// Close gives up the address of a part that was never served.
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
		server.former = append(server.former, server.listener)
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

// Shutdown ends listening and waits for the requests under way.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mutex.Lock()
	server.drained = true
	listeners := append([]Listener{server.listener}, server.former...)
	server.mutex.Unlock()
	var draining sync.WaitGroup
	failed := make([]error, len(listeners))
	for index, listener := range listeners {
		if listener.Drain != nil {
			draining.Go(func() { failed[index] = listener.Drain(ctx) })
		}
	}
	draining.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	return server.httpServer.Shutdown(ctx)
}
