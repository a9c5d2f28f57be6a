// Package httppart runs an HTTP server as a part of a supervisor's tree. Its address is bound at once, so that it is known
// before the tree runs, and again when the part is started anew.
//
// # Usage
//
//	part, err := httppart.New(server, "10.0.0.4:8080", httppart.Listen)
//	tree.Add(supervisor.Part{Name: "callers", Serve: part.Serve})
//	...
//	part.Shutdown(ctx) // returns when no request is under way any more
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

// Part is an HTTP server as a part of a tree.
type Part struct {
	server  *http.Server
	listen  func(address string) (Listener, error)
	address string

	mutex    sync.Mutex
	listener Listener
	// former are the listeners from before the part was started again; connections that they took go on.
	former []Listener
	// served says that the listener has been handed to the server, drained that it takes no more connections for good.
	served, drained bool
}

// New binds the address and returns a part that answers there once it is served.
func New(server *http.Server, address string, listen func(string) (Listener, error)) (*Part, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Part{server: server, listen: listen, address: listener.Addr().String(), listener: listener}, nil
}

// Serve answers until the context ends, or until the part has been shut down.
func (part *Part) Serve(ctx context.Context) error {
	listener, err := part.takeListener()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = part.server.Close() })
	defer stop()
	err = part.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || part.isDrained() {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Address is where the part listens.
func (part *Part) Address() string {
	return part.address
}

// Close gives up the address of a part that was never served.
func (part *Part) Close() error {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	if part.served {
		return nil
	}
	return part.listener.Close()
}

func (part *Part) takeListener() (Listener, error) {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	if part.served && !part.drained {
		listener, err := part.listen(part.address)
		if err != nil {
			return Listener{}, err
		}
		part.former = append(part.former, part.listener)
		part.listener = listener
	}
	part.served = true
	return part.listener, nil
}

func (part *Part) isDrained() bool {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	return part.drained
}

// Shutdown ends listening and waits for the requests under way.
func (part *Part) Shutdown(ctx context.Context) error {
	part.mutex.Lock()
	part.drained = true
	listeners := append([]Listener{part.listener}, part.former...)
	part.mutex.Unlock()
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
	return part.server.Shutdown(ctx)
}
