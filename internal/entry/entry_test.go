package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendservertest"
	"github.com/jaywheel/jaywheel/internal/caller"
	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/internal/platformtest"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Limits for waiting; only a failing test reaches waitTimeout.
const (
	waitTimeout = time.Minute
	waitTick    = 5 * time.Millisecond
)

// fixture is one instance with a fake platform and one backend server.
type fixture struct {
	entry    *Entry
	platform *platformtest.Platform
	backend  *backendservertest.Server
	running  chan struct{}
	release  chan struct{}
	// addressTTL is the AddressTTL in the settings that the next call of publish stores.
	addressTTL clock.Milliseconds
}

// publish stores the settings in the fake platform's configuration service.
func (fixture *fixture) publish(t *testing.T) {
	loaded, err := settings.LoadSite("../../examples/rodopa.base.json", "")
	require.NoError(t, err)
	site := loaded.Site
	site.Fleet.HeartbeatInterval = 20 * clock.Millisecond
	site.Fleet.SuspectAfter = 60 * clock.Millisecond
	site.Fleet.AddressTTL = fixture.addressTTL
	documents, err := site.Documents()
	require.NoError(t, err)
	for _, document := range documents {
		fixture.platform.Publish(document.Key, document.Text)
	}
}

func newFixture(t *testing.T) *fixture {
	fixture := &fixture{
		platform: platformtest.New(), running: make(chan struct{}, 100), release: make(chan struct{}), addressTTL: 10 * clock.Millisecond,
	}
	fixture.publish(t)
	var err error
	fixture.backend, err = backendservertest.Start(backendservertest.Options{Name: "browsing-1", Slots: 6, Run: func(request *http.Request) {
		if request.URL.Path == "/held" {
			fixture.running <- struct{}{}
			<-fixture.release
		}
	}})
	require.NoError(t, err)
	t.Cleanup(fixture.backend.Close)
	fixture.platform.SetInstance(platform.Instance{
		Name: "browsing-1", Kind: platform.KindBackendServer, State: platform.StateLive, DataCentre: "sofia-1",
		Address: fixture.backend.Address(), Service: "browsing",
	})
	fixture.platform.SetInstance(platform.Instance{
		Name: "entry-1", Kind: platform.KindEntry, State: platform.StateLive, DataCentre: "sofia-1",
		Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:1",
	})
	server := httptest.NewServer(fixture.platform)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	process := &settings.Process{
		Instance: "entry-1", DataCentre: "sofia-1", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		Platform: settings.Platform{ConfigurationAddress: address, InstancesAddress: address, WatchTimeout: 50},
		Keys:     settings.Keys{SealWith: "k", Known: map[settings.KeyName]string{"k": strings.Repeat("07", 32)}},
	}
	process.ApplyDefaults()
	fixture.entry, err = New(Options{Settings: process, Log: zerolog.Nop(), Seed: 1})
	require.NoError(t, err)
	return fixture
}

// run runs serve until the test ends or the returned function is called, which waits until serve has returned.
func run(t *testing.T, serve func(context.Context) error) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = serve(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return func() {
		stop()
		<-ended
	}
}

func (fixture *fixture) get(path string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+fixture.entry.CallerAddress()+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Host = "slots.rodopa.example"
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
}

func (fixture *fixture) waitUntilAnswered(t *testing.T) {
	require.Eventually(t, func() bool { return fixture.isAnswered() }, waitTimeout, waitTick)
}

func (fixture *fixture) isAnswered() bool {
	response, err := fixture.get("/slots")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	result, _ := outcome.FromHeader(response.Header)
	return result == outcome.Answered
}

// Guards against failed requests when all control components have stopped: settings, list, peers and limits are no longer
// updated, but requests must still be handled with the last published routing table.
func TestTrafficOutlivesControl(t *testing.T) {
	fixture := newFixture(t)
	stopControl := run(t, fixture.entry.control.Serve)
	run(t, fixture.entry.traffic.Serve)
	fixture.waitUntilAnswered(t)
	stopControl()
	for range 100 {
		require.True(t, fixture.isAnswered())
	}
	response, err := http.Get("http://" + fixture.entry.OperatorAddress() + operator.MetricsPath)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode, "metrics are still available to operators")
}

