package load

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Histograms hold whole microseconds up to a minute, to three significant digits.
const (
	longestMicroseconds  = 60 * 1000 * 1000
	significantDigits    = 3
	microsecondsPerMilli = 1000
)

// inFlightMost bounds the calls in flight, so that a load on a system that stands still ends. Calls above it count as
// unknown after no time, and are reported.
const inFlightMost = 20000

// Options are what a Generator is made from.
type Options struct {
	Name string
	Mix  Mix
	// Rate is the mean number of calls per second; arrivals are a Poisson process.
	Rate float64
	Seed uint64
	Send Sender
}

// Generator sends calls at times fixed ahead.
type Generator struct {
	options  Options
	random   *rand.Rand
	number   uint64
	inFlight atomic.Int64
	calls    sync.WaitGroup

	mutex    sync.Mutex
	total    *Stats
	progress *Stats
}

// Stats is what was measured of a load.
type Stats struct {
	Answered, NotRun, Unknown int64
	// NotSent counts the calls that were not sent because too many were in flight.
	NotSent int64
	All     *hdrhistogram.Histogram
	Classes map[settings.ClassName]*hdrhistogram.Histogram
}

// NewStats returns a measure of nothing.
func NewStats() *Stats {
	return &Stats{All: newHistogram(), Classes: map[settings.ClassName]*hdrhistogram.Histogram{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestMicroseconds, significantDigits)
}

// Record adds one call. Only answered calls have a latency: a refusal is quick and would flatter the tail.
func (measure *Stats) Record(class settings.ClassName, latency clock.Milliseconds, result outcome.Outcome) {
	switch result {
	case outcome.Answered:
		measure.Answered++
	case outcome.NotRun:
		measure.NotRun++
		return
	case outcome.Unknown:
		measure.Unknown++
		return
	}
	microseconds := min(max(int64(latency*microsecondsPerMilli), 1), longestMicroseconds)
	histogram := measure.Classes[class]
	if histogram == nil {
		histogram = newHistogram()
		measure.Classes[class] = histogram
	}
	// The value lies within the range, so the only error there is can't arise.
	_ = histogram.RecordValue(microseconds)
	_ = measure.All.RecordValue(microseconds)
}

// Merge adds what another measured.
func (measure *Stats) Merge(other *Stats) {
	measure.Answered += other.Answered
	measure.NotRun += other.NotRun
	measure.Unknown += other.Unknown
	measure.NotSent += other.NotSent
	measure.All.Merge(other.All)
	for class, histogram := range other.Classes {
		if measure.Classes[class] == nil {
			measure.Classes[class] = newHistogram()
		}
		measure.Classes[class].Merge(histogram)
	}
}

// NewGenerator returns a generator.
func NewGenerator(options Options) *Generator {
	return &Generator{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 2)),
		total:    NewStats(),
		progress: NewStats(),
	}
}

// Name is the generator's name.
func (generator *Generator) Name() string {
	return generator.options.Name
}

// arrival is a call and when it is to be sent, from the start of the run.
type arrival struct {
	at     time.Duration
	call   *Call
	number uint64
}

// schedule fixes the arrivals of the given length of time.
func (generator *Generator) schedule(length time.Duration) []arrival {
	var arrivals []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(generator.random.ExpFloat64() / generator.options.Rate * float64(time.Second))
		if at >= length {
			return arrivals
		}
		generator.number++
		arrivals = append(arrivals, arrival{at: at, call: generator.options.Mix.pick(generator.random.Float64()), number: generator.number})
	}
}

// Run sends for the given length of time and waits for the answers.
func (generator *Generator) Run(ctx context.Context, length time.Duration) *Stats {
	arrivals := generator.schedule(length)
	start := time.Now()
	for _, arrival := range arrivals {
		waitUntil(start.Add(arrival.at))
		if ctx.Err() != nil {
			break
		}
		generator.begin(ctx, arrival, start.Add(arrival.at))
	}
	generator.calls.Wait()
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return generator.total
}

// coarseSleep is how late the kernel may wake a sleeper; the rest of a wait is spent awake. Otherwise every latency,
// which counts from the scheduled time, would hold up to a millisecond of the load's own.
const coarseSleep = 1500 * time.Microsecond

// waitUntil returns at the given time to within microseconds.
func waitUntil(moment time.Time) {
	if wait := time.Until(moment) - coarseSleep; wait > 0 {
		time.Sleep(wait)
	}
	for time.Now().Before(moment) {
		runtime.Gosched()
	}
}

// RunForever sends until the context ends.
func (generator *Generator) RunForever(ctx context.Context) {
	for ctx.Err() == nil {
		generator.sendSecond(ctx)
	}
	generator.calls.Wait()
}

func (generator *Generator) sendSecond(ctx context.Context) {
	start := time.Now()
	for _, arrival := range generator.schedule(time.Second) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(arrival.at - time.Since(start)):
			generator.begin(ctx, arrival, start.Add(arrival.at))
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second - time.Since(start)):
	}
}

// begin sends one call without waiting for it.
func (generator *Generator) begin(ctx context.Context, arrival arrival, scheduled time.Time) {
	if generator.inFlight.Add(1) > inFlightMost {
		generator.inFlight.Add(-1)
		generator.mutex.Lock()
		generator.total.NotSent++
		generator.mutex.Unlock()
		return
	}
	generator.calls.Go(func() {
		defer generator.inFlight.Add(-1)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		defer cancel()
		result := generator.options.Send(callCtx, arrival.call, arrival.number)
		latency := clock.Of(time.Since(scheduled))
		generator.mutex.Lock()
		defer generator.mutex.Unlock()
		generator.total.Record(arrival.call.Class, latency, result)
		generator.progress.Record(arrival.call.Class, latency, result)
	})
}

// Progress is what has happened since it was taken last.
type Progress struct {
	Calls, Answered, NotRun, Unknown int64
	P50, P99                         float64
}

// TakeProgress returns what has happened since the last call.
func (generator *Generator) TakeProgress() Progress {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	since := generator.progress
	generator.progress = NewStats()
	return Progress{
		Calls:    since.Answered + since.NotRun + since.Unknown,
		Answered: since.Answered, NotRun: since.NotRun, Unknown: since.Unknown,
		P50: quantile(since.All, 50), P99: quantile(since.All, 99),
	}
}

// quantile reads a histogram in milliseconds.
func quantile(histogram *hdrhistogram.Histogram, at float64) float64 {
	return float64(histogram.ValueAtQuantile(at)) / microsecondsPerMilli
}
