package catalog

import (
	"slices"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Revision counts the changes of a source. A higher one is newer.
type Revision uint64

// Version numbers one state of the configuration. Versions rise, in uneven steps.
type Version uint64

// Configuration is everything that operators decide, complete.
type Configuration struct {
	_ struct{} `cbor:",toarray"`

	Version  Version
	Routes   []Route
	Services map[settings.ServiceName]ServiceLimits
	// NeedsKeys says that requests need the API key of one of the teams, on all routes that are not public.
	NeedsKeys bool
	Teams     []team.Team
	// Warnings say what in it was not understood, and what stands in for it. They are for the log of whoever read the source.
	Warnings []string `cbor:"-"`
}

// Route sends the requests of a host below a path prefix to one service, or splits them.
type Route struct {
	_ struct{} `cbor:",toarray"`

	Name settings.ClassName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may be kept without its final answer.
	Timeout clock.Milliseconds
	// SoftDeadline is the time within which an answer is worth most.
	SoftDeadline clock.Milliseconds
	// Attempts is the largest number of backend servers that one request may be sent to.
	Attempts int
	Priority settings.Priority
	// Public says that requests need no API key.
	Public bool
	// Split is empty when it is not known where the requests belong. They are refused then, and go by no other route.
	Split []Share
}

// Share is a service's part of a route's requests.
type Share struct {
	_ struct{} `cbor:",toarray"`

	Service settings.ServiceName
	Weight  int
}

// ServiceLimits are what operators say of a service's backend servers.
type ServiceLimits struct {
	_ struct{} `cbor:",toarray"`

	// ProbePath is empty when servers are not to be probed.
	ProbePath string
	// MaxConnections is the number of connections that one backend server takes from all callers together.
	MaxConnections int
	// ColdRate is how many requests a second a cold backend server bears.
	ColdRate float64
}

// ServerState tells whether a backend server takes new work.
type ServerState string

// The states of a backend server.
const (
	ServerReady   ServerState = "ready"
	ServerLeaving ServerState = "leaving"
)

// Server is one backend server. Its Name belongs to one run of it, mostly; Started tells runs under one name apart.
type Server struct {
	_ struct{} `cbor:",toarray"`

	Name       settings.TargetName
	Service    settings.ServiceName
	Address    string
	DataCentre settings.DataCentreName
	Slots      int
	State      ServerState
	// ColdFor is how long it stays cold, counted from when it said so.
	ColdFor clock.Milliseconds
	// Started is when it started, by its own wall clock; only whether it changed counts.
	Started int64
}

// View is what a source held at one revision.
type View struct {
	Revision      Revision
	Configuration *Configuration
	Servers       []Server
	Evacuated     []settings.DataCentreName
	// RetainedUntil is when the first of the servers is dropped whose entries are gone and may only have lapsed, 0 when there is none.
	RetainedUntil clock.Moment `cbor:"-"`
}

// IsEvacuated reports whether operators have taken the data centre out.
func (view *View) IsEvacuated(name settings.DataCentreName) bool {
	return slices.Contains(view.Evacuated, name)
}
