package control

import (
	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// event is something that reaches the control goroutine.
type event interface {
	apply(controller *Controller)
}

// documentRead is a document of the configuration service, or what was wrong with it.
type documentRead struct {
	key  string
	text []byte
}

// listRead is a new list of instances.
type listRead struct {
	list platform.List
}

// heartbeatReceived is a peer's datagram.
type heartbeatReceived struct {
	heartbeat instance.Heartbeat
}

// reportRead is a backend server's load report, or the failure to read it.
type reportRead struct {
	service settings.ServiceName
	target  settings.TargetName
	report  backendserver.Report
	err     error
}

// leaveAsked says that the instance is to leave.
type leaveAsked struct{}

// statusAsked asks for the state that operators read.
type statusAsked struct {
	answer chan<- Status
}
