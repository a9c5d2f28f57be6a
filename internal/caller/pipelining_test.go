package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// pipelinedLimits allows requests of one connection to be served at the same time.
func pipelinedLimits() settings.Callers {
	return settings.Callers{
		MaxConnections: 100, MaxHeaderSize: 8 << 10, HeaderTimeout: 30 * clock.Second, IdleTimeout: clock.Minute, MaxStall: 30 * clock.Second,
		MaxPipelined: 8, MaxPipelinedHeld: 256 << 10, MaxStreams: 100,
	}
}

// newPipelinedFixture starts an instance with the given limits, whose service has four backend servers with the same handler.
func newPipelinedFixture(t testing.TB, limits settings.Callers, handler http.HandlerFunc) *fixture {
	serviceSettings := fixtureService()
	serviceSettings.Classes["book"] = settings.Class{
		Methods: []string{"GET"}, Paths: []string{"/book"}, Priority: 1, Timeout: 30 * clock.Second, MaxBodySize: 1 << 10,
	}
	serviceSettings.Queue.Length = 64
	var addresses []string
	for range 4 {
		addresses = append(addresses, startBackend(t, handler))
	}
	fixture := newUnservedFixture(t, serviceSettings, addresses...)
	fixture.serve(t, limits)
	return fixture
}

// serve starts a server with the given limits.
func (fixture *fixture) serve(t testing.TB, limits settings.Callers) {
	listener, err := Listen("127.0.0.1:0", limits, &fixture.registry.Events)
	require.NoError(t, err)
	server := NewServer(fixture.handler, limits, &fixture.registry.Events)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	fixture.address, fixture.listener = listener.Addr().String(), listener
}

// pipelinedCaller is a caller that sends requests without waiting for responses.
type pipelinedCaller struct {
	t          testing.TB
	connection *net.TCPConn
	reader     *bufio.Reader
}

func (fixture *fixture) dialPipelined(t testing.TB) *pipelinedCaller {
	connection, err := net.Dial("tcp", fixture.address)
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(maxWait)))
	return newPipelinedCaller(t, connection)
}

func newPipelinedCaller(t testing.TB, connection net.Conn) *pipelinedCaller {
	return &pipelinedCaller{t: t, connection: connection.(*net.TCPConn), reader: bufio.NewReader(connection)} //nolint:forcetypeassert // TCP was dialed.
}

// lookup returns the text of a lookup.
func lookup(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + fixtureHost + "\r\n\r\n"
}

func (caller *pipelinedCaller) send(requests ...string) {
	_, err := io.WriteString(caller.connection, strings.Join(requests, ""))
	require.NoError(caller.t, err)
}

// receive reads the next response.
func (caller *pipelinedCaller) receive() (response, error) {
	received, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		return response{}, err
	}
	defer received.Body.Close()
	text, err := io.ReadAll(received.Body)
	return response{status: received.StatusCode, header: received.Header, closes: received.Close, body: string(text)}, err
}

// requireBody reads the next response and checks its body.
func (caller *pipelinedCaller) requireBody(body string) response {
	caller.t.Helper()
	got, err := caller.receive()
	require.NoError(caller.t, err)
	require.Equal(caller.t, body, got.body)
	return got
}

// gate is a backend server's handler that answers each request with its path once that path has been opened.
type gate struct {
	mutex   sync.Mutex
	changed *sync.Cond
	// arrived are the paths in the order in which they arrived; open are those that may be answered, cancelled those whose connection ended.
	arrived   []string
	open      map[string]bool
	cancelled map[string]bool
}

func newGate(open ...string) *gate {
	gate := &gate{open: map[string]bool{}, cancelled: map[string]bool{}}
	gate.changed = sync.NewCond(&gate.mutex)
	gate.release(open...)
	return gate
}

func (gate *gate) serve(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-request.Context().Done():
		case <-stop:
		}
		gate.update(func() { gate.cancelled[path] = request.Context().Err() != nil })
	}()
	gate.update(func() { gate.arrived = append(gate.arrived, path) })
	gate.await(func() bool { return gate.open[path] || gate.cancelled[path] })
	_, _ = io.WriteString(writer, path)
}

func (gate *gate) update(change func()) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	change()
	gate.changed.Broadcast()
}

func (gate *gate) release(paths ...string) {
	gate.update(func() {
		for _, path := range paths {
			gate.open[path] = true
		}
	})
}

func (gate *gate) await(condition func() bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	for !condition() {
		gate.changed.Wait()
	}
}

// awaitArrived waits until count requests have arrived, and returns the paths of all that have.
func (gate *gate) awaitArrived(t testing.TB, count int) []string {
	t.Helper()
	var arrived []string
	require.Eventually(t, func() bool {
		gate.update(func() { arrived = slices.Clone(gate.arrived) })
		return len(arrived) >= count
	}, maxWait, pollInterval)
	return arrived
}

