package catalog

import (
	"context"
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// mayHaveLapsed reports whether an entry that is removed now may only have lapsed: during an outage of the store, servers cannot
// renew their entries.
func (reader *Reader) mayHaveLapsed(now clock.Moment) bool {
	return now < reader.retainUntil
}

func (reader *Reader) applySnapshot(snapshot Snapshot) {
	reader.reportUnreadable(snapshot.Unreadable)
	present := map[Key]bool{}
	for index := range snapshot.Items {
		present[snapshot.Items[index].Key] = true
		reader.set(&snapshot.Items[index])
	}
	for server := range reader.servers.All() {
		if key := ServerKey(server.Name); !present[key] {
			reader.remove(key)
		}
	}
	for _, key := range slices.Collect(maps.Keys(reader.evacuated)) {
		if !present[key] {
			delete(reader.evacuated, key)
		}
	}
	reader.revision = snapshot.Revision
	reader.recheckPeerAt, reader.retainedByPeer = 0, nil
}

func (reader *Reader) applyChanges(ctx context.Context, changes Changes) error {
	reader.reportUnreadable(changes.Unreadable)
	for index := range changes.Set {
		reader.set(&changes.Set[index])
	}
	for _, key := range changes.Removed {
		reader.remove(key)
	}
	lapsed := reader.dropLapsed()
	if changes.Revision > reader.revision {
		reader.revision = changes.Revision
	}
	if len(changes.Set)+len(changes.Removed) == 0 && !lapsed {
		return nil
	}
	if err := reader.publish(ctx); err != nil {
		return err
	}
	pause := batchPause
	if reader.configuration == nil {
		pause = batchPauseUnconfigured
	}
	sleep(ctx, min(pause, reader.untilNextDrop()))
	return nil
}

// reportUnreadable logs and counts items without a key.
func (reader *Reader) reportUnreadable(count int) {
	if count > 0 {
		reader.options.Events.Add(EventUnreadable, int64(count))
		reader.options.Log.Warn().Int("entries", count).Msg("entries without a key, passed over")
	}
}

func (reader *Reader) set(item *Item) {
	switch {
	case item.Problem != nil:
		reader.options.Events.Add(EventUnreadable, 1)
		reader.options.Log.Warn().Str("key", string(item.Key)).Str("problem", item.Problem.Error()).Msg("entry not understood, passed over")
		if name, isServer := item.Key.server(); isServer {
			reader.edits[name] = nil
		}
	case item.Configuration != nil:
		reader.setConfiguration(item.Configuration)
	case item.Server != nil:
		delete(reader.lapsed, item.Key)
		reader.edits[item.Server.Name] = item.Server
	case item.Evacuated != "":
		reader.evacuated[item.Key] = item.Evacuated
	}
}

// setConfiguration puts a newer configuration in force. One that is not newer is ignored, whichever source it comes from.
func (reader *Reader) setConfiguration(configuration *Configuration) {
	if reader.configuration != nil && configuration.Version <= reader.configuration.Version {
		return
	}
	reader.configuration = configuration
	reader.options.Log.Info().Uint64("version", uint64(configuration.Version)).Int("routes", len(configuration.Routes)).Msg("configuration in force")
	for _, warning := range configuration.Warnings {
		reader.options.Events.Add(EventWarning, 1)
		reader.options.Log.Warn().Uint64("version", uint64(configuration.Version)).Str("problem", warning).Msg("configuration not understood in part")
	}
}

func (reader *Reader) remove(key Key) {
	now := reader.options.Clock.Now()
	delete(reader.evacuated, key)
	name, isServer := key.server()
	if !isServer {
		return
	}
	server, edited := reader.edits[name]
	if !edited {
		server = reader.servers.Find(name)
	}
	if server == nil {
		return
	}
	if server.State == ServerReady && reader.mayHaveLapsed(now) {
		if _, noted := reader.lapsed[key]; !noted {
			reader.lapsed[key] = reader.retainUntil
		}
		return
	}
	reader.edits[name] = nil
	delete(reader.lapsed, key)
}

// dropLapsed removes servers that were not registered again in time, and reports whether there were any.
func (reader *Reader) dropLapsed() bool {
	now := reader.options.Clock.Now()
	dropped := false
	for key, until := range reader.lapsed {
		if now >= until {
			delete(reader.lapsed, key)
			if name, isServer := key.server(); isServer {
				reader.edits[name] = nil
			}
			dropped = true
		}
	}
	return dropped
}

func (reader *Reader) publish(ctx context.Context) error {
	return reader.options.Publish(ctx, reader.current())
}

// current returns the view, and applies the changes to its servers since the last call.
func (reader *Reader) current() View {
	if len(reader.edits) > 0 {
		reader.servers = reader.servers.Edit(reader.edits)
		clear(reader.edits)
	}
	view := View{Revision: reader.revision, Configuration: reader.configuration, Servers: reader.servers}
	view.Evacuated = slices.Sorted(maps.Values(reader.evacuated))
	for key := range reader.lapsed {
		if name, isServer := key.server(); isServer {
			view.Retained = append(view.Retained, name)
		}
	}
	view.Retained = slices.Compact(slices.Sorted(slices.Values(append(view.Retained, reader.retainedByPeer...))))
	view.RetainedUntil = reader.retainedUntil()
	return view
}
