package catalog

import (
	"context"
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Intervals and timeouts of a Reader.
const (
	// readTimeout bounds each call of reading everything, and reading a peer. A slow store responds in some 250 ms. On a connection that
	// has stopped responding it never does, and the read is repeated on a new connection. The whole read has no bound: a store with
	// thousands of entries needs dozens of calls, and one with a bound would never complete on a slow link.
	readTimeout = clock.Second
	// staleTimeout bounds each call of a stale read, during which callers wait.
	staleTimeout = 300 * clock.Millisecond
	// watchWait is how long a watch waits for a change, and watchSlack how much later its response may arrive before it is given up.
	watchWait  = 2 * clock.Second
	watchSlack = 600 * clock.Millisecond
	// minOverdueSlack is the minimum time after the end of its wait from which a watch is overdue. The longest delay of recent watches
	// is added to it.
	minOverdueSlack = 200 * clock.Millisecond
	// minAlignedWait is the shortest wait of a watch that ends in the phase of its reader.
	minAlignedWait = 300 * clock.Millisecond
	// minWatchWait is the shortest time that a watch waits.
	minWatchWait = 10 * clock.Millisecond
	// batchPause is the pause after changes before the next call. Calls are billed and limited in number, and changes come in batches
	// when servers are replaced. The pause is a seventh of the time in which a change must be in force.
	batchPause = 300 * clock.Millisecond
	// batchPauseUnconfigured is that pause while there is no configuration: hundreds of servers start together before a fleet's
	// first configuration.
	batchPauseUnconfigured = 700 * clock.Millisecond
	// initialBackoff and maxBackoff bound the pause after a failed call of a serving instance.
	initialBackoff = 100 * clock.Millisecond
	maxBackoff     = 500 * clock.Millisecond
	// initialBackoffFallback and maxBackoffFallback are the bounds for a fallback reader. Within 3 s of the store's return, an instance
	// must apply the changes that it could have read. While the store responds to no instance, all of them call it, and a hundred
	// instances with the shorter pauses would overload it.
	initialBackoffFallback = 500 * clock.Millisecond
	maxBackoffFallback     = 2 * clock.Second
	// outageThreshold is the time without a response after which entries may have lapsed only because of the outage of the store.
	outageThreshold = 800 * clock.Millisecond
	// reregistrationPeriod is the time after the store's return in which running servers are registered again.
	reregistrationPeriod = 2500 * clock.Millisecond
	// maxRetention bounds, from the start of the last failed call, how long entries are retained that may have lapsed. The store may
	// have been back since just after that, and an instance must apply its removals 3 s later.
	maxRetention = 2900 * clock.Millisecond
	// minPeerReadInterval is the minimum time between two reads of a peer's view.
	minPeerReadInterval = 100 * clock.Millisecond
	// recheckInterval is the time between two reads of peers while the one whose view was adopted retains servers.
	recheckInterval = 500 * clock.Millisecond
	// peerFallbackDelay is the time without a response of the store after which views are requested from peers.
	peerFallbackDelay = 600 * clock.Millisecond
)

// Event names of a Reader.
const (
	EventRead       = "catalog.read"
	EventReadStale  = "catalog.readStale"
	EventWatch      = "catalog.watch"
	EventCheck      = "catalog.check"
	EventFailed     = "catalog.failed"
	EventFromPeer   = "catalog.fromPeer"
	EventPeerFailed = "catalog.peerFailed"
	EventMismatch   = "catalog.mismatch"
	EventUnreadable = "catalog.unreadable"
	EventWarning    = "catalog.doubt"
)

// Options configures a Reader.
type Options struct {
	Source Source
	// FetchFromPeer requests the changes after a revision from another instance, or everything when that is 0. The view of the other
	// instance may be older than this one's.
	FetchFromPeer func(ctx context.Context, after Revision) (Update, error)
	// Publish is called with each new view.
	Publish func(ctx context.Context, view View) error
	Clock   *clock.Clock
	Events  *expvar.Map
	Log     zerolog.Logger
	// Guard recovers panics of calls to the source and to peers, and of applying what they return; nil lets them pass.
	Guard *supervisor.Guard
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
}

// Reader keeps a View current while Serve runs. The other methods are safe for concurrent use.
type Reader struct {
	options Options
	wake    chan struct{}
	// catchUp requests the view of a peer during a watch.
	catchUp chan struct{}

	mutex            sync.Mutex
	role             Role
	peerRevision     Revision
	refreshRequested bool
	// staleRequested is whether ReadStale was called, readingStale whether a stale read is in progress, which a newer view of any
	// peer replaces.
	staleRequested, readingStale bool
	lastResponse                 clock.Moment
	failing                      bool
	// watching is whether the call in progress waits for changes.
	watching bool
	// phase is the part of watchWait after a change at which this reader's watches end.
	phase float64
	// peerFailing is whether the last request to peers failed.
	peerFailing bool
	cancelIO    context.CancelFunc

	// The fields below are used only by the goroutine that runs Serve.
	revision Revision
	// complete is whether the servers are those of the source at the revision, so that a watch can continue from there.
	complete bool
	// confirmed is whether the source has responded since this reader last was a follower.
	confirmed bool
	// refreshing is set from a request to read everything until that is done.
	refreshing bool
	// peersFailedInWatch is whether the last watch was given up because no peer responded either.
	peersFailedInWatch bool
	configuration      *Configuration
	// servers are those of the view, edits the changes that current applies to them.
	servers   ServerList
	edits     ServerEdits
	evacuated map[Key]settings.DataCentreName
	lapsed    map[Key]clock.Moment
	// calledAt is when the last call to the source began, failedAt when the last failed one did.
	calledAt, failedAt clock.Moment
	// changedAt is when the view last changed. All readers of a fleet learn of a change at about the same time.
	changedAt clock.Moment
	// lateness is the longest delay of recent responses to watches.
	lateness clock.Milliseconds
	// retainUntil is the time until which removed entries are retained that may only have lapsed.
	retainUntil clock.Moment
	// retainedByPeer are the servers that the peer retains whose view was adopted.
	retainedByPeer []settings.TargetName
	// recheckPeerAt is when a peer is next read because the one whose view was adopted retained servers, 0 when it retained none.
	recheckPeerAt clock.Moment
	failures      int
	problem       string
}

// NewReader returns a reader with RoleFollower. It reads nothing until its role changes or a peer's revision is set.
func NewReader(options Options) *Reader {
	return &Reader{
		options: options, wake: make(chan struct{}, 1), catchUp: make(chan struct{}, 1), edits: ServerEdits{},
		evacuated: map[Key]settings.DataCentreName{}, lapsed: map[Key]clock.Moment{},
	}
}

// The roles of a reader.
const (
	// RoleFollower adopts the views of peers.
	RoleFollower Role = iota
	// RoleFallback reads the source because no peer does, with longer pauses after failed calls.
	RoleFallback
	// RoleLeader reads the source on behalf of all instances.
	RoleLeader
)

// Serve keeps the view current until the context ends.
func (reader *Reader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if reader.options.Guard.Run("catalog", func() { reader.serveOnce(ctx) }) != nil {
			reader.discardPartial()
			sleep(ctx, maxBackoff)
		}
	}
	return ctx.Err()
}

