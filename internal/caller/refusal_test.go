package caller

import (
	"bufio"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// A rejected request is not sent to any backend server, and its response has the outcome not run and the reason.
func TestRefusals(t *testing.T) {
	ran := func(http.ResponseWriter, *http.Request) { t.Error("a refused request reached a backend server") }
	fixture := newFixture(t, fixtureService(), startBackend(t, ran))
	cases := []struct {
		name, method, host, path, timeout, body string
		status                                  int
		reason                                  outcome.Reason
	}{
		{"unknown host", "GET", "else.example", "/", "", "", 404, outcome.ReasonNoService},
		{"unknown method", "PATCH", fixtureHost, "/payments", "", "", 405, outcome.ReasonNoService},
		{"method at the wrong path", "POST", fixtureHost, "/paymentsx", "", "", 405, outcome.ReasonNoService},
		{"malformed timeout", "GET", fixtureHost, "/", "soon", "", 400, outcome.ReasonBadRequest},
		{"timeout of zero", "GET", fixtureHost, "/", "0", "", 400, outcome.ReasonBadRequest},
		{"path with dot segments", "GET", fixtureHost, "/slots/%2e%2e/payments", "", "", 400, outcome.ReasonBadRequest},
		{"body too large", "GET", fixtureHost, "/", "", strings.Repeat("x", 2000), 413, outcome.ReasonBodyTooLarge},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			request := fixture.newRequest(t, testCase.method, testCase.path, strings.NewReader(testCase.body))
			request.Host = testCase.host
			if testCase.timeout != "" {
				request.Header.Set(outcome.HeaderTimeout, testCase.timeout)
			}
			response := fixture.send(t, request)
			require.Equal(t, testCase.status, response.status)
			require.Equal(t, outcome.NotRun, response.outcome)
			require.Equal(t, testCase.reason, response.reason)
		})
	}
}

// An instance without settings rejects requests with a Retry-After.
func TestNoSettings(t *testing.T) {
	fixture := newFixture(t, fixtureService())
	fixture.table = nil
	response := fixture.send(t, fixture.newRequest(t, http.MethodGet, "/", http.NoBody))
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Equal(t, outcome.NotRun, response.outcome)
	require.Equal(t, outcome.ReasonNoSettings, response.reason)
	require.Equal(t, "1", response.header.Get("Retry-After"))
}

// If all permits are in use and the queue is full, the next request is rejected at once, and a payment, which has a higher
// priority, evicts a queued browse request.
func TestQueueFull(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 100)
	backend := startBackend(t, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	serviceSettings := fixtureService()
	serviceSettings.Queue.Length = 1
	fixture := newFixture(t, serviceSettings, backend)
	results := make(chan response, 10)
	begin := func(method, path string) {
		request := fixture.newRequest(t, method, path, http.NoBody)
		go func() {
			got, err := sendWhole(request)
			if err != nil {
				got.reason = outcome.Reason(err.Error())
			}
			results <- got
		}()
	}
	begin(http.MethodGet, "/")
	begin(http.MethodGet, "/")
	<-arrived
	<-arrived
	begin(http.MethodGet, "/")
	waitUntilQueued(t, fixture, 1)
	refused := fixture.send(t, fixture.newRequest(t, http.MethodGet, "/", http.NoBody))
	require.Equal(t, outcome.ReasonQueueFull, refused.reason)
	require.Equal(t, outcome.NotRun, refused.outcome)
	begin(http.MethodPost, "/payments")
	evicted := <-results
	require.Equal(t, outcome.ReasonQueueFull, evicted.reason)
	close(release)
	for range 3 {
		require.Equal(t, outcome.Answered, (<-results).outcome)
	}
}

func waitUntilQueued(t *testing.T, fixture *fixture, count int) {
	booking, found := fixture.table.Service("booking")
	require.True(t, found)
	require.Eventually(t, func() bool {
		_, waiting := booking.Dispatcher.State()
		return waiting == count
	}, maxWait, pollInterval)
}

