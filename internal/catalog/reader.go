package catalog

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Times of a Reader.
const (
	// readTimeout bounds reading everything. A slow store answers in some 250 ms; one whose connection went silent never
	// does, and is asked again on a new connection.
	readTimeout = clock.Second
	// staleTimeout bounds reading an old view, for want of which callers wait.
	staleTimeout = 300 * clock.Millisecond
	// watchWait is how long a watch waits for a change, and watchSlack how much later its answer may come. A connection
	// that has gone silent is noticed when both have passed; instances must follow changes within 3 s of that.
	watchWait  = 2 * clock.Second
	watchSlack = 600 * clock.Millisecond
	// shortestWait is the least time that a watch waits.
	shortestWait = 10 * clock.Millisecond
	// gatherFor is the pause after changes before the next call. Calls are priced and limited; changes come in bunches
	// when servers are replaced. It is a seventh of the time in which a change must be in force.
	gatherFor = 300 * clock.Millisecond
	// gatherUnconfigured is that pause while there is no configuration: hundreds of servers come up together before a fleet's first one.
	gatherUnconfigured = 700 * clock.Millisecond
	// firstBackoff and mostBackoff bound the pause after a failed call of an instance that serves.
	firstBackoff = 100 * clock.Millisecond
	mostBackoff  = 500 * clock.Millisecond
	// firstBackoffStandby and mostBackoffStandby are those of an instance that stands by and reads only because nobody who serves
	// is answered. Instances are bound by what they could have read 3 s after the store is back. When it is away from everyone, all
	// of them call it, and a hundred instances with the shorter pauses would be a burden to it.
	firstBackoffStandby = 500 * clock.Millisecond
	mostBackoffStandby  = 2 * clock.Second
	// outageFrom is the time without an answer from which entries may have lapsed for want of the store alone.
	outageFrom = 800 * clock.Millisecond
	// returnWithin is the time after the store's return within which servers that live are listed again.
	returnWithin = 2500 * clock.Millisecond
	// holdMost bounds, from the start of the last call that failed, how long entries are held that may have lapsed. The store may have
	// been back since just then, and an instance is bound by its removals 3 s later.
	holdMost = 2900 * clock.Millisecond
	// followPause is the least time between two readings of a peer's view.
	followPause = 100 * clock.Millisecond
	// heldAgain is the time between two looks at a peer that may have dropped servers which it held.
	heldAgain = 500 * clock.Millisecond
	// askPeersAfter is the time without an answer from which peers are asked.
	askPeersAfter = 600 * clock.Millisecond
)

// Events of a Reader.
const (
	EventRead       = "catalog.read"
	EventReadStale  = "catalog.readStale"
	EventWatch      = "catalog.watch"
	EventFailed     = "catalog.failed"
	EventFromPeer   = "catalog.fromPeer"
	EventPeerFailed = "catalog.peerFailed"
	EventMismatch   = "catalog.mismatch"
	EventUnreadable = "catalog.unreadable"
	EventWarning    = "catalog.doubt"
)

// Options are what a Reader is made from.
type Options struct {
	Source Source
	// FetchFromPeer asks another instance what has changed after a revision, or for everything when that is 0. The other one's
	// view may be older than one's own.
	FetchFromPeer func(ctx context.Context, after Revision) (Update, error)
	// Publish takes each new view.
	Publish func(ctx context.Context, view View) error
	Clock   *clock.Clock
	Events  *expvar.Map
	Log     zerolog.Logger
	// Jitter returns a number from 0 to 1.
	Jitter func() float64
}

// Reader keeps a View current while it is wanted.
type Reader struct {
	options Options
	wake    chan struct{}

	mutex   sync.Mutex
	role    Role
	follows Revision
	refresh bool
	// staleWanted says that ReadStale was called, readingStale that an old view is being read, in place of which any peer's will do.
	staleWanted, readingStale bool
	contact                   clock.Moment
	failing                   bool
	// watching says that the call under way waits for changes.
	watching bool
	// peerFailing says that peers did not tell their view when they were last asked.
	peerFailing bool
	cancelIO    context.CancelFunc

	// The fields below belong to the goroutine that runs Serve.
	revision Revision
	whole    bool
	// refreshing is true from when all is to be read anew until it was.
	refreshing    bool
	configuration *Configuration
	servers       map[Key]Server
	out           map[Key]settings.DataCentreName
	lapsed        map[Key]clock.Moment
	// calledAt is when the last call to the source began, failedAt when the last one did that failed.
	calledAt, failedAt clock.Moment
	// holdsUntil is until when removed entries are held that may only have lapsed.
	holdsUntil clock.Moment
	// askAgain is when a peer whose view was taken drops servers that it held, 0 when it held none.
	askAgain clock.Moment
	failures int
	problem  string
}

// NewReader returns a reader that follows: it reads nothing until it is told to lead or what to follow.
func NewReader(options Options) *Reader {
	return &Reader{
		options: options, wake: make(chan struct{}, 1), servers: map[Key]Server{},
		out: map[Key]settings.DataCentreName{}, lapsed: map[Key]clock.Moment{},
	}
}

