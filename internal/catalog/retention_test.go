package catalog

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a reader that was cut off and detects only after two seconds, or with the first change, that the store responds
// again. The retention of removed entries would start only then, and a removed server would get requests for too long.
func TestReturnIsNoticedAtOnce(t *testing.T) {
	for later := range 10 {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.reader.SetRole(RoleLeader)
			advance(clock.Second)
			fixture.source.setFaults(true, false)
			advance(6*clock.Second + clock.Milliseconds(later)*300)
			fixture.source.setFaults(false, false)
			advance(watchWait + watchSlack + maxBackoff + 100)
			require.False(t, fixture.reader.Failing())
		})
	}
}

// Guards against a reader that was the only one cut off, and retains a server that its peers have meanwhile seen removed, as if the
// entry had lapsed in an outage of the store.
func TestReturnedReaderAdoptsViewOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		fixture.source.setFaults(true, false)
		advance(7 * clock.Second)
		require.True(t, fixture.reader.Failing())
		fixture.source.remove(ServerKey("one"))
		fixture.source.setFaults(false, false)
		known := fixture.last()
		fixture.mutex.Lock()
		fixture.peer = &View{Revision: known.Revision + 1, Configuration: known.Configuration, Servers: known.Servers.Edit(ServerEdits{known.Servers.chunks[0][0].Name: nil})}
		fixture.mutex.Unlock()
		fixture.reader.Refresh()
		advance(100)
		require.Equal(t, []string{"two"}, fixture.names())
	})
}

// Guards against a server that is retained for too long by a fallback reader that has become a follower again: it must still be
// dropped in time.
func TestRetainedServerIsDroppedAfterRoleChangesToFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleFallback)
		advance(clock.Second)
		fixture.source.setFaults(true, false)
		advance(8 * clock.Second)
		fixture.source.remove(ServerKey("one"))
		fixture.source.setFaults(false, false)
		for waited := clock.Milliseconds(0); fixture.reader.Failing(); waited += 10 {
			require.Less(t, waited, 6*clock.Second)
			advance(10)
		}
		advance(100)
		require.Equal(t, []string{"one", "two"}, fixture.names())
		fixture.reader.SetRole(RoleFollower)
		advance(reregistrationPeriod)
		require.Equal(t, []string{"two"}, fixture.names())
	})
}

// Guards against followers that continue to send requests to a server that a peer retained and then dropped without a new revision.
func TestRetainedServerIsDroppedByFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		requests := 0
		retaining := View{Revision: 7, Configuration: &Configuration{Version: 1}, Servers: NewServerList(Server{Name: "one"}, Server{Name: "two"})}
		history := NewHistory()
		fixture.reader.options.FetchFromPeer = func(_ context.Context, after Revision) (Update, error) {
			requests++
			view := retaining
			var retainedFor clock.Milliseconds = 700
			if fixture.reader.options.Clock.Now() >= clock.Moment(1000) {
				view.Servers = view.Servers.Edit(ServerEdits{"two": nil})
				retainedFor = 0
			}
			history.Record(&view)
			update := history.UpdateSince(after)
			update.RetainedFor = retainedFor
			return update, nil
		}
		fixture.reader.SetPeerRevision(7)
		advance(500)
		require.Equal(t, []string{"one", "two"}, fixture.names())
		advance(clock.Second)
		require.Equal(t, []string{"one"}, fixture.names())
		before := requests
		advance(clock.Minute)
		require.Equal(t, before, requests, "no further request to a peer that retains nothing")
	})
}

