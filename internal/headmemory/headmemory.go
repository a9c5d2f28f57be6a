// Package headmemory bounds the memory that the heads of requests take together. A head of many short lines takes some thirty times its
// length once it is a map of strings, and a single such head is legal, so that neither its length nor its number of lines can be the bound.
//
// # Usage
//
//	budget := headmemory.NewBudget(processSettings.Callers.MaxHeadMemory)
//	share := budget.NewShare()
//	defer share.Close()
//	if !share.ReserveHead(bytes, lines) {
//		// Refuse the request: too many long heads are held.
//	}
//	...
//	share.Release() // when the request has ended
package headmemory

import (
	"sync"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// lineCost is what a line of a head takes as an entry of a map of strings, and once more in the copy that is sent to a backend server.
	lineCost = 320
	// byteCost is what each byte of a head takes: the text is held by the buffers and by the strings.
	byteCost = 2
	// uncountedCost is the cost up to which a head is not counted, so that ordinary requests are served whatever other callers send. The
	// number of connections bounds what these heads take.
	uncountedCost = 8 << 10
	// requestCost is what a request takes besides its head while it is served: the stacks of its goroutines and its buffers.
	requestCost = 32 << 10
)

// Budget is the memory that the heads of many requests may take together. It is safe for concurrent use.
type Budget struct {
	// limit is in bytes; 0 means that there is none.
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given size; 0 means that there is no bound.
func NewBudget(limit settings.Bytes) *Budget {
	return &Budget{limit: int64(limit)}
}

// Hold counts bytes that are held whether or not they fit into the budget; a negative number counts them no longer.
func (budget *Budget) Hold(bytes int) {
	budget.used.Add(int64(bytes))
}

// Scarce reports whether more than half of the budget is in use.
func (budget *Budget) Scarce() bool {
	return budget.limit > 0 && budget.used.Load() > budget.limit/2
}

// Used returns the bytes in use.
func (budget *Budget) Used() settings.Bytes {
	return settings.Bytes(budget.used.Load())
}

// reserve reports whether the budget has as many bytes left, and counts them if it has.
func (budget *Budget) reserve(bytes int64) bool {
	if used := budget.used.Add(bytes); budget.limit > 0 && used > budget.limit {
		budget.used.Add(-bytes)
		return false
	}
	return true
}

// NewShare returns a share of the budget that takes nothing yet.
func (budget *Budget) NewShare() *Share {
	return &Share{budget: budget}
}

// Share is what one request takes of a budget. It is safe for concurrent use.
type Share struct {
	budget *Budget

	mutex  sync.Mutex
	taken  int64
	closed bool
}

// ReserveHead makes the share cover a head of which the given numbers of bytes and lines have been received. It reports false if the budget
// has not that much left, or if the share has been closed. Short heads are not counted.
func (share *Share) ReserveHead(bytes, lines int) bool {
	cost := costOf(bytes, lines)
	return cost <= uncountedCost || share.reserve(cost)
}

// ReserveRequest makes the share cover a whole request with such a head, however short that is, that is served beside others of its
// connection. It reports false like ReserveHead.
func (share *Share) ReserveRequest(bytes, lines int) bool {
	return share.reserve(requestCost + costOf(bytes, lines))
}

func costOf(bytes, lines int) int64 {
	return byteCost*int64(bytes) + lineCost*int64(lines)
}

// reserve makes the share at least as large as the cost.
func (share *Share) reserve(cost int64) bool {
	share.mutex.Lock()
	defer share.mutex.Unlock()
	if share.closed {
		return false
	}
	if more := cost - share.taken; more > 0 {
		if !share.budget.reserve(more) {
			return false
		}
		share.taken = cost
	}
	return true
}

// Release gives back what the share takes.
func (share *Share) Release() {
	share.mutex.Lock()
	defer share.mutex.Unlock()
	share.release()
}

// Close gives back what the share takes. Nothing can be reserved from then on, so that a late reader cannot take anything for good.
func (share *Share) Close() {
	share.mutex.Lock()
	defer share.mutex.Unlock()
	share.closed = true
	share.release()
}

func (share *Share) release() {
	share.budget.used.Add(-share.taken)
	share.taken = 0
}
