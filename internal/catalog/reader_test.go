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

// source is a fake store for tests in a synctest bubble.
type source struct {
	mutex    sync.Mutex
	revision Revision
	items    map[Key]Item
	events   []event
	changed  chan struct{}
	// hangs makes every call hang, compacted makes watches fail with ErrCompacted, refuses makes reads fail at once.
	hangs, compacted bool
	refuses          bool
	// unreadable makes watches that have changes fail with ErrUnreadable.
	unreadable bool
	reads      int
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

func (source *source) setFaults(hangs, compacted bool) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.hangs, source.compacted = hangs, compacted
}

func (source *source) setUnreadable(unreadable bool) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.unreadable = unreadable
}

func (source *source) readCount() int {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.reads
}

// setRefuses sets whether every read is refused at once.
func (source *source) setRefuses(refuses bool) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.refuses = refuses
}

var errRefused = errors.New("refused")

func (source *source) readAll(ctx context.Context, callTimeout clock.Milliseconds) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	source.mutex.Lock()
	source.reads++
	if source.refuses {
		source.mutex.Unlock()
		return Snapshot{}, errRefused
	}
	hangs := source.hangs
	snapshot := Snapshot{Revision: source.revision}
	for _, item := range source.items {
		snapshot.Items = append(snapshot.Items, item)
	}
	source.mutex.Unlock()
	if hangs {
		<-ctx.Done()
		return Snapshot{}, ctx.Err()
	}
	return snapshot, nil
}

func (source *source) watch(ctx context.Context, after Revision, wait clock.Milliseconds) (Changes, error) {
	timeout := time.After(wait.Duration())
	for {
		source.mutex.Lock()
		hangs, compacted, unreadable, changed := source.hangs, source.compacted, source.unreadable, source.changed
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
		case hangs:
			<-ctx.Done()
			return Changes{}, ctx.Err()
		case compacted:
			return Changes{}, ErrCompacted
		case len(changes.Set)+len(changes.Removed) > 0 && unreadable:
			return Changes{}, errors.Wrap(ErrUnreadable, "more than 16 bytes")
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

func (source *source) check(ctx context.Context, after Revision) (Changes, error) {
	return source.watch(ctx, after, minWatchWait)
}

// fixture is a reader with its source, and the view that it published last.
type fixture struct {
	source *source
	reader *Reader
	mutex  sync.Mutex
	view   View
	peer   *View
	// retainedFor is what the peer says of servers that it retains.
	retainedFor clock.Milliseconds
}

func (fixture *fixture) last() View {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	return fixture.view
}

func (fixture *fixture) names() []string {
	var names []string
	for server := range fixture.last().Servers.All() {
		names = append(names, string(server.Name))
	}
	return names
}

// setPeer sets the view of the peer, and what it says of servers that it retains.
func (fixture *fixture) setPeer(view *View, retainedFor clock.Milliseconds) {
	fixture.mutex.Lock()
	fixture.peer, fixture.retainedFor = view, retainedFor
	fixture.mutex.Unlock()
	fixture.reader.SetPeerRevision(view.Revision)
}

var errNoPeer = errors.New("no peer")

func newFixture(t *testing.T) *fixture {
	fixture := &fixture{source: &source{revision: 5, items: map[Key]Item{}, changed: make(chan struct{})}}
	fixture.reader = NewReader(Options{
		Source: Source{ReadAll: fixture.source.readAll, ReadStale: fixture.source.readAll, Watch: fixture.source.watch, Check: fixture.source.check},
		FetchFromPeer: func(_ context.Context, after Revision) (Update, error) {
			fixture.mutex.Lock()
			defer fixture.mutex.Unlock()
			if fixture.peer == nil {
				return Update{}, errNoPeer
			}
			history := NewHistory()
			history.Record(fixture.peer)
			update := history.UpdateSince(after)
			update.RetainedFor = fixture.retainedFor
			return update, nil
		},
		Publish: func(_ context.Context, view View) error {
			fixture.mutex.Lock()
			defer fixture.mutex.Unlock()
			fixture.view = view
			return nil
		},
		Clock: clock.New(), Events: new(expvar.Map).Init(), Log: zerolog.Nop(), Jitter: func() float64 { return 0.5 },
	})
	fixture.source.set(configurationItem(7))
	fixture.source.set(serverItem("one", ServerReady))
	fixture.source.set(serverItem("two", ServerReady))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = fixture.reader.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return fixture
}

func configurationItem(version Version) Item {
	return Item{Key: "configuration", Configuration: &Configuration{Version: version}}
}

func serverItem(name settings.TargetName, state ServerState) Item {
	return Item{Key: ServerKey(name), Server: &Server{Name: name, Service: "look", State: state, Slots: 6}}
}

func advance(duration clock.Milliseconds) {
	time.Sleep(duration.Duration())
	synctest.Wait()
}

// Guards against a leader that misses changes of the source, and against a configuration that returns to an older version.
func TestReaderFollowsTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		advance(clock.Second)
		require.Zero(t, fixture.last().Revision, "a follower reads nothing by itself")
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		require.Equal(t, []string{"one", "two"}, fixture.names())
		fixture.source.set(configurationItem(9))
		fixture.source.set(configurationItem(8))
		fixture.source.remove(ServerKey("one"))
		fixture.source.set(Item{Key: EvacuationKey("sofia-1"), Evacuated: "sofia-1"})
		advance(clock.Second)
		require.EqualValues(t, 9, fixture.last().Configuration.Version)
		require.Equal(t, []string{"two"}, fixture.names())
		require.True(t, new(fixture.last()).IsEvacuated("sofia-1"))
	})
}