// serveOnce reads the source or a peer once.
func (reader *Reader) serveOnce(ctx context.Context) {
	reader.readStale(ctx)
	readsSource, refresh := reader.nextTask()
	if refresh {
		reader.complete = false
		reader.refreshing = true
	}
	if !readsSource {
		reader.followOnce(ctx)
		return
	}
	if refresh && !reader.peersFailedInWatch && (reader.failures > 0 || reader.behind()) {
		// The entry of a server that peers saw removed while only this instance got no responses has not lapsed. The source may also
		// never have responded to the call that was cancelled for the refresh, nor respond to the next one: peers are read first.
		reader.readPeer(ctx, false)
	}
	reader.peersFailedInWatch = false
	if err := reader.guardedStep(ctx); err != nil && ctx.Err() == nil {
		reader.handleFailure(ctx, err)
	}
}

// guardedStep makes one call to the source. A panic counts as a failed call.
func (reader *Reader) guardedStep(ctx context.Context) error {
	var err error
	if panicError := reader.options.Guard.Run("catalog source", func() { err = reader.step(ctx) }); panicError != nil {
		reader.discardPartial()
		return panicError
	}
	return err
}

// discardPartial has everything read again after a panic, since changes may have been applied in part.
func (reader *Reader) discardPartial() {
	clear(reader.edits)
	reader.complete = false
	reader.setWatching(false)
}

// nextTask returns whether this instance reads the source, and whether everything is to be read again.
func (reader *Reader) nextTask() (bool, bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	refresh := reader.refreshRequested
	reader.refreshRequested = false
	return reader.role != RoleFollower, refresh
}

