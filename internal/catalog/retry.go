package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// handleFailure waits after a failed call, and first reads a peer when the source has not responded for peerFallbackDelay.
func (reader *Reader) handleFailure(ctx context.Context, err error) {
	if reader.interrupted(err) {
		return
	}
	reader.failures++
	reader.failedAt = reader.calledAt
	reader.options.Events.Add(EventFailed, 1)
	if text := err.Error(); reader.failures == 1 || reader.problem != text {
		reader.problem = text
		reader.options.Log.Warn().Str("problem", text).Int("failures", reader.failures).Msg("store does not answer")
	}
	reader.mutex.Lock()
	reader.failing = true
	reader.mutex.Unlock()
	silent := reader.options.Clock.Now().Since(reader.LastResponse())
	if reader.LastResponse() == 0 || silent > peerFallbackDelay {
		reader.readPeer(ctx, false)
	}
	reader.pause(ctx, reader.backoff())
}

// backoff returns the pause after a failed call.
func (reader *Reader) backoff() clock.Milliseconds {
	initial, maximum := initialBackoff, maxBackoff
	reader.mutex.Lock()
	if reader.role == RoleFallback {
		initial, maximum = initialBackoffFallback, maxBackoffFallback
	}
	reader.mutex.Unlock()
	backoff := min(initial*clock.Milliseconds(int(1)<<min(reader.failures-1, 8)), maximum)
	return backoff * clock.Milliseconds(0.5+reader.options.Jitter())
}

// pause waits after a failed call. A newer view of a peer that becomes known meanwhile is read at once: an instance whose calls the
// store refuses must apply the changes that the others have read.
func (reader *Reader) pause(ctx context.Context, length clock.Milliseconds) {
	timer := time.NewTimer(length.Duration())
	defer timer.Stop()
	reader.mutex.Lock()
	role := reader.role
	reader.mutex.Unlock()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-reader.wake:
		}
		reader.mutex.Lock()
		behind, unchanged := reader.peerRevision > reader.revision, reader.role == role && !reader.refreshRequested
		reader.mutex.Unlock()
		if !unchanged {
			reader.signal()
			return
		}
		if behind {
			reader.readPeer(ctx, false)
		}
	}
}

// interrupted reports whether a call was cancelled because the reader became a follower or a refresh was requested.
func (reader *Reader) interrupted(err error) bool {
	if !errors.Is(err, context.Canceled) {
		return false
	}
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.role == RoleFollower || reader.refreshRequested
}