// Guards against an entry written by another program that cannot be parsed: it must not count as a server, nor affect the other
// entries.
func TestUnreadableEntryIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		fixture.source.set(Item{Key: ServerKey("three"), Problem: errors.New("no JSON")})
		advance(clock.Second)
		require.Equal(t, []string{"one", "two"}, fixture.names())
	})
}

// Guards against a removal that is missed because the store compacts its history and ends the watch at the same time. If it only waited
// for the next change, the reader would list the removed server as long as nothing else changes.
func TestEverythingIsReadAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		fixture.source.setFaults(false, true)
		fixture.source.remove(ServerKey("one"))
		advance(100)
		fixture.source.setFaults(false, false)
		advance(clock.Second)
		require.Equal(t, []string{"two"}, fixture.names())
	})
}

// Guards against a service without servers after an outage of the store, during which servers cannot renew their entries. Running
// servers are registered again within two seconds of its end.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		fixture.source.setFaults(true, false)
		advance(6 * clock.Second)
		fixture.source.remove(ServerKey("one"))
		fixture.source.remove(ServerKey("two"))
		fixture.source.setFaults(false, false)
		advance(1500)
		require.Equal(t, []string{"one", "two"}, fixture.names())
		fixture.source.set(serverItem("two", ServerReady))
		advance(6 * clock.Second)
		require.Equal(t, []string{"two"}, fixture.names())
	})
}

// Guards against requests to a server long after it removed its entry. A reader was cut off and has returned, and a moment later a
// server removes its entry; nothing else changes in the store. The reader retains the entry because it may only have lapsed, and
// must drop it before its next watch ends.
func TestLapsedEntryIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		fixture.source.setFaults(true, false)
		advance(6 * clock.Second)
		fixture.source.setFaults(false, false)
		for waited := clock.Milliseconds(0); fixture.reader.Failing(); waited += 10 {
			require.Less(t, waited, 3*clock.Second)
			advance(10)
		}
		advance(1400)
		fixture.source.remove(ServerKey("one"))
		advance(reregistrationPeriod - 1400 + 50)
		require.Equal(t, []string{"two"}, fixture.names())
	})
}

// Guards against an instance whose calls the store refuses while it accepts those of others, and that does not adopt the view of
// a peer, or adopts an older view than its own.
func TestNewerViewOfPeerIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		fixture.source.setFaults(true, false)
		before := fixture.last().Revision
		fixture.mutex.Lock()
		fixture.peer = &View{Revision: before - 1, Configuration: &Configuration{Version: 99}}
		fixture.mutex.Unlock()
		advance(6 * clock.Second)
		require.EqualValues(t, 7, fixture.last().Configuration.Version)
		fixture.mutex.Lock()
		fixture.peer = &View{Revision: before + 3, Configuration: &Configuration{Version: 11}, Servers: NewServerList(Server{Name: "three"})}
		fixture.mutex.Unlock()
		advance(6 * clock.Second)
		require.EqualValues(t, 11, fixture.last().Configuration.Version)
		require.Equal(t, []string{"three"}, fixture.names())
	})
}

// Guards against a refused reader that learns too late of a new configuration, which must be in force within two seconds. The store
// refuses all serving instances, and only a standby instance has read the configuration.
func TestRefusedReaderAdoptsNewerViewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		before := fixture.last().Revision
		fixture.source.setFaults(true, false)
		advance(5 * clock.Second)
		require.True(t, fixture.reader.Failing())
		fixture.mutex.Lock()
		fixture.peer = &View{Revision: before + 1, Configuration: &Configuration{Version: 12}}
		fixture.mutex.Unlock()
		fixture.reader.SetPeerRevision(before + 1)
		advance(1300)
		require.EqualValues(t, 12, fixture.last().Configuration.Version)
		fixture.source.setFaults(false, false)
		advance(2 * clock.Second)
		require.False(t, fixture.reader.Failing())
	})
}

