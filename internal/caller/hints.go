package caller

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// hints passes on informational answers (103 Early Hints and its like) while the final one is awaited. They arrive on
// the connection's goroutine, which may still be running when the attempt has been given up; the mutex keeps one that
// comes late from writing into the answer of another attempt.
type hints struct {
	call    *call
	mutex   sync.Mutex
	stopped bool
}

// watch returns a context under which informational answers are passed on.
func (hints *hints) withHints(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: hints.relay})
}

// end passes nothing on any more.
func (hints *hints) stop() {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	hints.stopped = true
}

func (hints *hints) relay(status int, received textproto.MIMEHeader) error {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	// The server itself sends 100 when the body is first read, and a change of protocol is not offered.
	if hints.stopped || status == http.StatusContinue || status == http.StatusSwitchingProtocols {
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
