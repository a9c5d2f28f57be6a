package settings

import "github.com/jaywheel/jaywheel/pkg/clock"

// setDefault sets field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}

func (site *Site) applyDefaults() {
	setDefault(&site.Fleet.InstancesPerService, 3)
	setDefault(&site.Fleet.AddressTTL, 5*clock.Second)
	setDefault(&site.Fleet.HeartbeatInterval, 300*clock.Millisecond)
	setDefault(&site.Fleet.SuspectAfter, clock.Second)
	setDefault(&site.Measuring.ReportsPerTargetPerSecond, 1)
	for name, service := range site.Services {
		service.applyDefaults()
		site.Services[name] = service
	}
}

func (service *Service) applyDefaults() {
	setDefault(&service.PathPrefix, "/")
	setDefault(&service.Queue.Length, 256)
	setDefault(&service.Queue.Wait, 500*clock.Millisecond)
	setDefault(&service.Queue.RetryAfter, clock.Second)
	setDefault(&service.ColdStart.InitialPermits, 1)
	setDefault(&service.ColdStart.RampUpTime, 10*clock.Second)
	setDefault(&service.Retry.Attempts, 3)
	setDefault(&service.Retry.BudgetShare, 0.1)
	setDefault(&service.Retry.FailurePenalty, 100*clock.Millisecond)
	setDefault(&service.Connections.ConnectTimeout, 500*clock.Millisecond)
	setDefault(&service.Connections.IdleTimeout, 30*clock.Second)
	setDefault(&service.Connections.FreshFor, clock.Second)
	setDefault(&service.Connections.AckTimeout, clock.Second)
	setDefault(&service.ReportPath, "/load")
	setDefault(&service.NotRunHeader, "Not-Run")
	for name, class := range service.Classes {
		class.applyDefaults(service.PathPrefix)
		service.Classes[name] = class
	}
}

func (class *Class) applyDefaults(servicePrefix string) {
	if len(class.Paths) == 0 {
		class.Paths = []string{servicePrefix}
	}
	setDefault(&class.MaxBodySize, 1<<20)
}

// defaultPipelinedHeld holds the responses of a dozen lookups, of some 5 KB each, with room for larger ones.
const defaultPipelinedHeld Bytes = 256 << 10

// ApplyDefaults sets the fields that have their zero value to their defaults, for a Process that is built in code.
// LoadProcess calls it by itself.
func (process *Process) ApplyDefaults() {
	setDefault(&process.Platform.Timeout, clock.Second)
	setDefault(&process.Platform.WatchTimeout, 10*clock.Second)
	setDefault(&process.Callers.MaxConnections, 10000)
	setDefault(&process.Callers.MaxHeaderSize, 32<<10)
	setDefault(&process.Callers.HeaderTimeout, 5*clock.Second)
	setDefault(&process.Callers.IdleTimeout, 2*clock.Minute)
	setDefault(&process.Callers.MaxStall, 10*clock.Second)
	setDefault(&process.Callers.MaxPipelinedHeld, defaultPipelinedHeld)
	setDefault(&process.Callers.MaxHeadMemory, 64<<20)
	setDefault(&process.Callers.MaxStreams, 100)
	setDefault(&process.LogLevel, "info")
}
