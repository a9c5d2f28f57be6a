package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// followOnce reads a peer's view when it is newer. Otherwise it waits until the reader is woken or a retained server has to be dropped.
func (reader *Reader) followOnce(ctx context.Context) {
	reader.confirmed = false
	if reader.dropLapsed() {
		reader.publishOrLog(ctx)
	}
	behind := reader.behind()
	now := reader.options.Clock.Now()
	recheckDue := reader.recheckPeerAt > 0 && now >= reader.recheckPeerAt
	if recheckDue {
		// A response of a peer replaces this time.
		reader.recheckPeerAt = now.Add(recheckInterval)
	}
	if behind || reader.refreshing || recheckDue {
		reader.readPeer(ctx, reader.refreshing)
		sleep(ctx, minPeerReadInterval)
		return
	}
	var expired <-chan time.Time
	if until := reader.retainedUntil(); until > 0 {
		// The conversion to a duration rounds down.
		expired = time.After(until.Since(now).Duration() + time.Microsecond)
	}
	select {
	case <-reader.wake:
	case <-expired:
	case <-ctx.Done():
	}
}

// readPeer adopts the view of a peer if it is newer, or if full is set. The store may refuse the calls of some instances only.
func (reader *Reader) readPeer(ctx context.Context, full bool) {
	requestContext, cancel := reader.cancellableContext(ctx, readTimeout)
	defer cancel()
	var view View
	var err error
	request := reader.newPeerRequest(full)
	if panicError := reader.options.Guard.Run("peer view", func() { view, err = reader.fetchFromPeers(requestContext, request) }); panicError != nil {
		err = panicError
	}
	if err == nil {
		reader.adoptPeerView(ctx, view, full)
	}
}

// adoptPeerView puts the view of a peer in force if it is newer, or if full is set.
func (reader *Reader) adoptPeerView(ctx context.Context, view View, full bool) {
	outdated := view.Revision < reader.revision || view.Revision == reader.revision && !full && reader.recheckPeerAt == 0
	if outdated || view.Configuration == nil {
		return
	}
	if view.Revision > reader.revision {
		reader.changedAt = reader.options.Clock.Now()
	}
	reader.recheckPeerAt = view.RetainedUntil
	if view.RetainedUntil > 0 {
		// Another peer may know already that the retained servers are gone.
		reader.recheckPeerAt = min(view.RetainedUntil, reader.options.Clock.Now().Add(recheckInterval))
	}
	reader.refreshing = reader.refreshing && !full
	reader.options.Events.Add(EventFromPeer, 1)
	reader.options.Log.Debug().Uint64("revision", uint64(view.Revision)).Uint64("before", uint64(reader.revision)).Msg("view adopted from a peer")
	reader.setConfiguration(view.Configuration)
	known := reader.current().Servers
	reader.servers, reader.retainedByPeer = view.Servers, nil
	clear(reader.edits)
	for _, name := range view.Retained {
		if known.Find(name) == nil && known.Len() > 0 {
			// This instance has seen the removal of the entry, which has not lapsed: the peer was the only one that the store did not
			// answer.
			reader.edits[name] = nil
		} else {
			reader.retainedByPeer = append(reader.retainedByPeer, name)
		}
	}
	clear(reader.evacuated)
	clear(reader.lapsed)
	for _, name := range view.Evacuated {
		reader.evacuated[EvacuationKey(name)] = name
	}
	reader.revision = view.Revision
	// A watch continues from the revision of the view, unless the peer retains servers whose removal is older than that.
	reader.complete = view.RetainedUntil == 0 && !reader.refreshing
	reader.publishOrLog(ctx)
}

// fetchFromPeers requests the view of a peer, and that of a second peer at once when the first request fails, since the first peer
// may just have ended.
func (reader *Reader) fetchFromPeers(ctx context.Context, request peerRequest) (View, error) {
	started := reader.options.Clock.Now()
	view, err := reader.fetchPeerView(ctx, request)
	if err != nil && ctx.Err() == nil {
		reader.options.Events.Add(EventPeerFailed, 1)
		view, err = reader.fetchPeerView(ctx, request)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		// Nobody waits for the response any more.
		return view, err
	}
	if err != nil {
		reader.options.Events.Add(EventPeerFailed, 1)
		reader.options.Log.Info().Str("problem", err.Error()).Stringer("after", reader.options.Clock.Now().Since(started)).Msg("no peer answered with its view")
	}
	reader.mutex.Lock()
	reader.peerFailing = err != nil
	reader.mutex.Unlock()
	return view, err
}

// publishOrLog publishes the view, and logs the error if that fails.
func (reader *Reader) publishOrLog(ctx context.Context) {
	if err := reader.publish(ctx); err != nil {
		reader.options.Log.Warn().Str("problem", err.Error()).Msg("view not published")
	}
}

// retainedUntil returns when the first server is dropped that may only have lapsed, here or at the peer whose view was adopted; 0
// when there is none.
func (reader *Reader) retainedUntil() clock.Moment {
	first := reader.recheckPeerAt
	for _, until := range reader.lapsed {
		if first == 0 || until < first {
			first = until
		}
	}
	return first
}

// peerRequest is a request for the view of a peer, and the view here that the response is applied to.
type peerRequest struct {
	base View
	// after is the revision after which changes are requested, 0 for everything.
	after Revision
	// recheck is whether the view of a peer may change although the revision does not.
	recheck bool
}

// newPeerRequest returns a request for the changes since the known revision, or for everything if full is set.
func (reader *Reader) newPeerRequest(full bool) peerRequest {
	request := peerRequest{base: reader.current(), after: reader.revision, recheck: reader.recheckPeerAt > 0}
	if full || reader.configuration == nil {
		request.after = 0
	}
	return request
}

// fetchPeerView requests the changes since the known revision from a peer, and everything when those do not apply to the view here.
func (reader *Reader) fetchPeerView(ctx context.Context, request peerRequest) (View, error) {
	update, err := reader.options.FetchFromPeer(ctx, request.after)
	if err != nil {
		return View{}, err
	}
	if update.Revision < request.after || update.Revision == request.after && !request.recheck {
		return request.base, nil
	}
	view, err := update.Apply(&request.base)
	if !errors.Is(err, ErrMismatch) || request.after == 0 {
		view.RetainedUntil = reader.retentionEnd(update.RetainedFor)
		return view, err
	}
	reader.options.Events.Add(EventMismatch, 1)
	if update, err = reader.options.FetchFromPeer(ctx, 0); err != nil {
		return View{}, err
	}
	view, err = update.Apply(&request.base)
	view.RetainedUntil = reader.retentionEnd(update.RetainedFor)
	return view, err
}

// retentionEnd returns when a peer first drops a server that it retains, 0 when it retains none.
func (reader *Reader) retentionEnd(retainedFor clock.Milliseconds) clock.Moment {
	if retainedFor <= 0 {
		return 0
	}
	return reader.options.Clock.Now().Add(retainedFor)
}
