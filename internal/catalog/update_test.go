package catalog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// publisher is an instance that reads the source, with the views of the source at each revision.
type publisher struct {
	history *History
	views   []View
}

// newPublisher returns a publisher whose servers are added, changed and removed at random, one revision at a time.
func newPublisher(random *rand.Rand, revisions int) *publisher {
	publisher := &publisher{history: NewHistory()}
	configuration := &Configuration{Version: 1}
	servers := map[settings.TargetName]Server{}
	for revision := range revisions {
		name := settings.TargetName(fmt.Sprintf("target-%d", random.IntN(12)))
		switch random.IntN(5) {
		case 0:
			delete(servers, name)
		case 1:
			configuration = &Configuration{Version: configuration.Version + 1}
		default:
			servers[name] = Server{Name: name, Slots: random.IntN(4), State: ServerReady}
		}
		view := View{Revision: Revision(revision + 1), Configuration: configuration}
		view.Servers = NewServerList(slices.Collect(maps.Values(servers))...)
		publisher.views = append(publisher.views, view)
	}
	return publisher
}

// Guards against standby instances whose view differs from that of the instance that reads the source. They read from a
// serving instance at intervals, and get only the changes since the last read, whatever was added and removed in between.
func TestUpdatesLeadToTheSameView(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		publisher := newPublisher(random, 200)
		var known View
		for index := range publisher.views {
			publisher.history.Record(&publisher.views[index])
			if random.IntN(4) > 0 {
				continue
			}
			update := publisher.history.UpdateSince(known.Revision)
			view, err := update.Apply(&known)
			require.NoError(t, err)
			require.Equal(t, publisher.views[index].Configuration, view.Configuration)
			require.Equal(t, collect(publisher.views[index].Servers), collect(view.Servers))
			known = view
		}
	}
}

// Guards against an update that is applied to the wrong view. Two instances read the source, and one of them still retains a server
// that lapsed during an outage. An instance that adopted the view of one and then gets an update from
// the other must detect the difference and read everything.
func TestUpdateThatDoesNotFit(t *testing.T) {
	configuration := &Configuration{Version: 1}
	kept := Server{Name: "kept", State: ServerReady}
	stays := Server{Name: "stays", State: ServerReady}
	history := NewHistory()
	history.Record(&View{Revision: 4, Configuration: configuration, Servers: NewServerList(stays)})
	history.Record(&View{Revision: 6, Configuration: configuration, Servers: NewServerList(stays)})
	cases := []struct {
		name    string
		base    View
		applies bool
	}{
		{"the same", View{Revision: 5, Configuration: configuration, Servers: NewServerList(stays)}, true},
		{"one more", View{Revision: 5, Configuration: configuration, Servers: NewServerList(stays, kept)}, false},
		{"another revision", View{Revision: 3, Configuration: configuration, Servers: NewServerList(stays)}, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			update := history.UpdateSince(5)
			view, err := update.Apply(&testCase.base)
			if !testCase.applies {
				require.ErrorIs(t, err, ErrMismatch)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []Server{stays}, collect(view.Servers))
		})
	}
	whole := history.UpdateSince(3)
	require.Zero(t, whole.Since, "changes since before the start of the history are not known")
	view, err := whole.Apply(&View{Revision: 3, Servers: NewServerList(kept)})
	require.NoError(t, err)
	require.Equal(t, []Server{stays}, collect(view.Servers))
}
