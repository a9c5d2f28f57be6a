package fleet

import (
	"math/rand/v2"
	"net/netip"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Options configures a Controller.
type Options struct {
	Self        membership.Identity
	Incarnation membership.Incarnation
	Seeds       []netip.AddrPort
	Bounds      settings.GatewayBounds
	// FleetStarts reports that all instances start for the first time and no caller waits.
	FleetStarts bool
	Clock       *clock.Clock
	// BootClock reads like Clock, and also counts the time for which the machine is suspended.
	BootClock *clock.Clock
	Rand      *rand.Rand
	Servers   *backendserver.Servers
	Registry  *metrics.Registry
	Log       zerolog.Logger
	// Guard recovers panics in parts of the control goroutine's work; nil lets them pass.
	Guard *supervisor.Guard
	// ProcessorTime returns the processor time that this process has used; nil if it is not known.
	ProcessorTime func() clock.Milliseconds
	// SentBytes returns the number of bytes sent to callers; nil if it is not known. LinkRate is the number of bytes per millisecond
	// that the link of this instance carries, 0 if it is not known.
	SentBytes func() int64
	LinkRate  float64
	// Connections returns how many connections of callers are open; nil if it is not known.
	Connections func() ConnectionUse
	// Quota enforces the rate limits of teams; nil if there are none.
	Quota *quota.Limiter
	// Send sends a datagram to a peer.
	Send func(netip.AddrPort, []byte)
	// SetJobs sets the jobs of the prober.
	SetJobs func([]sensing.Job)
	// Quarantine holds the requests under which backend servers have ended; nil if none are held.
	Quarantine *quarantine.Quarantine
	// Verify probes a backend server once; nil if reports of servers that are down are not verified.
	Verify func(sensing.Job)
	// CheckConnection connects to a backend server and passes the result to RecordConnect, without blocking. If it is nil, the instance
	// does not determine which services it can reach.
	CheckConnection func(settings.TargetName)
	// SetRelayPeers sets the instances through which requests may be relayed. It may be nil.
	SetRelayPeers func([]relay.Peer)
	// Regions are the regions of data centres; empty if they are not known.
	Regions map[settings.DataCentreName]settings.RegionName
}

// CatalogReader has the functions of the catalog reader that the control loop calls.
type CatalogReader struct {
	SetRole func(catalog.Role)
	// SetPhase sets the part of the time between two watches after which those of this instance end.
	SetPhase        func(float64)
	SetPeerRevision func(catalog.Revision)
	Refresh         func()
	// CatchUp makes the reader catch up with a revision that a serving peer has had for a while.
	CatchUp func(catalog.Revision)
	// ReadStale reads the state that the store held some seconds ago.
	ReadStale    func()
	LastResponse func() clock.Moment
	Failing      func() bool
	// PeerFailing reports whether the last request to peers for their view failed.
	PeerFailing func() bool
}