// awaitCancelled waits until the requests of the given paths have been cancelled.
func (gate *gate) awaitCancelled(t testing.TB, paths ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		gate.mutex.Lock()
		defer gate.mutex.Unlock()
		return !slices.ContainsFunc(paths, func(path string) bool { return !gate.cancelled[path] })
	}, maxWait, pollInterval)
}

// eventCount returns the value of an event counter.
func (fixture *fixture) eventCount(name string) int64 {
	return metrics.EventCount(&fixture.registry.Events, name)
}

// Guards against lookups that wait behind a slow one of their connection although backend servers are free.
func TestPipelinedLookupsAreServedAtTheSameTime(t *testing.T) {
	gate := newGate("/2", "/3", "/4", "/5", "/6")
	caller := newPipelinedFixture(t, pipelinedLimits(), gate.serve).dialPipelined(t)
	caller.send(lookup("/1"), lookup("/2"), lookup("/3"), lookup("/4"), lookup("/5"), lookup("/6"))
	require.ElementsMatch(t, []string{"/1", "/2", "/3", "/4", "/5", "/6"}, gate.awaitArrived(t, 6))
	gate.release("/1")
	for number := range 6 {
		caller.requireBody(fmt.Sprintf("/%d", number+1))
	}
	// The connection goes on as any other.
	gate.release("/7", "/8")
	caller.send(lookup("/7"))
	caller.requireBody("/7")
	caller.send(lookup("/8"))
	caller.requireBody("/8")
}

// Guards against traces that do not show what a pipelined request waited for: its response was ready, and held for an earlier one.
func TestTraceShowsHowLongAResponseWasHeld(t *testing.T) {
	const wait = 60 * time.Millisecond
	cases := []struct {
		name, body string
	}{
		{"sent after the handler has ended", "small"},
		{"sent while the handler writes", strings.Repeat("large", 20<<10)},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			release := make(chan struct{})
			handler := func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/1" {
					<-release
				}
				_, _ = io.WriteString(writer, testCase.body)
			}
			fixture := newPipelinedFixture(t, pipelinedLimits(), handler)
			caller := fixture.dialPipelined(t)
			caller.send(lookup("/1"), lookup("/2"))
			time.AfterFunc(4*wait, func() { close(release) })
			first, second := caller.requireBody(testCase.body), caller.requireBody(testCase.body)
			name := fixture.handler.options.Dialect.RequestIDHeader
			found, known := fixture.traces.Find(trace.RequestID(first.header.Get(name)))
			require.True(t, known)
			require.Zero(t, found.Held)
			require.Eventually(t, func() bool {
				found, _ = fixture.traces.Find(trace.RequestID(second.header.Get(name)))
				return found.Held >= clock.Of(wait)
			}, maxWait, time.Millisecond)
			require.Equal(t, 1, found.Behind)
		})
	}
}

// Guards against requests that are lost or split wrongly when they arrive in pieces, and against responses in the wrong order.
func TestPipelinedRequestsMayArriveInPieces(t *testing.T) {
	payment := "POST /payments HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length: 6\r\n\r\nGET /9"
	chunked := "POST /payments/chunked HTTP/1.1\r\nHost: " + fixtureHost + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	continued := "POST /payments/continued HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
	unrouted := strings.Replace(lookup("/2"), fixtureHost, "other.example", 1)
	cases := []struct {
		name     string
		requests string
		bodies   []string
	}{
		{"lookups", lookup("/1") + lookup("/2") + lookup("/3"), []string{"/1", "/2", "/3"}},
		{"payment first", payment + lookup("/2") + lookup("/3"), []string{"/payments:GET /9", "/2", "/3"}},
		{"payment in between", lookup("/1") + payment + lookup("/3"), []string{"/1", "/payments:GET /9", "/3"}},
		{"chunked payment at the end", lookup("/1") + lookup("/2") + chunked, []string{"/1", "/2", "/payments/chunked:abc"}},
		{"chunked payment in between", lookup("/1") + chunked + lookup("/3"), []string{"/1", "/payments/chunked:abc", "/3"}},
		{"payment that waits for 100", lookup("/1") + continued + "abc" + lookup("/3"), []string{"/1", "", "/payments/continued:abc", "/3"}},
		{"lookup that is not routed", lookup("/1") + unrouted + lookup("/3"), []string{"/1", "notRun: noService\n", "/3"}},
		{"booking without a body", lookup("/1") + lookup("/book/2") + lookup("/3"), []string{"/1", "/book/2", "/3"}},
	}
	echo := func(writer http.ResponseWriter, request *http.Request) {
		text, _ := io.ReadAll(request.Body)
		_, _ = io.WriteString(writer, strings.TrimSuffix(request.URL.Path+":"+string(text), ":"))
	}
	fixture := newPipelinedFixture(t, pipelinedLimits(), echo)
	for _, testCase := range cases {
		for _, size := range []int{1, 7, 64, len(testCase.requests)} {
			t.Run(fmt.Sprintf("%s in pieces of %d", testCase.name, size), func(t *testing.T) {
				caller := fixture.dialPipelined(t)
				for rest := testCase.requests; rest != ""; {
					piece := min(size, len(rest))
					caller.send(rest[:piece])
					rest = rest[piece:]
				}
				for _, body := range testCase.bodies {
					caller.requireBody(body)
				}
			})
		}
	}
}