// step makes one call to the source and publishes the result.
func (reader *Reader) step(ctx context.Context) error {
	if !reader.complete {
		return reader.readAll(ctx)
	}
	wait := reader.nextWatchWait()
	callContext, cancel := reader.callContext(ctx, wait+watchSlack)
	defer cancel()
	reader.options.Events.Add(EventWatch, 1)
	reader.setWatching(true)
	changes, peerView, err := reader.watch(callContext, wait)
	reader.setWatching(false)
	if peerView != nil {
		reader.adoptPeerView(ctx, *peerView, false)
		return nil
	}
	if errors.Is(err, ErrUnreadable) {
		// The next watch would get the same response. Reading everything takes several calls, each with a shorter response.
		reader.complete = false
	}
	if errors.Is(err, ErrCompacted) {
		reader.complete = false
		reader.options.Log.Info().Uint64("revision", uint64(reader.revision)).Msg("changes since the revision are no longer available, reading everything")
		// Without a pause, a source that fails each watch this way would be called in a busy loop.
		sleep(ctx, initialBackoff)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	if len(changes.Set)+len(changes.Removed) > 0 {
		reader.changedAt = reader.options.Clock.Now()
	}
	reader.recordResponse()
	return reader.applyChanges(ctx, changes)
}

func (reader *Reader) setWatching(watching bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.watching = watching
}

// nextWatchWait returns how long the next watch may wait, at most until the next entry is dropped that may only have lapsed. A watch
// without changes would end much later, and the server would get requests until then. After a failure and after a time as follower the
// watch waits only for minWatchWait, to find out whether the source responds.
func (reader *Reader) nextWatchWait() clock.Milliseconds {
	if reader.failures > 0 || !reader.confirmed || reader.Failing() {
		return minWatchWait
	}
	return max(min(reader.untilPhase(), reader.untilNextDrop()), minWatchWait)
}

// untilPhase returns the time until the next end of watches in the phase of this reader. If the watches of all readers ended at the same
// time, a source that stops responding to all of them would be noticed only then.
func (reader *Reader) untilPhase() clock.Milliseconds {
	if reader.changedAt == 0 {
		return watchWait
	}
	reader.mutex.Lock()
	offset := watchWait * clock.Milliseconds(1-reader.phase)
	reader.mutex.Unlock()
	passed := reader.options.Clock.Now().Since(reader.changedAt) + offset
	left := watchWait - clock.Milliseconds(math.Mod(float64(passed), float64(watchWait)))
	if left < minAlignedWait {
		left += watchWait / 2
	}
	return left
}

// untilNextDrop returns the time until the first entry is dropped that may only have lapsed; a minute when none is retained.
func (reader *Reader) untilNextDrop() clock.Milliseconds {
	left := clock.Minute
	now := reader.options.Clock.Now()
	for _, until := range reader.lapsed {
		left = min(left, until.Since(now))
	}
	return max(left, 0)
}

// callContext returns the context of a call to the source, and records the start of the call.
func (reader *Reader) callContext(ctx context.Context, timeout clock.Milliseconds) (context.Context, context.CancelFunc) {
	reader.calledAt = reader.options.Clock.Now()
	return reader.cancellableContext(ctx, timeout)
}

// cancellableContext returns a context that ends after the timeout, and when the role changes or a refresh is requested.
func (reader *Reader) cancellableContext(ctx context.Context, timeout clock.Milliseconds) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	reader.setCancelIO(cancel)
	return ctx, cancel
}

// setCancelIO sets the function that is called when the role changes or a refresh is requested.
func (reader *Reader) setCancelIO(cancel context.CancelFunc) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.cancelIO = cancel
}

func (reader *Reader) readAll(ctx context.Context) error {
	reader.calledAt = reader.options.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader.setCancelIO(cancel)
	reader.options.Events.Add(EventRead, 1)
	snapshot, err := reader.options.Source.ReadAll(ctx, readTimeout)
	if err != nil {
		return errors.Wrap(err, "read all entries")
	}
	reader.recordResponse()
	reader.applySnapshot(snapshot)
	reader.changedAt = reader.options.Clock.Now()
	reader.complete = true
	reader.refreshing = false
	return reader.publish(ctx)
}

// recordResponse records that the source has responded. After an outage, entries that are gone may only have lapsed.
func (reader *Reader) recordResponse() {
	now := reader.options.Clock.Now()
	reader.mutex.Lock()
	silent := now.Since(reader.lastResponse)
	first, again := reader.lastResponse == 0, reader.failing
	reader.lastResponse = now
	reader.failing = false
	reader.mutex.Unlock()
	if again && !first {
		reader.options.Log.Info().Stringer("silentFor", silent).Int("failures", reader.failures).Msg("store answers again")
	}
	if reader.failures > 1 || reader.failures > 0 && silent > outageThreshold+watchWait {
		reader.retainUntil = min(now.Add(reregistrationPeriod), reader.failedAt.Add(maxRetention))
	}
	if first {
		reader.options.Log.Info().Msg("store answers")
	}
	reader.failures = 0
	reader.confirmed = true
}

func sleep(ctx context.Context, duration clock.Milliseconds) {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
