// Package backendservertest has a stand-in for a backend server: an HTTP server on loopback with slots, a queue, a cold
// start, and the ways in which a real one drains, sheds, slows down, fails fast and reports its load late or wrongly.
// It counts what a balancer promises about: how often each request ran, and how many ran at once.
//
// # Usage
//
//	server, err := backendservertest.Start(backendservertest.Options{Name: "browsing-1", Slots: 6, ServiceTime: backendservertest.Lognormal(10, 0.5)})
//	defer server.Close()
//	server.SetBehaviour(backendservertest.Behaviour{SlowBy: 10})
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

// Headers and paths of the stand-in.
const (
	// NotRunHeader tells that the server did not run the request.
	NotRunHeader = "Not-Run"
	// KeyHeader names the request whose runs are counted.
	KeyHeader = "Idempotency-Key"
	// LoadPath is where the load report is read.
	LoadPath = "/load"
	// HealthPath answers 200 unless the server drains.
	HealthPath = "/health"
	// SizeParameter asks for an answer of so many bytes.
	SizeParameter = "size"
)

// keysCounted bounds how many keys' runs are remembered.
const keysCounted = 1 << 20

// overrunSlowdown is how much slower a cold server gets when it is given more than it bears.
const overrunSlowdown = 10

// Options are what a stand-in is made from.
type Options struct {
	Name  string
	Slots int
	// MaxQueued is how many requests wait for a slot before others are refused; 0 stands for 100.
	MaxQueued int
	// ServiceTime draws how long a request runs; nil stands for no time at all.
	ServiceTime func(*rand.Rand) clock.Milliseconds
	// ColdLimit is how many requests it bears when it has just started, and FullAfter when it bears all.
	ColdLimit      int
	WarmupDuration clock.Milliseconds
	Seed           uint64
	// Run, when set, is called in the slot in place of waiting for ServiceTime.
	Run func(*http.Request)
}

// Behaviour is how a stand-in departs from working well.
type Behaviour struct {
	// SlowdownFactor multiplies the service time; 0 stands for 1.
	SlowdownFactor float64
	// FailFast answers 500 at once.
	FailFast bool
	// Draining refuses every request as not run.
	Draining bool
	// ReportFrozen repeats the report that was made first after it was set.
	ReportFrozen bool
	// ReportZeroLoad reports no load whatever there is.
	ReportZeroLoad bool
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	slots    chan struct{}

	inFlight atomic.Int64
	queued   atomic.Int64
	mostIn   atomic.Int64
	overruns atomic.Int64
	reports  atomic.Int64
	runs     atomic.Int64
	open     atomic.Int64
	mostOpen atomic.Int64

	mutex     sync.Mutex
	random    *rand.Rand
	behaviour Behaviour
	started   time.Time
	frozen    *backendserver.Report
	runsByKey map[string]int
}

// Start listens on a free port of the loopback interface.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "stand-in of a backend server")
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

// Lognormal draws times with the given median and spread of the logarithm.
func Lognormal(median clock.Milliseconds, sigma float64) func(*rand.Rand) clock.Milliseconds {
	return func(random *rand.Rand) clock.Milliseconds {
		return median * clock.Milliseconds(math.Exp(sigma*random.NormFloat64()))
	}
}

// Address is its IP number and port.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Close ends it and every connection to it.
func (server *Server) Close() {
	_ = server.http.Close()
}

// SetBehaviour changes how it behaves.
func (server *Server) SetBehaviour(behaviour Behaviour) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.behaviour = behaviour
	server.frozen = nil
}

// ResetColdStart makes it cold, as after a restart under the same address.
func (server *Server) ResetColdStart() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.started = time.Now()
}

// RunsOf returns how often the request with the given key ran.
func (server *Server) RunsOf(key string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.runsByKey[key]
}

// Counts are what the stand-in has counted.
type Counts struct {
	Runs, InFlight, MaxInFlight, Overloads, Reports, MaxConnections int64
}

// Counts returns what it has counted so far.
func (server *Server) Counts() Counts {
	return Counts{
		Runs: server.runs.Load(), InFlight: server.inFlight.Load(), MaxInFlight: server.mostIn.Load(),
		Overloads: server.overruns.Load(), Reports: server.reports.Load(), MaxConnections: server.mostOpen.Load(),
	}
}

func (server *Server) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		raise(&server.mostOpen, server.open.Add(1))
	case http.StateClosed, http.StateHijacked:
		server.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// raise sets highest to value if it is higher.
func raise(highest *atomic.Int64, value int64) {
	for {
		before := highest.Load()
		if value <= before || highest.CompareAndSwap(before, value) {
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
		if server.now().Draining {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		server.serveRequest(writer, request)
	}
}

func (server *Server) now() Behaviour {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.behaviour
}

func (server *Server) serveRequest(writer http.ResponseWriter, request *http.Request) {
	behaviour := server.now()
	if behaviour.FailFast {
		http.Error(writer, "failing", http.StatusInternalServerError)
		return
	}
	ctx, cancel := deadlineOf(request)
	defer cancel()
	if behaviour.Draining || !server.takeSlot(ctx) {
		writer.Header().Set(NotRunHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-server.slots }()
	server.run(ctx, behaviour, request)
	server.answer(writer, request)
}

// deadlineOf reads the time that the request's sender gives it.
func deadlineOf(request *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.Atoi(request.Header.Get(outcome.HeaderTimeout))
	if err != nil {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(milliseconds)*time.Millisecond)
}

// takeSlot waits for a slot, unless the queue is full or nobody waits for the answer any more.
func (server *Server) takeSlot(ctx context.Context) bool {
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

// run does the work, which here is to count it and to take its time.
func (server *Server) run(ctx context.Context, behaviour Behaviour, request *http.Request) {
	inFlight := server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	raise(&server.mostIn, inFlight)
	server.runs.Add(1)
	length := server.countRun(request.Header.Get(KeyHeader))
	if behaviour.SlowdownFactor > 0 {
		length *= clock.Milliseconds(behaviour.SlowdownFactor)
	}
	if inFlight+server.queued.Load() > int64(server.bears()) {
		server.overruns.Add(1)
		length *= overrunSlowdown
	}
	if server.options.Run != nil {
		server.options.Run(request)
		return
	}
	timer := time.NewTimer(length.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// countRun counts a run and draws its time.
func (server *Server) countRun(key string) clock.Milliseconds {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if key != "" && len(server.runsByKey) < keysCounted {
		server.runsByKey[key]++
	}
	if server.options.ServiceTime == nil {
		return 0
	}
	return server.options.ServiceTime(server.random)
}

// bears is how many requests, running and waiting, it bears now without falling over. Once warm it bears any number.
func (server *Server) bears() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	age := clock.Of(time.Since(server.started))
	if server.options.ColdLimit == 0 || age >= server.options.WarmupDuration {
		return math.MaxInt
	}
	grown := float64(server.options.Slots-server.options.ColdLimit) * float64(age/server.options.WarmupDuration)
	return server.options.ColdLimit + int(grown)
}

func (server *Server) answer(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Backend-Server", server.options.Name)
	size, err := strconv.Atoi(request.URL.Query().Get(SizeParameter))
	if err != nil {
		size = len(smallAnswer)
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

const smallAnswer = "a small answer of 32 bytes here\n"

var filler = func() []byte {
	text := make([]byte, 64<<10)
	for index := range text {
		text[index] = smallAnswer[index%len(smallAnswer)]
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
