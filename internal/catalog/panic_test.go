package catalog

import (
	"context"
	"expvar"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against a call to the store or to a peer that panics and ends the process, or after which changes are no longer followed.
func TestChangesAreFollowedAfterAPanic(t *testing.T) {
	cases := []struct {
		name string
		// fail makes calls panic while the flag is set.
		fail func(*Options, *atomic.Bool)
	}{
		{"reading all", func(options *Options, failing *atomic.Bool) {
			readAll := options.Source.ReadAll
			options.Source.ReadAll = func(ctx context.Context, timeout clock.Milliseconds) (Snapshot, error) {
				if failing.Load() {
					panic("on purpose")
				}
				return readAll(ctx, timeout)
			}
		}},
		{"watch", func(options *Options, failing *atomic.Bool) {
			watch := options.Source.Watch
			options.Source.Watch = func(ctx context.Context, after Revision, wait clock.Milliseconds) (Changes, error) {
				if failing.Load() {
					panic("on purpose")
				}
				return watch(ctx, after, wait)
			}
		}},
		{"new view", func(options *Options, failing *atomic.Bool) {
			publish := options.Publish
			options.Publish = func(ctx context.Context, view View) error {
				if failing.Load() {
					panic("on purpose")
				}
				return publish(ctx, view)
			}
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &source{items: map[Key]Item{}, changed: make(chan struct{})}
				events := new(expvar.Map).Init()
				var published atomic.Uint64
				var failing atomic.Bool
				options := Options{
					Source: Source{ReadAll: source.readAll, ReadStale: source.readAll, Watch: source.watch},
					FetchFromPeer: func(context.Context, Revision) (Update, error) {
						if failing.Load() {
							panic("on purpose")
						}
						return Update{}, errRefused
					},
					Publish: func(_ context.Context, view View) error {
						published.Store(uint64(view.Revision))
						return nil
					},
					Clock: clock.New(), Events: events, Log: zerolog.Nop(), Jitter: func() float64 { return 0.5 },
					Guard: supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: events}),
				}
				testCase.fail(&options, &failing)
				reader := NewReader(options)
				reader.SetRole(RoleLeader)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- reader.Serve(ctx) }()
				server := func(name string) {
					source.set(Item{Key: ServerKey("one"), Server: &Server{Name: "one", Address: name, State: ServerReady}})
				}
				server("10.0.0.1:80")
				time.Sleep(3 * time.Second)
				require.EqualValues(t, 1, published.Load())
				failing.Store(true)
				reader.Refresh()
				server("10.0.0.2:80")
				time.Sleep(10 * time.Second)
				panics, _ := events.Get(supervisor.EventPanic).(*expvar.Int)
				require.Greater(t, panics.Value(), int64(2))
				require.Less(t, panics.Value(), int64(200), "a call that panics must not be repeated without a pause")
				failing.Store(false)
				server("10.0.0.3:80")
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 3, published.Load())
				cancel()
				require.ErrorIs(t, <-ended, context.Canceled)
			})
		})
	}
}
