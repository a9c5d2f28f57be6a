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

// loadGenerator is an instance that probes the backend servers it owns and sends as many requests to all servers as its
// schedulers admit.
type loadGenerator struct {
	controller *Controller
	jobs       []sensing.Job
	permits    []heldPermit
}

type heldPermit struct {
	permit service.Permit
	until  clock.Moment
}

// newColdView returns a view in which every server is cold.
func newColdView(targets, dataCentres int) *catalog.View {
	cold := newView(targets, dataCentres)
	for name := range cold.Configuration.Services {
		cold.Configuration.Services[name] = catalog.ServiceLimits{ColdRate: ownedColdRate}
	}
	changeServers(cold, func(server *catalog.Server) { server.ColdFor = clock.Minute })
	return cold
}

func (loadGenerator *loadGenerator) probe(now clock.Moment) {
	for _, job := range loadGenerator.jobs {
		reading := service.LoadReading{At: now, Slots: 2, Slowdown: 1, ColdKnown: true, ColdFor: clock.Minute}
		loadGenerator.controller.RecordProbe(sensing.Result{Service: job.Service, Target: job.Target, Health: sensing.Health{Healthy: true, LoadReading: reading}})
	}
}

// handleEvents executes the queued events of the control goroutine.
func (loadGenerator *loadGenerator) handleEvents() {
	for {
		select {
		case arrived := <-loadGenerator.controller.inbox:
			arrived(loadGenerator.controller)
		default:
			return
		}
	}
}

// sendRequests sends as many requests as the schedulers admit, and returns the servers they were sent to.
func (loadGenerator *loadGenerator) sendRequests(now clock.Moment) []settings.TargetName {
	kept := loadGenerator.permits[:0]
	for _, held := range loadGenerator.permits {
		if now >= held.until {
			held.permit.Release(service.Succeeded)
			continue
		}
		kept = append(kept, held)
	}
	loadGenerator.permits = kept
	var sent []settings.TargetName
	if loadGenerator.controller.Table() == nil {
		// The request of a caller arrives and waits for a table.
		loadGenerator.controller.readStale()
	}
	for _, name := range slices.Sorted(maps.Keys(loadGenerator.controller.services)) {
		for range 4 {
			permit, pendingPermit, err := loadGenerator.controller.services[name].scheduler.AcquireOrEnqueue(service.PermitRequest{
				Class: "class-0", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(clock.Second),
			})
			if pendingPermit != nil {
				permit, err = pendingPermit.Cancel()
			}
			if err != nil {
				break
			}
			sent = append(sent, permit.Target.Name)
			loadGenerator.permits = append(loadGenerator.permits, heldPermit{permit: permit, until: now.Add(ownedInterval)})
		}
	}
	return sent
}
