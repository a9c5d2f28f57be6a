// Package backendservertest provides a fake backend server for tests: an HTTP server on loopback with slots, a queue and a
// cold start. It can drain, shed load, slow down, fail fast, and report its load late or wrongly, like a real one. It counts
// how often each request ran and how many requests ran at once, so that tests can check a load balancer's guarantees.
//
// # Usage
//
//	server, err := backendservertest.Start(backendservertest.Options{Name: "browsing-1", Slots: 6, ServiceTime: backendservertest.Lognormal(10, 0.5)})
//	defer server.Close()
//	server.SetBehaviour(backendservertest.Behaviour{SlowdownFactor: 10})
//	runs := server.RunsOf("payment-17")
package backendservertest

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Headers, paths and query parameters of the fake.
const (
	// NotRunHeader is the response header which says that the server did not run the request.
	NotRunHeader = "Not-Run"
	// KeyHeader is the request header with the key under which the runs of the request are counted.
	KeyHeader = "Idempotency-Key"
	// LoadPath is the path of the load report.
	LoadPath = "/load"
	// HealthPath is the path of the health check. It responds with status 200, or 503 while the server drains.
	HealthPath = "/health"
	// SizeParameter is the query parameter with the size of the response body, in bytes.
	SizeParameter = "size"
)

// maxCountedKeys is the maximum number of keys whose runs are counted.
const maxCountedKeys = 1 << 20

// overloadSlowdown multiplies the service time of a cold server that has more requests than its concurrency limit.
const overloadSlowdown = 10

// Options configures a Server.
type Options struct {
	Name  string
	Slots int
	// MaxQueued is the maximum number of requests that wait for a slot; further ones are rejected. 0 means 100.
	MaxQueued int
	// ServiceTime returns a random service time for a request; nil means none.
	ServiceTime func(*rand.Rand) clock.Milliseconds
	// ColdLimit is the concurrency limit right after the start. It grows towards Slots during WarmupDuration; afterwards there
	// is no limit. 0 means that there is no cold start.
	ColdLimit      int
	WarmupDuration clock.Milliseconds
	Seed           uint64
	// Run, if set, is called in the slot instead of waiting for ServiceTime.
	Run func(*http.Request)
}

// Behaviour describes the faults that a Server simulates. The zero value has none.
type Behaviour struct {
	// SlowdownFactor multiplies the service time; 0 means 1.
	SlowdownFactor float64
	// FailFast responds immediately with status 500.
	FailFast bool
	// Draining rejects every request as not run.
	Draining bool
	// ReportFrozen repeats the first load report made after it was set.
	ReportFrozen bool
	// ReportZeroLoad reports no load, whatever the actual load is.
	ReportZeroLoad bool
}

// Server is a fake backend server. It is safe for concurrent use.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	slots    chan struct{}

	inFlight    atomic.Int64
	queued      atomic.Int64
	maxInFlight atomic.Int64
	overloads   atomic.Int64
	reports     atomic.Int64
	runs        atomic.Int64
	open        atomic.Int64
	maxOpen     atomic.Int64

	mutex     sync.Mutex
	random    *rand.Rand
	behaviour Behaviour
	started   time.Time
	frozen    *backendserver.Report
	runsByKey map[string]int
}

// Start starts a server on a free port of the loopback interface.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the fake backend server")
	}
	if options.MaxQueued == 0 {
		options.MaxQueued = 100
	}
	server := &Server{
		options: options, listener: listener, slots: make(chan struct{}, options.Slots),
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		started:   time.Now(),
		runsByKey: map[string]int{},
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	server.http = &http.Server{Handler: server, ReadHeaderTimeout: time.Minute, ConnState: server.countConnections, Protocols: protocols}
	go func() { _ = server.http.Serve(listener) }()
	return server, nil
}

// Lognormal returns a function that draws times from a log-normal distribution with the given median, where sigma is the
// standard deviation of the logarithm.
func Lognormal(median clock.Milliseconds, sigma float64) func(*rand.Rand) clock.Milliseconds {
	return func(random *rand.Rand) clock.Milliseconds {
		return median * clock.Milliseconds(math.Exp(sigma*random.NormFloat64()))
	}
}

// Address returns the IP address and port of the server.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Close stops the server and closes all connections to it.
func (server *Server) Close() {
	_ = server.http.Close()
}

// SetBehaviour replaces the simulated faults and discards a frozen report.
func (server *Server) SetBehaviour(behaviour Behaviour) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.behaviour = behaviour
	server.frozen = nil
}

// ResetColdStart makes the server cold, as after a restart under the same address.
func (server *Server) ResetColdStart() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.started = time.Now()
}

// RunsOf returns the number of runs of the request with the given key.
func (server *Server) RunsOf(key string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.runsByKey[key]
}

// Counts holds the counters of a Server. Overloads is the number of requests that ran above the limit of a cold server.
type Counts struct {
	Runs, InFlight, MaxInFlight, Overloads, Reports, MaxConnections int64
}

