// Package trace keeps the story of the latest requests, so that an operator can ask why one of them went as it did.
//
// # Usage
//
//	ring := trace.NewRing(4096)
//	ring.Add(trace.Request{ID: "...", ...})
//	found, known := ring.Find("...")
package trace

import (
	"sync"
	"time"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// RequestID identifies one request. Callers may give it; instances make one otherwise.
type RequestID string

// MaxAttempts is the number of attempts that a story holds; settings allow no more.
const MaxAttempts = 10

// AttemptResult says what came of one attempt.
type AttemptResult string

// The results of an attempt.
const (
	ResultAnswered   AttemptResult = "answered"
	ResultNotWritten AttemptResult = "notWritten"
	ResultNotRun     AttemptResult = "serverSaidNotRun"
	ResultNoResponse AttemptResult = "cutBeforeAnswer"
)

// Attempt is one choice of a backend server and what came of it.
type Attempt struct {
	Target     settings.TargetName     `json:"target"`
	DataCentre settings.DataCentreName `json:"dataCentre"`
	// Considered is the number of targets with a free place among which it was chosen. 0 means that none was free and
	// the request waited until this one became free.
	Considered int `json:"considered"`
	// InFlight is the number of places then in use on the target, this one included.
	InFlight int `json:"taken"`
	// Slowdown is how many times longer than usual work took there by the reading that decided, and ReadingAge that
	// reading's age. Both are 0 where targets don't tell.
	Slowdown       float64            `json:"slowdown,omitempty"`
	LoadReadingAge clock.Milliseconds `json:"readingAge,omitempty"`
	// QueueWait is the time spent waiting for the place.
	QueueWait clock.Milliseconds `json:"waited"`
	// Reused tells whether the connection had carried a request before.
	Reused   bool               `json:"reused"`
	Duration clock.Milliseconds `json:"took"`
	Status   int                `json:"status,omitempty"`
	Result   AttemptResult      `json:"result"`
	// Error is the failure, empty when there was none.
	Error string `json:"error,omitempty"`
}

// Request is the story of one request.
type Request struct {
	ID       RequestID            `json:"id"`
	Started  time.Time            `json:"started"`
	Tenant   string               `json:"tenant,omitempty"`
	Service  settings.ServiceName `json:"service,omitempty"`
	Class    settings.ClassName   `json:"class,omitempty"`
	Method   string               `json:"method"`
	Revision settings.Revision    `json:"settingsRevision"`
	Timeout  clock.Milliseconds   `json:"timeout"`
	Attempts []Attempt            `json:"attempts"`
	Outcome  outcome.Outcome      `json:"outcome"`
	Reason   outcome.Reason       `json:"reason"`
	Status   int                  `json:"status"`
	Duration clock.Milliseconds   `json:"whole"`
	Error    string               `json:"error,omitempty"`
}

// Ring holds the latest stories. It is safe for concurrent use.
type Ring struct {
	mutex   sync.Mutex
	entries []Request
	next    int
}

// NewRing returns a ring that holds size stories.
func NewRing(size int) *Ring {
	return &Ring{entries: make([]Request, size)}
}

// Add puts a story in place of the oldest one.
func (ring *Ring) Add(request Request) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	ring.entries[ring.next] = request
	ring.next = (ring.next + 1) % len(ring.entries)
}

// Find returns the latest story with the given id.
func (ring *Ring) Find(id RequestID) (Request, bool) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	for back := 1; back <= len(ring.entries); back++ {
		candidate := &ring.entries[(ring.next-back+len(ring.entries))%len(ring.entries)]
		if id != "" && candidate.ID == id {
			return *candidate, true
		}
	}
	return Request{}, false
}