// Guards against a booking that runs although an earlier response may still close its connection, after which the caller sends it again.
func TestRequestThatMustNotRunTwiceWaitsForItsTurn(t *testing.T) {
	gate := newGate("/2", "/book/3", "/4")
	caller := newPipelinedFixture(t, pipelinedLimits(), gate.serve).dialPipelined(t)
	caller.send(lookup("/1"), lookup("/2"), lookup("/book/3"), lookup("/4"))
	require.ElementsMatch(t, []string{"/1", "/2", "/4"}, gate.awaitArrived(t, 3))
	gate.release("/1")
	require.Equal(t, "/book/3", gate.awaitArrived(t, 4)[3])
	for _, body := range []string{"/1", "/2", "/book/3", "/4"} {
		caller.requireBody(body)
	}
}

// Guards against backend servers that go on working for a caller that has left, and against requests that reach them after that.
func TestLeavingCallerCancelsAllItsRequests(t *testing.T) {
	gate := newGate()
	fixture := newPipelinedFixture(t, pipelinedLimits(), gate.serve)
	caller := fixture.dialPipelined(t)
	caller.send(lookup("/1"), lookup("/2"), lookup("/3"), lookup("/book/4"))
	gate.awaitArrived(t, 3)
	require.NoError(t, caller.connection.Close())
	gate.awaitCancelled(t, "/1", "/2", "/3")
	require.Eventually(t, func() bool { return fixture.handler.InFlight() == 0 }, maxWait, pollInterval)
	require.Len(t, gate.awaitArrived(t, 3), 3, "the booking has not run")
}

// Guards against a caller's departure that is not noticed because its connection is not read on.
func TestCallerLeavesWhileItsConnectionIsNotReadOn(t *testing.T) {
	limits := pipelinedLimits()
	limits.MaxPipelined = 2
	gate := newGate()
	fixture := newPipelinedFixture(t, limits, gate.serve)
	caller := fixture.dialPipelined(t)
	caller.send(lookup("/1"), lookup("/2"), lookup("/3"))
	gate.awaitArrived(t, 2)
	require.Eventually(t, func() bool { return fixture.eventCount(EventPipelineFull) == 1 }, maxWait, pollInterval)
	require.NoError(t, caller.connection.Close())
	gate.awaitCancelled(t, "/1", "/2")
	require.Len(t, gate.awaitArrived(t, 2), 2)
}

// Guards against connections that occupy more than the settings allow, and against requests that are forgotten at the limit.
func TestPipelinedRequestsAreLimited(t *testing.T) {
	limits := pipelinedLimits()
	limits.MaxPipelined, limits.MaxPipelinedHeld = 3, 4<<10
	var now, most atomic.Int64
	large := strings.Repeat("x", 3<<10)
	fixture := newPipelinedFixture(t, limits, func(writer http.ResponseWriter, request *http.Request) {
		count := now.Add(1)
		defer now.Add(-1)
		for before := most.Load(); count > before && !most.CompareAndSwap(before, count); before = most.Load() {
		}
		_, _ = io.WriteString(writer, request.URL.Path+large)
	})
	caller := fixture.dialPipelined(t)
	const count = 40
	var requests []string
	for number := range count {
		requests = append(requests, lookup(fmt.Sprintf("/%d", number)))
	}
	caller.send(requests...)
	for number := range count {
		caller.requireBody(fmt.Sprintf("/%d", number) + large)
	}
	require.LessOrEqual(t, most.Load(), int64(3))
	require.Zero(t, fixture.listener.pipelining.heldBytes.Load())
}

