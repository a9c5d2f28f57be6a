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
		ReadAll: func(ctx context.Context, _ clock.Milliseconds) (Snapshot, error) {
			sleep(ctx, length)
			return Snapshot{Revision: 7, Items: []Item{{Key: "configuration", Configuration: &Configuration{Version: 3}}}}, ctx.Err()
		},
		ReadStale: func(ctx context.Context, _ clock.Milliseconds) (Snapshot, error) { return Snapshot{}, ctx.Err() },
		Watch: func(ctx context.Context, _ Revision, _ clock.Milliseconds) (Changes, error) {
			<-ctx.Done()
			return Changes{}, ctx.Err()
		},
		Check: noCheck,
	}
}

// noCheck gets no response.
func noCheck(ctx context.Context, _ Revision) (Changes, error) {
	<-ctx.Done()
	return Changes{}, ctx.Err()
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

// Guards against an instance with a full link that gives up a watch whose response is near, and then has every request on a new
// connection time out, so that it follows an old configuration for seconds.
func TestWatchGoesOnWhilePeersAreRequested(t *testing.T) {
	const (
		newConnection = 1200 * clock.Millisecond
		watchResponse = 700 * clock.Millisecond
	)
	cases := []struct {
		name string
		// peers and watch are the times after which they respond.
		peers, watch clock.Milliseconds
		within       clock.Milliseconds
	}{
		{"the watch responds, peers are slow", newConnection, watchResponse, watchResponse},
		{"a peer responds, the watch is silent", 300 * clock.Millisecond, clock.Minute, 300 * clock.Millisecond},
		{"both respond, the peer first", 300 * clock.Millisecond, watchResponse, 300 * clock.Millisecond},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				configured := func(version Version) *Configuration { return &Configuration{Version: version} }
				published := make(chan View, 64)
				firstRead := true
				source := Source{
					ReadAll: func(ctx context.Context, _ clock.Milliseconds) (Snapshot, error) {
						if !firstRead {
							sleep(ctx, newConnection)
						}
						firstRead = false
						return Snapshot{Revision: 7, Items: []Item{{Key: "configuration", Configuration: configured(3)}}}, ctx.Err()
					},
					ReadStale: func(ctx context.Context, _ clock.Milliseconds) (Snapshot, error) { return Snapshot{}, ctx.Err() },
					Watch: func(ctx context.Context, _ Revision, _ clock.Milliseconds) (Changes, error) {
						sleep(ctx, testCase.watch)
						return Changes{Revision: 9, Set: []Item{{Key: "configuration", Configuration: configured(4)}}}, ctx.Err()
					},
					Check: noCheck,
				}
				reader := NewReader(Options{
					Source: source, Clock: clock.New(), Events: new(expvar.Map).Init(), Log: zerolog.Nop(),
					FetchFromPeer: func(ctx context.Context, _ Revision) (Update, error) {
						sleep(ctx, testCase.peers)
						return Update{Revision: 9, Configuration: configured(4), Digest: NewServerList().Digest()}, ctx.Err()
					},
					Publish: func(_ context.Context, view View) error { published <- view; return nil },
					Jitter:  func() float64 { return 0.5 },
				})
				ctx, cancel := context.WithCancel(t.Context())
				served := make(chan error, 1)
				go func() { served <- reader.Serve(ctx) }()
				reader.SetRole(RoleLeader)
				require.Equal(t, Version(3), (<-published).Configuration.Version)
				synctest.Wait()
				started := time.Now()
				ticker := time.NewTicker(380 * time.Millisecond)
				go func() {
					for range 8 {
						reader.CatchUp(9)
						<-ticker.C
					}
				}()
				version, timeout := Version(0), time.After(5*time.Second)
				for version != 4 && time.Since(started) < 5*time.Second {
					select {
					case view := <-published:
						version = view.Configuration.Version
					case <-timeout:
					}
				}
				cancel()
				<-served
				require.LessOrEqual(t, clock.Of(time.Since(started)), testCase.within+clock.Millisecond)
				time.Sleep(8 * 380 * time.Millisecond)
			})
		})
	}
}
