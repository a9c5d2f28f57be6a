// Package sensing probes the backend servers that this instance owns: it measures their slowdown, load and warm-up often enough that
// the result is still valid when the next request is assigned.
//
// One instance probes a target and shares the result with the others, so the cost of probing does not grow with the fleet. Targets of an
// idle service are probed rarely, as no request is about to be assigned to one.
//
// # Usage
//
//	prober := sensing.NewProber(sensing.Options{Send: servers.Send, Read: platform.ParseProbeResponse, Deliver: controller.RecordProbe, ...})
//	go prober.Serve(ctx)
//	prober.Set(jobs)
package sensing

import (
	"context"
	"expvar"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Intervals and timeouts of probing.
const (
	// probeTimeout bounds one probe. A target responds in some 10 ms even when it is full; 200 ms without a response mean that the
	// target, its connection or its link has failed.
	probeTimeout = 200 * clock.Millisecond
	// downThreshold is the number of consecutive failed probes after which a target counts as down.
	downThreshold = 2
	// notDuePause is the time between two checks whether a target that was not due is due now.
	notDuePause = 100 * clock.Millisecond
	// downPause is the minimum pause between two probes of a target that is down.
	downPause = 250 * clock.Millisecond
	// firstProbeTime is the processor time of a probe on a new connection: 0.16 ms to connect and 0.07 ms for the probe.
	firstProbeTime = 0.23 * clock.Millisecond
	// maxProcessorShare is the share of the processor time within probeTimeout that all probes in progress may need.
	maxProcessorShare = 0.5
)

// MaxConcurrent returns the number of probes that an instance with the given number of processors can have in progress, so that all of
// them end in time.
func MaxConcurrent(processors float64) int {
	return max(int(maxProcessorShare*processors*float64(probeTimeout/firstProbeTime)), 1)
}

// Event names of probing.
const (
	EventProbed = "probe.answered"
	EventFailed = "probe.failed"
)

// errWrongServer means that another server has the target's address.
var errWrongServer = errors.New("another backend server responded at the address")

// Health is a target's response to a probe.
type Health struct {
	// Target is the name of the server that responded, empty when the response does not contain it.
	Target  settings.TargetName
	Healthy bool
	// NotRun is whether the target rejected the probe because it is full.
	NotRun      bool
	LoadReading service.LoadReading
	Statement   service.Statement
}

// Job is a target to probe.
type Job struct {
	Service settings.ServiceName
	Target  settings.TargetName
	// Started is the start time of the target's process.
	Started int64
	Address string
	Path    string
	// Due reports whether the target should be probed at present; nil means always.
	Due func() bool
	// Pause returns the time until the next probe.
	Pause func() clock.Milliseconds
}

// sameTarget reports whether two jobs probe the same process in the same way.
func (job *Job) sameTarget(other *Job) bool {
	return job.Path == other.Path && job.Address == other.Address && job.Service == other.Service && job.Started == other.Started
}

// Result is the outcome of a probe.
type Result struct {
	Service settings.ServiceName
	Target  settings.TargetName
	Started int64
	Health  Health
	// Down is whether at least downThreshold consecutive probes failed.
	Down bool
	// Verification is whether the result is of Verify rather than of a job.
	Verification bool
	Err          error
}

// Options configures a Prober.
type Options struct {
	// Send sends the probe of a target; the last argument is whether it needs a fresh connection.
	Send func(context.Context, settings.TargetName, *http.Request, bool) (*backendserver.Exchange, error)
	// Read parses the response to a probe. It returns an error if the response does not belong to the probe.
	Read func(*http.Response) (Health, error)
	// Deliver receives the result of each probe, on the goroutine of the probed target.
	Deliver func(Result)
	// MaxConcurrent is the maximum number of probes in progress, 0 for no limit. All others wait, and their time limit begins later. Without
	// a limit, a small instance that begins to probe hundreds of targets completes no probe in time, gives up all connections, and begins
	// again.
	MaxConcurrent int
	// Guard recovers panics of probes and of the functions above; nil lets them pass.
	Guard  *supervisor.Guard
	Clock  *clock.Clock
	Events *expvar.Map
}

// Prober probes targets, each in its own goroutine.
type Prober struct {
	options Options

	mutex   sync.Mutex
	context context.Context
	running map[settings.TargetName]*runningJob
	group   sync.WaitGroup
	// slots holds an element for each probe in progress, nil if their number is not limited.
	slots chan struct{}
}

type runningJob struct {
	job    Job
	cancel context.CancelFunc
}

// NewProber returns a prober without jobs.
func NewProber(options Options) *Prober {
	prober := &Prober{options: options, running: map[settings.TargetName]*runningJob{}}
	if options.MaxConcurrent > 0 {
		prober.slots = make(chan struct{}, options.MaxConcurrent)
	}
	return prober
}

// acquireSlot waits until another probe may be in progress. The error is that of the context.
func (prober *Prober) acquireSlot(ctx context.Context) error {
	if prober.slots == nil {
		return nil
	}
	select {
	case prober.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (prober *Prober) releaseSlot() {
	if prober.slots != nil {
		<-prober.slots
	}
}

// Serve runs the jobs until the context ends.
func (prober *Prober) Serve(ctx context.Context) error {
	prober.mutex.Lock()
	prober.context = ctx
	for _, entry := range prober.running {
		prober.start(entry)
	}
	prober.mutex.Unlock()
	<-ctx.Done()
	prober.mutex.Lock()
	prober.context = nil
	prober.mutex.Unlock()
	prober.group.Wait()
	return ctx.Err()
}

// Set replaces the jobs. Unchanged jobs continue without interruption.
func (prober *Prober) Set(jobs []Job) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	wanted := make(map[settings.TargetName]Job, len(jobs))
	for _, job := range jobs {
		wanted[job.Target] = job
	}
	for name, entry := range prober.running {
		job, kept := wanted[name]
		if kept && job.sameTarget(&entry.job) {
			delete(wanted, name)
			continue
		}
		if entry.cancel != nil {
			entry.cancel()
		}
		delete(prober.running, name)
	}
	for name, job := range wanted {
		entry := &runningJob{job: job}
		prober.running[name] = entry
		if prober.context != nil {
			prober.start(entry)
		}
	}
}

func (prober *Prober) start(entry *runningJob) {
	ctx, cancel := context.WithCancel(prober.context)
	entry.cancel = cancel
	job := entry.job
	prober.group.Go(func() { prober.probeLoop(ctx, job) })
}

// probeLoop probes one target until the context ends.
func (prober *Prober) probeLoop(ctx context.Context, job Job) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		pause := downPause
		_ = prober.options.Guard.Run("probes of a target", func() { pause = prober.probeIfDue(ctx, job, &failures) })
		timer.Reset(pause.Duration())
	}
}

