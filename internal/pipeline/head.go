package pipeline

import (
	"bytes"
	"strings"
)

// Framing is how a request may be handled while earlier ones of its connection are in progress.
type Framing int

// The framings of a request.
const (
	// Incomplete means that more bytes are needed.
	Incomplete Framing = iota
	// Concurrent means that the request is complete and may be served at the same time as earlier ones.
	Concurrent
	// Sequential means that the request must not be read before all earlier ones have been answered.
	Sequential
)

var (
	lineEnd  = []byte("\r\n")
	protocol = []byte("HTTP/1.1")
)

// concurrentMethods are the methods of requests that may be served at the same time as earlier ones. Their bodies have no meaning.
var concurrentMethods = []string{"GET", "HEAD"}

// sequentialHeaders are the headers that announce a body or change what happens to the connection after the request.
var sequentialHeaders = []string{"Transfer-Encoding", "Expect", "Upgrade", "Trailer", "Proxy-Connection", "HTTP2-Settings"}

// Split finds the request at the start of data. For a Concurrent request it returns the length of the request in bytes. A request
// whose head is longer than maxHeadBytes is Sequential.
//
// It is stricter than net/http: whatever two parsers might read in different ways is Sequential, so that no request is taken from
// within another one.
func Split(data []byte, maxHeadBytes int) (int, Framing) {
	rest := data
	hosts := 0
	for lines := 0; ; lines++ {
		end := bytes.Index(rest, lineEnd)
		if end < 0 {
			return 0, framingOfPartialLine(data, rest, lines, maxHeadBytes)
		}
		line := rest[:end]
		rest = rest[end+len(lineEnd):]
		if len(data)-len(rest) > maxHeadBytes {
			return 0, Sequential
		}
		switch {
		case lines == 0 && !isConcurrentRequestLine(line):
			return 0, Sequential
		case lines == 0:
		case len(line) == 0 && hosts == 1:
			return len(data) - len(rest), Concurrent
		case len(line) == 0 || !isConcurrentHeaderLine(line):
			// net/http rejects a request without a single Host, and closes the connection.
			return 0, Sequential
		case isHeader(line, "Host"):
			hosts++
		}
	}
}

// framingOfPartialLine returns the framing of a request whose head ends in an incomplete line.
func framingOfPartialLine(data, line []byte, lines, maxHeadBytes int) Framing {
	if len(data) > maxHeadBytes || bytes.IndexByte(line, '\n') >= 0 {
		return Sequential
	}
	if lines > 0 {
		return Incomplete
	}
	for _, method := range concurrentMethods {
		if start := method + " "; strings.HasPrefix(string(line), start) || strings.HasPrefix(start, string(line)) {
			return Incomplete
		}
	}
	return Sequential
}

// isConcurrentRequestLine reports whether the line is a well-formed request line of a request that may be Concurrent.
func isConcurrentRequestLine(line []byte) bool {
	method, rest, found := bytes.Cut(line, []byte(" "))
	if !found {
		return false
	}
	target, version, found := bytes.Cut(rest, []byte(" "))
	if !found || !bytes.Equal(version, protocol) || len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, character := range target {
		if character <= ' ' || character >= 0x7f {
			return false
		}
	}
	for _, concurrent := range concurrentMethods {
		if string(method) == concurrent {
			return true
		}
	}
	return false
}

// isConcurrentHeaderLine reports whether the line is a well-formed header of a request that may be Concurrent.
func isConcurrentHeaderLine(line []byte) bool {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return false
	}
	for _, character := range name {
		if !isTokenCharacter(character) {
			return false
		}
	}
	value = bytes.Trim(value, " \t")
	for _, character := range value {
		if character < ' ' && character != '\t' || character == 0x7f {
			return false
		}
	}
	switch {
	case equalsFold(name, "Content-Length"):
		return string(value) == "0"
	case equalsFold(name, "Connection"):
		return equalsFold(value, "keep-alive")
	}
	for _, sequential := range sequentialHeaders {
		if equalsFold(name, sequential) {
			return false
		}
	}
	return true
}

// isHeader reports whether the header line has the given name.
func isHeader(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && equalsFold(line[:len(name)], name)
}

func equalsFold(text []byte, other string) bool {
	return len(text) == len(other) && strings.EqualFold(string(text), other)
}

// isTokenCharacter reports whether the character may be part of a header's name (RFC 9110, section 5.6.2).
func isTokenCharacter(character byte) bool {
	switch {
	case character >= '0' && character <= '9', character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", character) >= 0
	}
}
