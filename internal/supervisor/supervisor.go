// Package supervisor builds the tree of an instance's parts. A component that fails or panics is started again by itself,
// and its failure is counted and logged; the other parts go on.
//
// # Usage
//
//	root := supervisor.New("entry", supervisor.Options{Log: log, Events: events})
//	root.Add(supervisor.Part{Name: "control", Serve: controller.Serve})
//	err := root.Serve(ctx)
package supervisor

import (
	"context"
	"expvar"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// EventRestart counts the parts that ended or panicked and were started again.
const EventRestart = "supervisor.restarts"

// Restarts come at once until there have been this many within failureDecaySeconds; then they pause for failureBackoff,
// so that a component which fails at every start does not take all processor time.
const (
	failureThreshold    = 5
	failureDecaySeconds = 10
	failureBackoff      = time.Second
	// stopTimeout is how long a component may take to end after its context has.
	stopTimeout = 5 * time.Second
)

// Component is one branch of the tree.
type Component struct {
	Name string
	// Serve runs until its context ends; when it returns earlier it is started again.
	Serve func(context.Context) error
}

// Options are what a tree is made from.
type Options struct {
	Log    zerolog.Logger
	Events *expvar.Map
}

// Tree starts its parts again when they fail.
type Tree struct {
	root *suture.Supervisor
}

// New returns a tree without parts.
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
		options.Log.Error().Str("event", event.String()).Msg("a component ended and is started again")
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

// AddTree adds a branch that has parts of its own.
func (tree *Tree) AddTree(branch *Tree) {
	tree.root.Add(branch.root)
}

// Serve runs all parts until the context ends.
func (tree *Tree) Serve(ctx context.Context) error {
	return tree.root.Serve(ctx)
}

// service shows a component to the library.
type service struct {
	component Component
}

// Serve implements suture.Service.
func (service service) Serve(ctx context.Context) error {
	return service.component.Serve(ctx)
}

// String names the component in events.
func (service service) String() string {
	return service.component.Name
}