// Guards against request smuggling, by which servers that disagree about the end of a request treat a part of its body as another
// request. Every ambiguous request is rejected, and the connection is closed so that nothing after the request is read.
func TestSmugglingShapesRefused(t *testing.T) {
	cases := []struct{ name, text string }{
		{"both lengths", "POST /payments HTTP/1.1\r\nHost: H\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"both lengths, other order and case", "POST /payments HTTP/1.1\r\nHost: H\r\ntransfer-encoding: chunked\r\ncONTENT-lENGTH: 4\r\n\r\n0\r\n\r\n"},
		{"two lengths", "POST /payments HTTP/1.1\r\nHost: H\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"},
		{"length with a sign", "POST /payments HTTP/1.1\r\nHost: H\r\nContent-Length: +4\r\n\r\nabcd"},
		{"unknown encoding", "POST /payments HTTP/1.1\r\nHost: H\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"folded encoding", "POST /payments HTTP/1.1\r\nHost: H\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"},
		{"space before the colon", "POST /payments HTTP/1.1\r\nHost: H\r\nContent-Length : 4\r\n\r\nabcd"},
		{"bad chunk size", "POST /payments HTTP/1.1\r\nHost: H\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n"},
		{"chunk without its end", "POST /payments HTTP/1.1\r\nHost: H\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc0\r\n\r\n"},
		{"two hosts", "GET / HTTP/1.1\r\nHost: H\r\nHost: other\r\n\r\n"},
		{"no host", "GET / HTTP/1.1\r\n\r\n"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var smuggled atomic.Bool
			fixture := newFixture(t, fixtureService(), startBackend(t, func(_ http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				if request.URL.Path == "/smuggled" {
					smuggled.Store(true)
				}
			}))
			connection, err := net.Dial("tcp", fixture.address)
			require.NoError(t, err)
			defer connection.Close()
			_, err = io.WriteString(connection, strings.ReplaceAll(testCase.text, "Host: H", "Host: "+fixtureHost)+
				"GET /smuggled HTTP/1.1\r\nHost: "+fixtureHost+"\r\n\r\n")
			require.NoError(t, err)
			text, err := io.ReadAll(connection)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(text))), nil)
			require.NoError(t, err)
			require.GreaterOrEqual(t, response.StatusCode, 400)
			require.Equal(t, 1, strings.Count(string(text), "HTTP/1.1 "), "only one response: %s", text)
			require.False(t, smuggled.Load())
			refusedHere := strings.Contains(string(text), outcome.HeaderOutcome)
			require.True(t, refusedHere || fixture.registry.View().Events[EventUnfinished] == 1, "the rejection is counted")
		})
	}
}

// Chunked uploads without a Content-Length are accepted, several in succession too.
func TestChunkedUploadsPass(t *testing.T) {
	fixture := newFixture(t, fixtureService(), startBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	}))
	for range 3 {
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, "content-length: 4\r\nas a body")
			writer.Close()
		}()
		response, err := http.DefaultClient.Do(fixture.newRequest(t, http.MethodPost, "/payments", reader))
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, "content-length: 4\r\nas a body", string(text))
	}
}

// A request whose header is too large is rejected.
func TestHeaderFlood(t *testing.T) {
	fixture := newFixture(t, fixtureService())
	request := fixture.newRequest(t, http.MethodGet, "/", http.NoBody)
	request.Header.Set("X-Flood", strings.Repeat("x", 64<<10))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}

// pipeListener accepts in-memory connections, whose time is that of the synctest bubble.
type pipeListener struct {
	connections chan net.Conn
	once        sync.Once
}

// Accept implements net.Listener.
func (pipeListener *pipeListener) Accept() (net.Conn, error) {
	connection, open := <-pipeListener.connections
	if !open {
		return nil, net.ErrClosed
	}
	return connection, nil
}

// Close implements net.Listener.
func (pipeListener *pipeListener) Close() error {
	pipeListener.once.Do(func() { close(pipeListener.connections) })
	return nil
}

