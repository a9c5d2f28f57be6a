// Package supervisor builds the supervision tree of an instance's components. A component that returns or panics is
// restarted, and its failure is counted and logged; the other components are not affected. A Guard does the same for the goroutines
// that components start, except that nothing restarts these.
//
// # Usage
//
//	root := supervisor.New("entry", supervisor.Options{Log: log, Events: events})
//	root.Add(supervisor.Component{Name: "control", Serve: controller.Serve})
//	err := root.Serve(ctx)
//
//	guard := supervisor.NewGuard(supervisor.Options{Log: log, Events: events})
//	go func() { results <- guard.Run("reader", read) }()
package supervisor

import (
	"context"
	"expvar"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// EventRestart counts restarts of components that returned or panicked.
const EventRestart = "supervisor.restarts"

// A component is restarted immediately until it has failed failureThreshold times within failureDecaySeconds. Then its restarts pause for
// failureBackoff, so that a component that fails at every start does not use all CPU time.
const (
	failureThreshold    = 5
	failureDecaySeconds = 10
	failureBackoff      = time.Second
	// stopTimeout is how long a component may take to return after its context has ended.
	stopTimeout = 5 * time.Second
)

// Component is a leaf of the supervision tree.
type Component struct {
	Name string
	// Serve runs until its context ends. If it returns earlier, it is called again.
	Serve func(context.Context) error
}

// Options configures a Tree.
type Options struct {
	Log    zerolog.Logger
	Events *expvar.Map
}

// Tree supervises components and restarts them when they fail.
type Tree struct {
	root  *suture.Supervisor
	spec  suture.Spec
	guard *Guard
}

// New returns a tree without components.
func New(name string, options Options) *Tree {
	guard := NewGuard(options)
	spec := suture.Spec{
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecaySeconds,
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
		// A panic in the hook would end the supervisor itself.
		EventHook: func(event suture.Event) { guard.run("supervisor", func() { options.hook(event) }) },
	}
	return &Tree{root: suture.New(name, spec), spec: spec, guard: guard}
}

func (options Options) hook(event suture.Event) {
	switch event.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeServiceTerminate:
		options.Events.Add(EventRestart, 1)
		options.Log.Error().Str("event", event.String()).Msg("a component ended and is restarted")
	case suture.EventTypeStopTimeout:
		options.Log.Error().Str("event", event.String()).Msg("a component did not stop in time")
	case suture.EventTypeBackoff, suture.EventTypeResume:
		options.Log.Warn().Str("event", event.String()).Msg("restarts")
	}
}

// Add adds a component. It gets a supervisor of its own: one supervisor counts the failures of all its components together, and one that
// fails at every start would delay the restarts of the others.
func (tree *Tree) Add(component Component) {
	leaf := suture.New(component.Name, tree.spec)
	leaf.Add(service{component: component, guard: tree.guard})
	tree.root.Add(leaf)
}

// AddTree adds a subtree.
func (tree *Tree) AddTree(subtree *Tree) {
	tree.root.Add(subtree.root)
}

// Serve runs all components until the context ends, and returns the context's error.
func (tree *Tree) Serve(ctx context.Context) error {
	return tree.root.Serve(ctx)
}

// service adapts a component to suture.Service.
type service struct {
	component Component
	guard     *Guard
}

// errEnded is the failure of a component that returned an error with a meaning of its own for suture, such as not to be restarted.
var errEnded = errors.New("a component ended")

// Serve implements suture.Service.
func (service service) Serve(ctx context.Context) error {
	var err error
	if panicError := service.guard.Run(service.component.Name, func() { err = service.component.Serve(ctx) }); panicError != nil {
		return panicError
	}
	if ctx.Err() == nil && (errors.Is(err, suture.ErrDoNotRestart) || errors.Is(err, suture.ErrTerminateSupervisorTree)) {
		return errEnded
	}
	return err
}

// String returns the component's name, which suture uses in events.
func (service service) String() string {
	return service.component.Name
}
