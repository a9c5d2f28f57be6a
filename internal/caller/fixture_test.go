package caller

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const fixtureHost = "book.example"

// fixture is an instance that handles requests on loopback, with a fixed routing table and warm targets and without a control plane.
type fixture struct {
	table    *routing.Table
	registry *metrics.Registry
	traces   *trace.Ring
	handler  *Handler
	address  string
	// listener is set by newPipelinedFixture alone.
	listener *Listener
}

// fixtureMaxStall is the MaxStall of new fixtures; a test may change it before it creates one.
var fixtureMaxStall = 30 * clock.Second

func fixtureService() *settings.Service {
	return &settings.Service{
		Revision: 3, Hosts: []string{fixtureHost}, PathPrefix: "/", SlotsPerTarget: 2, ConnectionsPerTarget: 20,
		Classes: map[settings.ClassName]settings.Class{
			"look": {Methods: []string{"GET", "HEAD"}, Paths: []string{"/"}, Idempotent: true, Priority: 2, Timeout: 30 * clock.Second, MaxBodySize: 1 << 10},
			"pay":  {Methods: []string{"POST"}, Paths: []string{"/payments"}, Timeout: 30 * clock.Second, MaxBodySize: 1 << 20},
		},
		Queue:       settings.Queue{Length: 8, Wait: 30 * clock.Second, RetryAfter: clock.Second},
		Retry:       settings.Retry{Attempts: 3, BudgetShare: 0.1, FailurePenalty: clock.Millisecond},
		Connections: settings.Connections{ConnectTimeout: 5 * clock.Second, IdleTimeout: clock.Minute, FreshFor: clock.Minute, AckTimeout: 5 * clock.Second},
		ReportPath:  "/load", NotRunHeader: "Not-Run",
	}
}

// fixtureMaxConnections is the number of callers' connections that a fixture accepts.
const fixtureMaxConnections = 100

// newFixture starts an instance whose service has backend servers at the given addresses.
func newFixture(t testing.TB, serviceSettings *settings.Service, addresses ...string) *fixture {
	fixture := newUnservedFixture(t, serviceSettings, addresses...)
	limits := settings.Callers{
		MaxConnections: fixtureMaxConnections, MaxHeaderSize: 8 << 10, HeaderTimeout: 30 * 1000, IdleTimeout: 60 * 1000, MaxStall: 30 * 1000, MaxStreams: 100,
	}
	listener, err := Listen("127.0.0.1:0", limits, &fixture.registry.Events)
	require.NoError(t, err)
	server := NewServer(fixture.handler, limits, &fixture.registry.Events)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	fixture.address = listener.Addr().String()
	return fixture
}

// newUnservedFixture returns a fixture that does not listen, for tests that start their own server or need none.
func newUnservedFixture(t testing.TB, serviceSettings *settings.Service, addresses ...string) *fixture {
	fixture := &fixture{registry: metrics.NewRegistry(), traces: trace.NewRing(64)}
	clock := clock.New()
	servers := backendserver.NewServers(clock)
	dispatcher := service.NewDispatcher(service.Options{
		Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)),
		Limits: service.Limits{QueueLength: serviceSettings.Queue.Length, QueueWait: serviceSettings.Queue.Wait, FailurePenalty: serviceSettings.Retry.FailurePenalty},
	})
	for _, address := range addresses {
		name := settings.TargetName(address)
		dispatcher.Add(name, address, "sofia-1")
		dispatcher.SetLimit(name, service.TargetLimit{Limit: 2, MinShare: 2, MaxOwnInFlight: 2}, 0)
		servers.Set(name, backendserver.Options{Address: address, MaxConnections: backendserver.FixedLimit(2), Connections: serviceSettings.Connections})
	}
	fixture.table = routing.NewTable(routing.Options{
		Site:     &settings.Site{Revision: 7, Tenant: "rodopa", Fleet: settings.Fleet{AddressTTL: 5 * 1000}},
		Registry: fixture.registry,
		Services: []*routing.Service{{
			Name: "booking", Settings: serviceSettings, Dispatcher: dispatcher, Budget: service.NewRetryBudget(serviceSettings.Retry.BudgetShare),
			Serving: []routing.Instance{{Name: "entry-1", Address: "127.0.0.1:1", DataCentre: "sofia-1"}},
		}},
	})
	fixture.handler = NewHandler(Options{
		Table: func() *routing.Table { return fixture.table }, Servers: servers, Registry: fixture.registry, Traces: fixture.traces,
		Clock: clock, Instance: "entry-1", MaxStall: fixtureMaxStall,
	})
	t.Cleanup(servers.Close)
	return fixture
}

// startBackend starts a backend server with the given handler.
func startBackend(t testing.TB, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startRawBackend starts a backend server that calls handle for each connection.
func startRawBackend(t testing.TB, handle func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(connection)
		}
	}()
	return listener.Addr().String()
}

// newRequest returns a request to the fixture's service.
func (fixture *fixture) newRequest(t testing.TB, method, path string, body io.Reader) *http.Request {
	request, err := http.NewRequest(method, "http://"+fixture.address+path, body)
	require.NoError(t, err)
	request.Host = fixtureHost
	return request
}

// response is a completely read response.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	// closes means that the connection closes after the response; only pipelinedCaller sets it.
	closes  bool
	body    string
	outcome outcome.Outcome
	reason  outcome.Reason
}

// send sends a request on a new connection and reads the whole response.
func (fixture *fixture) send(t testing.TB, request *http.Request) response {
	got, err := sendWhole(request)
	require.NoError(t, err)
	return got
}

func sendWhole(request *http.Request) (response, error) {
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	httpResponse, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	text, err := io.ReadAll(httpResponse.Body)
	result, reason := outcome.FromHeader(httpResponse.Header)
	got := response{
		status: httpResponse.StatusCode, header: httpResponse.Header, trailer: httpResponse.Trailer, body: string(text), outcome: result, reason: reason,
	}
	return got, err
}
