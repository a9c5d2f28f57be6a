package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Entry is the state of a suspect for operators.
type Entry struct {
	Request string `json:"request"`
	// Ended are the servers that ended while they had the request.
	Ended []settings.TargetName `json:"ended"`
	// Blocked is for how long the request is still quarantined, 0 if it is not.
	Blocked clock.Milliseconds `json:"blocked,omitempty"`
}

// Lost is a request that a server had when it closed the connection without an answer.
type Lost struct {
	Request Digest
	// SentAt is when the request was sent, LostAt when the connection was closed.
	SentAt, LostAt clock.Moment
}

// end is the end of a server that had a request.
type end struct {
	server Server
	lost   Lost
}

// suspect is a request that was at a server when the server ended.
type suspect struct {
	ended   map[Server]Lost
	lastEnd clock.Moment
	// blockedUntil is the end of its quarantine, blockTime the length of that.
	blockedUntil clock.Moment
	blockTime    clock.Milliseconds
	// own means that this instance has quarantined the request, and repeats that to the others at nextReport.
	own        bool
	nextReport clock.Moment
}

// endsInTurn returns how many servers ended under the request one after the other, each of which got it after the one before had ended.
// Those that ended at the same moment may have done so for another reason.
func (suspect *suspect) endsInTurn() int {
	ends := slices.SortedFunc(maps.Values(suspect.ended), func(left, right Lost) int { return cmp.Compare(left.LostAt, right.LostAt) })
	count, last := 0, clock.Moment(0)
	for _, lost := range ends {
		if count == 0 || lost.SentAt >= last {
			count++
			last = lost.LostAt
		}
	}
	return count
}

// includes reports whether all servers that ended under another suspect ended under this one as well.
func (suspect *suspect) includes(other *suspect) bool {
	for server := range other.ended {
		if _, under := suspect.ended[server]; !under {
			return false
		}
	}
	return true
}

func (suspect *suspect) entry(now clock.Moment, digest Digest) Entry {
	entry := Entry{Request: digest.String(), Blocked: max(suspect.blockedUntil.Since(now), 0)}
	for server := range suspect.ended {
		entry.Ended = append(entry.Ended, server.Name)
	}
	return entry
}
