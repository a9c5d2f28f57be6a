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

// Histograms record microseconds up to one minute, with three significant digits.
const (
	maxMicroseconds      = 60 * 1000 * 1000
	significantDigits    = 3
	microsecondsPerMilli = 1000
)

// maxInFlight limits the calls in flight, so that a run against a stalled system ends. Calls above the limit are not sent and are
// counted in Stats.NotSent.
const maxInFlight = 20000

// Options configures a Generator.
type Options struct {
	Name string
	Mix  Mix
	// Rate is the mean number of calls per second; arrivals are a Poisson process.
	Rate float64
	Seed uint64
	Send Sender
}

// Generator sends calls at times computed in advance.
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

// Stats contains the measurements of a load.
type Stats struct {
	Answered, NotRun, Unknown int64
	// NotSent counts the calls that were not sent because too many were in flight.
	NotSent int64
	All     *hdrhistogram.Histogram
	Classes map[settings.ClassName]*hdrhistogram.Histogram
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{All: newHistogram(), Classes: map[settings.ClassName]*hdrhistogram.Histogram{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

// Record adds one call. Only the latency of answered calls is recorded: rejections are fast and would make the tail look better.
func (stats *Stats) Record(class settings.ClassName, latency clock.Milliseconds, result outcome.Outcome) {
	switch result {
	case outcome.Answered:
		stats.Answered++
	case outcome.NotRun:
		stats.NotRun++
		return
	case outcome.Unknown:
		stats.Unknown++
		return
	}
	microseconds := min(max(int64(latency*microsecondsPerMilli), 1), maxMicroseconds)
	histogram := stats.Classes[class]
	if histogram == nil {
		histogram = newHistogram()
		stats.Classes[class] = histogram
	}
	// RecordValue fails only for a value outside the range of the histogram.
	_ = histogram.RecordValue(microseconds)
	_ = stats.All.RecordValue(microseconds)
}

// Merge adds the measurements of other.
func (stats *Stats) Merge(other *Stats) {
	stats.Answered += other.Answered
	stats.NotRun += other.NotRun
	stats.Unknown += other.Unknown
	stats.NotSent += other.NotSent
	stats.All.Merge(other.All)
	for class, histogram := range other.Classes {
		if stats.Classes[class] == nil {
			stats.Classes[class] = newHistogram()
		}
		stats.Classes[class].Merge(histogram)
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

// Name returns the name of the generator.
func (generator *Generator) Name() string {
	return generator.options.Name
}

// arrival is a call and its scheduled time, counted from the start of the run.
type arrival struct {
	at     time.Duration
	call   *Call
	number uint64
}

// schedule computes the arrivals of the given duration.
func (generator *Generator) schedule(duration time.Duration) []arrival {
	var arrivals []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(generator.random.ExpFloat64() / generator.options.Rate * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		generator.number++
		arrivals = append(arrivals, arrival{at: at, call: generator.options.Mix.pick(generator.random.Float64()), number: generator.number})
	}
}

// Run sends calls for the given duration and waits for their responses.
func (generator *Generator) Run(ctx context.Context, duration time.Duration) *Stats {
	arrivals := generator.schedule(duration)
	start := time.Now()
	for _, arrival := range arrivals {
		waitUntil(start.Add(arrival.at))
		if ctx.Err() != nil {
			break
		}
		generator.startCall(ctx, arrival, start.Add(arrival.at))
	}
	generator.calls.Wait()
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return generator.total
}

// wakeUpMargin is the delay with which the kernel may wake a sleeping thread; that part of a wait is a busy loop. Otherwise each
// latency, which is measured from the scheduled time, would include up to a millisecond of the generator's own delay.
const wakeUpMargin = 1500 * time.Microsecond

// waitUntil returns at the given time, with a precision of microseconds.
func waitUntil(moment time.Time) {
	if wait := time.Until(moment) - wakeUpMargin; wait > 0 {
		time.Sleep(wait)
	}
	for time.Now().Before(moment) {
		runtime.Gosched()
	}
}

// RunForever sends calls until the context ends and waits for their responses.
func (generator *Generator) RunForever(ctx context.Context) {
	for ctx.Err() == nil {
		generator.sendOneSecond(ctx)
	}
	generator.calls.Wait()
}

func (generator *Generator) sendOneSecond(ctx context.Context) {
	start := time.Now()
	for _, arrival := range generator.schedule(time.Second) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(arrival.at - time.Since(start)):
			generator.startCall(ctx, arrival, start.Add(arrival.at))
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second - time.Since(start)):
	}
}

// startCall sends one call in the background. Its latency is measured from the scheduled time.
func (generator *Generator) startCall(ctx context.Context, arrival arrival, scheduled time.Time) {
	if generator.inFlight.Add(1) > maxInFlight {
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

// Progress contains the numbers of calls by outcome and the latency quantiles, in milliseconds, since the last TakeProgress.
type Progress struct {
	Calls, Answered, NotRun, Unknown int64
	P50, P99                         float64
}

// TakeProgress returns the progress since the last call of TakeProgress, and resets it.
func (generator *Generator) TakeProgress() Progress {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	progress := generator.progress
	generator.progress = NewStats()
	return Progress{
		Calls:    progress.Answered + progress.NotRun + progress.Unknown,
		Answered: progress.Answered, NotRun: progress.NotRun, Unknown: progress.Unknown,
		P50: quantile(progress.All, 50), P99: quantile(progress.All, 99),
	}
}

// quantile returns a quantile of a histogram, given in percent, in milliseconds.
func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsecondsPerMilli
}