// Guards against calls of standby instances to the store: they read a serving peer's view when that is newer.
func TestFollowerReadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.peer = &View{Revision: 40, Configuration: &Configuration{Version: 3}}
		fixture.reader.SetPeerRevision(40)
		advance(clock.Second)
		require.EqualValues(t, 3, fixture.last().Configuration.Version)
		require.Zero(t, fixture.source.reads)
	})
}

// Guards against a connection to the store that stops responding for good while new ones work: changes must still be applied
// within 3 s.
func TestSilentWatchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		fixture.source.setFaults(true, false)
		advance(clock.Second)
		fixture.source.remove(ServerKey("one"))
		// The watch in progress hangs; later ones get responses.
		fixture.source.setFaults(false, false)
		advance(2900)
		require.Equal(t, []string{"two"}, fixture.names())
	})
}

// Guards against too many calls to a store that responds to no instance. Serving instances check often for its return; a hundred standby
// instances at that rate would make thousands of calls. They pause longer, but must read the store within 3 s of its return, and at
// once when they begin to serve.
func TestFallbackReadersCallRarelyDuringAnOutage(t *testing.T) {
	cases := []struct {
		name               string
		role               Role
		minReads, maxReads int
	}{
		{"fallback reader", RoleFallback, 4, 7},
		{"serves", RoleLeader, 12, 24},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t)
				fixture.source.setRefuses(true)
				fixture.reader.SetRole(testCase.role)
				advance(8 * clock.Second)
				require.GreaterOrEqual(t, fixture.source.reads, testCase.minReads)
				require.LessOrEqual(t, fixture.source.reads, testCase.maxReads)
				fixture.source.setRefuses(false)
				advance(3 * clock.Second)
				require.Equal(t, []string{"one", "two"}, fixture.names())
			})
		})
	}
}

// Guards against a fallback reader that waits for the end of its pause after it has become the leader: callers send requests at
// once.
func TestPauseEndsWhenRoleChangesToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.source.setRefuses(true)
		fixture.reader.SetRole(RoleFallback)
		advance(4 * clock.Second)
		fixture.source.setRefuses(false)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Millisecond)
		require.Equal(t, []string{"one", "two"}, fixture.names())
	})
}

// Guards against a restarted instance that has no view until an instance that reads the store has sent it one.
func TestStaleViewServesUntilPeersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.ReadStale()
		advance(100)
		require.Equal(t, []string{"one", "two"}, fixture.names())
		require.Zero(t, fixture.reader.LastResponse(), "a stale read does not show that the source responds")
		fixture.mutex.Lock()
		fixture.peer = &View{Revision: fixture.view.Revision + 2, Configuration: &Configuration{Version: 9}, Servers: NewServerList(Server{Name: "three"})}
		fixture.mutex.Unlock()
		fixture.reader.SetPeerRevision(fixture.last().Revision + 2)
		advance(500)
		require.Equal(t, []string{"three"}, fixture.names())
		reads := fixture.source.reads
		fixture.reader.ReadStale()
		advance(500)
		require.Equal(t, reads, fixture.source.reads, "a reader that has a view makes no stale read")
	})
}

// Guards against an instance that reads everything whenever it begins to read the source: with thousands of servers that takes dozens of
// calls, which are billed, and seconds on the link of a small instance.
func TestLeaderContinuesFromViewOfPeer(t *testing.T) {
	cases := []struct {
		name        string
		retainedFor clock.Milliseconds
		compacted   bool
		reads       int
	}{
		{"the peer has the servers of its revision", 0, false, 0},
		{"the peer retains a server whose entry is gone", clock.Second, false, 1},
		{"the changes since the peer's revision are not available", 0, true, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t)
				peer := View{
					Revision: 8, Configuration: configurationItem(7).Configuration,
					Servers: NewServerList(*serverItem("one", ServerReady).Server, *serverItem("two", ServerReady).Server),
				}
				fixture.setPeer(&peer, testCase.retainedFor)
				advance(200)
				require.Equal(t, []string{"one", "two"}, fixture.names())
				fixture.source.remove(ServerKey("one"))
				fixture.source.set(serverItem("three", ServerReady))
				fixture.source.setFaults(false, testCase.compacted)
				fixture.reader.SetRole(RoleLeader)
				advance(50)
				fixture.source.setFaults(false, false)
				advance(clock.Second)
				require.Equal(t, []string{"three", "two"}, fixture.names())
				require.NotZero(t, fixture.reader.LastResponse())
				require.Equal(t, testCase.reads, fixture.source.readCount())
			})
		})
	}
}
