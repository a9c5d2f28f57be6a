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

// Update is what one instance tells another of its view: all of it, or what has changed since a revision. Most changes
// concern one server of hundreds; told whole, each would cost every instance that follows the reading of all of them.
type Update struct {
	_ struct{} `cbor:",toarray"`

	Revision Revision
	// Since is the revision to which the update is to be applied, 0 when it tells everything.
	Since Revision
	// Configuration is nil when it has not changed.
	Configuration *Configuration
	Servers       []Server
	Removed       []settings.TargetName
	Evacuated     []settings.DataCentreName
	// Digest is that of all servers after the update. Two instances that read the source differ for a while in the servers
	// that they keep after an outage; an update of the one to the view of the other would leave servers behind that nobody
	// ever removes, and requests would be sent to them.
	Digest Digest
	// RetainedFor is the time after which the update may hold no more although nothing changes in the source, 0 when that is not so: some
	// servers are kept for a while after an outage.
	RetainedFor clock.Milliseconds
}

// Digest stands for a set of servers.
type Digest uint64

// ErrMismatch says that an update does not fit the view to which it was to be applied; all must be read.
var ErrMismatch = errors.New("the update does not fit the view")

// Apply returns the view after the update. The error is ErrMismatch.
func (update *Update) Apply(base *View) (View, error) {
	view := View{Revision: update.Revision, Configuration: update.Configuration, Evacuated: update.Evacuated}
	if update.Since == 0 {
		view.Servers = update.Servers
		return view, update.check(&view)
	}
	if base.Revision != update.Since {
		return View{}, errors.Wrapf(ErrMismatch, "it is for revision %d, the view has %d", update.Since, base.Revision)
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
		return errors.Wrapf(ErrMismatch, "digest %x, not %x", digest, update.Digest)
	}
	return nil
}

// digestOf does not depend on the order of the servers.
func digestOf(servers []Server) Digest {
	var digest Digest
	sum := fnv.New64a()
	for index := range servers {
		sum.Reset()
		servers[index].digest(sum)
		digest ^= Digest(sum.Sum64())
	}
	return digest
}

// digest writes to a hash, which never fails.
func (server *Server) digest(sum hash.Hash64) {
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

// History remembers when the parts of a view last changed, so that others can be told what has changed since they looked. It
// belongs to one goroutine.
type History struct {
	view *View
	// from is the first revision since which every change is known.
	from            Revision
	configurationAt Revision
	servers         map[settings.TargetName]dated
	removed         map[settings.TargetName]Revision
	digest          Digest
}

// dated is a server and the revision with which it became what it is.
type dated struct {
	server Server
	at     Revision
}

// removedMost is the number of removed servers that are remembered: more than a data centre has. When there are more, those who
// ask read everything.
const removedMost = 512

// NewHistory returns a history that knows nothing.
func NewHistory() *History {
	return &History{servers: map[settings.TargetName]dated{}, removed: map[settings.TargetName]Revision{}}
}

// Record takes a newer view.
func (history *History) Record(view *View) {
	if history.view == nil || len(history.removed) > removedMost {
		history.from = view.Revision
		clear(history.removed)
	}
	if history.view == nil || view.Configuration != history.view.Configuration {
		history.configurationAt = view.Revision
	}
	present := make(map[settings.TargetName]bool, len(view.Servers))
	for index := range view.Servers {
		server := view.Servers[index]
		present[server.Name] = true
		delete(history.removed, server.Name)
		if known, found := history.servers[server.Name]; !found || known.server != server {
			history.servers[server.Name] = dated{server: server, at: view.Revision}
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

// UpdateSince returns what has changed after a revision, or everything when that is not known. It must not be called before Note.
func (history *History) UpdateSince(after Revision) Update {
	update := Update{Revision: history.view.Revision, Evacuated: history.view.Evacuated, Digest: history.digest}
	if after == 0 || after < history.from || after > history.view.Revision {
		update.Configuration = history.view.Configuration
		update.Servers = history.view.Servers
		return update
	}
	update.Since = after
	if history.configurationAt > after {
		update.Configuration = history.view.Configuration
	}
	for index := range history.view.Servers {
		if name := history.view.Servers[index].Name; history.servers[name].at > after {
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
