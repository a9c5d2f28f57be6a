package backendserver

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors of heads that are no heads of responses (RFC 9112, sections 4 and 5; RFC 9110, section 15).
var (
	errStatusLine       = errors.New("the response has a malformed status line")
	errProtocol         = errors.New("the response is not of HTTP/1")
	errStatus           = errors.New("the response has a status that no final response has")
	errFieldLine        = errors.New("the response has a malformed header line")
	errSecondHead       = errors.New("the response has the start of another head within its own")
	errTransferEncoding = errors.New("the response of HTTP/1.0 has a Transfer-Encoding")
	errAmbiguousLength  = errors.New("the response has both Content-Length and Transfer-Encoding")
)

// maxStatus is the highest status that a response can have.
const maxStatus = 599

const (
	protocolPrefix = "HTTP/1."
	// statusLineLength is the length of the shortest status line.
	statusLineLength = len("HTTP/1.1 200")
)

// headScanner reads the heads of a response as strictly as their grammar says: that of the response, and those of the informational
// responses before it. net/http leaves out lines that it does not understand and accepts any status. A head that was broken off and goes on
// with that of another response would be taken for one, with the status of the first and fields of both.
type headScanner struct {
	// line is the start of a line whose end has not been read.
	line []byte
	// inHead means that the status line has been read, and complete that the head of the final response has.
	inHead, complete bool
	// status and http10 are those of the latest status line.
	status int
	http10 bool
	// fields is the number of lines of the current head behind the status line.
	fields int
	// hasLength and hasTransferEncoding are whether the current head has these headers.
	hasLength, hasTransferEncoding bool
}

// scan reads further bytes. It returns an error if they are not those of a head. Bytes behind the head are not examined.
func (headScanner *headScanner) scan(data []byte) error {
	for !headScanner.complete {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			headScanner.line = append(headScanner.line, data...)
			return nil
		}
		line := data[:end]
		if len(headScanner.line) > 0 {
			line = append(headScanner.line, line...)
			headScanner.line = nil
		}
		if err := headScanner.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		data = data[end+1:]
	}
	return nil
}

func (headScanner *headScanner) readLine(line []byte) error {
	switch {
	case !headScanner.inHead:
		return headScanner.readStatusLine(line)
	case len(line) == 0:
		return headScanner.endHead()
	default:
		return headScanner.readField(line)
	}
}

// readStatusLine reads the first line of a head. The reason phrase and the space before it may be missing.
func (headScanner *headScanner) readStatusLine(line []byte) error {
	if !startsHead(line) {
		if bytes.HasPrefix(line, []byte("HTTP/")) && !bytes.HasPrefix(line, []byte(protocolPrefix)) {
			return errProtocol
		}
		return errStatusLine
	}
	reason := line[statusLineLength:]
	if len(reason) > 0 && reason[0] != ' ' || !isFieldText(reason) {
		return errStatusLine
	}
	if containsHead(reason) {
		return errSecondHead
	}
	digits := line[statusLineLength-3:]
	headScanner.status = int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
	headScanner.http10 = line[len(protocolPrefix)] == '0'
	headScanner.inHead, headScanner.fields, headScanner.hasLength, headScanner.hasTransferEncoding = true, 0, false, false
	if headScanner.status < http.StatusContinue || headScanner.status > maxStatus {
		return errStatus
	}
	if headScanner.http10 && headScanner.status < http.StatusOK {
		// HTTP/1.0 has no informational responses.
		return errProtocol
	}
	return nil
}

func (headScanner *headScanner) readField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if line[0] == ' ' || line[0] == '\t' {
		// The line continues the value of the one before; net/http joins them by a space (RFC 9112, section 5.2).
		name, value, found = nil, line, headScanner.fields > 0
	} else if !isToken(name) {
		return errFieldLine
	}
	if !found || !isFieldText(value) {
		return errFieldLine
	}
	if containsHead(value) {
		return errSecondHead
	}
	headScanner.fields++
	headScanner.hasLength = headScanner.hasLength || equalsFold(name, "Content-Length")
	headScanner.hasTransferEncoding = headScanner.hasTransferEncoding || equalsFold(name, "Transfer-Encoding")
	return nil
}

// endHead reads the empty line behind a head. In HTTP/1.0 a Transfer-Encoding is a fault (RFC 9112, section 6.1). net/http ignores and
// removes it, so that chunks would be taken for the body, and chunks that are cut off for a complete one.
func (headScanner *headScanner) endHead() error {
	headScanner.inHead = false
	headScanner.complete = headScanner.status >= http.StatusOK || headScanner.status == http.StatusSwitchingProtocols
	switch {
	case headScanner.hasTransferEncoding && headScanner.http10:
		return errTransferEncoding
	case headScanner.hasTransferEncoding && headScanner.hasLength:
		return errAmbiguousLength
	default:
		return nil
	}
}

// startsHead reports whether the text starts like a status line.
func startsHead(text []byte) bool {
	if len(text) < statusLineLength || !bytes.HasPrefix(text, []byte(protocolPrefix)) || text[len(protocolPrefix)+1] != ' ' {
		return false
	}
	return isDigit(text[len(protocolPrefix)]) && isDigit(text[statusLineLength-3]) && isDigit(text[statusLineLength-2]) && isDigit(text[statusLineLength-1])
}

// containsHead reports whether a head starts within the text.
func containsHead(text []byte) bool {
	for {
		start := bytes.Index(text, []byte(protocolPrefix))
		if start < 0 {
			return false
		}
		text = text[start:]
		if startsHead(text) {
			return true
		}
		text = text[len(protocolPrefix):]
	}
}

func isDigit(character byte) bool {
	return character >= '0' && character <= '9'
}

// isFieldText reports whether the text has no control characters besides tabs (RFC 9110, section 5.5).
func isFieldText(text []byte) bool {
	for _, character := range text {
		if character < ' ' && character != '\t' || character == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether the text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, character := range text {
		if !tokenCharacters[character] {
			return false
		}
	}
	return len(text) > 0
}

var tokenCharacters = func() (characters [256]bool) {
	for _, character := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		characters[character] = true
	}
	return characters
}()

func equalsFold(text []byte, name string) bool {
	return len(text) == len(name) && bytes.EqualFold(text, []byte(name))
}
