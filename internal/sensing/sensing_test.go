package sensing

import (
	"context"
	"expvar"
	"net/http"
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
