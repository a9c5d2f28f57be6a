package fleet

import (
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// ownReading is what a probe has just told.
type ownReading struct {
	reading service.LoadReading
	down    bool
}

// shareReadings tells the other serving instances what own probes have read.
func (controller *Controller) shareReadings(now clock.Moment) {
	if now < controller.nextShare {
		return
	}
	controller.nextShare = now.Add(shareEvery)
	controller.latestMutex.Lock()
	latest := controller.latest
	controller.latest = make(map[settings.TargetName]ownReading, len(latest))
	controller.latestMutex.Unlock()
	readings := make([]SharedReading, 0, len(latest))
	for name, own := range latest {
		var steady, period clock.Milliseconds
		if ref, known := controller.targets[keyOf(name)]; known {
			steady, period = controller.services[ref.service].scheduler.SlowdownCycle(name)
		}
		if period > 0 && steady < worthTelling && !own.down {
			continue
		}
		readings = append(readings, share(keyOf(name), own, steady, period, now))
	}
	for start := 0; start < len(readings); start += readingsMost {
		message := &Message{Readings: readings[start:min(start+readingsMost, len(readings))]}
		for _, peer := range controller.members.Peers() {
			controller.send(peer.Address, message)
		}
	}
}
