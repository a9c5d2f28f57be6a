package catalog

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
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
	// Digest is the digest of all servers after the update. Two instances that read the source may for a while retain different
	// servers after an outage. An update from one, applied to a view of the other, could leave servers behind that are never
	// removed, and requests would be sent to them.
	Digest Digest
	// RetainedFor is the time after which the update may be outdated without a change of the source, because a server that is
	// retained after an outage is dropped; 0 when none is retained.
	RetainedFor clock.Milliseconds
}

// Digest is a hash of a set of servers.
type Digest uint64

// ErrMismatch means that an update does not apply to a view, and everything must be read.
var ErrMismatch = errors.New("update does not apply to the view")

// Apply returns the view after the update, or ErrMismatch.
func (update *Update) Apply(base *View) (View, error) {
	view := View{Revision: update.Revision, Configuration: update.Configuration, Evacuated: update.Evacuated}
	if update.Since == 0 {
		view.Servers = update.Servers
		return view, update.check(&view)
	}
	if base.Revision != update.Since {
		return View{}, errors.Wrapf(ErrMismatch, "update is for revision %d, view has revision %d", update.Since, base.Revision)
	}
	if view.Configuration == nil {
		view.Configuration = base.Configuration
	}
	replaced := make(map[settings.TargetName]bool, len(update.Servers)+len(update.Removed))
	for _, name := range update.Removed {
		replaced[name] = true
	}
	for index := range update.Servers {
		replaced[update.Servers[index].Name] = true
	}
	for index := range base.Servers {
		if !replaced[base.Servers[index].Name] {
			view.Servers = append(view.Servers, base.Servers[index])
		}
	}
	view.Servers = append(view.Servers, update.Servers...)
	return view, update.check(&view)
}

func (update *Update) check(view *View) error {
	if digest := digestOf(view.Servers); digest != update.Digest {
		return errors.Wrapf(ErrMismatch, "servers have digest %x, update has %x", digest, update.Digest)
	}
	return nil
}

// digestOf returns the digest of the servers, which does not depend on their order.
func digestOf(servers []Server) Digest {
	var digest Digest
	sum := fnv.New64a()
	for index := range servers {
		sum.Reset()
		servers[index].writeTo(sum)
		digest ^= Digest(sum.Sum64())
	}
	return digest
}

// writeTo writes the server to a hash, which never fails.
func (server *Server) writeTo(sum hash.Hash64) {
	for _, text := range []string{string(server.Name), string(server.Service), server.Address, string(server.DataCentre), string(server.State)} {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{0})
	}
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[:], uint64(server.Slots))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(server.Started))
	binary.LittleEndian.PutUint64(numbers[16:], uint64(server.ColdFor))
	_, _ = sum.Write(numbers[:])
}

// History records when the parts of a view last changed, to make updates since earlier revisions. It is not safe for concurrent use.
type History struct {
	view *View
	// firstRevision is the first revision since which every change is known.
	firstRevision          Revision
	configurationChangedAt Revision
	servers                map[settings.TargetName]revisionedServer
	removed                map[settings.TargetName]Revision
	digest                 Digest
}

// revisionedServer is a server and the revision at which it last changed.
type revisionedServer struct {
	server    Server
	changedAt Revision
}

// maxRemoved is the maximum number of removed servers that are recorded, more than a data centre has. When there are more, followers
// read everything.
const maxRemoved = 512

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{servers: map[settings.TargetName]revisionedServer{}, removed: map[settings.TargetName]Revision{}}
}

// Record records a newer view.
func (history *History) Record(view *View) {
	if history.view == nil || len(history.removed) > maxRemoved {
		history.firstRevision = view.Revision
		clear(history.removed)
	}
	if history.view == nil || view.Configuration != history.view.Configuration {
		history.configurationChangedAt = view.Revision
	}
	present := make(map[settings.TargetName]bool, len(view.Servers))
	for index := range view.Servers {
		server := view.Servers[index]
		present[server.Name] = true
		delete(history.removed, server.Name)
		if known, found := history.servers[server.Name]; !found || known.server != server {
			history.servers[server.Name] = revisionedServer{server: server, changedAt: view.Revision}
		}
	}
	for name := range history.servers {
		if !present[name] {
			delete(history.servers, name)
			history.removed[name] = view.Revision
		}
	}
	history.view = view
	history.digest = digestOf(view.Servers)
}

// UpdateSince returns the changes after a revision, or everything when those are not known. Record must have been called before.
func (history *History) UpdateSince(after Revision) Update {
	update := Update{Revision: history.view.Revision, Evacuated: history.view.Evacuated, Digest: history.digest}
	if after == 0 || after < history.firstRevision || after > history.view.Revision {
		update.Configuration = history.view.Configuration
		update.Servers = history.view.Servers
		return update
	}
	update.Since = after
	if history.configurationChangedAt > after {
		update.Configuration = history.view.Configuration
	}
	for index := range history.view.Servers {
		if name := history.view.Servers[index].Name; history.servers[name].changedAt > after {
			update.Servers = append(update.Servers, history.view.Servers[index])
		}
	}
	for name, at := range history.removed {
		if at > after {
			update.Removed = append(update.Removed, name)
		}
	}
	slices.Sort(update.Removed)
	return update
}
