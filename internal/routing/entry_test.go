package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// A route is split among services by weight. With a random choice, a service with a small weight would get half or twice its
// share of a hundred requests, which operators who send one in ten requests to a new service would consider a fault.
func TestSplitKeepsItsShares(t *testing.T) {
	cases := []struct {
		name    string
		weights []int
	}{
		{"one in ten", []int{90, 10}},
		{"even", []int{1, 1}},
		{"three", []int{50, 30, 20}},
		{"all to one", []int{7}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			entry := &Entry{Host: "book.example", Prefix: "/look/", Class: &Class{Name: "look"}}
			total := 0
			for number, weight := range testCase.weights {
				total += weight
				entry.Services = append(entry.Services, WeightedService{Service: &Service{Name: settings.ServiceName(rune('a' + number))}, Weight: weight})
			}
			table := NewTable(Options{Entries: []*Entry{entry}, Registry: metrics.NewRegistry()})
			counts := map[*Service]int{}
			for range 100 {
				route, err := table.Route("BOOK.example:80", "GET", "/look/1")
				require.NoError(t, err)
				counts[route.Service]++
			}
			for index := range entry.Services {
				part := &entry.Services[index]
				require.InDelta(t, 100*float64(part.Weight)/float64(total), counts[part.Service], 1)
			}
		})
	}
}

// The longest matching prefix takes precedence, regardless of the order of routes. A path without a matching prefix has no
// service.
func TestLongestPrefixWins(t *testing.T) {
	entry := func(prefix string) *Entry {
		return &Entry{Host: "h", Prefix: prefix, Class: &Class{Name: settings.ClassName(prefix)}, Services: []WeightedService{{Service: &Service{}, Weight: 1}}}
	}
	table := NewTable(Options{Entries: []*Entry{entry("/a/"), entry("/a/b/"), entry("/")}, Registry: metrics.NewRegistry()})
	for path, want := range map[string]string{"/a/b/c": "/a/b/", "/a/bc": "/a/", "/x": "/"} {
		route, err := table.Route("h", "GET", path)
		require.NoError(t, err)
		require.EqualValues(t, want, route.Class.Name, path)
	}
	_, err := table.Route("other", "GET", "/a/")
	require.ErrorIs(t, err, ErrNoService)
}
