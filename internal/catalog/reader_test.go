package catalog

import (
	"context"
	"expvar"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// source is a store in a synctest bubble.
type source struct {
	mutex    sync.Mutex
	revision Revision
	items    map[Key]Item
	events   []event
	changed  chan struct{}
	// silent makes every call hang, gone makes watches fail.
	silent, gone bool
	refuses      bool
	reads        int
}

type event struct {
	revision Revision
	item     Item
	removed  bool
}

func (source *source) set(item Item) {
	source.change(event{item: item})
}

func (source *source) remove(key Key) {
	source.change(event{item: Item{Key: key}, removed: true})
}

func (source *source) change(event event) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.revision++
	event.revision = source.revision
	if event.removed {
		delete(source.items, event.item.Key)
	} else {
		source.items[event.item.Key] = event.item
	}
	source.events = append(source.events, event)
	close(source.changed)
	source.changed = make(chan struct{})
}

func (source *source) setFaults(silent, gone bool) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.silent, source.gone = silent, gone
}

// setRefuses has every read refused at once, or answered again.
func (source *source) setRefuses(refuses bool) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.refuses = refuses
}

var errRefused = errors.New("refused")

func (source *source) readAll(ctx context.Context) (Snapshot, error) {
	source.mutex.Lock()
	source.reads++
	if source.refuses {
		source.mutex.Unlock()
		return Snapshot{}, errRefused
	}
	silent := source.silent
	snapshot := Snapshot{Revision: source.revision}
	for _, item := range source.items {
		snapshot.Items = append(snapshot.Items, item)
	}
	source.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return Snapshot{}, ctx.Err()
	}
	return snapshot, nil
}

func (source *source) watch(ctx context.Context, after Revision, wait clock.Milliseconds) (Changes, error) {
	timeout := time.After(wait.Duration())
	for {
		source.mutex.Lock()
		silent, gone, changed := source.silent, source.gone, source.changed
		changes := Changes{Revision: source.revision}
		for _, event := range source.events {
			switch {
			case event.revision <= after:
			case event.removed:
				changes.Removed = append(changes.Removed, event.item.Key)
			default:
				changes.Set = append(changes.Set, event.item)
			}
		}
		source.mutex.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return Changes{}, ctx.Err()
		case gone:
			return Changes{}, ErrCompacted
		case len(changes.Set)+len(changes.Removed) > 0:
			return changes, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return changes, nil
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		}
	}
}

// bench is a reader on a source, and what it has published last.
type bench struct {
	source *source
	reader *Reader
	mutex  sync.Mutex
	view   View
	peer   *View
}

func (bench *bench) last() View {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	return bench.view
}

func (bench *bench) names() []string {
	var names []string
	for _, server := range bench.last().Servers {
		names = append(names, string(server.Name))
	}
	return names
}

var errNoPeerHere = errors.New("no peer")

func newBench(t *testing.T) *bench {
	bench := &bench{source: &source{revision: 5, items: map[Key]Item{}, changed: make(chan struct{})}}
	bench.reader = NewReader(Options{
		Source: Source{ReadAll: bench.source.readAll, ReadStale: bench.source.readAll, Watch: bench.source.watch},
		FetchFromPeer: func(_ context.Context, after Revision) (Update, error) {
			bench.mutex.Lock()
			defer bench.mutex.Unlock()
			if bench.peer == nil {
				return Update{}, errNoPeerHere
			}
			history := NewHistory()
			history.Record(bench.peer)
			return history.UpdateSince(after), nil
		},
		Publish: func(_ context.Context, view View) error {
			bench.mutex.Lock()
			defer bench.mutex.Unlock()
			bench.view = view
			return nil
		},
		Clock: clock.New(), Events: new(expvar.Map).Init(), Log: zerolog.Nop(), Jitter: func() float64 { return 0.5 },
	})
	bench.source.set(configurationItem(7))
	bench.source.set(serverItem("one", ServerReady))
	bench.source.set(serverItem("two", ServerReady))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = bench.reader.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return bench
}

