package catalog

import (
	"context"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Role is how a reader keeps its view current. Few instances read the source, whose calls are limited and priced.
type Role int

// SetRole changes how the view is kept current.
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
	reader.nudge()
}

// SetPeerRevision says that a peer has the given revision.
func (reader *Reader) SetPeerRevision(revision Revision) {
	reader.mutex.Lock()
	newer := revision > reader.follows
	reader.follows = revision
	cancel := reader.cancelIO
	readingStale := reader.readingStale
	reader.mutex.Unlock()
	if readingStale && newer {
		cancel()
	}
	reader.nudge()
}

// Refresh has everything read anew at once: after a pause of this process, or when a peer knows a newer revision while
// the watch stays silent.
func (reader *Reader) Refresh() {
	reader.mutex.Lock()
	reader.refresh = true
	cancel := reader.cancelIO
	reader.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
	reader.nudge()
}

// CatchUp says that a peer has known the given newer revision for a while. A watch that has not told of it is given up, a peer is asked, and
// everything is read anew. A call that reads goes on: on a slow link it would else be given up each time before it ends.
func (reader *Reader) CatchUp(newest Revision) {
	reader.mutex.Lock()
	reader.follows = newest
	var cancel context.CancelFunc
	if reader.watching {
		reader.refresh = true
		cancel = reader.cancelIO
	}
	reader.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
	reader.nudge()
}

// ReadStale has everything read once as it was some seconds ago, for an instance that knows nothing yet.
func (reader *Reader) ReadStale() {
	reader.mutex.Lock()
	reader.staleWanted = true
	reader.mutex.Unlock()
	reader.nudge()
}

// LastContact returns when the source last answered, 0 before the first time.
func (reader *Reader) LastContact() clock.Moment {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.contact
}

// Failing reports whether the source's last answer was none, or a refusal.
func (reader *Reader) Failing() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.failing
}

// PeerFailing reports whether peers did not tell their view when they were last asked.
func (reader *Reader) PeerFailing() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.peerFailing
}

func (reader *Reader) nudge() {
	select {
	case reader.wake <- struct{}{}:
	default:
	}
}
