package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/relay"
)

var errPath = errors.New("path cannot be forwarded as it was sent")

// sentPath returns the path of a request as its caller sent it, with its escapes. It alone decides on the route: a backend server gets these
// bytes, so that the decoded path, in which "%2F" has become a slash, may name another request than the one that runs.
func sentPath(request *http.Request) string {
	if path, _, _ := strings.Cut(request.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	// The absolute form of the target is given to proxies, and "*" to the whole server.
	return request.URL.EscapedPath()
}

// sentPath returns the path of the request as the caller sent it to the instance that received it.
func (call *call) sentPath() string {
	path := sentPath(call.request)
	if call.relayed != nil {
		path = strings.TrimPrefix(path, relay.Path)
	}
	return path
}

// outgoingURL returns the URL of the request at the IP address and port, below a prefix of the path. Bytes that a URL may not have stay as they
// were sent.
func (call *call) outgoingURL(address, prefix string) *url.URL {
	incoming := call.request.URL
	outgoing := &url.URL{Scheme: "http", Host: address, Path: prefix + incoming.Path, RawQuery: incoming.RawQuery, ForceQuery: incoming.ForceQuery}
	if incoming.RawPath != "" {
		outgoing.RawPath = prefix + incoming.RawPath
	}
	if sent := prefix + call.sentPath(); outgoing.EscapedPath() != sent {
		outgoing.Opaque = sent
	}
	return outgoing
}

// checkPath returns an error for a path that is not forwarded: one with dot segments, and one that starts with two slashes and has bytes that a
// URL may not have, which package net/url changes in either form.
func (call *call) checkPath() error {
	if hasDotSegment(call.request.URL.Path) {
		return errDotSegment
	}
	if sent := call.sentPath(); strings.HasPrefix(sent, "//") && sent != call.request.URL.EscapedPath() {
		return errPath
	}
	return nil
}