// The roles of a reader.
const (
	// RoleFollower takes the views of peers.
	RoleFollower Role = iota
	// RoleFallback reads the source for want of a peer that does, and takes its time when it is not answered.
	RoleFallback
	// RoleLeader reads the source for all.
	RoleLeader
)

// Serve reads and watches until the context ends.
func (reader *Reader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		reader.readStale(ctx)
		leads, refresh := reader.task()
		if refresh {
			reader.whole = false
			reader.refreshing = true
		}
		if !leads {
			reader.followOnce(ctx)
			continue
		}
		if refresh && (reader.failures > 0 || reader.behind()) {
			// What others have seen removed while this instance alone was not answered has not lapsed. And the call that was given up
			// for this may have been one that the source never answers, as the next one would be: whoever knows more is asked first.
			reader.readPeer(ctx, false)
		}
		if err := reader.step(ctx); err != nil && ctx.Err() == nil {
			reader.fail(ctx, err)
		}
	}
	return ctx.Err()
}

// task tells whether to lead, and whether everything is to be read anew.
func (reader *Reader) task() (bool, bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	refresh := reader.refresh
	reader.refresh = false
	return reader.role != RoleFollower, refresh
}

// step makes one call to the source and publishes what came of it.
func (reader *Reader) step(ctx context.Context) error {
	if !reader.whole {
		return reader.readAll(ctx)
	}
	wait := reader.nextWait()
	ctx, cancel := reader.bounded(ctx, wait+watchSlack)
	defer cancel()
	reader.options.Events.Add(EventWatch, 1)
	reader.setWatching(true)
	changes, err := reader.options.Source.Watch(ctx, reader.revision, wait)
	reader.setWatching(false)
	if errors.Is(err, ErrCompacted) {
		reader.whole = false
		reader.options.Log.Info().Uint64("revision", uint64(reader.revision)).Msg("history is gone, reading everything")
		// A source that says so each time would be called without a pause.
		sleep(ctx, firstBackoff)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	reader.answered()
	return reader.applyChanges(ctx, changes)
}

func (reader *Reader) setWatching(watching bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.watching = watching
}

// nextWait is how long the next watch may wait: no longer than until an entry that may only have lapsed is to be dropped. A watch that
// brings nothing ends much later, and its server would get requests all the while. After a failure it does not wait: it tells whether the source is
// back.
func (reader *Reader) nextWait() clock.Milliseconds {
	if reader.failures > 0 {
		return shortestWait
	}
	return max(min(watchWait, reader.untilLapsed()), shortestWait)
}

// untilLapsed is the time after which the first entry is dropped that may only have lapsed; a very long one when none is held.
func (reader *Reader) untilLapsed() clock.Milliseconds {
	left := clock.Minute
	now := reader.options.Clock.Now()
	for _, until := range reader.lapsed {
		left = min(left, until.Since(now))
	}
	return max(left, 0)
}

// bounded returns the context of a call to the source.
func (reader *Reader) bounded(ctx context.Context, length clock.Milliseconds) (context.Context, context.CancelFunc) {
	reader.calledAt = reader.options.Clock.Now()
	return reader.cancellable(ctx, length)
}

// cancellable returns a context that ends after the time, and when the reader is told to stop or to read anew.
func (reader *Reader) cancellable(ctx context.Context, length clock.Milliseconds) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, length.Duration())
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.cancelIO = cancel
	return ctx, cancel
}

func (reader *Reader) readAll(ctx context.Context) error {
	ctx, cancel := reader.bounded(ctx, readTimeout)
	defer cancel()
	reader.options.Events.Add(EventRead, 1)
	snapshot, err := reader.options.Source.ReadAll(ctx)
	if err != nil {
		return errors.Wrap(err, "read everything")
	}
	reader.answered()
	reader.applySnapshot(snapshot)
	reader.whole = true
	reader.refreshing = false
	return reader.publish(ctx)
}

// answered notes that the source has answered. After an outage, entries that are gone may only have lapsed.
func (reader *Reader) answered() {
	now := reader.options.Clock.Now()
	reader.mutex.Lock()
	silent := now.Since(reader.contact)
	first := reader.contact == 0
	reader.contact = now
	reader.failing = false
	reader.mutex.Unlock()
	if reader.failures > 0 {
		reader.options.Log.Info().Stringer("silentFor", silent).Int("failures", reader.failures).Msg("store answers again")
		if silent > outageFrom+watchWait || reader.failures > 1 {
			reader.holdsUntil = min(now.Add(returnWithin), reader.failedAt.Add(holdMost))
		}
	}
	if first {
		reader.options.Log.Info().Msg("store answers")
	}
	reader.failures = 0
}

func sleep(ctx context.Context, length clock.Milliseconds) {
	timer := time.NewTimer(length.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