// Guards against a draining instance that drops what it has passed on, or that reads requests that it will not answer.
func TestDrainAnswersWhatWasPassedOn(t *testing.T) {
	gate := newGate("/2", "/3")
	fixture := newPipelinedFixture(t, pipelinedLimits(), gate.serve)
	caller := fixture.dialPipelined(t)
	caller.send(lookup("/1"), lookup("/2"), lookup("/3"))
	gate.awaitArrived(t, 3)
	fixture.handler.Drain(10*clock.Second, 20*clock.Second)
	drained := make(chan error, 1)
	go func() { drained <- fixture.listener.Drain(t.Context()) }()
	require.Eventually(t, fixture.isClosing, maxWait, pollInterval)
	caller.send(lookup("/4"))
	gate.release("/1")
	for _, body := range []string{"/1", "/2", "/3"} {
		caller.requireBody(body)
	}
	_, err := caller.receive()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the connection ends without an answer to what was not read")
	require.NoError(t, <-drained)
	require.Len(t, gate.awaitArrived(t, 3), 3)
}

// isClosing reports whether the listener has begun to close connections.
func (fixture *fixture) isClosing() bool {
	fixture.listener.mutex.Lock()
	defer fixture.listener.mutex.Unlock()
	return fixture.listener.draining
}

// Guards against Connection: close with a response behind which another request has been passed on.
func TestOnlyTheLastResponseClosesTheConnection(t *testing.T) {
	gate := newGate("/2")
	fixture := newPipelinedFixture(t, pipelinedLimits(), gate.serve)
	caller := fixture.dialPipelined(t)
	caller.send(lookup("/1"), lookup("/2"), lookup("/book/3"))
	gate.awaitArrived(t, 2)
	fixture.handler.Drain(10*clock.Second, 20*clock.Second)
	gate.release("/1", "/book/3")
	require.False(t, caller.requireBody("/1").closes)
	require.False(t, caller.requireBody("/2").closes)
	require.True(t, caller.requireBody("/book/3").closes)
	_, err := caller.receive()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a response that is cut off and looks complete because another one follows it.
func TestCutResponseResetsTheConnection(t *testing.T) {
	cases := []struct {
		name  string
		cut   string
		whole int
	}{
		{"the first", "/1", 0},
		{"the second", "/2", 1},
		{"the last", "/3", 2},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var arrived sync.WaitGroup
			arrived.Add(3)
			fixture := newPipelinedFixture(t, pipelinedLimits(), func(writer http.ResponseWriter, request *http.Request) {
				arrived.Done()
				arrived.Wait()
				if request.URL.Path != testCase.cut {
					_, _ = io.WriteString(writer, request.URL.Path)
					return
				}
				writer.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(writer, "cut")
				_ = http.NewResponseController(writer).Flush()
				panic(http.ErrAbortHandler)
			})
			caller := fixture.dialPipelined(t)
			caller.send(lookup("/1"), lookup("/2"), lookup("/3"))
			whole := 0
			for {
				if _, err := caller.receive(); err != nil {
					break
				}
				whole++
			}
			require.LessOrEqual(t, whole, testCase.whole)
			require.Eventually(t, func() bool { return fixture.handler.InFlight() == 0 }, maxWait, pollInterval)
		})
	}
}

// Guards against requests that are smuggled within or behind one that is rejected.
func TestNothingIsReadBehindARejectedRequest(t *testing.T) {
	cases := []struct {
		name  string
		first string
	}{
		{"space before the colon", "GET /1 HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length : 5\r\n\r\n"},
		{"two lengths", "GET /1 HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n"},
		{"length and chunked", "GET /1 HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"folded length", "GET /1 HTTP/1.1\r\nHost: " + fixtureHost + "\r\nContent-Length: 0\r\n 5\r\n\r\n"},
		{"no host", "GET /1 HTTP/1.1\r\n\r\n"},
		{"last of its connection", "GET /1 HTTP/1.1\r\nHost: " + fixtureHost + "\r\nConnection: close\r\n\r\n"},
		{"old protocol", "GET /1 HTTP/1.0\r\nHost: " + fixtureHost + "\r\n\r\n"},
	}
	for _, testCase := range cases {
		for _, before := range []string{"", lookup("/0")} {
			t.Run(fmt.Sprintf("%s behind %d bytes", testCase.name, len(before)), func(t *testing.T) {
				var reached atomic.Int64
				fixture := newPipelinedFixture(t, pipelinedLimits(), func(_ http.ResponseWriter, request *http.Request) {
					if request.URL.Path == "/smuggled" {
						reached.Add(1)
					}
				})
				caller := fixture.dialPipelined(t)
				caller.send(before, testCase.first, lookup("/smuggled"), lookup("/smuggled"))
				for {
					if _, err := caller.receive(); err != nil {
						break
					}
				}
				require.Eventually(t, func() bool { return fixture.handler.InFlight() == 0 }, maxWait, pollInterval)
				require.Zero(t, reached.Load())
			})
		}
	}
}
