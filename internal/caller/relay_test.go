package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// relayWait bounds waiting for events; it passes only if a test fails.
const relayWait = 20 * time.Second

// relayFixture is an instance that cannot reach its service, and other instances that it knows.
type relayFixture struct {
	*fixture

	client *relay.Client
}

// newRelayFixture starts an instance that relays requests to the instances at the given addresses, in an order of its own choice.
func newRelayFixture(t *testing.T, serviceSettings *settings.Service, peers ...string) *relayFixture {
	fixture := &relayFixture{fixture: newFixture(t, serviceSettings), client: relay.NewClient(relay.Options{Clock: clock.New(), Rand: rand.New(rand.NewPCG(1, 1))})}
	fixture.handler.options.Relay = &Relay{
		Client: fixture.client, Unreachable: func(settings.ServiceName) bool { return true }, Doubtful: func(settings.ServiceName) bool { return true },
	}
	fixture.setPeers(peers...)
	t.Cleanup(fixture.client.Close)
	return fixture
}

func (fixture *relayFixture) setPeers(addresses ...string) {
	var peers []relay.Peer
	for index, address := range addresses {
		peers = append(peers, relay.Peer{Name: settings.InstanceName(fmt.Sprint("peer-", index)), Address: address, Serving: true})
	}
	fixture.client.SetPeers(peers)
}

// startPeer makes the fixture's instance accept relayed requests, and returns the address.
func startPeer(t *testing.T, fixture *fixture) string {
	limits := settings.Callers{MaxConnections: 100, MaxHeaderSize: 8 << 10, HeaderTimeout: 30 * 1000, IdleTimeout: 60 * 1000, MaxStall: 30 * 1000}
	listener, err := Listen("127.0.0.1:0", limits, &fixture.registry.Events)
	require.NoError(t, err)
	server := NewPeerServer(fixture.handler, http.NotFoundHandler(), limits, &fixture.registry.Events)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// A relayed request reaches the backend server as the caller sent it, and its response the caller as the server sent it.
func TestRelayedRequestPassesUnchanged(t *testing.T) {
	var path, body, relayHeaders atomic.Value
	backend := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		text, _ := io.ReadAll(request.Body)
		path.Store(request.RequestURI)
		body.Store(string(text))
		forwarded := ""
		for name := range request.Header {
			if strings.HasPrefix(name, "Jaywheel-Relay-") {
				forwarded += name
			}
		}
		relayHeaders.Store(forwarded)
		writer.Header().Set("Jaywheel-Relay-Outcome", "notRun")
		writer.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(writer, "done")
	})
	peer := newFixture(t, fixtureService(), backend)
	origin := newRelayFixture(t, fixtureService(), startPeer(t, peer))
	request := origin.newRequest(t, "POST", "/payments/a%2Fb?x=1&x=2", strings.NewReader("amount=3"))
	got := origin.send(t, request)
	require.Equal(t, http.StatusAccepted, got.status)
	require.Equal(t, "done", got.body)
	require.Equal(t, outcome.Answered, got.outcome)
	require.Empty(t, got.header.Get("Jaywheel-Relay-Outcome"))
	require.Equal(t, "/payments/a%2Fb?x=1&x=2", path.Load())
	require.Equal(t, "amount=3", body.Load())
	require.Empty(t, relayHeaders.Load())
}

// Guards against callers that pass for an instance by the headers or the path of relayed requests.
func TestCallersCannotSendRelayedRequests(t *testing.T) {
	var seen atomic.Pointer[string]
	backend := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		forged := request.Header.Get("Jaywheel-Relay-Service") + request.Header.Get("Jaywheel-Relay-Origin")
		seen.Store(&forged)
		writer.WriteHeader(http.StatusOK)
	})
	fixture := newFixture(t, fixtureService(), backend)
	for _, path := range []string{"/look", relay.Path + "/look"} {
		request := fixture.newRequest(t, "GET", path, http.NoBody)
		relay.Request{Origin: "entry-9", Service: "other", Attempts: 9}.SetHeader(request.Header)
		require.Equal(t, http.StatusOK, fixture.send(t, request).status)
		require.Empty(t, *seen.Load())
	}
	require.Nil(t, fixture.registry.Events.Get(EventRelayReceived))
}

