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
	call  *call
	mutex sync.Mutex
	ended bool
}

// watch returns a context under which informational answers are passed on.
func (hints *hints) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: hints.pass})
}

// end passes nothing on any more.
func (hints *hints) end() {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	hints.ended = true
}

func (hints *hints) pass(status int, received textproto.MIMEHeader) error {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	// The server itself sends 100 when the body is first read, and a change of protocol is not offered.
	if hints.ended || status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return nil
	}
	passed := http.Header(received)
	removeHopByHop(passed)
	header := hints.call.writer.Header()
	own := hints.call.handler.options.Dialect.IsReservedHeader
	maps.DeleteFunc(passed, func(name string, _ []string) bool { return own(name) })
	maps.Copy(header, passed)
	hints.call.writer.WriteHeader(status)
	for name := range passed {
		header.Del(name)
	}
	return nil
}