func configurationItem(version Version) Item {
	return Item{Key: "configuration", Configuration: &Configuration{Version: version}}
}

func serverItem(name settings.TargetName, state ServerState) Item {
	return Item{Key: ServerKey(name), Server: &Server{Name: name, Service: "look", State: state, Slots: 6}}
}

func pass(length clock.Milliseconds) {
	time.Sleep(length.Duration())
	synctest.Wait()
}

// Changes arrive while a reader leads, and a configuration never goes back to an older version, whoever says it.
func TestReaderFollowsTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		pass(clock.Second)
		require.Zero(t, bench.last().Revision, "a reader that follows reads nothing by itself")
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		require.Equal(t, []string{"one", "two"}, bench.names())
		bench.source.set(configurationItem(9))
		bench.source.set(configurationItem(8))
		bench.source.remove(ServerKey("one"))
		bench.source.set(Item{Key: EvacuationKey("sofia-1"), Evacuated: "sofia-1"})
		pass(clock.Second)
		require.EqualValues(t, 9, bench.last().Configuration.Version)
		require.Equal(t, []string{"two"}, bench.names())
		require.True(t, new(bench.last()).IsEvacuated("sofia-1"))
	})
}

// Somebody else writes an entry that makes no sense. It names no server, and the others hold.
func TestUnreadableEntryIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		bench.source.set(Item{Key: ServerKey("three"), Problem: errors.New("no JSON")})
		pass(clock.Second)
		require.Equal(t, []string{"one", "two"}, bench.names())
	})
}

// The store forgets its history and cuts the watch while a server leaves. Whoever waits for the next change would send work
// to that server for as long as nothing else changes.
func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		bench.source.setFaults(false, true)
		bench.source.remove(ServerKey("one"))
		pass(100)
		bench.source.setFaults(false, false)
		pass(clock.Second)
		require.Equal(t, []string{"two"}, bench.names())
	})
}

// While the store was away, servers could not renew their entries. Those that live are back within two seconds of its
// return; taken for gone meanwhile, a whole service would have no servers.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		bench.source.setFaults(true, false)
		pass(6 * clock.Second)
		bench.source.remove(ServerKey("one"))
		bench.source.remove(ServerKey("two"))
		bench.source.setFaults(false, false)
		pass(1500)
		require.Equal(t, []string{"one", "two"}, bench.names())
		bench.source.set(serverItem("two", ServerReady))
		pass(6 * clock.Second)
		require.Equal(t, []string{"two"}, bench.names())
	})
}

// A reader was cut off and is back, and a moment later a server leaves by taking its entry away. Nothing else changes in the store. The
// reader holds the entry for one that has only lapsed; were it to look again only when its next watch ends, requests would go to a server that
// has left long after it said so.
func TestLapsedEntryIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		bench.source.setFaults(true, false)
		pass(6 * clock.Second)
		bench.source.setFaults(false, false)
		for waited := clock.Milliseconds(0); bench.reader.Failing(); waited += 10 {
			require.Less(t, waited, 3*clock.Second)
			pass(10)
		}
		pass(1400)
		bench.source.remove(ServerKey("one"))
		pass(returnWithin - 1400 + 50)
		require.Equal(t, []string{"two"}, bench.names())
	})
}

// The store turns this instance away and serves the others. It must go by what a peer has read, and never by an older
// view than its own.
func TestPeerHelpsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		bench.source.setFaults(true, false)
		before := bench.last().Revision
		bench.mutex.Lock()
		bench.peer = &View{Revision: before - 1, Configuration: &Configuration{Version: 99}}
		bench.mutex.Unlock()
		pass(6 * clock.Second)
		require.EqualValues(t, 7, bench.last().Configuration.Version)
		bench.mutex.Lock()
		bench.peer = &View{Revision: before + 3, Configuration: &Configuration{Version: 11}, Servers: []Server{{Name: "three"}}}
		bench.mutex.Unlock()
		pass(6 * clock.Second)
		require.EqualValues(t, 11, bench.last().Configuration.Version)
		require.Equal(t, []string{"three"}, bench.names())
	})
}