// Counts returns the current counters.
func (server *Server) Counts() Counts {
	return Counts{
		Runs: server.runs.Load(), InFlight: server.inFlight.Load(), MaxInFlight: server.maxInFlight.Load(),
		Overloads: server.overloads.Load(), Reports: server.reports.Load(), MaxConnections: server.maxOpen.Load(),
	}
}

func (server *Server) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		storeMax(&server.maxOpen, server.open.Add(1))
	case http.StateClosed, http.StateHijacked:
		server.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// storeMax sets maximum to value if value is higher.
func storeMax(maximum *atomic.Int64, value int64) {
	for {
		current := maximum.Load()
		if value <= current || maximum.CompareAndSwap(current, value) {
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case LoadPath:
		server.serveReport(writer)
	case HealthPath:
		if server.currentBehaviour().Draining {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		server.serveRequest(writer, request)
	}
}

func (server *Server) currentBehaviour() Behaviour {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.behaviour
}

func (server *Server) serveRequest(writer http.ResponseWriter, request *http.Request) {
	behaviour := server.currentBehaviour()
	if behaviour.FailFast {
		http.Error(writer, "failing", http.StatusInternalServerError)
		return
	}
	ctx, cancel := requestContext(request)
	defer cancel()
	if behaviour.Draining || !server.acquireSlot(ctx) {
		writer.Header().Set(NotRunHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-server.slots }()
	server.run(ctx, behaviour, request)
	server.respond(writer, request)
}

// requestContext returns the request's context with the timeout from the request header, if there is one.
func requestContext(request *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.Atoi(request.Header.Get(outcome.HeaderTimeout))
	if err != nil {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(milliseconds)*time.Millisecond)
}

// acquireSlot waits for a slot. It returns false if the queue is full or the context ends first.
func (server *Server) acquireSlot(ctx context.Context) bool {
	select {
	case server.slots <- struct{}{}:
		return true
	default:
	}
	defer server.queued.Add(-1)
	if server.queued.Add(1) > int64(server.options.MaxQueued) {
		return false
	}
	select {
	case server.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// run counts the request and waits for its service time, or calls Options.Run instead of waiting.
func (server *Server) run(ctx context.Context, behaviour Behaviour, request *http.Request) {
	inFlight := server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	storeMax(&server.maxInFlight, inFlight)
	server.runs.Add(1)
	serviceTime := server.countRun(request.Header.Get(KeyHeader))
	if behaviour.SlowdownFactor > 0 {
		serviceTime *= clock.Milliseconds(behaviour.SlowdownFactor)
	}
	if inFlight+server.queued.Load() > int64(server.concurrencyLimit()) {
		server.overloads.Add(1)
		serviceTime *= overloadSlowdown
	}
	if server.options.Run != nil {
		server.options.Run(request)
		return
	}
	timer := time.NewTimer(serviceTime.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// countRun counts a run of the request with the given key and returns a service time for it.
func (server *Server) countRun(key string) clock.Milliseconds {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if key != "" && len(server.runsByKey) < maxCountedKeys {
		server.runsByKey[key]++
	}
	if server.options.ServiceTime == nil {
		return 0
	}
	return server.options.ServiceTime(server.random)
}

// concurrencyLimit returns how many requests, running and queued, the server handles without slowing down. There is no limit
// once it is warm.
func (server *Server) concurrencyLimit() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	age := clock.Of(time.Since(server.started))
	if server.options.ColdLimit == 0 || age >= server.options.WarmupDuration {
		return math.MaxInt
	}
	added := float64(server.options.Slots-server.options.ColdLimit) * float64(age/server.options.WarmupDuration)
	return server.options.ColdLimit + int(added)
}

func (server *Server) respond(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Backend-Server", server.options.Name)
	size, err := strconv.Atoi(request.URL.Query().Get(SizeParameter))
	if err != nil {
		size = len(smallResponse)
	}
	writer.Header().Set("Content-Length", strconv.Itoa(size))
	for size > 0 {
		count, err := writer.Write(filler[:min(size, len(filler))])
		if err != nil {
			return
		}
		size -= count
	}
}

const smallResponse = "this response body has 32 bytes\n"

var filler = func() []byte {
	text := make([]byte, 64<<10)
	for index := range text {
		text[index] = smallResponse[index%len(smallResponse)]
	}
	return text
}()

func (server *Server) serveReport(writer http.ResponseWriter) {
	server.reports.Add(1)
	server.mutex.Lock()
	report := server.reportLocked()
	server.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(report)
}

func (server *Server) reportLocked() backendserver.Report {
	if server.frozen != nil {
		return *server.frozen
	}
	report := backendserver.Report{
		StartedMs: server.started.UnixMilli(), InFlight: int(server.inFlight.Load()), Queued: int(server.queued.Load()),
		Draining: server.behaviour.Draining,
	}
	if server.behaviour.ReportZeroLoad {
		report.InFlight, report.Queued = 0, 0
	}
	if server.behaviour.ReportFrozen {
		server.frozen = &report
	}
	return report
}
