package catalog

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Role is how a reader keeps its view current. Few instances read the source, since calls to it are billed and limited in number.
type Role int

// SetRole changes the role.
func (reader *Reader) SetRole(role Role) {
	reader.mutex.Lock()
	before := reader.role
	reader.role = role
	cancel := reader.cancelIO
	if role == RoleFollower && before != RoleFollower {
		reader.peerFailing = false
	}
	reader.mutex.Unlock()
	if role == before {
		return
	}
	if (role == RoleFollower || before == RoleFollower) && cancel != nil {
		cancel()
	}
	reader.signal()
}

// SetPhase sets the part of the time between two watches after which this reader's watches end, counted from the last change. It is
// above 0 and at most 1.
func (reader *Reader) SetPhase(phase float64) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.phase = phase
}

// SetPeerRevision sets the newest revision that a peer is known to have.
func (reader *Reader) SetPeerRevision(revision Revision) {
	reader.mutex.Lock()
	newer := revision > reader.peerRevision
	reader.peerRevision = revision
	cancel := reader.cancelIO
	readingStale := reader.readingStale
	reader.mutex.Unlock()
	if readingStale && newer {
		cancel()
	}
	reader.signal()
}

// Refresh requests that everything is read again at once: after a suspension of this process, or when a peer has a newer revision
// that the watch has not returned.
func (reader *Reader) Refresh() {
	reader.mutex.Lock()
	reader.refreshRequested = true
	cancel := reader.cancelIO
	reader.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
	reader.signal()
}

// CatchUp reports that a peer has had the given newer revision for some time. The view of a peer is requested while a watch in progress
// goes on: on a full link the response to the watch arrives first, since it needs no new connection. A read of everything in progress
// is not cancelled either: on a slow link it would never complete.
func (reader *Reader) CatchUp(newest Revision) {
	reader.mutex.Lock()
	reader.peerRevision = newest
	watching := reader.watching
	reader.mutex.Unlock()
	if watching {
		select {
		case reader.catchUp <- struct{}{}:
		default:
		}
	}
	reader.signal()
}

// ReadStale requests one stale read of everything, for an instance that has no view yet.
func (reader *Reader) ReadStale() {
	reader.mutex.Lock()
	reader.staleRequested = true
	reader.mutex.Unlock()
	reader.signal()
}

// LastResponse returns when the source last responded, 0 before its first response.
func (reader *Reader) LastResponse() clock.Moment {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.lastResponse
}

// Failing reports whether the last call to the source was refused or got no response, or whether the response to the watch in progress
// is overdue.
func (reader *Reader) Failing() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.failing
}

// PeerFailing reports whether the last request to peers failed.
func (reader *Reader) PeerFailing() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.peerFailing
}

func (reader *Reader) signal() {
	select {
	case reader.wake <- struct{}{}:
	default:
	}
}
