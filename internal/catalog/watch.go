package catalog

import (
	"context"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// watchResult is the result of a watch.
type watchResult struct {
	changes Changes
	err     error
}

// peerResult is the view of a peer, or the error of the requests for it.
type peerResult struct {
	view View
	err  error
}

// watch waits for changes at the source. When CatchUp is called meanwhile, it requests the view of a peer at the same time, and returns
// that view if it is newer and the first to arrive. If no peer responds, it gives up the watch as well, whose connection may have
// stopped responding, and requests a refresh.
func (reader *Reader) watch(ctx context.Context, wait clock.Milliseconds) (Changes, *View, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-reader.catchUp:
		// The request was made before this watch.
	default:
	}
	changes := make(chan watchResult, 1)
	after := reader.revision
	go func() {
		var result watchResult
		if err := reader.options.Guard.Run("watch", func() { result.changes, result.err = reader.options.Source.Watch(ctx, after, wait) }); err != nil {
			result = watchResult{err: err}
		}
		changes <- result
	}()
	var peers chan peerResult
	for {
		select {
		case result := <-changes:
			return result.changes, nil, result.err
		case <-reader.catchUp:
			if peers != nil {
				continue
			}
			peers = make(chan peerResult, 1)
			go func(request peerRequest, results chan<- peerResult) {
				ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
				defer cancel()
				var result peerResult
				if err := reader.options.Guard.Run("peer view", func() { result.view, result.err = reader.fetchFromPeers(ctx, request) }); err != nil {
					result = peerResult{err: err}
				}
				results <- result
			}(reader.newPeerRequest(false), peers)
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

// requestRefresh makes the next task read everything again.
func (reader *Reader) requestRefresh() {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.refreshRequested = true
}