// Addr implements net.Listener.
func (pipeListener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against connections that accumulate because their callers send a request's head a byte at a time and never complete it:
// each is closed after the header timeout.
func TestSlowHeadIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := settings.Callers{MaxHeaderSize: 8 << 10, HeaderTimeout: 5000, IdleTimeout: 60000}
		server := NewServer(NewHandler(Options{}), limits, (&expvar.Map{}).Init())
		listener := &pipeListener{connections: make(chan net.Conn)}
		go func() { _ = server.Serve(listener) }()
		client, inside := net.Pipe()
		listener.connections <- inside
		go func() { _, _ = io.Copy(io.Discard, client) }()
		var err error
		for sent := 0; err == nil; sent++ {
			require.Less(t, sent, 100, "the connection is still open after 100 s")
			_, err = client.Write([]byte("G"))
			sleepInBubble()
		}
		require.NoError(t, server.Close())
	})
}

// servePipe starts an instance without reachable backend servers, and returns its server and the caller's end of a connection.
func servePipe(t *testing.T) (*http.Server, net.Conn) {
	fixture := newUnservedFixture(t, fixtureService(), "127.0.0.1:1")
	limits := settings.Callers{MaxHeaderSize: 8 << 10, HeaderTimeout: 5000, IdleTimeout: 60000}
	server := NewServer(fixture.handler, limits, &fixture.registry.Events)
	listener := &pipeListener{connections: make(chan net.Conn)}
	go func() { _ = server.Serve(listener) }()
	client, inside := net.Pipe()
	listener.connections <- inside
	return server, client
}

// Guards against a caller that sends a part of a body, then nothing, and does not disconnect: it must not hold a permit of a backend
// server, nor its connection indefinitely, and a rejection for another reason must not wait for the rest of the body.
func TestStalledBodyIsRefused(t *testing.T) {
	cases := []struct {
		name, host string
		status     int
		reason     outcome.Reason
	}{
		{"payment", fixtureHost, http.StatusBadRequest, outcome.ReasonBodyUnreadable},
		{"payment to an unknown host", "else.example", http.StatusNotFound, outcome.ReasonNoService},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, client := servePipe(t)
				_, err := io.WriteString(client, "POST /payments HTTP/1.1\r\nHost: "+testCase.host+"\r\nContent-Length: 10\r\n\r\nab")
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				require.NoError(t, err)
				require.Equal(t, testCase.status, response.StatusCode)
				require.Equal(t, string(testCase.reason), response.Header.Get(outcome.HeaderReason))
				require.True(t, response.Close, "the connection is closed after the response")
				client.Close()
				require.NoError(t, server.Close())
			})
		})
	}
}

// Guards against a caller that sends its body a byte at a time, each within MaxStall, and so holds its connection indefinitely: at
// the request's deadline the request is rejected as not run, and the caller may retry it.
func TestTricklingBodyEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, client := servePipe(t)
		_, err := io.WriteString(client, "POST /payments HTTP/1.1\r\nHost: "+fixtureHost+"\r\nJaywheel-Timeout-Ms: 2000\r\nContent-Length: 9000\r\n\r\n")
		require.NoError(t, err)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for {
				if _, err := io.WriteString(client, "x"); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
		began := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
		require.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.HeaderOutcome))
		require.Less(t, time.Since(began), 2500*time.Millisecond)
		client.Close()
		<-sent
		require.NoError(t, server.Close())
	})
}

// The addresses response has the serving instances, its TTL and the revision of the settings it comes from.
func TestAddresses(t *testing.T) {
	fixture := newFixture(t, fixtureService())
	response, err := http.Get("http://" + fixture.address + AddressesPath + "?service=booking")
	require.NoError(t, err)
	defer response.Body.Close()
	var got Addresses
	require.NoError(t, json.NewDecoder(response.Body).Decode(&got))
	require.Equal(t, Addresses{
		Service: "booking", TTL: 5000, Revision: 7,
		Addresses: []Address{{Instance: "entry-1", Address: "127.0.0.1:1", DataCentre: "sofia-1"}},
	}, got)
	for path, status := range map[string]int{"?service=none": 404, "": 404} {
		refused, err := http.Get("http://" + fixture.address + AddressesPath + path)
		require.NoError(t, err)
		refused.Body.Close()
		require.Equal(t, status, refused.StatusCode)
	}
}
