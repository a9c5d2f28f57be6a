package fleet

import (
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// consumer is an instance that probes the backend servers it owns and sends to all of them whatever its schedulers let through.
type consumer struct {
	controller *Controller
	jobs       []sensing.Job
	places     []heldPlace
}

type heldPlace struct {
	place service.Place
	until clock.Moment
}

// coldView is a view of which every server is cold.
func coldView(targets, dataCentres int) *catalog.View {
	cold := view(targets, dataCentres)
	for name := range cold.Configuration.Services {
		cold.Configuration.Services[name] = catalog.ServiceLimits{ColdRate: ownedColdRate}
	}
	for index := range cold.Servers {
		cold.Servers[index].ColdFor = clock.Minute
	}
	return cold
}

func (consumer *consumer) probe(now clock.Moment) {
	for _, job := range consumer.jobs {
		reading := service.Reading{At: now, Slots: 2, Slowdown: 1, ColdKnown: true, ColdFor: clock.Minute}
		consumer.controller.Probed(sensing.Result{Service: job.Service, Target: job.Target, Health: sensing.Health{Healthy: true, LoadReading: reading}})
	}
}

// use sends as many requests as the schedulers let through, and returns where they went.
func (consumer *consumer) use(now clock.Moment) []settings.TargetName {
	kept := consumer.places[:0]
	for _, held := range consumer.places {
		if now >= held.until {
			held.place.Release(service.Succeeded)
			continue
		}
		kept = append(kept, held)
	}
	consumer.places = kept
	var sent []settings.TargetName
	if consumer.controller.Table() == nil {
		// A caller comes, and waits for a table.
		consumer.controller.readStale()
	}
	for _, name := range slices.Sorted(maps.Keys(consumer.controller.services)) {
		for range 4 {
			place, ticket, err := consumer.controller.services[name].scheduler.Enter(service.Demand{
				Class: "class-0", Aim: now.Add(clock.Second), Deadline: now.Add(clock.Second),
			})
			if ticket != nil {
				place, err = ticket.GiveUp()
			}
			if err != nil {
				break
			}
			sent = append(sent, place.Target.Name)
			consumer.places = append(consumer.places, heldPlace{place: place, until: now.Add(ownedPause)})
		}
	}
	return sent
}
