package fleet

import (
	"math"
	"net/netip"
	"slices"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// declarationReportInterval is the shortest interval between two reports of declarations; the first after a pause is sent at once.
	declarationReportInterval = 50 * clock.Millisecond
	// maxDeclarationsPerDatagram is the maximum number of declarations in a datagram: at about 30 bytes each they fit into one packet.
	maxDeclarationsPerDatagram = 40
	// declarationReporterTimeout is how long an instance is told of new statements after its own last report or request for a loan,
	// whatever its state: callers with old address answers still send requests to it.
	declarationReporterTimeout = 5 * clock.Second
	// maxStatementAge is the maximum age of a statement, in milliseconds, in a report.
	maxStatementAge = math.MaxUint32
	// maxSharedRate is the highest limit that an instance passes on, in requests per second, far more than a server runs: the sums of a
	// bucket with a higher one could be infinite, which is no number once it is multiplied by no time.
	maxSharedRate = 1e6
)

// Event names of what backend servers say of themselves.
const (
	EventLimitNamed     = "server.limitNamed"
	EventLimitWithdrawn = "server.limitWithdrawn"
	EventRest           = "server.restAsked"
	EventServerLeaving  = "server.leaving"
)

// SharedDeclaration is what a backend server has said of itself, as an instance sends it to others.
type SharedDeclaration struct {
	_      struct{} `cbor:",toarray"`
	Target TargetKey
	// Started is the start time of the server's process.
	Started int64
	// Observed reports that the sender received the statement of the limit itself, AgeMs milliseconds ago; Limited is whether the
	// limit is in force and Rate the limit in requests per second.
	Observed bool
	Limited  bool
	Rate     float64
	AgeMs    uint32
	// Leaving reports that the process is about to stop.
	Leaving bool
	// Sent is the number of requests that the sender has sent to the server.
	Sent uint32
}

// RecordStatement logs and counts a change of what is known of a backend server from its statements.
func (controller *Controller) RecordStatement(change service.StatementChange) {
	record := func(event string) *zerolog.Event {
		controller.options.Registry.Events.Add(event, 1)
		return controller.options.Log.Info().Str("target", string(change.Target)).Str("source", string(change.Source))
	}
	if change.Limited {
		record(EventLimitNamed).Float64("perSecond", change.Rate).Msg("backend server limits the requests that it accepts")
	}
	if change.Unlimited {
		record(EventLimitWithdrawn).Msg("backend server no longer limits the requests that it accepts")
	}
	if change.Rest > 0 {
		record(EventRest).Stringer("for", change.Rest).Msg("backend server wants no requests from this instance")
	}
	if change.Leaving {
		record(EventServerLeaving).Msg("backend server says that it is about to stop")
	}
}

// reportDeclarations sends what backend servers have said of themselves, and how many requests the limited ones were sent, to the
// instances that count them together. Others that serve are told what is current, and those that have reported something themselves what
// is new.
func (controller *Controller) reportDeclarations(now clock.Moment) {
	if now < controller.nextDeclarationReport {
		return
	}
	var declarations, current, changed []SharedDeclaration
	for _, state := range controller.services {
		for _, report := range state.scheduler.DeclarationReports(now) {
			shared := newSharedDeclaration(&report, now)
			declarations = append(declarations, shared)
			if report.Changed || report.Repeated {
				current = append(current, shared)
			}
			if report.Changed {
				changed = append(changed, shared)
			}
		}
	}
	if len(declarations) == 0 {
		return
	}
	controller.nextDeclarationReport = now.Add(declarationReportInterval)
	recipients := controller.declarationRecipients(now)
	controller.sendDeclarations(recipients.counting, declarations)
	controller.sendDeclarations(recipients.serving, current)
	controller.sendDeclarations(recipients.reporters, changed)
}

func (controller *Controller) sendDeclarations(recipients []netip.AddrPort, declarations []SharedDeclaration) {
	for start := 0; start < len(declarations); start += maxDeclarationsPerDatagram {
		message := &Message{Declarations: &DeclarationsMessage{
			Sender: controller.options.Incarnation, Reports: declarations[start:min(start+maxDeclarationsPerDatagram, len(declarations))],
		}}
		for _, address := range recipients {
			controller.send(address, message)
		}
	}
}

// declarationRecipients are the addresses of instances that are told of backend servers' declarations.
type declarationRecipients struct {
	// counting are the instances that count the requests to limited servers, serving others that serve or leave, and reporters others that
	// have reported something.
	counting, serving, reporters []netip.AddrPort
}

func (recipients *declarationRecipients) all() []netip.AddrPort {
	return slices.Concat(recipients.counting, recipients.serving, recipients.reporters)
}

func (controller *Controller) declarationRecipients(now clock.Moment) declarationRecipients {
	for incarnation, at := range controller.declarationReporters {
		if now.Since(at) > declarationReporterTimeout {
			delete(controller.declarationReporters, incarnation)
		}
	}
	var recipients declarationRecipients
	countingPeers, _ := controller.members.Counting()
	for _, member := range controller.members.Alive() {
		_, reports := controller.declarationReporters[member.Incarnation]
		switch {
		case slices.Contains(countingPeers, member):
			recipients.counting = append(recipients.counting, member.Address)
		case member.State == membership.Serving || member.State == membership.Leaving:
			recipients.serving = append(recipients.serving, member.Address)
		case reports:
			recipients.reporters = append(recipients.reporters, member.Address)
		}
	}
	return recipients
}

func newSharedDeclaration(report *service.DeclarationReport, now clock.Moment) SharedDeclaration {
	return SharedDeclaration{
		Target: keyOf(report.Target), Started: report.Started, Observed: report.Observed, Limited: report.Limited, Rate: report.Rate,
		AgeMs: uint32(min(max(now.Since(report.StatedAt), 0), maxStatementAge)), Leaving: report.Leaving, Sent: report.Sent,
	}
}

// receiveDeclarations applies the declarations that another instance has sent.
func (controller *Controller) receiveDeclarations(now clock.Moment, message *DeclarationsMessage) {
	controller.declarationReporters[message.Sender] = now
	for index := range message.Reports {
		shared := &message.Reports[index]
		ref, known := controller.targets[shared.Target]
		// NaN fails the comparison. Any process may send a datagram.
		if valid := shared.Rate >= 0 && shared.Rate <= maxSharedRate; !known || !valid {
			continue
		}
		change := controller.services[ref.service].scheduler.ReceiveDeclaration(service.PeerKey(message.Sender), service.DeclarationReport{
			Target: ref.name, Started: shared.Started, Observed: shared.Observed, Limited: shared.Limited, Rate: shared.Rate,
			StatedAt: now.Add(-clock.Milliseconds(shared.AgeMs)), Leaving: shared.Leaving, Sent: shared.Sent,
		})
		if change.Changed() {
			controller.RecordStatement(change)
		}
	}
}
