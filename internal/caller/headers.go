package caller

import (
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/internal/service"
)

// hopByHopHeaders are the headers that apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the headers that must not be forwarded, including those that Connection names.
func removeHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// outgoing builds the request to a backend server.
func (call *call) outgoing(target *service.Target) *http.Request {
	incoming := call.request
	dialect := call.handler.options.Dialect
	header := call.outgoingHeader()
	call.setTeamHeader(header)
	if dialect.TargetHeader != "" {
		header.Set(dialect.TargetHeader, string(target.Name))
	}
	if dialect.AttemptHeader != "" {
		header.Set(dialect.AttemptHeader, strconv.Itoa(call.attemptNumber()+len(call.attempts)))
	}
	if dialect.DiagnosticHeaders {
		header.Add("Via", "1.1 "+string(call.handler.options.Instance))
		if callerIP, _, err := net.SplitHostPort(incoming.RemoteAddr); err == nil {
			header.Add("X-Forwarded-For", callerIP)
		}
	}
	return call.outgoingRequest(call.outgoingURL(target.Address, ""), header)
}

// outgoingHeader returns the header of a request to a backend server or to another instance, without what only one of them gets.
func (call *call) outgoingHeader() http.Header {
	dialect := call.handler.options.Dialect
	header := call.request.Header.Clone()
	wantsTrailers := httpguts.HeaderValuesContainsToken(header["Te"], "trailers")
	removeHopByHop(header)
	removeReserved(header, dialect.IsReservedHeader)
	relay.RemoveHeaders(header)
	if wantsTrailers {
		header.Set("Te", "trailers")
	}
	if _, present := header["User-Agent"]; !present {
		// Otherwise net/http would add its own User-Agent.
		header["User-Agent"] = nil
	}
	header.Set(dialect.RequestIDHeader, string(call.id))
	header.Set(dialect.TimeoutHeader, strconv.FormatInt(max(int64(call.deadline.Since(call.now())), 1), 10))
	return header
}

// outgoingRequest returns the caller's request with the given URL and header.
func (call *call) outgoingRequest(outgoing *url.URL, header http.Header) *http.Request {
	incoming := call.request
	body, length := call.body.reader(incoming.ContentLength)
	return &http.Request{
		Method: incoming.Method, URL: outgoing,
		Host: incoming.Host, Header: header, Body: body, ContentLength: length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Trailer: incoming.Trailer,
	}
}

// removeReserved removes headers that only jaywheel may set, so that neither callers nor backend servers can forge them.
func removeReserved(header http.Header, isReserved func(string) bool) {
	for name := range header {
		if isReserved(name) {
			delete(header, name)
		}
	}
}

// attemptNumber returns how often the request was sent before it arrived here. A malformed number counts as 1.
func (call *call) attemptNumber() int {
	name := call.handler.options.Dialect.AttemptHeader
	if name == "" {
		return 0
	}
	value := call.request.Header.Get(name)
	if value == "" {
		return 0
	}
	number, err := strconv.Atoi(value)
	if err != nil || number < 0 {
		return 1
	}
	return number
}
