// Package quarantine finds requests under which backend servers end (queries of death), and keeps them from further servers. A retry, a
// hedge and a caller that repeats its request would otherwise send such a request to one server after another.
//
// Every request that was at a server when the server ended is a suspect. One that is answered by any server afterwards is sound. A suspect
// is quarantined when servers have ended under it in turn, each of which got it after the one before had ended: three of them, or two
// if nothing else explains that, since no other suspect was at the same servers and no further servers ended at that time. Requests are
// known by a digest alone, so that nothing of a caller is kept or sent to other instances.
//
// The package is pure: it does no I/O, and the time comes from the given clock.
//
// # Usage
//
//	quarantine := quarantine.New(quarantine.Options{Clock: clock})
//	if wait, blocked := quarantine.Blocked(digest); blocked { ... } // refuse the request; it may be sent again after that time
//	quarantine.RecordEnd(server, lost...)                           // the server ended while it had the requests
//	quarantine.RecordLoss(server, lost...)                          // the server did not answer; RecordGone follows if it has ended
//	quarantine.RecordAnswer(digest)                                 // a server answered the request
//	report := quarantine.TakeReport(now)                            // for the other instances
//	quarantine.Receive(report)                                      // from another instance
package quarantine

import (
	"sync"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// maxEnds is the number of servers that may end under a request, minEnds the number from which a request is quarantined if nothing
	// else explains it.
	maxEnds = 3
	minEnds = 2
	// otherEnds is the number of other servers whose end at about the same time explains those under a request, endsWindow that time.
	otherEnds  = 2
	endsWindow = 2 * clock.Second
	// firstBlock is how long a request is first quarantined. The time doubles, up to maxBlock, each time that a server ends under it
	// afterwards.
	firstBlock = clock.Minute
	maxBlock   = 16 * clock.Minute
	// retention is how long a suspect is kept after the last end of a server under it or after its quarantine.
	retention = 5 * clock.Minute
	// lossRetention is how long requests are kept that a server lost without being known to have ended: the catalog tells some seconds
	// later if its process is gone.
	lossRetention = 10 * clock.Second
	// maxSuspects bounds the memory for suspects, maxEndedServers that for servers that ended lately.
	maxSuspects     = 1024
	maxEndedServers = 256
	// maxLosses and maxLostRequests bound the memory for requests that servers lost.
	maxLosses       = 256
	maxLostRequests = 64
)

// Options configure a Quarantine.
type Options struct {
	Clock *clock.Clock
	// OnBlock is called when a request is quarantined. It must not block, and may be nil.
	OnBlock func(Entry)
	// OnEnd is called when there is something to report to the other instances. It must not block, and may be nil.
	OnEnd func()
}

// Quarantine holds the suspects of one instance. It is safe for concurrent use.
type Quarantine struct {
	options Options
	// count is the number of suspects.
	count atomic.Int32

	mutex    sync.Mutex
	suspects map[Digest]*suspect
	// ended are the servers that ended lately.
	ended map[Server]clock.Moment
	// losses are the requests that servers lost, as long as it is not known whether these have ended.
	losses map[Server]loss
	// unreported are the ends, and sound the requests that servers have answered, of which the other instances are to be told.
	unreported []end
	sound      []Digest
}

// loss is what a server lost.
type loss struct {
	at       clock.Moment
	requests []Lost
}

// New returns a Quarantine without suspects.
func New(options Options) *Quarantine {
	return &Quarantine{options: options, suspects: map[Digest]*suspect{}, ended: map[Server]clock.Moment{}, losses: map[Server]loss{}}
}

// Active reports whether there is any suspect. If not, digests of requests need not be computed.
func (quarantine *Quarantine) Active() bool {
	return quarantine.count.Load() > 0
}

// Blocked reports whether the request is quarantined, and for how long.
func (quarantine *Quarantine) Blocked(digest Digest) (clock.Milliseconds, bool) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	known, found := quarantine.suspects[digest]
	if !found {
		return 0, false
	}
	left := known.blockedUntil.Since(quarantine.options.Clock.Now())
	return max(left, 0), left > 0
}

// Suspected reports whether a server has ended while it had the request, and none has answered it since.
func (quarantine *Quarantine) Suspected(digest Digest) bool {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	_, found := quarantine.suspects[digest]
	return found
}

// RecordEnd records that the server has ended while it had the requests.
func (quarantine *Quarantine) RecordEnd(server Server, requests ...Lost) {
	if quarantine.options.OnEnd != nil {
		defer quarantine.options.OnEnd()
	}
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	ends := make([]end, 0, len(requests))
	for _, lost := range requests {
		ends = append(ends, end{server: server, lost: lost})
	}
	quarantine.recordEnds(ends)
	if len(quarantine.unreported) < maxSuspects {
		quarantine.unreported = append(quarantine.unreported, ends...)
	}
}

