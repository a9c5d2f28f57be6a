package catalog

import (
	"context"

	"github.com/cockroachdb/errors"
)

// followOnce reads a peer's view when it is newer, and waits until there is something to do.
func (reader *Reader) followOnce(ctx context.Context, refresh bool) {
	reader.whole = false
	reader.mutex.Lock()
	behind := reader.follows > reader.revision
	reader.mutex.Unlock()
	if behind || refresh {
		reader.readPeer(ctx, refresh)
		sleep(ctx, followPause)
		return
	}
	select {
	case <-reader.wake:
	case <-ctx.Done():
	}
}

// readPeer takes over a newer view of a peer that the source answers. The store may turn away some instances and serve
// the others.
func (reader *Reader) readPeer(ctx context.Context, again bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	view, err := reader.peerView(ctx, again)
	if err != nil {
		reader.options.Events.Add(EventPeerFailed, 1)
		return
	}
	known := view.Revision < reader.revision || view.Revision == reader.revision && !again
	if known || view.Configuration == nil {
		return
	}
	reader.options.Events.Add(EventFromPeer, 1)
	reader.options.Log.Debug().Uint64("revision", uint64(view.Revision)).Uint64("before", uint64(reader.revision)).Msg("view taken from a peer")
	reader.setConfiguration(view.Configuration)
	clear(reader.servers)
	clear(reader.out)
	clear(reader.lapsed)
	for _, server := range view.Servers {
		reader.servers[ServerKey(server.Name)] = server
	}
	for _, name := range view.Out {
		reader.out[OutKey(name)] = name
	}
	reader.revision = view.Revision
	// What the source holds beyond that is only known once everything has been read.
	reader.whole = false
	if err := reader.publish(ctx); err != nil {
		reader.options.Log.Warn().Str("problem", err.Error()).Msg("view not handed on")
	}
}

// peerView asks a peer for what has changed, and for everything when that doesn't fit what is known here.
func (reader *Reader) peerView(ctx context.Context, again bool) (View, error) {
	after := reader.revision
	if again || reader.configuration == nil {
		after = 0
	}
	update, err := reader.options.FromPeer(ctx, after)
	if err != nil {
		return View{}, err
	}
	base := reader.current()
	if update.Revision <= after {
		return base, nil
	}
	view, err := update.Apply(&base)
	if !errors.Is(err, ErrMismatch) || after == 0 {
		return view, err
	}
	reader.options.Events.Add(EventMismatch, 1)
	if update, err = reader.options.FromPeer(ctx, 0); err != nil {
		return View{}, err
	}
	return update.Apply(&base)
}
