package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const validSite = `{
  "revision": 1, "tenant": "rodopa",
  "dataCentres": {"sofia-1": {"region": "sofia", "state": "in"}},
  "fleet": {"instancesMost": 17},
  "services": {
    "browsing": {
      "revision": 1, "hosts": ["slots.example"], "slotsPerTarget": 6, "connectionsPerTarget": 250,
      "classes": {"list": {"methods": ["GET"], "idempotent": true, "priority": 2, "timeout": "2s"}}
    }
  }
}`

func writeFile(t testing.TB, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against invalid settings that are accepted, and against errors without the file, the field and the reason. All
// problems of a file must be reported together.
func TestLoadSiteRefuses(t *testing.T) {
	cases := []struct {
		name, from, to string
		problems       []string
	}{
		{"unknown field", `"tenant"`, `"colour": 1, "tenant"`, []string{"base.json: colour: unknown field"}},
		{"missing field", `"tenant": "rodopa",`, ``, []string{"missing property 'tenant'"}},
		{"bare number for a time", `"2s"`, `2`, []string{"base.json: services.browsing.classes.list.timeout: got number, want string"}},
		{"time in an unknown unit", `"2s"`, `"2 fortnights"`, []string{"classes.list.timeout: '2 fortnights' does not match pattern"}},
		{"time of zero", `"2s"`, `"0s"`, []string{"classes.list.timeout: must be longer than 0"}},
		{"duplicate key", `"revision": 1, "tenant"`, `"revision": 1, "revision": 2, "tenant"`, []string{"base.json: revision: the key is duplicated"}},
		{"nested duplicate key", `"hosts"`, `"slotsPerTarget": 1, "hosts"`, []string{"base.json: services.browsing.slotsPerTarget: the key is duplicated"}},
		{"syntax", `"tenant": "rodopa",`, `"tenant" "rodopa",`, []string{"base.json: line 2: "}},
		{"unknown state", `"state": "in"`, `"state": "away"`, []string{"dataCentres.sofia-1.state: value must be one of 'in', 'out'"}},
		{"every data centre out", `"state": "in"`, `"state": "out"`, []string{"dataCentres: every data centre is out"}},
		{"too few connections", `"connectionsPerTarget": 250`, `"connectionsPerTarget": 5`, []string{"connectionsPerTarget: 5 does not give each of fleet.instancesMost, 17"}},
		{"reserved path", `"slotsPerTarget"`, `"pathPrefix": "/jaywheel/x", "slotsPerTarget"`, []string{"pathPrefix: /jaywheel/ is reserved"}},
		{"host with a port", `slots.example`, `slots.example:80`, []string{"hosts.0: is not a host name"}},
		{"method in lower case", `"GET"`, `"get"`, []string{"methods.0: is not an HTTP method in upper case"}},
		{"valid path of a class", `"idempotent"`, `"paths": ["/b"], "idempotent"`, nil},
		{"cold start above the slots", `"slotsPerTarget"`, `"coldStart": {"places": 7}, "slotsPerTarget"`, []string{"coldStart.places: 7 is more than slotsPerTarget, 6"}},
		{
			"suspicion after one lost datagram", `"instancesMost": 17`, `"instancesMost": 17, "suspectAfter": "800ms"`,
			[]string{"fleet.suspectAfter: 800ms is less than three heartbeats"},
		},
		{"more per service than instances", `"instancesMost": 17`, `"instancesMost": 2`, []string{"fleet.instancesPerService: 3 is more than fleet.instancesMost, 2"}},
		{"size in an unknown unit", `"idempotent"`, `"bodyMost": "1MB", "idempotent"`, []string{"bodyMost: '1MB' does not match pattern"}},
		{"size out of range", `"idempotent"`, `"bodyMost": "99999999999GiB", "idempotent"`, []string{"a size is a whole number"}},
		{"three problems at once", `"revision": 1, "tenant": "rodopa"`, `"revision": 0, "tenant": "", "more": 1`, []string{
			"base.json: revision: minimum: got 0, want 1", "base.json: tenant: ", "base.json: more: unknown field",
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			require.Contains(t, validSite, testCase.from)
			path := writeFile(t, "base.json", strings.Replace(validSite, testCase.from, testCase.to, 1))
			_, err := LoadSite(path, "")
			if testCase.problems == nil {
				require.NoError(t, err)
				return
			}
			require.True(t, IsErrInvalid(err), "%v", err)
			for _, problem := range testCase.problems {
				require.ErrorContains(t, err, problem)
			}
			require.ErrorContains(t, err, path, "the error names the file")
		})
	}
}

func TestOverlay(t *testing.T) {
	base := writeFile(t, "base.json", validSite)
	overlay := writeFile(t, "sofia.json", `{"revision": 2, "services": {"browsing": {"queue": {"wait": "400ms"}}}}`)
	loaded, err := LoadSite(base, overlay)
	require.NoError(t, err)
	require.EqualValues(t, 2, loaded.Site.Revision)
	require.Equal(t, 400*clock.Millisecond, loaded.Site.Services["browsing"].Queue.Wait)
	require.Equal(t, 256, loaded.Site.Services["browsing"].Queue.Length, "defaults are filled in")
	var paths []string
	for _, change := range loaded.Changes {
		paths = append(paths, change.Path)
	}
	require.Equal(t, []string{"revision", "services.browsing.queue"}, paths)

	invalidOverlay := writeFile(t, "wrong.json", `{"services": {"browsing": {"queue": {"wait": 5}, "slotsPerTarget": 0}}} trailing`)
	_, err = LoadSite(base, invalidOverlay)
	require.ErrorContains(t, err, invalidOverlay+": text after the end")
	invalidOverlay = writeFile(t, "wrong.json", `{"services": {"browsing": {"queue": {"wait": 5}, "slotsPerTarget": 0}}}`)
	_, err = LoadSite(base, invalidOverlay)
	require.ErrorContains(t, err, invalidOverlay+": services.browsing.queue.wait: got number, want string")
	require.ErrorContains(t, err, invalidOverlay+": services.browsing.slotsPerTarget: minimum: got 0, want 1")
	_, err = LoadSite(base, filepath.Join(t.TempDir(), "none.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
	require.False(t, IsErrInvalid(err))
}

// Guards against ambiguous routes: the same method and path in two classes, or the same host and path in two services.
func TestOverlaps(t *testing.T) {
	second := `"services": {"other": {"revision": 1, "hosts": ["slots.example"], "slotsPerTarget": 1, "connectionsPerTarget": 100,
		"classes": {"a": {"methods": ["GET"], "idempotent": true, "priority": 0, "timeout": "1s"},
		"b": {"methods": ["GET"], "idempotent": true, "priority": 0, "timeout": "1s"}}},`
	path := writeFile(t, "base.json", strings.Replace(validSite, `"services": {`, second, 1))
	_, err := LoadSite(path, "")
	require.ErrorContains(t, err, "services.other.classes.b: GET / is already used by class a")
	require.ErrorContains(t, err, "services.other.hosts: slots.example/ is already used by service browsing")
}

func TestExamples(t *testing.T) {
	for _, pair := range [][2]string{{"rodopa.base.json", "rodopa.sofia.json"}, {"malabon.base.json", "malabon.ncr-north.json"}} {
		loaded, err := LoadSite(filepath.Join("../../examples", pair[0]), filepath.Join("../../examples", pair[1]))
		require.NoError(t, err)
		require.NotEmpty(t, loaded.Changes)
		documents, err := loaded.Site.Documents()
		require.NoError(t, err)
		for _, document := range documents {
			if document.Key == SiteKey {
				site, err := ParseSiteDocument(document.Key, document.Text)
				require.NoError(t, err)
				require.Len(t, site.ServiceNames, 3)
				continue
			}
			service, err := ParseServiceDocument(document.Key, document.Text)
			require.NoError(t, err)
			require.Equal(t, document.Revision, service.Revision)
		}
	}
	_, err := LoadProcess("../../examples/instance.json", "")
	require.NoError(t, err)
}

func TestLoadProcessRefuses(t *testing.T) {
	text, err := os.ReadFile("../../examples/instance.json")
	require.NoError(t, err)
	cases := []struct{ name, from, to, problem string }{
		{"host name for an address", "127.0.0.1:8080", "localhost:8080", "callerAddress: is not an IP address with a port"},
		{"unknown key", `"sealWith": "example-2026-12"`, `"sealWith": "other"`, `keys.sealWith: "other" is not among keys.known`},
		{"short key", "000102", "", "keys.known.example-2026-12: is not 32 bytes"},
		{"unknown level", `"instance"`, `"logLevel": "loud", "instance"`, "logLevel: value must be one of"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			path := writeFile(t, "instance.json", strings.Replace(string(text), testCase.from, testCase.to, 1))
			_, err := LoadProcess(path, "")
			require.ErrorContains(t, err, testCase.problem)
		})
	}
}

// Guards against a changed service document without a higher revision, which instances would ignore without a message:
// rendering must reject it and write nothing.
func TestRenderRequiresHigherRevisions(t *testing.T) {
	directory := t.TempDir()
	render := func(text string) ([]string, error) {
		loaded, err := LoadSite(writeFile(t, "base.json", text), "")
		require.NoError(t, err)
		documents, err := loaded.Site.Documents()
		require.NoError(t, err)
		return WriteDocuments(directory, documents)
	}
	changed, err := render(validSite)
	require.NoError(t, err)
	require.Equal(t, []string{"site", "service/browsing"}, changed)
	changed, err = render(validSite)
	require.NoError(t, err)
	require.Empty(t, changed)

	faster := strings.Replace(validSite, `"2s"`, `"1s"`, 1)
	before, err := os.ReadFile(filepath.Join(directory, "service", "browsing.json"))
	require.NoError(t, err)
	_, err = render(faster)
	require.ErrorContains(t, err, "revision: the document changed")
	after, err := os.ReadFile(filepath.Join(directory, "service", "browsing.json"))
	require.NoError(t, err)
	require.Equal(t, string(before), string(after))

	changed, err = render(strings.Replace(faster, "\"browsing\": {\n      \"revision\": 1", "\"browsing\": {\n      \"revision\": 2", 1))
	require.NoError(t, err)
	require.Equal(t, []string{"service/browsing"}, changed)
}

func FuzzParseDocuments(f *testing.F) {
	f.Add([]byte(validSite))
	f.Add([]byte(`{"revision": 1, "hosts": ["a"], "slotsPerTarget": 1, "connectionsPerTarget": 1, "classes": {}}`))
	f.Add([]byte(`{"a": {"a": 1, "a": 2}} x`))
	f.Add([]byte(strings.Repeat(`[`, 100)))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := ParseSiteDocument("site", text); err != nil {
			require.True(t, IsErrInvalid(err), "%v", err)
			require.NotEmpty(t, ProblemsOf(err))
		}
		service, err := ParseServiceDocument("service/x", text)
		if err != nil {
			require.NotEmpty(t, ProblemsOf(err))
			return
		}
		again, err := newDocument("service/x", service.Revision, service)
		require.NoError(t, err)
		_, err = ParseServiceDocument("service/x", again.Text)
		require.NoError(t, err, "an accepted document is accepted again after rendering")
	})
}
