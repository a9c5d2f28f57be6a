package fleet

import (
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// ownReading is the latest probe result of an owned target.
type ownReading struct {
	reading service.LoadReading
	down    bool
}

// shareReadings sends the readings of this instance's probes to the other serving instances.
func (controller *Controller) shareReadings(now clock.Moment) {
	if now < controller.nextReadingShare {
		return
	}
	controller.nextReadingShare = now.Add(readingShareInterval)
	controller.latestMutex.Lock()
	latest := controller.latestReadings
	controller.latestReadings = make(map[settings.TargetName]ownReading, len(latest))
	controller.latestMutex.Unlock()
	readings := make([]SharedReading, 0, len(latest))
	for name, own := range latest {
		var steady, period clock.Milliseconds
		if ref, known := controller.targets[keyOf(name)]; known {
			steady, period = controller.services[ref.service].scheduler.SlowdownCycle(name)
		}
		if period > 0 && steady < minSharedValidity && !own.down {
			continue
		}
		readings = append(readings, newSharedReading(keyOf(name), own, steady, period, now))
	}
	for start := 0; start < len(readings); start += maxReadingsPerDatagram {
		message := &Message{Readings: readings[start:min(start+maxReadingsPerDatagram, len(readings))]}
		for _, peer := range controller.members.ServingPeers() {
			controller.send(peer.Address, message)
		}
	}
}