// Guards against platform faults that reach callers: during an outage, or with unreadable, empty or stale responses of the
// platform, the settings and lists that were read before must stay in force.
func TestPlatformOutageChangesNothing(t *testing.T) {
	fixture := newFixture(t)
	run(t, fixture.entry.Serve)
	fixture.waitUntilAnswered(t)
	for _, fault := range []platformtest.Fault{
		platformtest.FaultDown, platformtest.FaultGarbage, platformtest.FaultEmpty, platformtest.FaultStale,
	} {
		before := fixture.platform.Reads()
		fixture.platform.SetFault(fault)
		require.Eventually(t, func() bool { return fixture.platform.Reads() >= before+2 }, waitTimeout, waitTick)
		require.True(t, fixture.isAnswered(), "fault %d", fault)
		fixture.platform.SetFault(platformtest.FaultNone)
	}
	status, err := fixture.entry.Status(context.Background())
	require.NoError(t, err)
	require.Len(t, status.Services, 3)
}

// Guards against requests that are cut off by a drain: the instance first stops giving out addresses, then closes its port,
// and waits for the request in flight, which must complete.
func TestLeavingCutsOffNothing(t *testing.T) {
	fixture := newFixture(t)
	run(t, fixture.entry.Serve)
	fixture.waitUntilAnswered(t)
	responseText := make(chan string, 1)
	go func() {
		response, err := fixture.get("/held")
		if err != nil {
			responseText <- err.Error()
			return
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			responseText <- err.Error()
			return
		}
		responseText <- string(text)
	}()
	<-fixture.running
	left := make(chan error, 1)
	go func() { left <- fixture.entry.Leave(context.Background()) }()
	require.Eventually(t, func() bool { return !fixture.givesAddresses() }, waitTimeout, waitTick)
	require.Eventually(t, func() bool { return !fixture.acceptsConnections() }, waitTimeout, waitTick)
	require.Empty(t, left, "the drain does not end while a request is in flight")
	close(fixture.release)
	require.Len(t, <-responseText, 32)
	require.NoError(t, <-left)
}

func (fixture *fixture) acceptsConnections() bool {
	connection, err := net.Dial("tcp", fixture.entry.CallerAddress())
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// Callers cache addresses and use a draining instance until these expire. The instance must still serve them although it no
// longer gives out addresses.
func TestLeavingServesOldAnswers(t *testing.T) {
	fixture := newFixture(t)
	fixture.addressTTL = 60 * clock.Minute
	fixture.publish(t)
	run(t, fixture.entry.Serve)
	fixture.waitUntilAnswered(t)
	ctx, stop := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() { left <- fixture.entry.Leave(ctx) }()
	require.Eventually(t, func() bool { return !fixture.givesAddresses() }, waitTimeout, waitTick)
	for range 10 {
		require.True(t, fixture.isAnswered())
	}
	require.Empty(t, left)
	stop()
	require.ErrorIs(t, <-left, context.Canceled)
}

// givesAddresses reports whether the instance still responds to requests for instance addresses.
func (fixture *fixture) givesAddresses() bool {
	response, err := http.Get("http://" + fixture.entry.CallerAddress() + caller.AddressesPath + "?service=browsing")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Checks the paths for operators: state, readiness, metrics, and the trace of a request by the id in its response.
func TestOperatorsRead(t *testing.T) {
	fixture := newFixture(t)
	run(t, fixture.entry.Serve)
	fixture.waitUntilAnswered(t)
	response, err := fixture.get("/slots")
	require.NoError(t, err)
	response.Body.Close()
	cases := []struct {
		path, want string
		status     int
	}{
		{operator.StatusPath, `"phase": "`, http.StatusOK},
		{operator.ReadyPath, "ready", http.StatusOK},
		{operator.MetricsPath, `"rodopa/browsing/list"`, http.StatusOK},
		{operator.ExplainPath + "?id=" + response.Header.Get(outcome.HeaderRequestID), `"target": "browsing-1"`, http.StatusOK},
		{operator.ExplainPath + "?id=none", "no request", http.StatusNotFound},
	}
	for _, testCase := range cases {
		operatorResponse, err := http.Get("http://" + fixture.entry.OperatorAddress() + testCase.path)
		require.NoError(t, err)
		text, err := io.ReadAll(operatorResponse.Body)
		require.NoError(t, err)
		operatorResponse.Body.Close()
		require.Equal(t, testCase.status, operatorResponse.StatusCode, testCase.path)
		require.Contains(t, string(text), testCase.want)
	}
}
