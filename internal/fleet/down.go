package fleet

import (
	"sync/atomic"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// downLogInterval is the shortest interval between two log lines on the backend servers that are down.
const downLogInterval = 500 * clock.Millisecond

// downLog logs how many backend servers of each service are down, and by whose word.
type downLog struct {
	// changed is set when a server has become reachable or unreachable since the last line.
	changed atomic.Bool
	next    clock.Moment
	logged  map[settings.ServiceName]service.DownTargets
}

// setDown sets whether probes of this instance or of another one fail to reach a backend server.
func (controller *Controller) setDown(scheduler *service.Scheduler, name settings.TargetName, down bool, source service.Source) {
	if scheduler.SetDown(name, down, source) {
		controller.downLog.changed.Store(true)
	}
}

// logDown writes the log lines on servers that are down, if there was a change.
func (controller *Controller) logDown(now clock.Moment) {
	if now < controller.downLog.next || !controller.downLog.changed.Swap(false) {
		return
	}
	controller.downLog.next = now.Add(downLogInterval)
	for name, state := range controller.services {
		down := state.scheduler.DownTargets()
		if before := controller.downLog.logged[name]; before.Own == down.Own && before.Reported == down.Reported {
			continue
		}
		controller.downLog.logged[name] = down
		controller.options.Log.Info().Str("service", string(name)).Int("down", down.Own).Int("reportedDown", down.Reported).Int("servers", down.Total).
			Msg("backend servers that are down")
	}
}
