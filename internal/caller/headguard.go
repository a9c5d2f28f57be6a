package caller

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const lengthHeader = "content-length"

var errAmbiguousFraming = errors.New("the request gives its length in two ways")

// headGuard notices a request head that holds a Content-Length. The standard library takes that header out of a
// request that has a Transfer-Encoding as well, so that a handler can't see it; but a request with both is how one
// request is smuggled inside another past two servers that disagree about which of them counts, and is refused here.
//
// It looks at whole heads only while it is sure where they begin. Once bytes have been read past the end of a head,
// a body or a pipelined request, it stops looking for good, and a chunked request on such a connection is its last.
type headGuard struct {
	scanning  bool
	loose     bool
	sawLength bool
	lines     int
	prefix    [len(lengthHeader) + 1]byte
	prefixed  int
}

// restart prepares for the next request on the connection.
func (headGuard *headGuard) restart() {
	headGuard.scanning = !headGuard.loose
	headGuard.sawLength = false
	headGuard.lines = 0
	headGuard.prefixed = 0
}

// observe looks at bytes as they arrive.
func (headGuard *headGuard) observe(data []byte) {
	for headGuard.scanning && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			headGuard.keep(data)
			return
		}
		headGuard.keep(data[:end])
		headGuard.endLine()
		data = data[end+1:]
	}
	if len(data) > 0 {
		headGuard.loose = true
	}
}

// keep remembers the start of the current line.
func (headGuard *headGuard) keep(part []byte) {
	headGuard.prefixed += copy(headGuard.prefix[headGuard.prefixed:], part)
}

func (headGuard *headGuard) endLine() {
	line := bytes.TrimRight(headGuard.prefix[:headGuard.prefixed], "\r")
	headGuard.prefixed = 0
	if len(line) > 0 {
		headGuard.lines++
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		headGuard.sawLength = headGuard.sawLength || hasColon && bytes.EqualFold(name, []byte(lengthHeader))
		return
	}
	// Empty lines before the request line are allowed; one after it ends the head.
	headGuard.scanning = headGuard.lines == 0
}

// guardedConnection is a caller's connection under a headGuard.
type guardedConnection struct {
	*net.TCPConn
	guard   headGuard
	release func()
	// unfinished is called when the connection ends within a request that was never handled.
	unfinished func()
	// pending says that bytes have arrived which belong to no handled request.
	pending atomic.Bool
}

// begin notes that a request is being handled.
func (guardedConnection *guardedConnection) begin() {
	guardedConnection.pending.Store(false)
}

// finish notes that a request has been handled; the bytes of its body belonged to it.
func (guardedConnection *guardedConnection) finish() {
	guardedConnection.pending.Store(false)
}

// Read implements net.Conn.
func (guardedConnection *guardedConnection) Read(buffer []byte) (int, error) {
	count, err := guardedConnection.TCPConn.Read(buffer)
	guardedConnection.guard.observe(buffer[:count])
	if count > 0 {
		guardedConnection.pending.Store(true)
	}
	return count, err
}

// Close implements net.Conn.
func (guardedConnection *guardedConnection) Close() error {
	defer guardedConnection.release()
	if guardedConnection.pending.Swap(false) {
		guardedConnection.unfinished()
	}
	return guardedConnection.TCPConn.Close()
}

// guardedListener takes callers' connections, at most as many at once as there are tokens.
type guardedListener struct {
	*net.TCPListener
	tokens     chan struct{}
	closed     chan struct{}
	once       sync.Once
	unfinished func()
}

func newGuardedListener(listener *net.TCPListener, most int, unfinished func()) *guardedListener {
	return &guardedListener{
		TCPListener: listener, tokens: make(chan struct{}, most), closed: make(chan struct{}), unfinished: unfinished,
	}
}

// Accept implements net.Listener. Above the limit it takes no connection until one ends, so that a flood of them costs
// the kernel's queue and nothing else.
func (guardedListener *guardedListener) Accept() (net.Conn, error) {
	select {
	case guardedListener.tokens <- struct{}{}:
	case <-guardedListener.closed:
		return nil, net.ErrClosed
	}
	connection, err := guardedListener.TCPListener.AcceptTCP()
	if err != nil {
		<-guardedListener.tokens
		return nil, err
	}
	guarded := &guardedConnection{
		TCPConn:    connection,
		unfinished: guardedListener.unfinished,
		release:    sync.OnceFunc(func() { <-guardedListener.tokens }),
	}
	guarded.guard.restart()
	return guarded, nil
}

// Close implements net.Listener.
func (guardedListener *guardedListener) Close() error {
	guardedListener.once.Do(func() { close(guardedListener.closed) })
	return guardedListener.TCPListener.Close()
}

// restartGuard is the server's hook for changes of a connection's state: an idle connection's next bytes are a head.
func restartGuard(connection net.Conn, state http.ConnState) {
	guarded, isGuarded := connection.(*guardedConnection)
	if isGuarded && state == http.StateIdle {
		guarded.guard.restart()
	}
}

// checkFraming refuses a request whose length is given in two ways. It reports whether the connection must end after
// this request because nobody can be sure that it was given in one way only.
func checkFraming(request *http.Request) (bool, error) {
	if request.ProtoMajor != 1 || !slices.Contains(request.TransferEncoding, "chunked") {
		return false, nil
	}
	guarded, isGuarded := request.Context().Value(connectionKey{}).(*guardedConnection)
	if !isGuarded {
		return true, nil
	}
	if guarded.guard.sawLength {
		return true, errAmbiguousFraming
	}
	return guarded.guard.loose, nil
}
