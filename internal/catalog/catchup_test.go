package catalog

import (
	"context"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// slowSource is a source whose reads take longer than the time until a peer's newer revision is reported, and whose watches return
// no change.
func slowSource(length clock.Milliseconds) Source {
	return Source{
		ReadAll: func(ctx context.Context) (Snapshot, error) {
			sleep(ctx, length)
			return Snapshot{Revision: 7, Items: []Item{{Key: "configuration", Configuration: &Configuration{Version: 3}}}}, ctx.Err()
		},
		ReadStale: func(ctx context.Context) (Snapshot, error) { return Snapshot{}, ctx.Err() },
		Watch: func(ctx context.Context, _ Revision, _ clock.Milliseconds) (Changes, error) {
			<-ctx.Done()
			return Changes{}, ctx.Err()
		},
	}
}

// Guards against an instance on a slow link whose reads never complete because each is cancelled when a peer has a newer revision.
func TestReadCompletesWhilePeersHaveNewerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		published := make(chan View, 64)
		reader := NewReader(Options{
			Source: slowSource(600 * clock.Millisecond), Clock: clock.New(), Events: new(expvar.Map).Init(), Log: zerolog.Nop(),
			FetchFromPeer: func(context.Context, Revision) (Update, error) { return Update{}, ErrEncoding },
			Publish:       func(_ context.Context, view View) error { published <- view; return nil },
			Jitter:        func() float64 { return 0.5 },
		})
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- reader.Serve(ctx) }()
		reader.SetRole(RoleLeader)
		for range 8 {
			time.Sleep(380 * time.Millisecond)
			reader.CatchUp(9)
		}
		cancel()
		<-served
		require.NotEmpty(t, published)
		require.Equal(t, Revision(7), (<-published).Revision)
	})
}
