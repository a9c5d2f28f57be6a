package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// followOnce reads a peer's view when it is newer, and waits until there is something to do.
func (reader *Reader) followOnce(ctx context.Context) {
	reader.whole = false
	if reader.dropLapsed() {
		reader.handOn(ctx)
	}
	behind := reader.behind()
	now := reader.options.Clock.Now()
	due := reader.askAgain > 0 && now >= reader.askAgain
	if due {
		// Until a peer has answered.
		reader.askAgain = now.Add(heldAgain)
	}
	if behind || reader.refreshing || due {
		reader.readPeer(ctx, reader.refreshing)
		sleep(ctx, followPause)
		return
	}
	var over <-chan time.Time
	if until := reader.heldUntil(); until > 0 {
		// Durations are rounded down.
		over = time.After(until.Since(now).Duration() + time.Microsecond)
	}
	select {
	case <-reader.wake:
	case <-over:
	case <-ctx.Done():
	}
}

// readPeer takes over a newer view of a peer that the source answers. The store may turn away some instances and serve
// the others.
func (reader *Reader) readPeer(ctx context.Context, again bool) {
	view, err := reader.askPeers(ctx, again)
	if err != nil {
		return
	}
	known := view.Revision < reader.revision || view.Revision == reader.revision && !again && reader.askAgain == 0
	if known || view.Configuration == nil {
		return
	}
	reader.askAgain = view.RetainedUntil
	reader.refreshing = reader.refreshing && !again
	reader.options.Events.Add(EventFromPeer, 1)
	reader.options.Log.Debug().Uint64("revision", uint64(view.Revision)).Uint64("before", uint64(reader.revision)).Msg("view taken from a peer")
	reader.setConfiguration(view.Configuration)
	clear(reader.servers)
	clear(reader.out)
	clear(reader.lapsed)
	for _, server := range view.Servers {
		reader.servers[ServerKey(server.Name)] = server
	}
	for _, name := range view.Evacuated {
		reader.out[EvacuationKey(name)] = name
	}
	reader.revision = view.Revision
	// What the source holds beyond that is only known once everything has been read.
	reader.whole = false
	reader.handOn(ctx)
}

// askPeers asks a second peer at once when the first does not answer: it may just have been lost.
func (reader *Reader) askPeers(ctx context.Context, again bool) (View, error) {
	ctx, cancel := reader.cancellable(ctx, readTimeout)
	defer cancel()
	view, err := reader.peerView(ctx, again)
	if err != nil && ctx.Err() == nil {
		reader.options.Events.Add(EventPeerFailed, 1)
		view, err = reader.peerView(ctx, again)
	}
	if err != nil {
		reader.options.Events.Add(EventPeerFailed, 1)
	}
	reader.mutex.Lock()
	reader.peerFailing = err != nil
	reader.mutex.Unlock()
	return view, err
}

func (reader *Reader) handOn(ctx context.Context) {
	if err := reader.publish(ctx); err != nil {
		reader.options.Log.Warn().Str("problem", err.Error()).Msg("view not handed on")
	}
}

// heldUntil is when the first of the servers is dropped that may only have lapsed, here or at the peer whose view was taken; 0 when there is none.
func (reader *Reader) heldUntil() clock.Moment {
	held := reader.askAgain
	for _, until := range reader.lapsed {
		if held == 0 || until < held {
			held = until
		}
	}
	return held
}

// peerView asks a peer for what has changed, and for everything when that doesn't fit what is known here.
func (reader *Reader) peerView(ctx context.Context, again bool) (View, error) {
	after := reader.revision
	if again || reader.configuration == nil {
		after = 0
	}
	update, err := reader.options.FetchFromPeer(ctx, after)
	if err != nil {
		return View{}, err
	}
	base := reader.current()
	if update.Revision < after || update.Revision == after && reader.askAgain == 0 {
		return base, nil
	}
	view, err := update.Apply(&base)
	if !errors.Is(err, ErrMismatch) || after == 0 {
		view.RetainedUntil = reader.until(update.RetainedFor)
		return view, err
	}
	reader.options.Events.Add(EventMismatch, 1)
	if update, err = reader.options.FetchFromPeer(ctx, 0); err != nil {
		return View{}, err
	}
	view, err = update.Apply(&base)
	view.RetainedUntil = reader.until(update.RetainedFor)
	return view, err
}

// until is when a peer's view may hold no more, 0 when it holds on.
func (reader *Reader) until(heldFor clock.Milliseconds) clock.Moment {
	if heldFor <= 0 {
		return 0
	}
	return reader.options.Clock.Now().Add(heldFor)
}
