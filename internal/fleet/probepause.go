package fleet

import "github.com/jaywheel/jaywheel/pkg/clock"

// Limits of the processor time for probes.
const (
	// probeProcessorShare is the share of the processor that probes may use, probeProcessorTime what one probe takes.
	probeProcessorShare = 0.2
	probeProcessorTime  = 0.07 * clock.Millisecond
	// maxScheduledShare is the share of the processor up to which probes are left to their own schedule: they follow the changes of a
	// target's slowdown, and a probe that is put off comes too late for one.
	maxScheduledShare = 0.5
	// minProbePause is the shortest pause to which probes are put off. At a shorter one, their own schedule stays within maxScheduledShare.
	minProbePause = maxScheduledShare / probeProcessorShare * busyProbePause
	// maxProbePause is shorter than the time after which the state of a target counts as unknown.
	maxProbePause = 1200 * clock.Millisecond
)

// setMinProbePause determines the minimum pause between two probes of a target: an instance that owns hundreds of targets probes each
// of them more rarely.
func (controller *Controller) setMinProbePause() {
	available := probeProcessorShare * float64(controller.options.Self.Size) / millicores
	if available <= 0 {
		return
	}
	pause := clock.Milliseconds(float64(len(controller.owned))/available) * probeProcessorTime
	if pause < minProbePause {
		pause = 0
	}
	controller.minProbePause.Store(int64(min(pause, maxProbePause)))
}
