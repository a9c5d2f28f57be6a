package metrics

import (
	"encoding/json"
	"expvar"
)

// ClassView is what an operator reads of one class.
type ClassView struct {
	Outcomes        map[string]int64 `json:"outcomes"`
	Retries         int64            `json:"retries"`
	Duration        Quantiles        `json:"whole"`
	Overhead        Quantiles        `json:"added"`
	QueueWait       Quantiles        `json:"queued"`
	AttemptDuration Quantiles        `json:"attempt"`
}

// View is what an operator reads of an instance: events by name, and classes as "tenant/service/class".
type View struct {
	Events  map[string]int64     `json:"events"`
	Classes map[string]ClassView `json:"classes"`
}

// View reads everything.
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

// String writes the key as "tenant/service/class".
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
