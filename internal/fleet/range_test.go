package fleet

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against a server out of range, passed on by an instance of another release, that reaches a scheduler or keeps the next change from
// being followed.
func TestServersOutOfRangeAreNotUsed(t *testing.T) {
	fixture := newServingFixture(t, 6, 30)
	view := fixture.controller.view
	serverCount := func() int {
		count := 0
		for _, state := range fixture.controller.services {
			targets, _ := state.scheduler.State()
			count += len(targets)
		}
		return count
	}
	require.Equal(t, 30, serverCount())
	odd := *view
	odd.Revision++
	edits := catalog.ServerEdits{}
	for server := range view.Servers.All() {
		changed := *server
		switch len(edits) {
		case 0:
			changed.Slots = math.MaxInt
		case 1:
			changed.ColdFor = clock.Milliseconds(math.NaN())
		case 2:
			changed.Started = math.MinInt64
		case 3:
			changed.Address = "255.255.255.255:80"
		default:
			continue
		}
		edits[server.Name] = &changed
	}
	odd.Servers = view.Servers.Edit(edits)
	fixture.controller.applyView(&odd)
	require.Equal(t, 26, serverCount())
	next := odd
	next.Revision++
	configuration := *view.Configuration
	configuration.Version++
	configuration.Routes = append(configuration.Routes, catalog.Route{
		Name: "added", Host: "example", Prefix: "/added/", Split: []catalog.Share{{Service: "lookups", Weight: 1}},
	})
	next.Configuration = &configuration
	fixture.controller.applyView(&next)
	require.Equal(t, 26, serverCount())
	_, err := fixture.controller.table.Load().Route("example", "GET", "/added/1")
	require.NoError(t, err)
}