// RecordLoss records that the server has not answered the requests, and that it is not known whether it has ended.
func (quarantine *Quarantine) RecordLoss(server Server, requests ...Lost) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	known, found := quarantine.losses[server]
	if !found && len(quarantine.losses) >= maxLosses {
		return
	}
	known.at = quarantine.options.Clock.Now()
	known.requests = append(known.requests, requests[:min(len(requests), maxLostRequests-len(known.requests))]...)
	quarantine.losses[server] = known
}

// RecordGone records that the process of the server is gone, by the word of the catalog. What it lost shortly before, it lost because of
// that.
func (quarantine *Quarantine) RecordGone(server Server) {
	quarantine.mutex.Lock()
	known, found := quarantine.losses[server]
	delete(quarantine.losses, server)
	quarantine.mutex.Unlock()
	if found && quarantine.options.Clock.Now().Since(known.at) <= lossRetention {
		quarantine.RecordEnd(server, known.requests...)
	}
}

// recordEnds records which servers ended under which requests, and then decides which of these are blocked: that depends on the others.
func (quarantine *Quarantine) recordEnds(ends []end) {
	now := quarantine.options.Clock.Now()
	quarantine.removeOld(now)
	changed := make([]Digest, 0, len(ends))
	for _, end := range ends {
		if quarantine.add(now, end) {
			changed = append(changed, end.lost.Request)
		}
	}
	for _, digest := range changed {
		known := quarantine.suspects[digest]
		if now >= known.blockedUntil && quarantine.shouldBlock(now, digest, known) {
			quarantine.block(now, digest, known)
		}
	}
}

// add records that a server has ended under a request, and reports whether that is new.
func (quarantine *Quarantine) add(now clock.Moment, end end) bool {
	if _, known := quarantine.ended[end.server]; !known && len(quarantine.ended) < maxEndedServers {
		quarantine.ended[end.server] = now
	}
	known := quarantine.suspectOf(now, end.lost.Request)
	if known == nil {
		return false
	}
	if _, counted := known.ended[end.server]; counted {
		return false
	}
	known.ended[end.server], known.lastEnd = end.lost, now
	return true
}

// suspectOf returns the record of a suspect, a new one if there is none, or nil if there are too many.
func (quarantine *Quarantine) suspectOf(now clock.Moment, digest Digest) *suspect {
	known, found := quarantine.suspects[digest]
	if !found && len(quarantine.suspects) < maxSuspects {
		known = &suspect{ended: map[Server]Lost{}, lastEnd: now}
		quarantine.suspects[digest] = known
		quarantine.count.Store(int32(len(quarantine.suspects)))
	}
	return known
}

// block quarantines a suspect.
func (quarantine *Quarantine) block(now clock.Moment, digest Digest, known *suspect) {
	known.blockTime = min(max(2*known.blockTime, firstBlock), maxBlock)
	known.blockedUntil = now.Add(known.blockTime)
	known.own, known.nextReport = true, now
	if quarantine.options.OnBlock != nil {
		quarantine.options.OnBlock(known.entry(now, digest))
	}
}

// shouldBlock reports whether the servers that ended under a request are taken to have done so because of it.
func (quarantine *Quarantine) shouldBlock(now clock.Moment, digest Digest, known *suspect) bool {
	if ends := known.endsInTurn(); ends >= maxEnds || ends < minEnds {
		return ends >= maxEnds
	}
	for other, otherSuspect := range quarantine.suspects {
		if other != digest && otherSuspect.includes(known) {
			return false
		}
	}
	others := 0
	for server, at := range quarantine.ended {
		if _, under := known.ended[server]; !under && now.Since(at) <= endsWindow {
			others++
		}
	}
	return others < otherEnds
}

// RecordAnswer records that a server has answered the request.
func (quarantine *Quarantine) RecordAnswer(digest Digest) {
	if !quarantine.Active() {
		return
	}
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if quarantine.remove(digest) {
		quarantine.sound = append(quarantine.sound, digest)
	}
}

// remove removes a suspect and reports whether it was one.
func (quarantine *Quarantine) remove(digest Digest) bool {
	_, found := quarantine.suspects[digest]
	delete(quarantine.suspects, digest)
	quarantine.count.Store(int32(len(quarantine.suspects)))
	return found
}

// removeOld removes suspects under which no server has ended for long, and servers that ended long ago.
func (quarantine *Quarantine) removeOld(now clock.Moment) {
	for digest, known := range quarantine.suspects {
		if now.Since(max(known.lastEnd, known.blockedUntil)) > retention {
			quarantine.remove(digest)
		}
	}
	for server, at := range quarantine.ended {
		if now.Since(at) > endsWindow {
			delete(quarantine.ended, server)
		}
	}
	for server, known := range quarantine.losses {
		if now.Since(known.at) > lossRetention {
			delete(quarantine.losses, server)
		}
	}
}

// Blocks returns the requests that are quarantined, in no particular order.
func (quarantine *Quarantine) Blocks() []Entry {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.options.Clock.Now()
	var entries []Entry
	for digest, known := range quarantine.suspects {
		if now < known.blockedUntil {
			entries = append(entries, known.entry(now, digest))
		}
	}
	return entries
}
