// Package metrics has an instance's event counters, and counters and histograms for each class of a tenant's service.
//
// Counters are expvar variables; histograms are HDR histograms shown as quantiles. A Registry is an expvar.Var itself,
// so that a process can publish it and several instances in one process can each have their own.
//
// # Usage
//
//	registry := metrics.NewRegistry()
//	class := registry.Class(metrics.ClassKey{Tenant: "rodopa", Service: "browsing", Class: "list"})
//	class.Duration.Record(12.5)
//	class.Count(outcome.Answered, outcome.ReasonServer)
//	registry.Events.Add("settings.applied", 1)
package metrics

import (
	"expvar"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Histograms hold whole microseconds from 1 to maxMicroseconds, ten minutes, with two significant digits.
const (
	maxMicroseconds      = 10 * 60 * 1000 * 1000
	significantDigits    = 2
	microsecondsPerMilli = 1000
)

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mutex sync.Mutex
	// counts takes 24 KB and is nil until the first value is recorded, since most classes of a large configuration are never
	// used.
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{}
}

// Record adds a duration. A duration outside the range is recorded as the nearest end of the range.
func (histogram *Histogram) Record(length clock.Milliseconds) {
	microseconds := int64(min(max(length*microsecondsPerMilli, 1), maxMicroseconds))
	histogram.mutex.Lock()
	defer histogram.mutex.Unlock()
	if histogram.counts == nil {
		histogram.counts = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	// RecordValue returns an error only for values outside the range.
	_ = histogram.counts.RecordValue(microseconds)
}

// Quantiles has the count, quantiles and maximum of a histogram. Durations are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"mostMs"`
}

// Quantiles returns the quantiles of the recorded durations.
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

// Class has the counters and histograms for one class of one tenant's service.
type Class struct {
	// Duration is the time from a request's arrival to the end of its response.
	Duration *Histogram
	// Overhead is the time from a request's arrival to the start of its response, less queueing and attempts: the latency that
	// the instance itself adds.
	Overhead *Histogram
	// QueueWait is the time spent waiting for a permit, of requests that waited.
	QueueWait *Histogram
	// AttemptDuration is the time from sending a request to a backend server to the start of its response.
	AttemptDuration *Histogram

	outcomes expvar.Map
	retries  expvar.Int
}

// Count counts a request that ended with the outcome and reason.
func (class *Class) Count(result outcome.Outcome, reason outcome.Reason) {
	class.outcomes.Add(string(result)+"."+string(reason), 1)
}

// CountRetry counts a repeated request.
func (class *Class) CountRetry() {
	class.retries.Add(1)
}

// Retries returns the number of repeated requests.
func (class *Class) Retries() int64 {
	return class.retries.Value()
}

// Outcomes returns the number of requests that ended with the outcome and reason.
func (class *Class) Outcomes(result outcome.Outcome, reason outcome.Reason) int64 {
	return EventCount(&class.outcomes, string(result)+"."+string(reason))
}

// ClassKey identifies a class among all tenants and services.
type ClassKey struct {
	Tenant  string
	Service settings.ServiceName
	Class   settings.ClassName
}

// Registry has all metrics of one instance.
type Registry struct {
	// Events counts state changes and rejections that belong to no class.
	Events expvar.Map

	mutex   sync.Mutex
	classes map[ClassKey]*Class
	// retired are the classes that are no longer in use, in the order in which they went out of use.
	retired []ClassKey
}

// maxRetired is the number of classes that are kept after they went out of use. One that has had requests takes 97 KB, and a configuration
// that adds and removes routes names others each time.
const maxRetired = 64

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	registry := &Registry{classes: map[ClassKey]*Class{}}
	registry.Events.Init()
	return registry
}

// Class returns the metrics of a class, and creates them on the first call. They are kept until the process ends, or until SetInUse has left
// them out.
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

// SetInUse states which classes are in use. Of the others, only those are kept that have been in use last. Requests in progress may still
// count for one that is not kept.
func (registry *Registry) SetInUse(inUse map[ClassKey]bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.retired = slices.DeleteFunc(registry.retired, func(key ClassKey) bool { return inUse[key] })
	known := make(map[ClassKey]bool, len(registry.retired))
	for _, key := range registry.retired {
		known[key] = true
	}
	for key := range registry.classes {
		if !inUse[key] && !known[key] {
			registry.retired = append(registry.retired, key)
		}
	}
	if surplus := len(registry.retired) - maxRetired; surplus > 0 {
		for _, key := range registry.retired[:surplus] {
			delete(registry.classes, key)
		}
		registry.retired = slices.Clone(registry.retired[surplus:])
	}
}

// EventCount returns the value of an event counter, 0 if the event has never been counted.
func EventCount(events *expvar.Map, name string) int64 {
	count, counted := events.Get(name).(*expvar.Int)
	if !counted {
		return 0
	}
	return count.Value()
}
