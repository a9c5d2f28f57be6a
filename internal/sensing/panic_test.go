package sensing

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a probe that panics and ends the process, or the probes of its target, or is repeated without a pause.
func TestProbesGoOnAfterAPanic(t *testing.T) {
	failNow := func() { panic("on purpose") }
	cases := []struct {
		name string
		fail func(*Options, *Job)
		// down is whether the target counts as down: its probes have failed.
		down bool
	}{
		{"sending", func(options *Options, _ *Job) {
			send := options.Send
			options.Send = func(ctx context.Context, name settings.TargetName, request *http.Request, fresh bool) (*backendserver.Exchange, error) {
				if name == "one" {
					failNow()
				}
				return send(ctx, name, request, fresh)
			}
		}, true},
		{"due", func(_ *Options, job *Job) {
			job.Due = func() bool {
				failNow()
				return true
			}
		}, false},
		{"pause", func(_ *Options, job *Job) {
			job.Pause = func() clock.Milliseconds {
				failNow()
				return 0
			}
		}, false},
		{"result", func(options *Options, _ *Job) {
			deliver := options.Deliver
			options.Deliver = func(result Result) {
				if result.Target == "one" && !result.Verification {
					failNow()
				}
				deliver(result)
			}
		}, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 10 * time.Second
				events := new(expvar.Map).Init()
				var others, down, verified atomic.Int64
				options := Options{
					Send: func(context.Context, settings.TargetName, *http.Request, bool) (*backendserver.Exchange, error) {
						return nil, errNoServer
					},
					Deliver: func(result Result) {
						switch {
						case result.Verification:
							verified.Add(1)
						case result.Target == "other":
							others.Add(1)
						case result.Down:
							down.Add(1)
						}
					},
					Clock: clock.New(), Events: events, Guard: supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: events}), MaxConcurrent: 1,
				}
				pause := func() clock.Milliseconds { return 100 * clock.Millisecond }
				job := Job{Target: "one", Pause: pause}
				testCase.fail(&options, &job)
				prober := NewProber(options)
				prober.Set([]Job{job, {Target: "other", Pause: pause}})
				ctx, cancel := context.WithTimeout(t.Context(), length)
				defer cancel()
				served := make(chan error, 1)
				go func() { served <- prober.Serve(ctx) }()
				synctest.Wait()
				prober.Verify(job)
				require.ErrorIs(t, <-served, context.DeadlineExceeded)
				panics, _ := events.Get(supervisor.EventPanic).(*expvar.Int)
				require.GreaterOrEqual(t, panics.Value(), length.Milliseconds()/int64(downPause)-1, "the target is probed on")
				require.LessOrEqual(t, panics.Value(), length.Milliseconds()/int64(pause())+2)
				require.GreaterOrEqual(t, others.Load(), length.Milliseconds()/int64(downPause)-1)
				require.Equal(t, testCase.down, down.Load() > 0)
				require.EqualValues(t, 1, verified.Load())
			})
		})
	}
}