// probeIfDue probes a target if that is due, and returns the pause until the next call.
func (prober *Prober) probeIfDue(ctx context.Context, job Job, failures *int) clock.Milliseconds {
	if job.Due != nil && !job.Due() {
		return notDuePause
	}
	health, err := prober.probe(ctx, job)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		prober.options.Events.Add(EventFailed, 1)
		*failures++
	} else {
		prober.options.Events.Add(EventProbed, 1)
		*failures = 0
	}
	down := *failures >= downThreshold
	pause := job.Pause()
	if down {
		pause = max(pause, downPause)
	}
	prober.options.Deliver(Result{Service: job.Service, Target: job.Target, Started: job.Started, Health: health, Down: down, Err: err})
	return pause
}

// Verify probes the target of a job once, without blocking.
func (prober *Prober) Verify(job Job) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	if prober.context == nil {
		return
	}
	ctx := prober.context
	prober.group.Go(prober.options.Guard.Func("verification", func() {
		health, err := prober.probe(ctx, job)
		event := EventProbed
		if err != nil {
			event = EventFailed
		}
		prober.options.Events.Add(event, 1)
		if ctx.Err() == nil {
			prober.options.Deliver(Result{Service: job.Service, Target: job.Target, Started: job.Started, Health: health, Verification: true, Err: err})
		}
	}))
}

// probe probes a target once. A panic counts as a failed probe.
func (prober *Prober) probe(ctx context.Context, job Job) (health Health, err error) {
	if panicError := prober.options.Guard.Run("probe", func() { health, err = prober.probeOnce(ctx, job) }); panicError != nil {
		return Health{}, panicError
	}
	return health, err
}

func (prober *Prober) probeOnce(ctx context.Context, job Job) (Health, error) {
	if err := prober.acquireSlot(ctx); err != nil {
		return Health{}, err
	}
	defer prober.releaseSlot()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: job.Address, Path: job.Path}, Host: job.Address,
		Header: http.Header{"User-Agent": nil}, Body: http.NoBody, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	sent := prober.options.Clock.Now()
	exchange, err := prober.options.Send(ctx, job.Target, request, false)
	if err != nil {
		return Health{}, err
	}
	defer exchange.Close()
	// The connection is closed unless the response is read to its end: after one that belongs to something else, that of the probe follows.
	health, err := prober.options.Read(exchange.Response)
	if err != nil {
		return Health{}, err
	}
	if health.Target != "" && health.Target != job.Target {
		return health, errWrongServer
	}
	health.LoadReading.At = prober.options.Clock.Now()
	health.Statement.At = health.LoadReading.At
	if err := drain(exchange); err != nil {
		return health, err
	}
	if prober.options.Clock.Now().Since(sent) > probeTimeout {
		// This process stood still or had no processor time. The target can be reached, but may have become cold since it responded.
		health.LoadReading.ColdKnown, health.LoadReading.ColdUnclear = false, true
	}
	return health, nil
}

// probeBufferSize is the size of the buffer for the body of a probe's response, in bytes.
const probeBufferSize = 4 << 10

// drain reads the response to its end. Otherwise its connection could not be used again.
func drain(exchange *backendserver.Exchange) error {
	var buffer [probeBufferSize]byte
	for !exchange.FullyRead() {
		if _, err := exchange.Read(buffer[:]); err != nil && !exchange.FullyRead() {
			return err
		}
	}
	return nil
}
