package catalog

import (
	"context"
)

func (reader *Reader) setReadingStale(reading bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.readingStale = reading
}

// behind reports whether a peer is known to have a newer view.
func (reader *Reader) behind() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.follows > reader.revision
}

// readStale does what ReadStale asks for. It tells nothing of whether the source answers, nor what it holds now.
func (reader *Reader) readStale(ctx context.Context) {
	reader.mutex.Lock()
	wanted := reader.staleWanted
	reader.staleWanted = false
	reader.mutex.Unlock()
	if !wanted || reader.configuration != nil {
		return
	}
	if reader.behind() {
		// A peer's view is newer, and may be had while the store is away.
		reader.readPeer(ctx, false)
	}
	if reader.configuration != nil {
		return
	}
	ctx, cancel := reader.cancellable(ctx, staleTimeout)
	defer cancel()
	reader.setReadingStale(true)
	defer reader.setReadingStale(false)
	reader.options.Events.Add(EventReadStale, 1)
	snapshot, err := reader.options.Source.ReadStale(ctx)
	if err != nil {
		reader.options.Log.Info().Str("problem", err.Error()).Msg("store not read at the start")
		return
	}
	reader.applySnapshot(snapshot)
	reader.handOn(ctx)
}
