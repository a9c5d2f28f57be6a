package caller

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// useNoRoute gives the fixture's instance a table in which requests for "/look" have no route.
func (fixture *fixture) useNoRoute() {
	fixture.table = routing.NewTable(routing.Options{
		Site: &settings.Site{Revision: 7}, Registry: fixture.registry,
		Entries: []*routing.Entry{{Host: "elsewhere", Prefix: "/", Class: &routing.Class{Name: "look"}}},
	})
}

// Guards against a route that is refused for good because this instance does not know the configuration that added it.
func TestUnknownRouteMayBeInANewerConfiguration(t *testing.T) {
	cases := []struct {
		name      string
		freshness team.KeySetStatus
		status    int
		retries   bool
	}{
		{"the configuration is current", team.KeysCurrent, http.StatusNotFound, false},
		{"a newer one may exist", team.KeysUnverified, http.StatusServiceUnavailable, true},
		{"it is very old", team.KeysStale, http.StatusServiceUnavailable, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(t, fixtureService())
			fixture.useNoRoute()
			fixture.handler.options.KeyFreshness = func() team.KeySetStatus { return testCase.freshness }
			got := fixture.send(t, fixture.newRequest(t, "GET", "/look", http.NoBody))
			require.Equal(t, testCase.status, got.status)
			require.Equal(t, outcome.NotRun, got.outcome)
			require.Equal(t, testCase.retries, got.header.Get("Retry-After") != "")
		})
	}
}

// Guards against a caller that gets 404 although its instance knows the route, because the instance to which the request is relayed does
// not know it yet.
func TestRelayedRequestWithoutARouteIsNotRefusedForGood(t *testing.T) {
	peer := newFixture(t, fixtureService())
	peer.useNoRoute()
	origin := newRelayFixture(t, fixtureService(), startPeer(t, peer))
	got := origin.send(t, origin.newRequest(t, "GET", "/look", http.NoBody))
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, outcome.NotRun, got.outcome)
}
