package catalog

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Key identifies one item of a source. All sources use the same keys, so that a view can come from different sources in turn.
type Key string

// serverKeyPrefix precedes the name of a backend server in its key.
const serverKeyPrefix = "server/"

// ServerKey returns the key of a backend server.
func ServerKey(name settings.TargetName) Key {
	return Key(serverKeyPrefix + name)
}

// server returns the name of the backend server of which this is the key, and whether it is the key of one.
func (key Key) server() (settings.TargetName, bool) {
	name, isServer := strings.CutPrefix(string(key), serverKeyPrefix)
	return settings.TargetName(name), isServer
}

// EvacuationKey returns the key of the item that marks a data centre as evacuated.
func EvacuationKey(name settings.DataCentreName) Key {
	return Key("out/" + name)
}

// Item is one item of a source. At most one of its parts is set; an item without any does not concern jaywheel.
type Item struct {
	Key           Key
	Configuration *Configuration
	Server        *Server
	Evacuated     settings.DataCentreName
	// Problem is why an item that should concern jaywheel was not understood, nil otherwise. Such an item counts as absent.
	Problem error
}

// Snapshot is the content of a source at one revision.
type Snapshot struct {
	Revision Revision
	Items    []Item
	// Unreadable is the number of items that could not be decoded so far that they have a key.
	Unreadable int
}

// Changes are the changes of a source since an earlier revision.
type Changes struct {
	Revision Revision
	Set      []Item
	Removed  []Key
	// Unreadable is the number of changes that could not be decoded so far that they have a key.
	Unreadable int
}

// ErrCompacted means that a source no longer has the changes since the requested revision.
var ErrCompacted = errors.New("changes since the requested revision are no longer available")

// ErrUnreadable means that a source has responded with more than can be read, or with something else than the content that was requested.
var ErrUnreadable = errors.New("response is too long or cannot be decoded")

// Source is read access to a platform's store. Its fields are functions so that tests can replace each of them.
type Source struct {
	// ReadAll reads everything. It fails if the response to one call takes longer than callTimeout; a large content takes many calls.
	// All changes after the revision of the snapshot are returned by Watch, also those that the snapshot contains already.
	ReadAll func(ctx context.Context, callTimeout clock.Milliseconds) (Snapshot, error)
	// ReadStale reads everything as it was up to some seconds ago, at little cost for the store.
	ReadStale func(ctx context.Context, callTimeout clock.Milliseconds) (Snapshot, error)
	// Watch returns the changes after a revision as soon as there are any, or none after the wait. The error is ErrCompacted when
	// the store no longer has them, and ErrUnreadable when they cannot be read.
	Watch func(ctx context.Context, after Revision, wait clock.Milliseconds) (Changes, error)
	// Check returns the changes after a revision at once, on a new connection: that of a watch may have stopped responding.
	Check func(ctx context.Context, after Revision) (Changes, error)
}
