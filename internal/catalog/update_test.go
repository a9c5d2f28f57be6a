package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// teller is an instance that reads the source, and what the source held at each revision.
type teller struct {
	history *History
	views   []View
}

// newTeller lets servers come, change and go at random, one revision at a time.
func newTeller(random *rand.Rand, revisions int) *teller {
	teller := &teller{history: NewHistory()}
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
		for _, server := range servers {
			view.Servers = append(view.Servers, server)
		}
		teller.views = append(teller.views, view)
	}
	return teller
}

// Instances that stand by look at a serving one now and then, and each time are told only what has changed since. Whatever
// came and went between two looks, they must know the same as the one that reads the source.
func TestUpdatesLeadToTheSameView(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		teller := newTeller(random, 200)
		var known View
		for index := range teller.views {
			teller.history.Record(&teller.views[index])
			if random.IntN(4) > 0 {
				continue
			}
			update := teller.history.UpdateSince(known.Revision)
			view, err := update.Apply(&known)
			require.NoError(t, err)
			require.Equal(t, teller.views[index].Configuration, view.Configuration)
			require.ElementsMatch(t, teller.views[index].Servers, view.Servers)
			known = view
		}
	}
}

// Two instances read the source, and one of them still keeps a server that lapsed while the source was away. Whoever has
// followed the one and asks the other must notice that its view does not fit, and read everything.
func TestUpdateThatDoesNotFit(t *testing.T) {
	configuration := &Configuration{Version: 1}
	kept := Server{Name: "kept", State: ServerReady}
	stays := Server{Name: "stays", State: ServerReady}
	history := NewHistory()
	history.Record(&View{Revision: 4, Configuration: configuration, Servers: []Server{stays}})
	history.Record(&View{Revision: 6, Configuration: configuration, Servers: []Server{stays}})
	cases := []struct {
		name string
		base View
		fits bool
	}{
		{"the same", View{Revision: 5, Configuration: configuration, Servers: []Server{stays}}, true},
		{"one more", View{Revision: 5, Configuration: configuration, Servers: []Server{stays, kept}}, false},
		{"another revision", View{Revision: 3, Configuration: configuration, Servers: []Server{stays}}, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			update := history.UpdateSince(5)
			view, err := update.Apply(&testCase.base)
			if !testCase.fits {
				require.ErrorIs(t, err, ErrMismatch)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []Server{stays}, view.Servers)
		})
	}
	whole := history.UpdateSince(3)
	require.Zero(t, whole.Since, "changes since before the history began are not known")
	view, err := whole.Apply(&View{Revision: 3, Servers: []Server{kept}})
	require.NoError(t, err)
	require.True(t, slices.Equal([]Server{stays}, view.Servers))
}
