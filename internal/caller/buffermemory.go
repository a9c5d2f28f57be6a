package caller

import "sync/atomic"

// bufferMemory bounds the memory of an instance that buffered bodies take together.
type bufferMemory struct {
	limit int64
	used  atomic.Int64
}

// bufferShare is the part of a bufferMemory that one body takes. It is used by one goroutine at a time.
type bufferShare struct {
	memory *bufferMemory
	bytes  int64
}

// reserve adds bytes to the share, and reports whether that many were left.
func (share *bufferShare) reserve(bytes int64) bool {
	if share.memory.used.Add(bytes) > share.memory.limit {
		share.memory.used.Add(-bytes)
		return false
	}
	share.bytes += bytes
	return true
}

// release gives the share back. Later calls have no effect.
func (share *bufferShare) release() {
	if share == nil || share.bytes == 0 {
		return
	}
	share.memory.used.Add(-share.bytes)
	share.bytes = 0
}
