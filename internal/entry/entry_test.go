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

// Bounds of waiting; only a broken test reaches the first.
const (
	waitMost = time.Minute
	waitTick = 5 * time.Millisecond
)

// fixture is one instance with a stand-in of the platform and one backend server.
type fixture struct {
	entry    *Entry
	platform *platformtest.Platform
	backend  *backendservertest.Server
	running  chan struct{}
	release  chan struct{}
	// answerKept is the setting that the next publish uses.
	answerKept clock.Milliseconds
}

// publish puts the settings at the configuration service.
func (fixture *fixture) publish(t *testing.T) {
	loaded, err := settings.LoadSite("../../examples/rodopa.base.json", "")
	require.NoError(t, err)
	site := loaded.Site
	site.Fleet.HeartbeatInterval = 20 * clock.Millisecond
	site.Fleet.SuspectAfter = 60 * clock.Millisecond
	site.Fleet.AddressTTL = fixture.answerKept
	documents, err := site.Documents()
	require.NoError(t, err)
	for _, document := range documents {
		fixture.platform.Publish(document.Key, document.Text)
	}
}

func newFixture(t *testing.T) *fixture {
	fixture := &fixture{
		platform: platformtest.New(), running: make(chan struct{}, 100), release: make(chan struct{}), answerKept: 10 * clock.Millisecond,
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

// run runs serve until the test ends.
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

func (fixture *fixture) waitAnswered(t *testing.T) {
	require.Eventually(t, func() bool { return fixture.isAnswered() }, waitMost, waitTick)
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

// The whole of control is gone: no settings, no list, no peers, nobody who moves limits on. Callers notice nothing,
// since traffic goes on with what was published last.
func TestTrafficOutlivesControl(t *testing.T) {
	fixture := newFixture(t)
	stopControl := run(t, fixture.entry.control.Serve)
	run(t, fixture.entry.traffic.Serve)
	fixture.waitAnswered(t)
	stopControl()
	for range 100 {
		require.True(t, fixture.isAnswered())
	}
	response, err := http.Get("http://" + fixture.entry.OperatorAddress() + operator.MetricsPath)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode, "operators can still read")
}

// The platform fails in every way it can, for as long as it likes. What was read before stays in force.
func TestPlatformOutageChangesNothing(t *testing.T) {
	fixture := newFixture(t)
	run(t, fixture.entry.Serve)
	fixture.waitAnswered(t)
	for _, fault := range []platformtest.Fault{
		platformtest.FaultDown, platformtest.FaultGarbage, platformtest.FaultEmpty, platformtest.FaultStale,
	} {
		before := fixture.platform.Reads()
		fixture.platform.SetFault(fault)
		require.Eventually(t, func() bool { return fixture.platform.Reads() >= before+2 }, waitMost, waitTick)
		require.True(t, fixture.isAnswered(), "fault %d", fault)
		fixture.platform.SetFault(platformtest.FaultNone)
	}
	status, err := fixture.entry.Status(context.Background())
	require.NoError(t, err)
	require.Len(t, status.Services, 3)
}

// An instance is told to leave while a request is under way. The request ends whole, callers are sent elsewhere first,
// and the port closes only when nothing is under way any more.
func TestLeavingCutsOffNothing(t *testing.T) {
	fixture := newFixture(t)
	run(t, fixture.entry.Serve)
	fixture.waitAnswered(t)
	answered := make(chan string, 1)
	go func() {
		response, err := fixture.get("/held")
		if err != nil {
			answered <- err.Error()
			return
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			answered <- err.Error()
			return
		}
		answered <- string(text)
	}()
	<-fixture.running
	left := make(chan error, 1)
	go func() { left <- fixture.entry.Leave(context.Background()) }()
	require.Eventually(t, func() bool { return !fixture.namesItself() }, waitMost, waitTick)
	require.Eventually(t, func() bool { return !fixture.takesConnections() }, waitMost, waitTick)
	require.Empty(t, left, "it has not left while a request is under way")
	close(fixture.release)
	require.Len(t, <-answered, 32)
	require.NoError(t, <-left)
}

func (fixture *fixture) takesConnections() bool {
	connection, err := net.Dial("tcp", fixture.entry.CallerAddress())
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// Callers keep their address answers for a while and go on using a leaving instance until they lapse. They are served
// as before, although the instance is named to nobody any more.
func TestLeavingServesOldAnswers(t *testing.T) {
	fixture := newFixture(t)
	fixture.answerKept = 60 * clock.Minute
	fixture.publish(t)
	run(t, fixture.entry.Serve)
	fixture.waitAnswered(t)
	ctx, stop := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() { left <- fixture.entry.Leave(ctx) }()
	require.Eventually(t, func() bool { return !fixture.namesItself() }, waitMost, waitTick)
	for range 10 {
		require.True(t, fixture.isAnswered())
	}
	require.Empty(t, left)
	stop()
	require.ErrorIs(t, <-left, context.Canceled)
}

// namesItself reports whether the instance still answers which addresses to use.
func (fixture *fixture) namesItself() bool {
	response, err := http.Get("http://" + fixture.entry.CallerAddress() + caller.AddressesPath + "?service=browsing")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Operators read the state, and the story of a request by the id in its answer.
func TestOperatorsRead(t *testing.T) {
	fixture := newFixture(t)
	run(t, fixture.entry.Serve)
	fixture.waitAnswered(t)
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
		answer, err := http.Get("http://" + fixture.entry.OperatorAddress() + testCase.path)
		require.NoError(t, err)
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		answer.Body.Close()
		require.Equal(t, testCase.status, answer.StatusCode, testCase.path)
		require.Contains(t, string(text), testCase.want)
	}
}
