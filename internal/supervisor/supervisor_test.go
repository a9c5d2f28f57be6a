package supervisor

import (
	"context"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
)

// Guards against a fault in a control component that interrupts traffic: a component that panics and one that returns an
// error must each be restarted alone, while the component next to them keeps running.
func TestPartsRestartAlone(t *testing.T) {
	events := (&expvar.Map{}).Init()
	options := Options{Log: zerolog.Nop(), Events: events}
	root := New("root", options)
	control := New("control", options)
	starts := make(chan string, 100)
	failOnce := func(name string, fail func() error) Component {
		first := true
		return Component{Name: name, Serve: func(ctx context.Context) error {
			starts <- name
			if first {
				first = false
				return fail()
			}
			<-ctx.Done()
			return ctx.Err()
		}}
	}
	control.Add(failOnce("panics", func() error { panic("on purpose") }))
	control.Add(failOnce("ends", func() error { return errors.New("on purpose") }))
	root.AddTree(control)
	root.Add(Component{Name: "steady", Serve: func(ctx context.Context) error {
		starts <- "steady"
		<-ctx.Done()
		return ctx.Err()
	}})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- root.Serve(ctx) }()
	counted := map[string]int{}
	for range 5 {
		counted[<-starts]++
	}
	require.Equal(t, map[string]int{"panics": 2, "ends": 2, "steady": 1}, counted)
	stop()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Equal(t, "2", events.Get(EventRestart).String())
	require.Empty(t, starts)
}

// Guards against a component that fails at every start and delays the restarts of those next to it, or ends the tree.
func TestPermanentFailureStaysAlone(t *testing.T) {
	cases := []struct {
		name string
		fail func() error
	}{
		{"panics", func() error { panic("on purpose") }},
		{"ends", func() error { return errors.New("on purpose") }},
		{"ends with the error of another context", func() error { return context.Canceled }},
		{"asks not to be restarted", func() error { return suture.ErrDoNotRestart }},
		{"asks for the end of the tree", func() error { return errors.Wrap(suture.ErrTerminateSupervisorTree, "on purpose") }},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const period = 20 * time.Second
				options := Options{Log: zerolog.Nop(), Events: (&expvar.Map{}).Init()}
				root, control := New("root", options), New("control", options)
				failures := 0
				control.Add(Component{Name: "broken", Serve: func(context.Context) error {
					failures++
					return testCase.fail()
				}})
				var restartDelays []time.Duration
				var failedAt time.Time
				control.Add(Component{Name: "sibling", Serve: func(ctx context.Context) error {
					if !failedAt.IsZero() {
						restartDelays = append(restartDelays, time.Since(failedAt))
					}
					select {
					case <-time.After(period / 4):
						failedAt = time.Now()
						return errors.New("on purpose")
					case <-ctx.Done():
						return ctx.Err()
					}
				}})
				root.AddTree(control)
				ctx, stop := context.WithTimeout(t.Context(), period+time.Second)
				defer stop()
				require.ErrorIs(t, root.Serve(ctx), context.DeadlineExceeded)
				require.Equal(t, make([]time.Duration, 4), restartDelays)
				require.Greater(t, failures, int(period/failureBackoff))
				require.Less(t, failures, 10*int(period/failureBackoff), "a component that fails at every start must not use all CPU time")
			})
		})
	}
}