// Guards against requests that instances relay to each other in a loop.
func TestRelayedRequestIsNotRelayedFurther(t *testing.T) {
	other := newFixture(t, fixtureService(), startBackend(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }))
	middle := newRelayFixture(t, fixtureService(), startPeer(t, other))
	origin := newRelayFixture(t, fixtureService(), startPeer(t, middle.fixture))
	got := origin.send(t, origin.newRequest(t, "GET", "/look", http.NoBody))
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, outcome.NotRun, got.outcome)
	require.Nil(t, other.registry.Events.Get(EventRelayReceived))
}

// Guards against payments that run twice, or are said not to have run, when the path to the relaying instance breaks.
func TestPaymentIsRelayedAtMostOnce(t *testing.T) {
	cases := []struct {
		name string
		// handle handles a connection whose request has been read.
		handle func(net.Conn)
		status int
		result outcome.Outcome
		// sentOn is whether a second instance may get the request.
		sentOn bool
	}{
		{"closed after the request", func(connection net.Conn) { connection.Close() }, http.StatusBadGateway, outcome.Unknown, false},
		{"cut within the answer", func(connection net.Conn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nJaywheel-Relay-Outcome: answered\r\nContent-Length: 9\r\n\r\nhalf")
			connection.Close()
		}, 0, "", false},
		{"cannot tell", func(connection net.Conn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 504 Gateway Timeout\r\nJaywheel-Relay-Outcome: unknown\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway, outcome.Unknown, false},
		{"outcome not understood", func(connection net.Conn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nJaywheel-Relay-Outcome: later\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway, outcome.Unknown, false},
		{"not run", func(connection net.Conn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nJaywheel-Relay-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusServiceUnavailable, outcome.NotRun, true},
		{"response without an outcome", func(connection net.Conn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway, outcome.Unknown, false},
		{"another request has not run", func(connection net.Conn) {
			_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nJaywheel-Relay-Outcome: notRun\r\nJaywheel-Request-Id: other\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway, outcome.Unknown, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var received atomic.Int64
			startBroken := func() string {
				return startRawBackend(t, func(connection net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
						return
					}
					received.Add(1)
					testCase.handle(connection)
				})
			}
			origin := newRelayFixture(t, fixtureService(), startBroken(), startBroken())
			got, err := sendWhole(origin.newRequest(t, "POST", "/payments", http.NoBody))
			if testCase.status == 0 {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, testCase.status, got.status)
				require.Equal(t, testCase.result, got.outcome)
			}
			expected := int64(1)
			if testCase.sentOn {
				expected = maxRelayAttempts
			}
			require.Equal(t, expected, received.Load())
		})
	}
}

// Guards against requests that are refused although another of the known instances can serve them.
func TestRequestIsRelayedToASecondInstance(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused.Close()
	sound := newFixture(t, fixtureService(), startBackend(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }))
	origin := newRelayFixture(t, fixtureService(), refused.Addr().String(), startPeer(t, sound))
	for range 8 {
		require.Equal(t, http.StatusOK, origin.send(t, origin.newRequest(t, "POST", "/payments", http.NoBody)).status)
	}
}

// Guards against servers that go on working for callers that have left the instance to which they are connected.
func TestRelayedRequestEndsWithItsCaller(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	backend := startBackend(t, func(_ http.ResponseWriter, request *http.Request) {
		close(arrived)
		<-request.Context().Done()
		close(ended)
	})
	peer := newFixture(t, fixtureService(), backend)
	origin := newRelayFixture(t, fixtureService(), startPeer(t, peer))
	ctx, leave := context.WithCancel(t.Context())
	request := origin.newRequest(t, "GET", "/look", http.NoBody).WithContext(ctx)
	go func() {
		<-arrived
		leave()
	}()
	_, err := sendWhole(request)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(relayWait):
		t.Fatal("the backend server still works")
	}
}

