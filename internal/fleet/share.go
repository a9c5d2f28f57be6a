package fleet

import (
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// minReadingShareInterval is the interval at which load readings are sent to up to maxFrequentSharePeers serving instances. It is a
// tenth of a slowdown interval, so that a reading is valid at the other instances for nearly as long as at its owner.
// maxReadingShareInterval is the interval in a fleet in which many instances serve.
const (
	minReadingShareInterval = 25 * clock.Millisecond
	maxReadingShareInterval = 100 * clock.Millisecond
	maxFrequentSharePeers   = 6
)

// ownReading is the latest probe result of an owned target.
type ownReading struct {
	reading service.LoadReading
	down    bool
}

// shareReadings sends the readings of this instance's probes to the other serving instances.
func (controller *Controller) shareReadings(now clock.Moment) {
	if !controller.sharesLoad() || now < controller.nextReadingShare {
		return
	}
	controller.nextReadingShare = now.Add(controller.readingShareInterval())
	controller.latestMutex.Lock()
	latest := controller.latestReadings
	controller.latestReadings = make(map[settings.TargetName]ownReading, len(latest))
	controller.latestMutex.Unlock()
	readings := make([]SharedReading, 0, len(latest))
	for name, own := range latest {
		if own.reading.ColdUnclear && !own.down {
			continue
		}
		var steady, period clock.Milliseconds
		if ref, known := controller.targets[keyOf(name)]; known {
			if own.down && controller.reach.tracker.Doubtful(ref.service) {
				// The server may be sound, since this instance cannot reach others of the service either.
				continue
			}
			steady, period = controller.services[ref.service].scheduler.SlowdownCycle(name)
		}
		if period > 0 && steady < minSharedValidity && !own.down {
			continue
		}
		readings = append(readings, newSharedReading(keyOf(name), own, steady, period, now))
	}
	for start := 0; start < len(readings); start += maxReadingsPerDatagram {
		controller.sendToServing(&Message{Readings: readings[start:min(start+maxReadingsPerDatagram, len(readings))]})
	}
}

// readingShareInterval returns the interval at which load readings are sent. It grows with the number of serving instances, since
// each sends its readings to all others.
func (controller *Controller) readingShareInterval() clock.Milliseconds {
	factor := float64(len(controller.members.ServingPeers())) / maxFrequentSharePeers
	return min(minReadingShareInterval*clock.Milliseconds(max(factor, 1)), maxReadingShareInterval)
}
