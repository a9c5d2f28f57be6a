package gateway

import (
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// EventQuarantined counts requests that were quarantined because backend servers ended under them.
const EventQuarantined = "request.quarantined"

// recordServerEnd logs a backend server that ended while it had requests of this instance.
func (gateway *Gateway) recordServerEnd(name settings.TargetName, requests int) {
	gateway.options.Log.Info().Str("target", string(name)).Int("requests", requests).Msg("backend server ended with requests in flight")
}

// recordBlock counts and logs a request that is quarantined.
func (gateway *Gateway) recordBlock(entry quarantine.Entry) {
	gateway.registry.Events.Add(EventQuarantined, 1)
	targets := make([]string, 0, len(entry.Ended))
	for _, name := range entry.Ended {
		targets = append(targets, string(name))
	}
	gateway.options.Log.Warn().Str("request", entry.Request).Strs("ended", targets).Stringer("for", entry.Blocked).
		Msg("backend servers ended while they had this request; it is refused")
}
