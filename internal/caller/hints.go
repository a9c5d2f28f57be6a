package caller

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// hints forwards informational responses, such as 103 Early Hints, until the final response arrives. They arrive on the
// goroutine of the backend server's connection, which may still run when the attempt has been abandoned; the mutex keeps a late
// one from being written into the response of another attempt.
type hints struct {
	call    *call
	mutex   sync.Mutex
	stopped bool
}

// withHints returns a context for the attempt, under which informational responses are forwarded.
func (hints *hints) withHints(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: hints.relay})
}

// stop ends the forwarding of informational responses.
func (hints *hints) stop() {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	hints.stopped = true
}

// relay forwards an informational response. net/http calls it on a goroutine of its own.
func (hints *hints) relay(status int, received textproto.MIMEHeader) (err error) {
	if panicError := hints.call.handler.options.Guard.Run("informational response", func() { err = hints.forward(status, received) }); panicError != nil {
		return panicError
	}
	return err
}

func (hints *hints) forward(status int, received textproto.MIMEHeader) error {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	// net/http sends 100 itself when the body is first read, and protocol upgrades are not supported. HTTP/1.0 has no informational
	// responses: a caller would take one for the final response.
	if hints.stopped || status == http.StatusContinue || status == http.StatusSwitchingProtocols || !hints.call.request.ProtoAtLeast(1, 1) {
		return nil
	}
	if !hints.call.handler.options.Dialect.belongsTo(hints.call.id, http.Header(received)) {
		return nil
	}
	forwarded := http.Header(received)
	removeHopByHop(forwarded)
	header := hints.call.writer.Header()
	isReserved := hints.call.handler.options.Dialect.IsReservedHeader
	maps.DeleteFunc(forwarded, func(name string, _ []string) bool { return isReserved(name) })
	maps.Copy(header, forwarded)
	hints.call.writer.WriteHeader(status)
	for name := range forwarded {
		header.Del(name)
	}
	return nil
}
