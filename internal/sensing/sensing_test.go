package sensing

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

var errNoServer = errors.New("no server at the address")

// Guards against probes of targets that are not due. After a restart of the whole fleet, hundreds of instances each count as the
// owner of all backend servers, and none may open a connection before a caller sends it a request. Once a caller does, the targets of
// the requested service must be probed within a moment.
func TestTargetsThatAreNotDueAreNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int64
		var due atomic.Bool
		prober := NewProber(Options{
			Send: func(context.Context, settings.TargetName, *http.Request, bool) (*backendserver.Exchange, error) {
				probes.Add(1)
				return nil, errNoServer
			},
			Deliver: func(Result) {}, Clock: clock.New(), Events: new(expvar.Map).Init(),
		})
		prober.Set([]Job{{Target: "one", Due: due.Load, Pause: func() clock.Milliseconds { return 10 }}})
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- prober.Serve(ctx) }()
		time.Sleep(5 * time.Second)
		require.Zero(t, probes.Load())
		due.Store(true)
		time.Sleep((notDuePause + clock.Millisecond).Duration())
		require.Positive(t, probes.Load())
		cancel()
		require.ErrorIs(t, <-served, context.Canceled)
	})
}

// Guards against a response that an instance which stood still reads late, and takes for the present state of the target, and against
// one that then counts as a target that cannot be reached.
func TestLateResponseDoesNotTellThatTargetIsWarm(t *testing.T) {
	cases := []struct {
		name    string
		stops   clock.Milliseconds
		unclear bool
	}{
		{"in time", 0, false},
		{"after a pause of the process", 2 * clock.Second, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var passed atomic.Int64
			stopping := &clock.Clock{Now: func() clock.Moment { return clock.Moment(passed.Load()) }}
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed.Add(int64(testCase.stops)) }))
			defer server.Close()
			address := server.Listener.Addr().String()
			servers := backendserver.NewServers(clock.New())
			defer servers.Close()
			servers.Set("one", backendserver.Options{
				Address: address, MaxConnections: backendserver.FixedLimit(1), Connections: settings.Connections{ConnectTimeout: clock.Second, IdleTimeout: clock.Second},
			})
			results := make(chan Result, 1)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			prober := NewProber(Options{
				Send: servers.Send, Read: func(*http.Response) (Health, error) { return Health{}, nil },
				Deliver: func(result Result) {
					select {
					case results <- result:
					case <-ctx.Done():
					}
				},
				Clock: stopping, Events: new(expvar.Map).Init(),
			})
			served := make(chan error, 1)
			go func() { served <- prober.Serve(ctx) }()
			// One probe at a time: a second one would find the only connection in use. One that the machine was too busy for is repeated.
			prober.Set([]Job{{Target: "one", Address: address, Path: "/health", Pause: func() clock.Milliseconds { return 10 * clock.Millisecond }}})
			var result Result
			require.Eventually(t, func() bool {
				select {
				case result = <-results:
					return !errors.Is(result.Err, context.DeadlineExceeded)
				default:
					return false
				}
			}, 10*time.Second, 10*time.Millisecond)
			require.NoError(t, result.Err)
			require.Equal(t, testCase.unclear, result.Health.LoadReading.ColdUnclear)
			cancel()
			require.ErrorIs(t, <-served, context.Canceled)
		})
	}
}

// Guards against a small instance that completes no probe: it begins to serve and has hundreds of targets, whose probes share its processor
// and all end at their time limit, are given up with their connections, and begin again.
func TestProbesOfManyTargetsEndInTime(t *testing.T) {
	const targets, processors = 600, 0.16
	synctest.Test(t, func(t *testing.T) {
		// A first probe takes its processor time; probes get the processor in the order in which they ask for it.
		processor := make(chan struct{}, 1)
		cost := (firstProbeTime / processors).Duration()
		var failed atomic.Int64
		answered := map[settings.TargetName]bool{}
		var mutex sync.Mutex
		prober := NewProber(Options{
			Send: func(ctx context.Context, name settings.TargetName, _ *http.Request, _ bool) (*backendserver.Exchange, error) {
				select {
				case processor <- struct{}{}:
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				defer func() { <-processor }()
				time.Sleep(cost)
				mutex.Lock()
				defer mutex.Unlock()
				answered[name] = true
				return nil, errNoServer
			},
			Deliver: func(result Result) {
				if errors.Is(result.Err, context.DeadlineExceeded) {
					failed.Add(1)
				}
			},
			Clock: clock.New(), Events: new(expvar.Map).Init(), MaxConcurrent: MaxConcurrent(processors),
		})
		jobs := make([]Job, 0, targets)
		for number := range targets {
			jobs = append(jobs, Job{Target: settings.TargetName(fmt.Sprintf("target-%d", number)), Pause: func() clock.Milliseconds { return 2 * clock.Second }})
		}
		prober.Set(jobs)
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- prober.Serve(ctx) }()
		time.Sleep((2 * clock.Second).Duration())
		cancel()
		require.ErrorIs(t, <-served, context.Canceled)
		require.Zero(t, failed.Load(), "probes that ended at their time limit")
		require.Len(t, answered, targets)
	})
}

// Guards against a response to a request that is taken for the response to a probe, and against a connection that is kept although the
// response to the probe is still to come on it.
func TestConnectionEndsWithAResponseThatIsNotTheProbes(t *testing.T) {
	cases := []struct {
		name   string
		health Health
		err    error
	}{
		{"response to a request", Health{}, errNoServer},
		{"response of another server", Health{Target: "two"}, nil},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			address := server.Listener.Addr().String()
			servers := backendserver.NewServers(clock.New())
			defer servers.Close()
			servers.Set("one", backendserver.Options{
				Address: address, MaxConnections: backendserver.FixedLimit(1), Connections: settings.Connections{ConnectTimeout: clock.Second, IdleTimeout: clock.Second},
			})
			prober := NewProber(Options{
				Send: servers.Send, Read: func(*http.Response) (Health, error) { return testCase.health, testCase.err }, Clock: clock.New(), Events: new(expvar.Map).Init(),
			})
			_, err := prober.probe(t.Context(), Job{Target: "one", Address: address, Path: "/health"})
			require.Error(t, err)
			require.Zero(t, servers.OpenConnections("one"))
		})
	}
}
