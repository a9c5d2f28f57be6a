package emulate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Experiment describes a site, its load, and the variants that are compared with the same seeds.
type Experiment struct {
	Service Service `json:"service"`
	Classes []Class `json:"classes"`
	// Bursts multiply the arrival rates of all classes for a time.
	Bursts []Burst `json:"bursts,omitempty"`
	// Outages make a part of the targets unavailable for a time.
	Outages []Outage `json:"outages,omitempty"`
	// RateLimits are limits that a part of the targets names for a time.
	RateLimits []RateLimit `json:"limits,omitempty"`
	// Duration is the time during which requests arrive. Requests that start before MeasureFrom are not counted.
	Duration    clock.Milliseconds `json:"length"`
	MeasureFrom clock.Milliseconds `json:"settle"`
	// Rounds is the number of simulations of each variant. Each round uses the next seed.
	Rounds   int       `json:"rounds"`
	Seed     uint64    `json:"seed"`
	Variants []Variant `json:"variants"`
}

// Service describes the backend servers.
type Service struct {
	Targets int `json:"targets"`
	// Slots is the number of requests that a target runs at once, Queue the number that may wait there in addition.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// Above Knee, a fraction of the slots in use, a target is slower by the factor KneeSlowdown; 1 means no knee.
	Knee         float64 `json:"knee"`
	KneeSlowdown float64 `json:"kneeTimes"`
	Noise        Noise   `json:"noise"`
}

// Noise is the effect of other processes on the machine of a target: in each interval the target is slower by the factor
// Slowdown with the probability SlowProbability.
type Noise struct {
	SlowProbability float64            `json:"share"`
	Slowdown        float64            `json:"times"`
	Interval        clock.Milliseconds `json:"every"`
	// FixedAtStart is true if a request keeps the slowdown that its target had when the request started.
	FixedAtStart bool `json:"kept,omitempty"`
}

// Class describes one class of requests.
type Class struct {
	Name settings.ClassName `json:"name"`
	// Rate is the mean number of new requests per second; arrivals are a Poisson process.
	Rate float64 `json:"perSecond"`
	// MeanServiceTime is the mean duration of a request on a target without slowdown, Deviation the standard deviation as a
	// fraction of the mean.
	MeanServiceTime clock.Milliseconds `json:"work"`
	Deviation       float64            `json:"spread"`
	// SoftTimeout is the latency up to which a response counts as in time, Timeout the longest timeout of a caller.
	SoftTimeout clock.Milliseconds `json:"aim"`
	Timeout     clock.Milliseconds `json:"deadline"`
	Priority    settings.Priority  `json:"priority"`
	// MaxRetries is the number of times that a caller retries after a rejection.
	MaxRetries int `json:"returns"`
}

// Burst is a time during which the arrival rates are multiplied by Factor. Start counts from the start of the simulation.
type Burst struct {
	Start    clock.Milliseconds `json:"at"`
	Duration clock.Milliseconds `json:"for"`
	Factor   float64            `json:"times"`
}

// Outage is a time during which a fraction of the targets is unavailable, and the schedulers know it.
type Outage struct {
	Start       clock.Milliseconds `json:"at"`
	Duration    clock.Milliseconds `json:"for"`
	TargetShare float64            `json:"share"`
}

// RateLimit is a time during which a fraction of the targets names a limit in its responses, and responses to probes name it if
// ProbesName is set.
type RateLimit struct {
	Start       clock.Milliseconds `json:"at"`
	Duration    clock.Milliseconds `json:"for"`
	TargetShare float64            `json:"share"`
	// Rate is the limit in requests per second from all instances together.
	Rate       float64 `json:"perSecond"`
	ProbesName bool    `json:"inProbes,omitempty"`
}

// Variant is one configuration of the site's instances.
type Variant struct {
	Name string `json:"name"`
	// Instances is the number of instances that serve the service.
	Instances int `json:"instances"`
	// ReadingDelay is the time that a load reading takes from the owner of a target to another instance.
	ReadingDelay clock.Milliseconds `json:"tellAfter"`
	// ProbesDisabled means that the only load readings are those that come with responses.
	ProbesDisabled bool `json:"blind,omitempty"`
	// ContinuousProbes means that every target is probed all the time, also with ProbesDisabled. With a single instance this is
	// the upper bound of what a policy can know.
	ContinuousProbes bool `json:"knowing,omitempty"`
}

// ErrExperiment means that an experiment is invalid or can't be read.
var ErrExperiment = errors.New("experiment")

// LoadExperiment reads an experiment from a JSON file and checks it. The error is ErrExperiment.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(ErrExperiment, "%v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	experiment := &Experiment{}
	if err := decoder.Decode(experiment); err != nil {
		return nil, errors.Wrapf(ErrExperiment, "%s: %v", path, err)
	}
	return experiment, errors.Wrap(experiment.Check(), path)
}

// Check returns an error for the first field with an invalid value. The error is ErrExperiment.
func (experiment *Experiment) Check() error {
	service := &experiment.Service
	checks := []struct {
		field string
		valid bool
	}{
		{"service.targets", service.Targets > 0},
		{"service.slots", service.Slots > 0},
		{"service.queue", service.Queue >= 0},
		{"service.knee", service.Knee > 0 && service.Knee <= 1},
		{"service.kneeTimes", service.KneeSlowdown >= 1},
		{"service.noise.share", service.Noise.SlowProbability >= 0 && service.Noise.SlowProbability <= 1},
		{"service.noise.times", service.Noise.Slowdown >= 1},
		{"service.noise.every", service.Noise.Interval >= minNoiseInterval},
		{"length", experiment.Duration > experiment.MeasureFrom},
		{"rounds", experiment.Rounds > 0},
		{"classes", len(experiment.Classes) > 0},
		{"variants", len(experiment.Variants) > 0},
	}
	for index := range experiment.Classes {
		class := &experiment.Classes[index]
		checks = append(checks, struct {
			field string
			valid bool
		}{"classes." + string(class.Name), class.valid()})
	}
	for index := range experiment.RateLimits {
		checks = append(checks, struct {
			field string
			valid bool
		}{fmt.Sprintf("limits.%d", index), experiment.RateLimits[index].valid()})
	}
	for _, variant := range experiment.Variants {
		checks = append(checks, struct {
			field string
			valid bool
		}{"variants." + variant.Name + ".instances", variant.Instances > 0})
	}
	for _, check := range checks {
		if !check.valid {
			return errors.Wrapf(ErrExperiment, "%s has an invalid value", check.field)
		}
	}
	return nil
}

func (rateLimit *RateLimit) valid() bool {
	return rateLimit.Rate >= 0 && rateLimit.TargetShare >= 0 && rateLimit.TargetShare <= 1 && rateLimit.Start >= 0 && rateLimit.Duration > 0
}

func (class *Class) valid() bool {
	return class.Name != "" && class.Rate > 0 && class.MeanServiceTime > 0 && class.Deviation >= 0 &&
		class.SoftTimeout > 0 && class.Timeout >= class.SoftTimeout && class.MaxRetries >= 0 &&
		class.Priority >= 0 && class.Priority <= settings.LowestPriority
}

// minNoiseInterval is the shortest allowed noise interval.
const minNoiseInterval = 10 * clock.Millisecond
