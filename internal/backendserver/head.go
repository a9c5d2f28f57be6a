package backendserver

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Limits of the heads of responses, with the informational responses before them. As a map of strings, a head of many short lines takes
// some thirty times its length in memory, and a faulty server may send one without end.
const (
	// maxHeadBytes is the length of the longest head that is read.
	maxHeadBytes = 32 << 10
	// uncountedHeadBytes is the length up to which a head is not counted towards maxLongHeadsBytes. It exceeds the buffer of 4 KB with
	// which net/http reads, since the first bytes of the body may be read with the head.
	uncountedHeadBytes = 8 << 10
	// maxLongHeadsBytes is the length of all longer heads together. An instance has a few hundred megabytes of memory.
	maxLongHeadsBytes = 1 << 20
)

var (
	errHeadTooLong = errors.Newf("the head of the response is longer than %d bytes", maxHeadBytes)
	errLongHeads   = errors.Newf("the long heads of responses together exceed %d bytes", maxLongHeadsBytes)
)

// Errors of checkFraming.
var (
	errProtocol         = errors.New("the response is not of HTTP/1")
	errStatus           = errors.New("the response has a status that no final response has")
	errTransferEncoding = errors.New("the response of HTTP/1.0 has a Transfer-Encoding")
)

// http10 is how responses of HTTP/1.0 begin.
const http10 = "HTTP/1.0"

// head counts the bytes of one response's head as they are read.
type head struct {
	// longHeads is the length of all long heads.
	longHeads *atomic.Int64

	mutex    sync.Mutex
	complete bool
	// read is the number of bytes read, and counted the part of them in longHeads.
	read, counted int
	// failure is why no more may be read, nil if more may be.
	failure error
	// http10Text is what has been read so far if it is or may become the head of a response of HTTP/1.0; notHTTP10 means that it is none.
	http10Text []byte
	notHTTP10  bool
}

// check returns an error if nothing may be read from the connection.
func (head *head) check() error {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	return head.failure
}

// add counts bytes that have been read from the connection. It returns an error if they may not be used.
func (head *head) add(data []byte) error {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	if head.complete {
		return nil
	}
	count := len(data)
	head.read += count
	head.keepHTTP10(data)
	switch {
	case head.read <= uncountedHeadBytes:
		return nil
	case head.read > maxHeadBytes:
		head.failure = errHeadTooLong
		return head.failure
	}
	head.counted += count
	if head.longHeads.Add(int64(count)) > maxLongHeadsBytes {
		head.failure = errLongHeads
	}
	return head.failure
}

// keepHTTP10 keeps the text of a response of HTTP/1.0. The mutex must be held.
func (head *head) keepHTTP10(data []byte) {
	if head.notHTTP10 || len(head.http10Text) == 0 && len(data) >= len(http10) && !bytes.HasPrefix(data, []byte(http10)) {
		head.notHTTP10 = true
		return
	}
	head.http10Text = append(head.http10Text, data...)
	if len(head.http10Text) >= len(http10) && !bytes.HasPrefix(head.http10Text, []byte(http10)) {
		head.notHTTP10, head.http10Text = true, nil
	}
}

// checkFraming returns an error if it is not certain where the response ends, or if it is none that ends an exchange. In HTTP/1.0 a
// Transfer-Encoding is a fault (RFC 9112, section 6.1). net/http ignores and removes it, so that chunks would be taken for the body, and
// chunks that are cut off for a complete one.
func (head *head) checkFraming(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errProtocol
	case response.StatusCode < http.StatusOK:
		return errStatus
	case response.ProtoAtLeast(1, 1):
		return nil
	}
	head.mutex.Lock()
	defer head.mutex.Unlock()
	if len(head.http10Text) == 0 || bytes.HasPrefix(head.http10Text, []byte(http10+" 1")) {
		// HTTP/1.0 has no informational responses.
		return errProtocol
	}
	for line := range bytes.Lines(head.http10Text) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return errTransferEncoding
		}
	}
	return nil
}

// end records that the head is complete. What is read from then on belongs to the body.
func (head *head) end() {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	head.complete = true
}

// release ends the count of the head among all long ones.
func (head *head) release() {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	head.complete = true
	head.http10Text = nil
	head.longHeads.Add(-int64(head.counted))
	head.counted = 0
}
