package catalog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// collect returns the servers of a list.
func collect(list ServerList) []Server {
	var servers []Server
	for server := range list.All() {
		servers = append(servers, *server)
	}
	return servers
}

// manyServers returns a list of the given length.
func manyServers(count int) ServerList {
	servers := make([]Server, 0, count)
	for number := range count {
		servers = append(servers, Server{
			Name: settings.TargetName(fmt.Sprintf("i-%05d", number)), Service: "lookups", Address: "10.0.0.1:80", DataCentre: "sofia-a", Slots: 6, State: ServerReady,
		})
	}
	return NewServerList(servers...)
}

// randomEdits returns edits of up to count of the names; each third removes a server, each sixth changes nothing.
func randomEdits(random *rand.Rand, list ServerList, names, count int) ServerEdits {
	edits := ServerEdits{}
	for range random.IntN(count + 1) {
		name := settings.TargetName(fmt.Sprintf("i-%05d", random.IntN(names)))
		switch random.IntN(6) {
		case 0, 1:
			edits[name] = nil
		case 2:
			edits[name] = list.Find(name)
		default:
			edits[name] = &Server{Name: name, Slots: random.IntN(3)}
		}
	}
	return edits
}

// Guards against a list that loses or keeps servers when chunks are divided, joined or emptied, and against instances whose digests
// differ although their servers do not, which would read everything anew at each change.
func TestServerListEqualsMap(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		names := 1 + random.IntN(600)
		var list ServerList
		expected := map[settings.TargetName]Server{}
		for range 60 {
			edits := randomEdits(random, list, names, 1+random.IntN(names))
			before := list
			known := collect(before)
			list = list.Edit(edits)
			for name, server := range edits {
				if server == nil {
					delete(expected, name)
				} else {
					expected[name] = *server
				}
			}
			sorted := make([]Server, 0, len(expected))
			for _, name := range slices.Sorted(maps.Keys(expected)) {
				sorted = append(sorted, expected[name])
				require.Equal(t, expected[name], *list.Find(name))
			}
			require.ElementsMatch(t, sorted, collect(list))
			require.True(t, slices.IsSortedFunc(collect(list), func(left, right Server) int { return compareName(left, right.Name) }))
			require.Equal(t, len(sorted), list.Len())
			require.Equal(t, NewServerList(sorted...).Digest(), list.Digest())
			require.Nil(t, list.Find("i-none"))
			require.Equal(t, known, collect(before), "an edit changed the list that it was made from")
			requireDifference(t, before, list)
		}
	}
}

// requireDifference requires that the difference of two lists leads from one to the other, and names nothing that is the same in both.
func requireDifference(t *testing.T, before, after ServerList) {
	t.Helper()
	difference := after.DifferenceFrom(before)
	edits := ServerEdits{}
	for _, server := range difference.Removed {
		require.NotNil(t, before.Find(server.Name))
		edits[server.Name] = nil
	}
	for _, server := range difference.Set {
		known := before.Find(server.Name)
		require.True(t, known == nil || *known != *server, "the difference has a server that has not changed")
		edits[server.Name] = server
	}
	require.Len(t, edits, len(difference.Set)+len(difference.Removed))
	require.Equal(t, collect(after), collect(before.Edit(edits)))
}

// Guards against a change of one server that costs as much as the list is long: each instance of the fleet applies each change.
func TestEditCostsWhatItChanges(t *testing.T) {
	const maxBytes = 50 << 10
	for _, count := range []int{3000, 6000, 12_000} {
		list := manyServers(count)
		edits := ServerEdits{"i-01000": {Name: "i-01000", State: ServerLeaving}}
		const rounds = 50
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range rounds {
			edited := list.Edit(edits)
			require.Len(t, edited.DifferenceFrom(list).Set, 1)
		}
		runtime.ReadMemStats(&after)
		bytes := (after.TotalAlloc - before.TotalAlloc) / rounds
		t.Logf("%d servers: %d bytes", count, bytes)
		require.Less(t, bytes, uint64(maxBytes))
	}
}

// Guards against followers that read whole views because more servers were removed at once than a fixed number, as when a large data
// centre is lost: the few instances that serve would send the whole list to each of the others.
func TestLostDataCentreIsSentAsChanges(t *testing.T) {
	for _, count := range []int{300, 3000, 12_000} {
		configuration := &Configuration{Version: 1}
		base := View{Revision: 1, Configuration: configuration, Servers: manyServers(count)}
		history := NewHistory()
		history.Record(&base)
		edits := ServerEdits{}
		for server := range base.Servers.All() {
			if len(edits) < count/4 {
				edits[server.Name] = nil
			}
		}
		after := View{Revision: 2, Configuration: configuration, Servers: base.Servers.Edit(edits)}
		history.Record(&after)
		update := history.UpdateSince(1)
		require.Equal(t, base.Revision, update.Since)
		require.Empty(t, update.Servers)
		view, err := update.Apply(&base)
		require.NoError(t, err)
		require.Equal(t, collect(after.Servers), collect(view.Servers))
	}
}

// Guards against a history that grows without bound while the list turns over, and against one that returns updates which lack a
// change after older changes were dropped.
func TestHistoryIsBounded(t *testing.T) {
	const count = 400
	history := NewHistory()
	random := rand.New(rand.NewPCG(5, 1))
	configuration := &Configuration{Version: 1}
	servers := manyServers(count)
	views := map[Revision]View{}
	for revision := Revision(1); revision <= 600; revision++ {
		view := View{Revision: revision, Configuration: configuration, Servers: servers}
		history.Record(&view)
		views[revision] = view
		require.LessOrEqual(t, len(history.changes), max(view.Servers.Len(), minChanges))
		base := views[Revision(max(1, int(revision)-random.IntN(40)))]
		update := history.UpdateSince(base.Revision)
		updated, err := update.Apply(&base)
		require.NoError(t, err)
		require.Equal(t, view.Servers.Digest(), updated.Servers.Digest())
		servers = servers.Edit(randomEdits(random, servers, count, 30))
	}
}
