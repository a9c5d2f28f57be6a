package caller

import (
	"context"
	"expvar"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// NewServer returns an HTTP server for callers that takes HTTP/1.1 and HTTP/2 without encryption, with every limit that
// keeps a slow or hostile caller from costing the others anything.
func NewServer(handler http.Handler, limits settings.Callers) *http.Server {
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
		ConnState: restartGuard,
	}
}

// Listen listens for callers and takes no more connections than the limit. It counts those that end unfinished.
func Listen(address string, limits settings.Callers, events *expvar.Map) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return newGuardedListener(listener, limits.ConnectionsMost, func() { events.Add(EventUnfinished, 1) }), nil
}
