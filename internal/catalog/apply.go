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
	present := map[Key]bool{}
	for index := range snapshot.Items {
		present[snapshot.Items[index].Key] = true
		reader.set(&snapshot.Items[index])
	}
	for _, key := range slices.Collect(maps.Keys(reader.servers)) {
		if !present[key] {
			reader.remove(key)
		}
	}
	for _, key := range slices.Collect(maps.Keys(reader.evacuated)) {
		if !present[key] {
			delete(reader.evacuated, key)
		}
	}
	reader.revision = snapshot.Revision
	reader.recheckPeerAt = 0
}

func (reader *Reader) applyChanges(ctx context.Context, changes Changes) error {
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

func (reader *Reader) set(item *Item) {
	switch {
	case item.Problem != nil:
		reader.options.Events.Add(EventUnreadable, 1)
		reader.options.Log.Warn().Str("key", string(item.Key)).Str("problem", item.Problem.Error()).Msg("entry not understood, passed over")
		delete(reader.servers, item.Key)
	case item.Configuration != nil:
		reader.setConfiguration(item.Configuration)
	case item.Server != nil:
		delete(reader.lapsed, item.Key)
		reader.servers[item.Key] = *item.Server
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
	server, known := reader.servers[key]
	if !known {
		return
	}
	if server.State == ServerReady && reader.mayHaveLapsed(now) {
		if _, noted := reader.lapsed[key]; !noted {
			reader.lapsed[key] = reader.retainUntil
		}
		return
	}
	delete(reader.servers, key)
	delete(reader.lapsed, key)
}

// dropLapsed removes servers that were not registered again in time, and reports whether there were any.
func (reader *Reader) dropLapsed() bool {
	now := reader.options.Clock.Now()
	dropped := false
	for key, until := range reader.lapsed {
		if now >= until {
			delete(reader.lapsed, key)
			delete(reader.servers, key)
			dropped = true
		}
	}
	return dropped
}

func (reader *Reader) publish(ctx context.Context) error {
	return reader.options.Publish(ctx, reader.current())
}

func (reader *Reader) current() View {
	view := View{Revision: reader.revision, Configuration: reader.configuration}
	for _, key := range slices.Sorted(maps.Keys(reader.servers)) {
		view.Servers = append(view.Servers, reader.servers[key])
	}
	view.Evacuated = slices.Sorted(maps.Values(reader.evacuated))
	view.RetainedUntil = reader.retainedUntil()
	return view
}
