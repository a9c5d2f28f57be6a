package caller

import (
	"bytes"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

const contentLengthHeader = "content-length"

// preface is the first line on a connection that carries several requests at once.
const http2Preface = "PRI * HTTP/2.0"

var errAmbiguousFraming = errors.New("the request gives its length in two ways")

// headGuard notices a request head that holds a Content-Length. The standard library takes that header out of a
// request that has a Transfer-Encoding as well, so that a handler can't see it; but a request with both is how one
// request is smuggled inside another past two servers that disagree about which of them counts, and is refused here.
//
// It looks at whole heads only while it is sure where they begin. Once bytes have been read past the end of a head,
// a body or a pipelined request, it stops looking for good, and a chunked request on such a connection is its last.
type headGuard struct {
	scanning         bool
	desynchronized   bool
	sawContentLength bool
	// sawPreface says that the first line was the preface.
	sawPreface       bool
	lines            int
	linePrefix       [len(contentLengthHeader) + 1]byte
	linePrefixLength int
}

// restart prepares for the next request on the connection.
func (headGuard *headGuard) reset() {
	headGuard.scanning = !headGuard.desynchronized
	headGuard.sawContentLength = false
	headGuard.lines = 0
	headGuard.linePrefixLength = 0
}

// observe looks at bytes as they arrive.
func (headGuard *headGuard) observe(data []byte) {
	for headGuard.scanning && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			headGuard.appendPrefix(data)
			return
		}
		headGuard.appendPrefix(data[:end])
		headGuard.endLine()
		data = data[end+1:]
	}
	if len(data) > 0 {
		headGuard.desynchronized = true
	}
}

// keep remembers the start of the current line.
func (headGuard *headGuard) appendPrefix(part []byte) {
	headGuard.linePrefixLength += copy(headGuard.linePrefix[headGuard.linePrefixLength:], part)
}

func (headGuard *headGuard) endLine() {
	line := bytes.TrimRight(headGuard.linePrefix[:headGuard.linePrefixLength], "\r")
	headGuard.linePrefixLength = 0
	if len(line) > 0 {
		headGuard.lines++
		headGuard.sawPreface = headGuard.sawPreface || headGuard.lines == 1 && string(line) == http2Preface
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		headGuard.sawContentLength = headGuard.sawContentLength || hasColon && bytes.EqualFold(name, []byte(contentLengthHeader))
		return
	}
	// Empty lines before the request line are allowed; one after it ends the head.
	headGuard.scanning = headGuard.lines == 0
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
	if guarded.guard.sawContentLength {
		return true, errAmbiguousFraming
	}
	return guarded.guard.desynchronized, nil
}
