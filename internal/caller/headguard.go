package caller

import (
	"bytes"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

const contentLengthHeader = "content-length"

// http2Preface is the first line on an HTTP/2 connection, which carries several requests at once.
const http2Preface = "PRI * HTTP/2.0"

var errAmbiguousFraming = errors.New("request has both Content-Length and Transfer-Encoding")

// headGuard detects a Content-Length in a request's head. net/http removes that header from a request that also has a
// Transfer-Encoding, so a handler cannot see it. A request with both can smuggle another request past two servers that
// disagree about which header applies, and is rejected.
//
// headGuard inspects heads only while it knows where they begin. When bytes past the end of a head have been read, from a body
// or a pipelined request, it stops inspecting the connection, and the connection is closed after its next chunked request.
type headGuard struct {
	// scanning means that the next bytes belong to a head.
	scanning bool
	// desynchronized means that the guard no longer knows where the next head begins.
	desynchronized   bool
	sawContentLength bool
	// sawPreface means that the first line was the HTTP/2 preface.
	sawPreface       bool
	lines            int
	linePrefix       [len(contentLengthHeader) + 1]byte
	linePrefixLength int
}

// reset prepares the guard for the next request on the connection.
func (headGuard *headGuard) reset() {
	headGuard.scanning = !headGuard.desynchronized
	headGuard.sawContentLength = false
	headGuard.lines = 0
	headGuard.linePrefixLength = 0
}

// observe inspects bytes as they are read.
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

// appendPrefix appends to the stored start of the current line.
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

// checkFraming returns an error for a request that has both Content-Length and Transfer-Encoding. It also reports whether the
// connection must be closed after this request, because the request has both or the guard could not inspect its head.
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
