package metrics

import (
	"encoding/json"
	"expvar"
)

// ClassView has the metrics of one class for operators.
type ClassView struct {
	Outcomes        map[string]int64 `json:"outcomes"`
	Retries         int64            `json:"retries"`
	Duration        Quantiles        `json:"whole"`
	Overhead        Quantiles        `json:"added"`
	QueueWait       Quantiles        `json:"queued"`
	AttemptDuration Quantiles        `json:"attempt"`
}

// View has the metrics of an instance for operators: events by name, and classes by "tenant/service/class".
type View struct {
	Events  map[string]int64     `json:"events"`
	Classes map[string]ClassView `json:"classes"`
}

// View returns the current values of all metrics.
func (registry *Registry) View() View {
	view := View{Events: counters(&registry.Events), Classes: map[string]ClassView{}}
	for key, class := range registry.snapshot() {
		view.Classes[key.String()] = ClassView{
			Outcomes: counters(&class.outcomes), Retries: class.retries.Value(),
			Duration: class.Duration.Quantiles(), Overhead: class.Overhead.Quantiles(),
			QueueWait: class.QueueWait.Quantiles(), AttemptDuration: class.AttemptDuration.Quantiles(),
		}
	}
	return view
}

// String implements expvar.Var.
func (registry *Registry) String() string {
	text, err := json.Marshal(registry.View())
	if err != nil {
		return `"unreadable"`
	}
	return string(text)
}

// String returns the key as "tenant/service/class".
func (key ClassKey) String() string {
	return key.Tenant + "/" + string(key.Service) + "/" + string(key.Class)
}

func (registry *Registry) snapshot() map[ClassKey]*Class {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	classes := make(map[ClassKey]*Class, len(registry.classes))
	for key, class := range registry.classes {
		classes[key] = class
	}
	return classes
}

func counters(variables *expvar.Map) map[string]int64 {
	values := map[string]int64{}
	variables.Do(func(entry expvar.KeyValue) {
		if counter, isCounter := entry.Value.(*expvar.Int); isCounter {
			values[entry.Key] = counter.Value()
		}
	})
	return values
}
