package control

import (
	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// event is a change that the control goroutine applies to its state.
type event interface {
	apply(controller *Controller)
}

// documentRead is a document that was read from the configuration service.
type documentRead struct {
	key  string
	text []byte
}

// listRead is a list of instances that was read from the platform.
type listRead struct {
	list platform.InstanceList
}

// heartbeatReceived is a heartbeat from a peer.
type heartbeatReceived struct {
	heartbeat instance.Heartbeat
}

// reportRead is a backend server's load report, or the error from reading it.
type reportRead struct {
	service settings.ServiceName
	target  settings.TargetName
	report  backendserver.Report
	err     error
}

// leaveRequested starts the drain of the instance.
type leaveRequested struct{}

// statusRequested requests the status for operators.
type statusRequested struct {
	response chan<- Status
}
