package platform_test

import (
	"context"
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/internal/platformtest"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

var entryOne = platform.Instance{
	Name: "entry-1", Kind: platform.KindEntry, State: platform.StateLive, DataCentre: "sofia-1",
	Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81",
}

func newClient(t testing.TB, handler http.Handler) *platform.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	client := platform.NewClient(settings.Platform{
		ConfigurationAddress: address, InstancesAddress: address, Timeout: 10 * clock.Second, WatchTimeout: 10 * clock.Second,
	})
	t.Cleanup(client.Close)
	return client
}

// A response of the platform that is malformed, empty or invalid gives an error that names the step and the address, so that
// it never replaces what was read before.
func TestWrongAnswersAreErrors(t *testing.T) {
	cases := []struct{ name, text, problem string }{
		{"no JSON", `<<<`, "invalid character"},
		{"empty list", `{"index": 9, "instances": []}`, "list of instances is empty"},
		{"no name", `{"instances": [{"kind": "entry"}]}`, "instances.0: name is missing"},
		{"unknown kind", `{"instances": [{"name": "a", "kind": "lamp"}]}`, `instances.0: unknown kind "lamp"`},
		{"unknown state", `{"instances": [{"name": "a", "kind": "entry", "state": "odd"}]}`, `unknown state "odd"`},
		{"no service", `{"instances": [{"name": "a", "kind": "backendServer", "state": "live"}]}`, "backend server without a service"},
		{"host name", `{"instances": [{"name": "a", "kind": "entry", "state": "live", "address": "host:80"}]}`, `invalid address "host:80"`},
		{"no peer address", `{"instances": [{"name": "a", "kind": "entry", "state": "live", "address": "1.2.3.4:80"}]}`, `invalid peerAddress ""`},
		{"named twice", `{"instances": [{"name": "a", "kind": "backendServer", "service": "s", "state": "live", "address": "1.2.3.4:80"},
			{"name": "a", "kind": "backendServer", "service": "s", "state": "live", "address": "1.2.3.4:80"}]}`, `"a" is listed twice`},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			client := newClient(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(testCase.text))
			}))
			_, err := client.WatchInstances(context.Background(), 0)
			require.ErrorContains(t, err, testCase.problem)
			require.ErrorContains(t, err, "watch instances at platform 127.0.0.1:")
		})
	}
}

func TestFaultsOfThePlatform(t *testing.T) {
	fakePlatform := platformtest.New()
	fakePlatform.Publish("site", []byte("one"))
	fakePlatform.SetInstance(entryOne)
	client := newClient(t, fakePlatform)
	for _, fault := range []platformtest.Fault{platformtest.FaultDown, platformtest.FaultGarbage, platformtest.FaultEmpty} {
		fakePlatform.SetFault(fault)
		_, err := client.WatchKeys(context.Background(), 0)
		require.Error(t, err)
		_, err = client.WatchInstances(context.Background(), 0)
		require.Error(t, err)
	}
	fakePlatform.SetFault(platformtest.FaultNone)
	keys, err := client.WatchKeys(context.Background(), 0)
	require.NoError(t, err)
	require.Len(t, keys.Keys, 1)
	text, err := client.Value(context.Background(), "site")
	require.NoError(t, err)
	require.Equal(t, "one", string(text))
	_, err = client.Value(context.Background(), "none")
	require.ErrorIs(t, err, platform.ErrInvalidResponse)
}

// A watch returns when something changes, and the watchers deliver each change once, the site's document before those of the
// services. While the platform is down they deliver nothing, and after it recovers they deliver the changes of the outage.
func TestWatchersDeliverChanges(t *testing.T) {
	fakePlatform := platformtest.New()
	fakePlatform.Publish("service/a", []byte("a1"))
	fakePlatform.Publish(settings.SiteKey, []byte("s1"))
	fakePlatform.SetInstance(entryOne)
	events := (&expvar.Map{}).Init()
	options := platform.WatchOptions{Client: newClient(t, fakePlatform), Events: events, Log: zerolog.Nop(), Jitter: func() float64 { return 0 }}
	documents := make(chan string, 10)
	lists := make(chan platform.InstanceList, 10)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	configuration := platform.NewConfigurationWatcher(options, func(_ context.Context, key string, text []byte) error {
		documents <- key + "=" + string(text)
		return nil
	})
	list := platform.NewInstanceListWatcher(options, func(_ context.Context, list platform.InstanceList) error {
		lists <- list
		return nil
	})
	go func() { ended <- configuration.Serve(ctx) }()
	go func() { ended <- list.Serve(ctx) }()
	require.Equal(t, "site=s1", <-documents)
	require.Equal(t, "service/a=a1", <-documents)
	require.Len(t, (<-lists).Instances, 1)

	fakePlatform.SetFault(platformtest.FaultDown)
	fakePlatform.Publish("service/a", []byte("a2"))
	entryTwo := entryOne
	entryTwo.Name = "entry-2"
	fakePlatform.SetInstance(entryTwo)
	fakePlatform.SetFault(platformtest.FaultNone)
	require.Equal(t, "service/a=a2", <-documents)
	require.Len(t, (<-lists).Instances, 2)
	stop()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Empty(t, documents)
}

// failingTransport simulates a platform that refuses every connection.
type failingTransport struct {
	reads int
}

// RoundTrip implements http.RoundTripper.
func (failingTransport *failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	failingTransport.reads++
	return nil, http.ErrServerClosed
}

// The platform is down for an hour. The reads of all instances together must not overload it when it recovers: each instance
// reads less than once in two seconds.
func TestWatchersBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &failingTransport{}
		client := platform.NewClientForTest(settings.Platform{Timeout: clock.Second, WatchTimeout: clock.Second}, transport)
		options := platform.WatchOptions{Client: client, Events: (&expvar.Map{}).Init(), Log: zerolog.Nop(), Jitter: func() float64 { return 0.5 }}
		ctx, stop := context.WithTimeout(context.Background(), (60 * clock.Minute).Duration())
		defer stop()
		watcher := platform.NewInstanceListWatcher(options, func(context.Context, platform.InstanceList) error { return nil })
		require.ErrorIs(t, watcher.Serve(ctx), context.DeadlineExceeded)
		require.Greater(t, transport.reads, 60)
		require.Less(t, transport.reads, 1800)
	})
}
