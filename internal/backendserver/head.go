package backendserver

import (
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

// head counts and examines the bytes of one response's head as they are read.
type head struct {
	// longHeads is the length of all long heads.
	longHeads *atomic.Int64

	mutex    sync.Mutex
	complete bool
	// read is the number of bytes read, and counted the part of them in longHeads.
	read, counted int
	// failure is why no more may be read, nil if more may be.
	failure error
	scanner headScanner
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
	if head.failure = head.scanner.scan(data); head.failure != nil {
		return head.failure
	}
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

// checkFraming returns an error if the response is none that ends an exchange.
func checkFraming(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errProtocol
	case response.StatusCode < http.StatusOK:
		return errStatus
	default:
		return nil
	}
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
	head.scanner.line = nil
	head.longHeads.Add(-int64(head.counted))
	head.counted = 0
}
