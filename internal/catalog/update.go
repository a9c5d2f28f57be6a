package catalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Update is a view for another instance: all of it, or the changes since a revision. Most changes concern one server of hundreds; if
// each change were sent as a whole view, every follower would have to read all servers each time.
type Update struct {
	_ struct{} `cbor:",toarray"`

	Revision Revision
	// Since is the revision that the update applies to, 0 when it contains everything.
	Since Revision
	// Configuration is nil when it has not changed.
	Configuration *Configuration
	Servers       []Server
	Removed       []settings.TargetName
	Evacuated     []settings.DataCentreName
	// Retained are the servers whose entries are gone at the source and may only have lapsed.
	Retained []settings.TargetName
	// Digest is the digest of all servers after the update. Two instances that read the source may for a while retain different
	// servers after an outage. An update from one, applied to a view of the other, could leave servers behind that are never
	// removed, and requests would be sent to them.
	Digest Digest
	// RetainedFor is the time after which the update may be outdated without a change of the source, because a server that is
	// retained after an outage is dropped; 0 when none is retained.
	RetainedFor clock.Milliseconds
}

// ErrMismatch means that an update does not apply to a view, and everything must be read.
var ErrMismatch = errors.New("update does not apply to the view")

// Apply returns the view after the update, or ErrMismatch.
func (update *Update) Apply(base *View) (View, error) {
	view := View{Revision: update.Revision, Configuration: update.Configuration, Evacuated: update.Evacuated, Retained: update.Retained}
	edits := make(ServerEdits, len(update.Servers)+len(update.Removed))
	for _, name := range update.Removed {
		edits[name] = nil
	}
	for index := range update.Servers {
		edits[update.Servers[index].Name] = &update.Servers[index]
	}
	if update.Since == 0 {
		// The servers that the base has as well stay in its chunks.
		for server := range base.Servers.All() {
			if _, present := edits[server.Name]; !present {
				edits[server.Name] = nil
			}
		}
	} else {
		if base.Revision != update.Since {
			return View{}, errors.Wrapf(ErrMismatch, "update is for revision %d, view has revision %d", update.Since, base.Revision)
		}
		if view.Configuration == nil {
			view.Configuration = base.Configuration
		}
	}
	view.Servers = base.Servers.Edit(edits)
	if digest := view.Servers.Digest(); digest != update.Digest {
		return view, errors.Wrapf(ErrMismatch, "servers have digest %x, update has %x", digest, update.Digest)
	}
	return view, nil
}

// History records when the parts of a view last changed, to make updates since earlier revisions. It is not safe for concurrent use.
type History struct {
	view *View
	// firstRevision is the first revision since which every change is known.
	firstRevision          Revision
	configurationChangedAt Revision
	// whole are the servers of the view, made when they are first needed: a whole fleet may start at once and read them.
	whole []Server
	// changes are the changes of servers since firstRevision, in the order of their revisions.
	changes []serverChange
}

// serverChange is a server that was set or removed, and the revision at which it was.
type serverChange struct {
	revision Revision
	name     settings.TargetName
}

// minChanges is the number of changes that are kept of a view with few servers.
const minChanges = 64

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{}
}

// Record records a newer view.
func (history *History) Record(view *View) {
	if history.view == nil {
		history.firstRevision, history.configurationChangedAt = view.Revision, view.Revision
		history.view = view
		return
	}
	if view.Configuration != history.view.Configuration {
		history.configurationChangedAt = view.Revision
	}
	history.whole = nil
	difference := view.Servers.DifferenceFrom(history.view.Servers)
	for _, servers := range [...][]*Server{difference.Set, difference.Removed} {
		for _, server := range servers {
			history.changes = append(history.changes, serverChange{revision: view.Revision, name: server.Name})
		}
	}
	history.view = view
	history.dropOldest()
}

// dropOldest drops the older half of the changes when there are more of them than servers: an update with all of them would be longer
// than the whole view.
func (history *History) dropOldest() {
	if len(history.changes) <= max(history.view.Servers.Len(), minChanges) {
		return
	}
	history.firstRevision = history.changes[len(history.changes)/2].revision
	history.changes = slices.Clone(history.changesAfter(history.firstRevision))
}

// changesAfter returns the changes after a revision.
func (history *History) changesAfter(after Revision) []serverChange {
	first, _ := slices.BinarySearchFunc(history.changes, after+1, func(change serverChange, revision Revision) int {
		return cmp.Compare(change.revision, revision)
	})
	return history.changes[first:]
}

// UpdateSince returns the changes after a revision, or everything when those are not known. Record must have been called before.
func (history *History) UpdateSince(after Revision) Update {
	view := history.view
	update := Update{Revision: view.Revision, Evacuated: view.Evacuated, Retained: view.Retained, Digest: view.Servers.Digest()}
	if after == 0 || after < history.firstRevision || after > view.Revision {
		if history.whole == nil {
			history.whole = make([]Server, 0, view.Servers.Len())
			for server := range view.Servers.All() {
				history.whole = append(history.whole, *server)
			}
		}
		update.Configuration, update.Servers = view.Configuration, history.whole
		return update
	}
	update.Since = after
	if history.configurationChangedAt > after {
		update.Configuration = view.Configuration
	}
	changed := map[settings.TargetName]bool{}
	for _, change := range history.changesAfter(after) {
		changed[change.name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if server := view.Servers.Find(name); server != nil {
			update.Servers = append(update.Servers, *server)
		} else {
			update.Removed = append(update.Removed, name)
		}
	}
	return update
}
