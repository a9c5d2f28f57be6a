package caller

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Names of the headers that determine the length of a body.
const (
	contentLengthHeader    = "content-length"
	transferEncodingHeader = "transfer-encoding"
)

// http2Preface is the first line on an HTTP/2 connection, which carries several requests at once.
const http2Preface = "PRI * HTTP/2.0"

var errAmbiguousFraming = errors.New("request has both Content-Length and Transfer-Encoding")

// headGuard detects a Content-Length in a request's head. net/http removes that header from a request that also has a
// Transfer-Encoding, so a handler cannot see it. A request with both can smuggle another request past two servers that
// disagree about which header applies, and is rejected.
//
// headGuard also finds the end of a request whose body has a known length. When bytes of a chunked body have been read, it no longer
// knows where the next head begins: it stops inspecting the connection, which is closed after its next chunked request whose head has not
// been inspected.
type headGuard struct {
	// scanning means that the next bytes belong to a head, inspected that all of the current request's head has been or will be inspected.
	scanning, inspected bool
	// desynchronized means that the guard no longer knows where the next head begins.
	desynchronized   bool
	sawContentLength bool
	// sawPreface means that the first line was the HTTP/2 preface.
	sawPreface bool
	// unknownLength means that the end of the body cannot be told from the head.
	unknownLength bool
	// bodyLength is the length of the body in bytes, bodyLeft the part of it that has not been read.
	bodyLength, bodyLeft int64
	lines                int
	linePrefix           [maxLinePrefix]byte
	linePrefixLength     int
	// headBytes is the length of what has been read of the current request's head, and headLines the number of its lines.
	headBytes, headLines int
	// uninspected is the length of the latest read of a connection that is not inspected, and uninspectedLines the number of its lines.
	uninspected, uninspectedLines int
}

// maxLinePrefix is the stored length of a line's start: a Content-Length of any body that is accepted fits into it.
const maxLinePrefix = len(contentLengthHeader) + 32

// reset prepares the guard for the next request on the connection.
func (headGuard *headGuard) reset() {
	headGuard.scanning = !headGuard.desynchronized
	headGuard.inspected = headGuard.scanning
	headGuard.sawContentLength, headGuard.unknownLength = false, false
	headGuard.bodyLength, headGuard.bodyLeft = 0, 0
	headGuard.lines = 0
	headGuard.linePrefixLength = 0
	// The start of the next head may be among the bytes that were read last.
	headGuard.headBytes, headGuard.headLines = headGuard.uninspected, headGuard.uninspectedLines
	headGuard.uninspected, headGuard.uninspectedLines = 0, 0
}

// observe inspects bytes as they are read, and returns how many of them belong to the current request. All bytes count as part of
// it if its end is not known.
func (headGuard *headGuard) observe(data []byte) int {
	count := len(data)
	for headGuard.scanning && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			headGuard.appendPrefix(data)
			headGuard.headBytes += len(data)
			return count
		}
		headGuard.appendPrefix(data[:end])
		headGuard.endLine()
		headGuard.headBytes += end + 1
		headGuard.headLines++
		data = data[end+1:]
	}
	if len(data) == 0 {
		return count
	}
	if headGuard.desynchronized || headGuard.unknownLength || headGuard.sawPreface {
		headGuard.desynchronized = true
		headGuard.uninspected, headGuard.uninspectedLines = len(data), bytes.Count(data, []byte("\n"))
		return count
	}
	body := min(int64(len(data)), headGuard.bodyLeft)
	headGuard.bodyLeft -= body
	return count - len(data) + int(body)
}

// countUninspected adds the latest read to the current head, on a connection that is not inspected and waits for the end of a head.
func (headGuard *headGuard) countUninspected() {
	headGuard.headBytes += headGuard.uninspected
	headGuard.headLines += headGuard.uninspectedLines
}

// complete reports whether the current request is known to have been read to its end.
func (headGuard *headGuard) complete() bool {
	return !headGuard.scanning && !headGuard.desynchronized && !headGuard.unknownLength && !headGuard.sawPreface && headGuard.bodyLeft == 0
}

// appendPrefix appends to the stored start of the current line.
func (headGuard *headGuard) appendPrefix(part []byte) {
	headGuard.linePrefixLength += copy(headGuard.linePrefix[headGuard.linePrefixLength:], part)
}

func (headGuard *headGuard) endLine() {
	line := bytes.TrimRight(headGuard.linePrefix[:headGuard.linePrefixLength], "\r")
	overlong := headGuard.linePrefixLength == maxLinePrefix
	headGuard.linePrefixLength = 0
	if len(line) == 0 {
		// Empty lines before the request line are allowed; one after it ends the head.
		headGuard.scanning = headGuard.lines == 0
		return
	}
	headGuard.lines++
	headGuard.sawPreface = headGuard.sawPreface || headGuard.lines == 1 && string(line) == http2Preface
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case hasColon && bytes.EqualFold(name, []byte(contentLengthHeader)):
		headGuard.readContentLength(value, overlong)
	case bytes.EqualFold(bytes.TrimSpace(name), []byte(transferEncodingHeader)):
		headGuard.unknownLength = true
	}
}

// readContentLength reads the length of the body. More than one Content-Length, or one that is not a plain number, leaves it unknown.
func (headGuard *headGuard) readContentLength(value []byte, overlong bool) {
	length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
	headGuard.unknownLength = headGuard.unknownLength || headGuard.sawContentLength || overlong || err != nil
	headGuard.sawContentLength = true
	headGuard.bodyLength, headGuard.bodyLeft = int64(length), int64(length)
}

// agreesWith reports whether net/http has read the same end of the current request from its head.
func (headGuard *headGuard) agreesWith(request *http.Request) bool {
	return !headGuard.unknownLength && len(request.TransferEncoding) == 0 && request.ContentLength == headGuard.bodyLength
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
	return !guarded.guard.inspected, nil
}
