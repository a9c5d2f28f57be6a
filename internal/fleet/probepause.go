package fleet

import "github.com/jaywheel/jaywheel/pkg/clock"

// Limits of the processor time for probes, and for the readings that serving instances send each other of them.
const (
	// probeProcessorShare is the share of the processor that probes may use, probeProcessorTime what one probe takes.
	probeProcessorShare = 0.2
	probeProcessorTime  = 0.07 * clock.Millisecond
	// readingProcessorTime is what the receipt of one reading takes (BenchmarkReceiveReadings).
	readingProcessorTime = 0.002 * clock.Millisecond
	// maxScheduledShare is the share of the processor up to which probes are left to their own schedule: they follow the changes of a
	// target's slowdown, and a probe that is put off comes too late for one.
	maxScheduledShare = 0.5
	// minProbePause is the shortest pause to which probes are put off. At a shorter one, their own schedule stays within maxScheduledShare.
	minProbePause = maxScheduledShare / probeProcessorShare * busyProbePause
	// maxProbePause is shorter than the time after which the state of a target counts as unknown.
	maxProbePause = 1200 * clock.Millisecond
)

// setMinProbePause determines the minimum pause between two probes of a target, so that the probes of this instance leave enough processor
// time for requests, here and at the serving instances that receive their readings: an instance that owns hundreds of targets probes each
// of them more rarely, and so does one in a fleet whose smallest serving instance would be busy with the readings of all targets.
func (controller *Controller) setMinProbePause() {
	share := func(processorTime clock.Milliseconds, size int) clock.Milliseconds {
		return processorTime / clock.Milliseconds(probeProcessorShare*float64(size)/millicores)
	}
	self := controller.options.Self
	if self.Size <= 0 {
		return
	}
	probing := clock.Milliseconds(len(controller.owned)) * probeProcessorTime
	receiving := clock.Milliseconds(controller.view.Servers.Len()-len(controller.owned)) * readingProcessorTime
	pause := share(probing+receiving, self.Size)
	for _, identity := range controller.serving {
		if identity.Size > 0 && identity.Name != self.Name {
			pause = max(pause, share(receiving, identity.Size))
		}
	}
	if pause < minProbePause {
		pause = 0
	}
	controller.minProbePause.Store(int64(min(pause, maxProbePause)))
}