// Guards against an instance without routes after a suspension of its machine: if the first request to a peer fails and it
// did not retry, it would refuse all requests until something changes in the store.
func TestRefreshIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.peer = &View{Revision: 7, Configuration: &Configuration{Version: 1}, Servers: NewServerList(Server{Name: "one"})}
		fixture.reader.SetPeerRevision(7)
		advance(clock.Second)
		require.Equal(t, Revision(7), fixture.last().Revision)
		fixture.mutex.Lock()
		peer := fixture.peer
		fixture.peer, fixture.view = nil, View{}
		fixture.mutex.Unlock()
		fixture.reader.Refresh()
		advance(clock.Second)
		fixture.mutex.Lock()
		fixture.peer = peer
		fixture.mutex.Unlock()
		advance(clock.Second)
		require.Equal(t, Revision(7), fixture.last().Revision)
	})
}

// Guards against a removed server that is retained for longer than the time within which a reader must be current once its links
// work again.
func TestRetentionIsCountedFromTheLastFailedCall(t *testing.T) {
	for later := range 12 {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.reader.SetRole(RoleLeader)
			advance(clock.Second)
			fixture.source.setFaults(true, false)
			advance(clock.Second)
			fixture.source.remove(ServerKey("one"))
			advance(4*clock.Second + clock.Milliseconds(later)*100)
			fixture.source.setFaults(false, false)
			advance(3 * clock.Second)
			require.Equal(t, []string{"two"}, fixture.names())
		})
	}
}

// Guards against a server that became leaving while a reader was cut off, and is retained as if its entry had only lapsed.
func TestServerThatWasLeavingIsNotRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		advance(clock.Second)
		fixture.source.setFaults(true, false)
		advance(4 * clock.Second)
		fixture.source.set(serverItem("one", ServerLeaving))
		fixture.source.remove(ServerKey("one"))
		fixture.source.setFaults(false, false)
		advance(watchSlack + maxBackoff + 100)
		require.Equal(t, []string{"two"}, fixture.names())
	})
}

// Guards against followers that send requests to a server for as long as a peer retains it, although other peers, which the store has
// answered all the time, know that it is gone.
func TestFollowerAsksAgainWhileAPeerRetains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		requests := 0
		fixture.reader.options.FetchFromPeer = func(_ context.Context, after Revision) (Update, error) {
			requests++
			view := View{Revision: 7, Configuration: &Configuration{Version: 1}, Servers: NewServerList(Server{Name: "one"}, Server{Name: "two"})}
			var retainedFor clock.Milliseconds = 2500
			if requests > 1 {
				view.Servers, retainedFor = view.Servers.Edit(ServerEdits{"two": nil}), 0
			}
			history := NewHistory()
			history.Record(&view)
			update := history.UpdateSince(after)
			update.RetainedFor = retainedFor
			return update, nil
		}
		fixture.reader.SetPeerRevision(7)
		advance(recheckInterval / 2)
		require.Equal(t, []string{"one", "two"}, fixture.names())
		advance(recheckInterval)
		require.Equal(t, []string{"one"}, fixture.names())
	})
}

// Guards against a server that returns after its removal: an instance that the store did not answer takes it as lapsed, reads newer
// changes first, and the instances that have seen the removal adopt its view.
func TestRetainedServerDoesNotReturn(t *testing.T) {
	cases := []struct {
		name     string
		known    []Server
		expected []string
	}{
		{"the removal was seen", []Server{{Name: "two"}}, []string{"two"}},
		{"the removal was not seen", []Server{{Name: "one"}, {Name: "two"}}, []string{"one", "two"}},
		{"nothing was known", nil, []string{"one", "two"}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t)
				configuration := &Configuration{Version: 1}
				if testCase.known != nil {
					fixture.setPeer(&View{Revision: 9, Configuration: configuration, Servers: NewServerList(testCase.known...)}, 0)
					advance(100)
				}
				retaining := View{
					Revision: 10, Configuration: configuration, Servers: NewServerList(Server{Name: "one"}, Server{Name: "two"}),
					Retained: []settings.TargetName{"one"},
				}
				fixture.setPeer(&retaining, 2*clock.Second)
				advance(200)
				require.Equal(t, testCase.expected, fixture.names())
			})
		})
	}
}
