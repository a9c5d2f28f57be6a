package catalog

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A reader was cut off and is back, and nothing changes in the store. If its first watch told only after two seconds, or with the first change, that the
// store answers, the time for which removed entries are held would begin just then, and a server that has left would get requests for long.
func TestReturnIsNoticedAtOnce(t *testing.T) {
	for later := range 10 {
		synctest.Test(t, func(t *testing.T) {
			bench := newBench(t)
			bench.reader.SetRole(RoleLeader)
			pass(clock.Second)
			bench.source.setFaults(true, false)
			pass(6*clock.Second + clock.Milliseconds(later)*300)
			bench.source.setFaults(false, false)
			pass(watchWait + watchSlack + mostBackoff + 100)
			require.False(t, bench.reader.Failing())
		})
	}
}

// A reader was cut off alone, a server left meanwhile, and others who were answered have known so for a while. It must go by them, and not take the
// entry for one that lapsed because the store was away from all.
func TestReaderThatIsBackGoesByItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		bench.source.setFaults(true, false)
		pass(7 * clock.Second)
		require.True(t, bench.reader.Failing())
		bench.source.remove(ServerKey("one"))
		bench.source.setFaults(false, false)
		known := bench.last()
		bench.mutex.Lock()
		bench.peer = &View{Revision: known.Revision + 1, Configuration: known.Configuration, Servers: known.Servers[1:]}
		bench.mutex.Unlock()
		bench.reader.Refresh()
		pass(100)
		require.Equal(t, []string{"two"}, bench.names())
	})
}

// An instance read the store for want of others, held a server whose entry may only have lapsed, and then follows others again. It must still drop
// the server in time.
func TestHeldServerIsDroppedByOneThatFollowsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleFallback)
		pass(clock.Second)
		bench.source.setFaults(true, false)
		pass(8 * clock.Second)
		bench.source.remove(ServerKey("one"))
		bench.source.setFaults(false, false)
		for waited := clock.Milliseconds(0); bench.reader.Failing(); waited += 10 {
			require.Less(t, waited, 6*clock.Second)
			pass(10)
		}
		pass(100)
		require.Equal(t, []string{"one", "two"}, bench.names())
		bench.reader.SetRole(RoleFollower)
		pass(returnWithin)
		require.Equal(t, []string{"two"}, bench.names())
	})
}

// A peer that reads the store holds a server whose entry may only have lapsed, and drops it later, with no new revision. An instance that took the
// peer's view while it was held would send to that server until something else changes.
func TestHeldServerIsDroppedByFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		asked := 0
		held := View{Revision: 7, Configuration: &Configuration{Version: 1}, Servers: []Server{{Name: "one"}, {Name: "two"}}}
		history := NewHistory()
		bench.reader.options.FetchFromPeer = func(_ context.Context, after Revision) (Update, error) {
			asked++
			view := held
			var heldFor clock.Milliseconds = 700
			if bench.reader.options.Clock.Now() >= clock.Moment(1000) {
				view.Servers = view.Servers[:1]
				heldFor = 0
			}
			history.Record(&view)
			update := history.UpdateSince(after)
			update.RetainedFor = heldFor
			return update, nil
		}
		bench.reader.SetPeerRevision(7)
		pass(500)
		require.Equal(t, []string{"one", "two"}, bench.names())
		pass(clock.Second)
		require.Equal(t, []string{"one"}, bench.names())
		before := asked
		pass(clock.Minute)
		require.Equal(t, before, asked, "a peer that holds nothing is not asked again")
	})
}

// A machine was suspended and forgot its routes. The peer that it asks first does not answer; were it not to ask again, it would refuse all requests until
// something changes in the store.
func TestRefreshIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.peer = &View{Revision: 7, Configuration: &Configuration{Version: 1}, Servers: []Server{{Name: "one"}}}
		bench.reader.SetPeerRevision(7)
		pass(clock.Second)
		require.Equal(t, Revision(7), bench.last().Revision)
		bench.mutex.Lock()
		peer := bench.peer
		bench.peer, bench.view = nil, View{}
		bench.mutex.Unlock()
		bench.reader.Refresh()
		pass(clock.Second)
		bench.mutex.Lock()
		bench.peer = peer
		bench.mutex.Unlock()
		pass(clock.Second)
		require.Equal(t, Revision(7), bench.last().Revision)
	})
}

// Guards against a removed server that is held for longer than a reader is given once its links are sound again.
func TestHoldIsCountedFromTheLastFailedCall(t *testing.T) {
	for later := range 12 {
		synctest.Test(t, func(t *testing.T) {
			bench := newBench(t)
			bench.reader.SetRole(RoleLeader)
			pass(clock.Second)
			bench.source.setFaults(true, false)
			pass(clock.Second)
			bench.source.remove(ServerKey("one"))
			pass(4*clock.Second + clock.Milliseconds(later)*100)
			bench.source.setFaults(false, false)
			pass(3 * clock.Second)
			require.Equal(t, []string{"two"}, bench.names())
		})
	}
}

// Guards against a server that said it was leaving while a reader was cut off, and is held for one whose entry has only lapsed.
func TestServerThatWasLeavingIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.reader.SetRole(RoleLeader)
		pass(clock.Second)
		bench.source.setFaults(true, false)
		pass(4 * clock.Second)
		bench.source.set(serverItem("one", ServerLeaving))
		bench.source.remove(ServerKey("one"))
		bench.source.setFaults(false, false)
		pass(watchSlack + mostBackoff + 100)
		require.Equal(t, []string{"two"}, bench.names())
	})
}
