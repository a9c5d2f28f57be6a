package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// fail waits after a failed call, and asks a peer meanwhile when the source has been silent for long.
func (reader *Reader) fail(ctx context.Context, err error) {
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
	silent := reader.options.Clock.Now().Since(reader.LastContact())
	if reader.LastContact() == 0 || silent > askPeersAfter {
		reader.readPeer(ctx, false)
	}
	reader.pause(ctx, reader.backoff())
}

// backoff is the pause after a failed call.
func (reader *Reader) backoff() clock.Milliseconds {
	first, most := firstBackoff, mostBackoff
	reader.mutex.Lock()
	if reader.role == RoleFallback {
		first, most = firstBackoffStandby, mostBackoffStandby
	}
	reader.mutex.Unlock()
	backoff := min(first*clock.Milliseconds(int(1)<<min(reader.failures-1, 8)), most)
	return backoff * clock.Milliseconds(0.5+reader.options.Jitter())
}

// pause waits after a failed call. When a peer turns out to know more meanwhile, its view is read at once: an instance that
// the store turns away is bound by what the others know.
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
		behind, goesOn := reader.follows > reader.revision, reader.role == role && !reader.refresh
		reader.mutex.Unlock()
		if !goesOn {
			reader.nudge()
			return
		}
		if behind {
			reader.readPeer(ctx, false)
		}
	}
}

// interrupted reports whether a call ended because the reader was told to stop or to read anew.
func (reader *Reader) interrupted(err error) bool {
	if !errors.Is(err, context.Canceled) {
		return false
	}
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.role == RoleFollower || reader.refresh
}
