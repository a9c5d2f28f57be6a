// Package supervisor builds the supervision tree of an instance's components. A component that returns or panics is
// restarted, and its failure is counted and logged; the other components are not affected.
//
// # Usage
//
//	root := supervisor.New("entry", supervisor.Options{Log: log, Events: events})
//	root.Add(supervisor.Component{Name: "control", Serve: controller.Serve})
//	err := root.Serve(ctx)
package supervisor

import (
	"context"
	"expvar"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// EventRestart counts restarts of components that returned or panicked.
const EventRestart = "supervisor.restarts"

// Components are restarted immediately until there have been failureThreshold failures within failureDecaySeconds. Then
// restarts pause for failureBackoff, so that a component that fails at every start does not use all CPU time.
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
	root *suture.Supervisor
}

// New returns a tree without components.
func New(name string, options Options) *Tree {
	spec := suture.Spec{
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecaySeconds,
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
		EventHook:        options.hook,
	}
	return &Tree{root: suture.New(name, spec)}
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

// Add adds a component.
func (tree *Tree) Add(component Component) {
	tree.root.Add(service{component: component})
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
}

// Serve implements suture.Service.
func (service service) Serve(ctx context.Context) error {
	return service.component.Serve(ctx)
}

// String returns the component's name, which suture uses in events.
func (service service) String() string {
	return service.component.Name
}
