package fleet

import (
	"math"
	"net/netip"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// maxLimitsPerDatagram is the maximum number of limits in a datagram: at about 30 bytes each they fit into one packet.
	maxLimitsPerDatagram = 40
	// limitReporterTimeout is how long an instance is sent the reports of others after its own last report, whatever its state:
	// callers with old address answers still send requests to it.
	limitReporterTimeout = 5 * clock.Second
	// maxLimitAge is the maximum age of a statement, in milliseconds, in a report.
	maxLimitAge = math.MaxUint32
)

// Event names of what backend servers say of themselves.
const (
	EventLimitNamed     = "server.limitNamed"
	EventLimitWithdrawn = "server.limitWithdrawn"
)

// SharedLimit is the limit of a backend server, as an instance sends it to others.
type SharedLimit struct {
	_      struct{} `cbor:",toarray"`
	Target TargetKey
	// Started is the start time of the server's process.
	Started int64
	// Stated reports that the sender received the statement itself, AgeMs milliseconds ago; Named is whether the limit is in force
	// and Rate the limit in requests per second.
	Stated bool
	Named  bool
	Rate   float64
	AgeMs  uint32
	// Sent is the number of requests that the sender has sent to the server.
	Sent uint32
}

// RecordStatement logs and counts a change of what is known of a backend server from its statements.
func (controller *Controller) RecordStatement(change service.StatementChange) {
	events := &controller.options.Registry.Events
	line := controller.options.Log.Info().Str("target", string(change.Target)).Str("source", string(change.Source))
	switch {
	case change.Limited:
		events.Add(EventLimitNamed, 1)
		line.Float64("perSecond", change.Rate).Msg("backend server limits the requests that it accepts")
	case change.Unlimited:
		events.Add(EventLimitWithdrawn, 1)
		line.Msg("backend server no longer limits the requests that it accepts")
	}
}

// reportLimits sends what has changed of the limits of backend servers to the instances that send requests.
func (controller *Controller) reportLimits(now clock.Moment) {
	var limits []SharedLimit
	for _, state := range controller.services {
		for _, report := range state.scheduler.LimitReports(now) {
			limits = append(limits, newSharedLimit(&report, now))
		}
	}
	if len(limits) == 0 {
		return
	}
	recipients := controller.limitRecipients(now)
	for start := 0; start < len(limits); start += maxLimitsPerDatagram {
		message := &Message{Limits: &LimitsMessage{
			Sender: controller.options.Incarnation, Reports: limits[start:min(start+maxLimitsPerDatagram, len(limits))],
		}}
		for _, address := range recipients {
			controller.send(address, message)
		}
	}
}

// limitRecipients returns the addresses of the instances that send requests to backend servers.
func (controller *Controller) limitRecipients(now clock.Moment) []netip.AddrPort {
	for incarnation, at := range controller.limitReporters {
		if now.Since(at) > limitReporterTimeout {
			delete(controller.limitReporters, incarnation)
		}
	}
	var addresses []netip.AddrPort
	for _, member := range controller.members.Alive() {
		_, reports := controller.limitReporters[member.Incarnation]
		if reports || member.State == membership.Serving || member.State == membership.Leaving {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func newSharedLimit(report *service.LimitReport, now clock.Moment) SharedLimit {
	return SharedLimit{
		Target: keyOf(report.Target), Started: report.Started, Stated: report.Stated, Named: report.Named, Rate: report.Rate,
		AgeMs: uint32(min(max(now.Since(report.StatedAt), 0), maxLimitAge)), Sent: report.Sent,
	}
}

// receiveLimits applies the limits that another instance has sent.
func (controller *Controller) receiveLimits(now clock.Moment, message *LimitsMessage) {
	controller.limitReporters[message.Sender] = now
	for index := range message.Reports {
		shared := &message.Reports[index]
		ref, known := controller.targets[shared.Target]
		// NaN fails the comparison. Any process may send a datagram.
		if valid := shared.Rate >= 0 && shared.Rate <= math.MaxFloat64; !known || !valid {
			continue
		}
		change := controller.services[ref.service].scheduler.ReceiveLimitReport(service.PeerKey(message.Sender), service.LimitReport{
			Target: ref.name, Started: shared.Started, Stated: shared.Stated, Named: shared.Named, Rate: shared.Rate,
			StatedAt: now.Add(-clock.Milliseconds(shared.AgeMs)), Sent: shared.Sent,
		})
		if change.Changed() {
			controller.RecordStatement(change)
		}
	}
}
