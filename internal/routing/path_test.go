package routing

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against an entry that is chosen by anything but the bytes of the path: a plain model takes the longest prefix.
func TestEntryIsTheLongestPrefixOfThePath(t *testing.T) {
	prefixes := []string{"/", "/a/", "/a/a/", "/a%2Fa/", "/a/%2F/", "/A/"}
	var entries []*Entry
	for _, prefix := range prefixes {
		entries = append(entries, &Entry{
			Host: "book.example", Prefix: prefix, Class: &Class{Name: settings.ClassName(prefix)}, Services: []WeightedService{{Service: &Service{}, Weight: 1}},
		})
	}
	table := NewTable(Options{Site: &settings.Site{}, Registry: metrics.NewRegistry(), Entries: entries})
	random := rand.New(rand.NewPCG(1, 1))
	pieces := []string{"/", "a", "A", "%2F", "%2f", "%61", ";", "//", ".", "%2E%2E", "%"}
	for range 20000 {
		path := "/"
		for range random.IntN(8) {
			path += pieces[random.IntN(len(pieces))]
		}
		longest := ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
				longest = prefix
			}
		}
		route, err := table.Route("book.example", "GET", path)
		require.NoError(t, err)
		require.Equal(t, settings.ClassName(longest), route.Class.Name, path)
	}
}

// Guards against a payment that is taken for a lookup because its path, or that of its class, is written with escapes, and against an escaped
// slash that separates segments.
func TestUnescapePath(t *testing.T) {
	for _, testCase := range []struct{ path, unescaped string }{
		{"/payments/1", "/payments/1"},
		{"/p%61yments/1", "/payments/1"},
		{"/payments%2F1", "/payments%2F1"},
		{"/payments%2f1%2Fa", "/payments%2F1%2Fa"},
		{"/caf%C3%A9", "/café"},
		{"/100%25", "/100%"},
		{"/%252F", "/%2F"},
		{"/100%", "/100%"},
	} {
		require.Equal(t, testCase.unescaped, unescapePath(testCase.path), testCase.path)
	}
}
