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
	return reader.peerRevision > reader.revision
}

// readStale makes a stale read if one is requested. Its result shows neither whether the source responds to current reads, nor its
// current content.
func (reader *Reader) readStale(ctx context.Context) {
	reader.mutex.Lock()
	wanted := reader.staleRequested
	reader.staleRequested = false
	reader.mutex.Unlock()
	if !wanted || reader.configuration != nil {
		return
	}
	if reader.behind() {
		// A peer's view is newer, and available during an outage of the store.
		reader.readPeer(ctx, false)
	}
	if reader.configuration != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader.setCancelIO(cancel)
	reader.setReadingStale(true)
	defer reader.setReadingStale(false)
	reader.options.Events.Add(EventReadStale, 1)
	snapshot, err := reader.options.Source.ReadStale(ctx, staleTimeout)
	if err != nil {
		reader.options.Log.Info().Str("problem", err.Error()).Msg("store not read at the start")
		return
	}
	reader.applySnapshot(snapshot)
	reader.publishOrLog(ctx)
}