// The store turns away all that serve, so that only one that stands by learns of a new configuration. Told so, a reader that is
// refused must take it over well within the two seconds in which it has to be in force.
func TestRefusedReaderTakesOverWhatPeersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		before := bench.last().Revision
		bench.source.setFaults(true, false)
		pass(5 * clock.Second)
		require.True(t, bench.reader.Failing())
		bench.mutex.Lock()
		bench.peer = &View{Revision: before + 1, Configuration: &Configuration{Version: 12}}
		bench.mutex.Unlock()
		bench.reader.SetPeerRevision(before + 1)
		pass(1300)
		require.EqualValues(t, 12, bench.last().Configuration.Version)
		bench.source.setFaults(false, false)
		pass(2 * clock.Second)
		require.False(t, bench.reader.Failing())
	})
}

// An instance that stands by reads a serving peer's view when that is newer, and makes no call to the store.
func TestFollowerReadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.peer = &View{Revision: 40, Configuration: &Configuration{Version: 3}}
		bench.reader.SetPeerRevision(40)
		pass(clock.Second)
		require.EqualValues(t, 3, bench.last().Configuration.Version)
		require.Zero(t, bench.source.reads)
	})
}

// A connection to the store goes silent for good while new ones work. What changes meanwhile must be known within 3 s.
func TestSilentWatchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		bench.source.setFaults(true, false)
		pass(clock.Second)
		bench.source.remove(ServerKey("one"))
		// The watch under way hangs; those that follow are answered.
		bench.source.setFaults(false, false)
		pass(2900)
		require.Equal(t, []string{"two"}, bench.names())
	})
}

// The store is away from everybody. Those that serve look for its return often; a hundred that stand by would make calls by
// the thousand, so they take their time, but are back within 3 s, and at once when they are called to serve.
func TestStandInsCallRarelyWhileTheStoreIsAway(t *testing.T) {
	cases := []struct {
		name        string
		role        Role
		least, most int
	}{
		{"stands in", RoleFallback, 4, 7},
		{"serves", RoleLeader, 12, 24},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bench := newBench(t)
				bench.source.setRefuses(true)
				bench.reader.SetRole(testCase.role)
				pass(8 * clock.Second)
				require.GreaterOrEqual(t, bench.source.reads, testCase.least)
				require.LessOrEqual(t, bench.source.reads, testCase.most)
				bench.source.setRefuses(false)
				pass(3 * clock.Second)
				require.Equal(t, []string{"one", "two"}, bench.names())
			})
		})
	}
}

// An instance that stands by waits between two calls to a store that is away, and is called to serve. Callers come at once, so
// it must not wait on.
func TestPauseEndsWhenCalledToServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.source.setRefuses(true)
		bench.reader.SetRole(RoleFallback)
		pass(4 * clock.Second)
		bench.source.setRefuses(false)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Millisecond)
		require.Equal(t, []string{"one", "two"}, bench.names())
	})
}

// Guards against an instance that was restarted and serves nobody until those that read the store have told it their view.
func TestStaleViewServesUntilPeersTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.ReadStale()
		pass(100)
		require.Equal(t, []string{"one", "two"}, bench.names())
		require.Zero(t, bench.reader.LastContact(), "an old view does not tell that the source answers")
		bench.mutex.Lock()
		bench.peer = &View{Revision: bench.view.Revision + 2, Configuration: &Configuration{Version: 9}, Servers: []Server{{Name: "three"}}}
		bench.mutex.Unlock()
		bench.reader.SetPeerRevision(bench.last().Revision + 2)
		pass(500)
		require.Equal(t, []string{"three"}, bench.names())
		reads := bench.source.reads
		bench.reader.ReadStale()
		pass(500)
		require.Equal(t, reads, bench.source.reads, "one that has a view has no use for an old one")
	})
}