// Guards against backend servers that get more time, or more attempts, than the caller's request has left.
func TestRelayedRequestKeepsItsLimits(t *testing.T) {
	var timeout atomic.Pointer[string]
	var attempts atomic.Int64
	backend := func() string {
		return startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
			attempts.Add(1)
			remaining := request.Header.Get(outcome.HeaderTimeout)
			timeout.Store(&remaining)
			writer.Header().Set("Not-Run", "full")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	serviceSettings := fixtureService()
	serviceSettings.Retry.Attempts = 2
	peer := newFixture(t, serviceSettings, backend(), backend(), backend(), backend())
	origin := newRelayFixture(t, serviceSettings, startPeer(t, peer))
	request := origin.newRequest(t, "GET", "/look", http.NoBody)
	request.Header.Set(outcome.HeaderTimeout, "1500")
	got := origin.send(t, request)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, outcome.NotRun, got.outcome)
	require.EqualValues(t, 2, attempts.Load())
	var milliseconds int
	_, err := fmt.Sscan(*timeout.Load(), &milliseconds)
	require.NoError(t, err)
	require.LessOrEqual(t, milliseconds, 1500)
	require.Positive(t, milliseconds)
}

// Guards against relayed requests that are cut off when the instance that sends them to servers stops: it ends them within its drain,
// and others are sent elsewhere.
func TestRelayedRequestsEndWithinADrain(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	backend := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(writer, "whole")
	})
	leaving := newFixture(t, fixtureService(), backend)
	other := newFixture(t, fixtureService(), startBackend(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "other") }))
	origin := newRelayFixture(t, fixtureService(), startPeer(t, leaving))
	first, request := make(chan response, 1), origin.newRequest(t, "POST", "/payments", http.NoBody)
	go func() {
		got, _ := sendWhole(request)
		first <- got
	}()
	<-arrived
	leaving.handler.Drain(0, 20*clock.Second)
	require.EqualValues(t, 1, leaving.handler.InFlight())
	origin.setPeers(startPeer(t, leaving), startPeer(t, other))
	for range 6 {
		// The deadline of these requests falls after the drain.
		require.Equal(t, "other", origin.send(t, origin.newRequest(t, "POST", "/payments", http.NoBody)).body)
	}
	close(release)
	require.Equal(t, "whole", (<-first).body)
}

// Guards against relayed requests that are cut off when the instance that received them stops, and against a promise that they have not
// run.
func TestRelayedRequestsEndWithinTheDrainOfTheirOrigin(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	backend := startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		select {
		case <-release:
			_, _ = io.WriteString(writer, "whole")
		case <-request.Context().Done():
		}
	})
	peer := newFixture(t, fixtureService(), backend)
	origin := newRelayFixture(t, fixtureService(), startPeer(t, peer))
	results := make(chan response, 2)
	for range 2 {
		request := origin.newRequest(t, "POST", "/payments", http.NoBody)
		go func() {
			got, _ := sendWhole(request)
			results <- got
		}()
	}
	<-arrived
	<-arrived
	release <- struct{}{}
	require.Equal(t, "whole", (<-results).body)
	origin.handler.Drain(0, clock.Millisecond)
	got := <-results
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Equal(t, outcome.Unknown, got.outcome)
}

// Guards against a retry budget that counts a relayed request at two instances.
func TestRelayedRequestIsCountedOnce(t *testing.T) {
	peer := newFixture(t, fixtureService(), startBackend(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }))
	origin := newRelayFixture(t, fixtureService(), startPeer(t, peer))
	budgetOf := func(fixture *fixture) func() int {
		booking, _ := fixture.table.Service("booking")
		for booking.Budget.TryWithdraw(service.Retry{}) {
			continue
		}
		return func() int {
			count := 0
			for booking.Budget.TryWithdraw(service.Retry{}) {
				count++
			}
			return count
		}
	}
	atOrigin, atPeer := budgetOf(origin.fixture), budgetOf(peer)
	for range 30 {
		require.Equal(t, http.StatusOK, origin.send(t, origin.newRequest(t, "GET", "/look", http.NoBody)).status)
	}
	require.Equal(t, 0, atOrigin())
	require.Equal(t, 3, atPeer())
}
