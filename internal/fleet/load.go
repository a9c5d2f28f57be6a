package fleet

import (
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Parameters of measuring the load of this instance.
const (
	loadSampleInterval = 250 * clock.Millisecond
	// loadSamples is the number of intervals over which processor time is averaged.
	loadSamples = 4
	// minLateness is the delay of a tick from which work waits for the processor. With a processor quota, a tick may be delayed by
	// nearly a quota period without that.
	minLateness = 120 * clock.Millisecond
	// millicores is the size of an instance with one core.
	millicores = 1000
)

// loadSample is what was measured in one interval.
type loadSample struct {
	length, processor, lateness clock.Milliseconds
	sent                        int64
}

// ConnectionUse is how many connections of callers an instance has open.
type ConnectionUse struct {
	// Open is the number of open connections, Active the number of those on which a request is being handled.
	Open   int `json:"open"`
	Active int `json:"active"`
	// Limit is the number of connections that may be open before requests are refused.
	Limit int `json:"limit"`
	// Refused is the number of requests refused and connections closed at once since the start, because too many were open.
	Refused int64 `json:"refused"`
}

// utilization returns the part of the connections that is in use. Idle ones do not count, since they are closed for others.
func (connectionUse ConnectionUse) utilization() float64 {
	if connectionUse.Limit <= 0 {
		return 0
	}
	return float64(connectionUse.Active) / float64(connectionUse.Limit)
}

// loadMeter measures how much of its processor, of its link and of its connections this instance uses, and whether work waits for the
// processor.
type loadMeter struct {
	// capacity is the part of a core that the instance may use.
	capacity      float64
	processorTime func() clock.Milliseconds
	// linkRate is the number of bytes per millisecond that the link carries, 0 if it is not known.
	linkRate  float64
	sentBytes func() int64
	// connections is how many connections of callers were open at the end of the last interval.
	connections   ConnectionUse
	samples       [loadSamples]loadSample
	position      int
	lastSample    clock.Moment
	lastProcessor clock.Milliseconds
	lastSent      int64
	lateness      clock.Milliseconds
}

func newLoadMeter(options Options) loadMeter {
	meter := loadMeter{capacity: float64(options.Self.Size) / millicores, processorTime: options.ProcessorTime, linkRate: options.LinkRate, sentBytes: options.SentBytes}
	if meter.processorTime == nil {
		meter.processorTime = func() clock.Milliseconds { return 0 }
	}
	if meter.sentBytes == nil {
		meter.sentBytes = func() int64 { return 0 }
	}
	return meter
}

// recordTick records how late a tick was executed.
func (loadMeter *loadMeter) recordTick(late clock.Milliseconds) {
	loadMeter.lateness = max(loadMeter.lateness, late)
}

// reset discards all samples.
func (loadMeter *loadMeter) reset(now clock.Moment) {
	loadMeter.samples = [loadSamples]loadSample{}
	loadMeter.lastSample, loadMeter.lastProcessor, loadMeter.lastSent, loadMeter.lateness = now, loadMeter.processorTime(), loadMeter.sentBytes(), 0
}

// sample ends an interval and reports whether one was due.
func (loadMeter *loadMeter) sample(now clock.Moment) bool {
	length := now.Since(loadMeter.lastSample)
	if length < loadSampleInterval {
		return false
	}
	processor, sent := loadMeter.processorTime(), loadMeter.sentBytes()
	loadMeter.position = (loadMeter.position + 1) % loadSamples
	loadMeter.samples[loadMeter.position] = loadSample{
		length: length, processor: processor - loadMeter.lastProcessor, lateness: loadMeter.lateness, sent: sent - loadMeter.lastSent,
	}
	loadMeter.lastSample, loadMeter.lastProcessor, loadMeter.lastSent, loadMeter.lateness = now, processor, sent, 0
	return true
}

// utilization returns the utilization of the processor or of the link over the last intervals, or that of the connections at the end of
// them, whichever is highest. The processor counts as fully used while work waits for it.
func (loadMeter *loadMeter) utilization() membership.Utilization {
	var length, processor clock.Milliseconds
	var sent int64
	for _, sample := range loadMeter.samples {
		length += sample.length
		sent += sample.sent
		processor += sample.processor
	}
	if length <= 0 || loadMeter.capacity <= 0 {
		return 0
	}
	used := float64(processor/length) / loadMeter.capacity
	if loadMeter.linkRate > 0 {
		used = max(used, float64(sent)/float64(length)/loadMeter.linkRate)
	}
	used = max(used, loadMeter.connections.utilization())
	if loadMeter.sustainedLateness() > 0 {
		used = 1
	}
	return membership.Utilization(min(used, 1) * membership.FullUtilization)
}

// sustainedLateness returns how late ticks were in each of the last two intervals, 0 if work does not wait for the processor. One late
// tick alone may be due to a pause of the process.
func (loadMeter *loadMeter) sustainedLateness() clock.Milliseconds {
	previous := (loadMeter.position + loadSamples - 1) % loadSamples
	late := min(loadMeter.samples[loadMeter.position].lateness, loadMeter.samples[previous].lateness)
	if late < minLateness {
		return 0
	}
	return late
}

// Lateness returns how long work has been waiting for the processor at present, 0 if it does not wait.
func (controller *Controller) Lateness() clock.Milliseconds {
	return clock.Milliseconds(controller.lateness.Load())
}

// updateConnections measures the use of callers' connections, and logs when requests are refused for want of them.
func (controller *Controller) updateConnections() {
	if controller.options.Connections == nil {
		return
	}
	before := controller.loadMeter.connections
	use := controller.options.Connections()
	controller.loadMeter.connections = use
	short, wasShort := use.Refused > before.Refused, controller.refusesConnections
	controller.refusesConnections = short
	if short != wasShort {
		controller.options.Log.Warn().Bool("refusing", short).Int("open", use.Open).Int("active", use.Active).Int("limit", use.Limit).Int64("refused", use.Refused).
			Msg("callers' connections")
	}
}

// updateLoad measures the load, determines how many instances should serve, and reports both to the other instances.
func (controller *Controller) updateLoad(now clock.Moment) {
	if controller.options.ProcessorTime != nil && controller.loadMeter.sample(now) {
		controller.updateConnections()
		controller.members.SetUtilization(controller.loadMeter.utilization())
		controller.lateness.Store(int64(controller.loadMeter.sustainedLateness()))
	}
	if controller.members.UpdateWantedServing() {
		level := zerolog.DebugLevel
		if controller.members.State() == membership.Serving {
			level = zerolog.InfoLevel
		}
		controller.options.Log.WithLevel(level).Int("serving", len(controller.members.Serving())).Int("wanted", controller.members.WantedServing()).
			Int("utilizationPermille", int(controller.members.Utilization())).Msg("number of instances that should serve")
		controller.publishIfServingChanged()
	}
	controller.updateRelieved()
	for _, address := range controller.members.DueLoadReports() {
		report := controller.members.NewLoadReport()
		controller.send(address, &Message{Load: &report})
	}
}
