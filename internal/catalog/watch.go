package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// watchResult is the result of a watch, or of a check made while the response to the watch was overdue.
type watchResult struct {
	changes Changes
	err     error
	check   bool
	// late is how long the response took beyond the wait.
	late clock.Milliseconds
}

// peerResult is the view of a peer, or the error of the requests for it.
type peerResult struct {
	view View
	err  error
}

// watch waits for changes at the source. When its response is overdue, the source is called once more on a new connection, and the first
// response counts: a connection that has stopped responding differs from a source that is slow or refuses this instance. When CatchUp is
// called meanwhile, it requests the view of a peer at the same time, and returns that view if it is newer and the first to arrive. If no
// peer responds, it gives up the watch as well, whose connection may have stopped responding, and requests a refresh.
func (reader *Reader) watch(ctx context.Context, wait clock.Milliseconds) (Changes, *View, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-reader.catchUp:
		// The request was made before this watch.
	default:
	}
	after := reader.revision
	responses := make(chan watchResult, 2)
	go func() {
		responses <- reader.timed(wait, func() (Changes, error) { return reader.options.Source.Watch(ctx, after, wait) })
	}()
	overdue := time.NewTimer((wait + min(minOverdueSlack+reader.lateness, watchSlack)).Duration())
	defer overdue.Stop()
	var peers chan peerResult
	for {
		select {
		case response := <-responses:
			if response.check && response.err != nil && !errors.Is(response.err, ErrCompacted) {
				continue
			}
			reader.recordLateness(response)
			return response.changes, nil, response.err
		case <-overdue.C:
			reader.check(ctx, after, responses)
		case <-reader.catchUp:
			if peers != nil {
				continue
			}
			peers = make(chan peerResult, 1)
			go reader.requestPeers(ctx, reader.newPeerRequest(false), peers)
		case result := <-peers:
			peers = nil
			switch {
			case ctx.Err() != nil:
				// The watch ends for the same reason.
			case result.err != nil:
				reader.peersFailedInWatch = true
				reader.requestRefresh()
				return Changes{}, nil, context.Canceled
			case result.view.Revision > after:
				return Changes{}, &result.view, nil
			}
		}
	}
}

// timed makes a call to the source that waits for the given time. A call that panics counts as failed.
func (reader *Reader) timed(wait clock.Milliseconds, call func() (Changes, error)) watchResult {
	started := reader.options.Clock.Now()
	var changes Changes
	var err error
	if panicError := reader.options.Guard.Run("watch", func() { changes, err = call() }); panicError != nil {
		changes, err = Changes{}, panicError
	}
	return watchResult{changes: changes, err: err, late: reader.options.Clock.Now().Since(started) - wait}
}

// check calls the source on a new connection because the response to a watch is overdue. While the source is known not to respond, and
// before it has responded to this reader, it makes no call: during an outage hundreds of instances would.
func (reader *Reader) check(ctx context.Context, after Revision, responses chan<- watchResult) {
	reader.mutex.Lock()
	known := reader.failing
	reader.failing = true
	reader.mutex.Unlock()
	if known || !reader.confirmed {
		return
	}
	reader.options.Events.Add(EventCheck, 1)
	reader.options.Log.Info().Stringer("usualDelay", reader.lateness).Msg("response of the store to a watch is overdue; calling it on a new connection")
	go func() {
		response := reader.timed(0, func() (Changes, error) { return reader.options.Source.Check(ctx, after) })
		response.check = true
		responses <- response
	}()
}

// recordLateness records by how much a response was late, so that a slow source does not count as one that does not respond.
func (reader *Reader) recordLateness(response watchResult) {
	const kept = 0.9
	reader.lateness *= kept
	if response.err == nil {
		reader.lateness = max(reader.lateness, response.late)
	}
}

// requestPeers requests the view of a peer.
func (reader *Reader) requestPeers(ctx context.Context, request peerRequest, results chan<- peerResult) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	var result peerResult
	if err := reader.options.Guard.Run("peer view", func() { result.view, result.err = reader.fetchFromPeers(ctx, request) }); err != nil {
		result = peerResult{err: err}
	}
	results <- result
}

// requestRefresh makes the next task read everything again.
func (reader *Reader) requestRefresh() {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.refreshRequested = true
}
