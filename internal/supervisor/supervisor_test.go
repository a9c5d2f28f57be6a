package supervisor

import (
	"context"
	"expvar"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
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
