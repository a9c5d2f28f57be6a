package fleet

import (
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// reportQuarantine tells the other instances of requests under which backend servers have ended: those that serve of each end, all of the
// requests that are quarantined, since their callers may turn to any.
func (controller *Controller) reportQuarantine(now clock.Moment) {
	if controller.options.Quarantine == nil {
		return
	}
	report := controller.options.Quarantine.TakeReport(now)
	if report.Empty() {
		return
	}
	message := &Message{Quarantine: &QuarantineMessage{
		Sender: controller.options.Incarnation, Ends: report.Ends, Blocks: report.Blocks, Sound: report.Sound,
	}}
	declarationRecipients := controller.declarationRecipients(now)
	recipients := declarationRecipients.all()
	if len(report.Blocks) > 0 {
		recipients = nil
		for _, member := range controller.members.Alive() {
			recipients = append(recipients, member.Address)
		}
	}
	for _, address := range recipients {
		controller.send(address, message)
	}
}

// ReportQuarantine makes the controller report requests under which backend servers have ended at once. It does not block.
func (controller *Controller) ReportQuarantine() {
	select {
	case controller.inbox <- func(controller *Controller) { controller.reportQuarantine(controller.options.Clock.Now()) }:
	default:
		// The next tick reports them.
	}
}

// recordGone records that the process of a server is gone, unless it had announced that.
func (controller *Controller) recordGone(server catalog.Server) {
	if controller.options.Quarantine != nil && server.State == catalog.ServerReady {
		controller.options.Quarantine.RecordGone(quarantine.Server{Name: server.Name, Started: server.Started})
	}
}

func (controller *Controller) receiveQuarantine(message *QuarantineMessage) {
	if controller.options.Quarantine != nil {
		controller.options.Quarantine.Receive(quarantine.Report{Ends: message.Ends, Blocks: message.Blocks, Sound: message.Sound})
	}
}
