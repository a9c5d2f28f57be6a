package catalog

import (
	"slices"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Revision is the number of a change of a source. Higher revisions are newer.
type Revision uint64

// Version is the number of a state of the configuration. Versions increase, not always by one.
type Version uint64

// Configuration is everything that operators configure.
type Configuration struct {
	_ struct{} `cbor:",toarray"`

	Version  Version
	Routes   []Route
	Services map[settings.ServiceName]ServiceLimits
	// NeedsKeys is whether requests need the API key of one of the teams, on all routes that are not public.
	NeedsKeys bool
	Teams     []team.Team
	// Warnings are the parts of the configuration that were not understood, and what is used in their place. They are for the log of
	// the instance that read the source.
	Warnings []string `cbor:"-"`
}

// Route assigns the requests of a host below a path prefix to one service, or splits them among several.
type Route struct {
	_ struct{} `cbor:",toarray"`

	Name settings.ClassName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is whether a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a request gets its final response.
	Timeout clock.Milliseconds
	// SoftDeadline is the time within which a response has its full value.
	SoftDeadline clock.Milliseconds
	// Attempts is the maximum number of backend servers that one request may be sent to.
	Attempts int
	Priority settings.Priority
	// Public is whether requests are accepted without an API key.
	Public bool
	// Split is empty when the service of the requests is not known. The requests are refused then; they use no other route.
	Split []Share
}

// Share is the share of a route's requests that a service gets.
type Share struct {
	_ struct{} `cbor:",toarray"`

	Service settings.ServiceName
	Weight  int
}

// DefaultMaxConnections limits the connections to each backend server of a service that specifies no limit. A small server accepts this many.
const DefaultMaxConnections = 64

// ServiceLimits are the settings that operators publish for a service's backend servers.
type ServiceLimits struct {
	_ struct{} `cbor:",toarray"`

	// ProbePath is empty when servers must not be probed.
	ProbePath string
	// MaxConnections is the maximum number of connections to one backend server from all callers together.
	MaxConnections int
	// ColdRate is the number of requests a second that a cold backend server can handle.
	ColdRate float64
}

// ServerState is whether a backend server takes new requests.
type ServerState string

// The states of a backend server.
const (
	ServerReady   ServerState = "ready"
	ServerLeaving ServerState = "leaving"
)

// Server is one backend server. In most cases a Name is used by only one run of a server; Started distinguishes runs with the same
// name.
type Server struct {
	_ struct{} `cbor:",toarray"`

	Name       settings.TargetName
	Service    settings.ServiceName
	Address    string
	DataCentre settings.DataCentreName
	Slots      int
	State      ServerState
	// ColdFor is how long the server stays cold from the time at which it reported this.
	ColdFor clock.Milliseconds
	// Started is the server's start time by its own clock. It is only compared for equality.
	Started int64
}

// View is the content of a source at one revision.
type View struct {
	Revision      Revision
	Configuration *Configuration
	Servers       ServerList
	// Evacuated are the data centres that operators have evacuated, sorted.
	Evacuated []settings.DataCentreName
	// Retained are the servers whose entries are gone and may only have lapsed, in the order of their names.
	Retained []settings.TargetName
	// RetainedUntil is when the first server is dropped whose entry is gone and may only have lapsed, 0 when there is none.
	RetainedUntil clock.Moment `cbor:"-"`
}

// IsEvacuated reports whether operators have evacuated the data centre.
func (view *View) IsEvacuated(name settings.DataCentreName) bool {
	_, found := slices.BinarySearch(view.Evacuated, name)
	return found
}
