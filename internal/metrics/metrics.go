// Package metrics counts what an instance does and keeps histograms for each tenant and class.
//
// Counters are expvar variables; histograms are HDR histograms shown as quantiles. A Registry is an expvar.Var itself,
// so that a process can publish it and several instances in one process can each have their own.
//
// # Usage
//
//	registry := metrics.NewRegistry()
//	class := registry.Class("rodopa", "browsing", "list")
//	class.Whole.Record(12.5)
//	class.Count(outcome.Answered, outcome.ReasonServer)
//	registry.Events.Add("settingsApplied", 1)
package metrics

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Histograms hold whole microseconds from 1 to longestMicroseconds, ten minutes, to two significant digits.
const (
	longestMicroseconds  = 10 * 60 * 1000 * 1000
	significantDigits    = 2
	microsecondsPerMilli = 1000
)

// Histogram records lengths of time. It is safe for concurrent use.
type Histogram struct {
	mutex sync.Mutex
	// counts takes 24 KB, and is nil until something is recorded: most classes of a large configuration are never used.
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{}
}

// Record adds a length; one beyond the range counts as the end of the range.
func (histogram *Histogram) Record(length clock.Milliseconds) {
	microseconds := min(max(int64(length*microsecondsPerMilli), 1), longestMicroseconds)
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	if histogram.counts == nil {
		histogram.counts = hdrhistogram.New(1, longestMicroseconds, significantDigits)
	}
	// The value lies within the range, so the only error there is can't arise.
	_ = histogram.counts.RecordValue(microseconds)
}

// Quantiles are what a histogram shows, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"mostMs"`
}

// Quantiles reads the histogram.
func (histogram *Histogram) Quantiles() Quantiles {
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	if histogram.counts == nil {
		return Quantiles{}
	}
	at := func(quantile float64) float64 {
		return float64(histogram.counts.ValueAtQuantile(quantile)) / microsecondsPerMilli
	}
	return Quantiles{
		Count: histogram.counts.TotalCount(),
		P50:   at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(histogram.counts.Max()) / microsecondsPerMilli,
	}
}

// Class holds what is counted and measured for one class of one tenant's service.
type Class struct {
	// Duration is the time from a request's arrival to the end of its answer.
	Duration *Histogram
	// Overhead is the time to the start of the answer, less queueing and attempts: what the instance itself costs.
	Overhead *Histogram
	// QueueWait is the time spent waiting for a place, of requests that waited.
	QueueWait *Histogram
	// AttemptDuration is the time from sending to a backend server until its answer starts.
	AttemptDuration *Histogram

	outcomes expvar.Map
	retries  expvar.Int
}

// Count counts the end of one request.
func (class *Class) Count(result outcome.Outcome, reason outcome.Reason) {
	class.outcomes.Add(string(result)+"."+string(reason), 1)
}

// CountRetry counts a request sent again.
func (class *Class) CountRetry() {
	class.retries.Add(1)
}

// Retries returns the number of requests sent again.
func (class *Class) Retries() int64 {
	return class.retries.Value()
}

// Outcomes returns how often a request ended so.
func (class *Class) Outcomes(result outcome.Outcome, reason outcome.Reason) int64 {
	counter, counted := class.outcomes.Get(string(result) + "." + string(reason)).(*expvar.Int)
	if !counted {
		return 0
	}
	return counter.Value()
}

// ClassKey names a class over all services.
type ClassKey struct {
	Tenant  string
	Service settings.ServiceName
	Class   settings.ClassName
}

// Registry holds everything that one instance counts.
type Registry struct {
	// Events counts changes of state and refusals that belong to no class.
	Events expvar.Map

	mutex   sync.Mutex
	classes map[ClassKey]*Class
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	registry := &Registry{classes: map[ClassKey]*Class{}}
	registry.Events.Init()
	return registry
}

// Class returns the measures of a class, which are kept for as long as the process runs.
func (registry *Registry) Class(key ClassKey) *Class {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if found, known := registry.classes[key]; known {
		return found
	}
	made := &Class{Duration: NewHistogram(), Overhead: NewHistogram(), QueueWait: NewHistogram(), AttemptDuration: NewHistogram()}
	made.outcomes.Init()
	registry.classes[key] = made
	return made
}
