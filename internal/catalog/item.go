package catalog

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Key names one thing that a source holds. Every source names things alike, so that a view may come from the one at one
// time and from another at the next.
type Key string

// ServerKey is the key of a backend server.
func ServerKey(name settings.TargetName) Key {
	return Key("server/" + name)
}

// EvacuationKey is the key of the word that a data centre is out.
func EvacuationKey(name settings.DataCentreName) Key {
	return Key("out/" + name)
}

// Item is one thing that a source holds. At most one of its parts is set; an item without any says nothing that concerns
// jaywheel.
type Item struct {
	Key           Key
	Configuration *Configuration
	Server        *Server
	Evacuated     settings.DataCentreName
	// Problem says why an item that should concern jaywheel was not understood. It then counts as not being there.
	Problem error
}

// Snapshot is all that a source held at one revision.
type Snapshot struct {
	Revision Revision
	Items    []Item
}

// Changes are what has changed since an earlier revision.
type Changes struct {
	Revision Revision
	Set      []Item
	Removed  []Key
}

// ErrCompacted says that a source no longer knows what has changed since the revision asked for.
var ErrCompacted = errors.New("the changes since that revision are no longer known")

// Source is a platform's store, read only. Its fields are functions so that a test can put anything in its place.
type Source struct {
	// ReadAll reads everything.
	ReadAll func(ctx context.Context) (Snapshot, error)
	// ReadStale reads everything as it was up to some seconds ago, which costs the source little.
	ReadStale func(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a revision, as soon as there are any, or none when the wait is over. The error is
	// ErrGone when the source can't tell.
	Watch func(ctx context.Context, after Revision, wait clock.Milliseconds) (Changes, error)
}
