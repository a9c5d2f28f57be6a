package settings

import "github.com/jaywheel/jaywheel/pkg/clock"

// Revision numbers one state of a document. A higher one wins, a lower one is never applied.
type Revision uint64

// Names of the things that settings speak of. They are distinct types so that one can't stand where another belongs.
type (
	// ServiceName names a service, for example "browsing".
	ServiceName string
	// ClassName names a class of requests within a service, for example "list".
	ClassName string
	// DataCentreName names a data centre.
	DataCentreName string
	// RegionName names a region, which holds data centres.
	RegionName string
	// InstanceName names an entry instance of jaywheel.
	InstanceName string
	// TargetName names one backend server.
	TargetName string
	// KeyName names one key that seals datagrams between instances.
	KeyName string
)

// Bytes is a size; in files it is written with its unit, such as "64KiB".
type Bytes int64

// Priority orders classes when not all can be served: 0 goes first.
type Priority int

// LowestPriority is the last priority that a class can have.
const LowestPriority Priority = 7

// DataCentreState tells whether operators have taken a data centre out.
type DataCentreState string

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// Site is the whole of what operators write for one site: the result of a base file and an overlay.
type Site struct {
	// Revision numbers the site document, which is everything here but the services.
	Revision Revision `json:"revision" jsonschema:"minimum=1"`
	// Tenant is the user whose callers are served; histograms carry it.
	Tenant string `json:"tenant" jsonschema:"minLength=1"`
	// Gateway is the product name under which operators know this site.
	Gateway string `json:"gateway,omitempty"`
	// DataCentres are all data centres of the site.
	DataCentres map[DataCentreName]DataCentre `json:"dataCentres" jsonschema:"minProperties=1"`
	// Fleet tells how entry instances share the work.
	Fleet Fleet `json:"fleet"`
	// Measuring bounds the load that measuring adds.
	Measuring Measuring `json:"measuring,omitzero"`
	// ServiceNames are the services in force. Rendering fills it in; a service document that it does not name counts
	// for nothing, so that a key which is lost for a while does not take a service away.
	ServiceNames []ServiceName `json:"serviceNames,omitempty"`
	// Services are the services behind the site.
	Services map[ServiceName]Service `json:"services,omitempty"`
}

// DataCentre is one data centre.
type DataCentre struct {
	// Region is the region the data centre lies in.
	Region RegionName `json:"region" jsonschema:"minLength=1"`
	// State is "in", or "out" while operators have taken it out.
	State DataCentreState `json:"state" jsonschema:"enum=in,enum=out"`
}

// Fleet tells how entry instances share the work.
type Fleet struct {
	// MaxInstances is the largest number of entry instances that ever run at once, replaced ones included. Each may
	// use its share of a target's connections, so the agreed number holds without a word between them.
	MaxInstances int `json:"instancesMost" jsonschema:"minimum=1,maximum=1000"`
	// InstancesPerService is how many instances the address answer names for one service.
	InstancesPerService int `json:"instancesPerService,omitempty" jsonschema:"minimum=1,default=3"`
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL clock.Milliseconds `json:"answerKept,omitempty" jsonschema:"default=5s"`
	// HeartbeatInterval is the time between two datagrams to one peer. Above 14 peers it grows with their number, so that
	// what an instance spends on them stays the same.
	HeartbeatInterval clock.Milliseconds `json:"heartbeatEvery,omitempty" jsonschema:"default=300ms"`
	// SuspectAfter is the silence after which a peer is left out of address answers; it grows alike.
	SuspectAfter clock.Milliseconds `json:"suspectAfter,omitempty" jsonschema:"default=1s"`
}

// Measuring bounds the load that measuring adds.
type Measuring struct {
	// ReportsPerTargetPerSecond is how often a target's load report is read, over the whole fleet.
	ReportsPerTargetPerSecond float64 `json:"reportsPerTargetPerSecond,omitempty" jsonschema:"exclusiveMinimum=0,maximum=100,default=1"`
}

// Service is one service and its backend servers' common properties.
type Service struct {
	// Revision numbers this service's document.
	Revision Revision `json:"revision" jsonschema:"minimum=1"`
	// Hosts are the host names of requests to the service, without a port.
	Hosts []string `json:"hosts" jsonschema:"minItems=1"`
	// PathPrefix narrows the service to paths below it.
	PathPrefix string `json:"pathPrefix,omitempty" jsonschema:"pattern=^/,default=/"`
	// SlotsPerTarget is how many requests a target runs at once.
	SlotsPerTarget int `json:"slotsPerTarget" jsonschema:"minimum=1,maximum=100000"`
	// ConnectionsPerTarget is the agreed number of connections to a target, over the whole fleet.
	ConnectionsPerTarget int `json:"connectionsPerTarget" jsonschema:"minimum=1,maximum=1000000"`
	// Classes are the classes of requests.
	Classes map[ClassName]Class `json:"classes" jsonschema:"minProperties=1"`
	// Queue bounds the requests that wait in an instance for a place.
	Queue Queue `json:"queue,omitzero"`
	// ColdStart tells how a backend server that has just started takes up work.
	ColdStart ColdStart `json:"coldStart,omitzero"`
	// Retry bounds requests sent again.
	Retry Retry `json:"retry,omitzero"`
	// Connections tells how connections to backend servers are made and kept.
	Connections Connections `json:"connections,omitzero"`
	// ReportPath is where a backend server tells its load.
	ReportPath string `json:"reportPath,omitempty" jsonschema:"pattern=^/,default=/load"`
	// NotRunHeader is the answer header by which a backend server tells that it did not run a request.
	NotRunHeader string `json:"notRunHeader,omitempty" jsonschema:"pattern=^[A-Za-z][A-Za-z0-9-]*$,default=Not-Run"`
}

// Class is a class of requests: those with one of its methods below one of its paths. The longest path wins.
type Class struct {
	// Methods are the HTTP methods.
	Methods []string `json:"methods" jsonschema:"minItems=1"`
	// Paths are path prefixes.
	Paths []string `json:"paths,omitempty"`
	// Idempotent tells that a request may run twice without harm. Only then is one that may have run sent again.
	Idempotent bool `json:"idempotent"`
	// Priority orders classes when not all can be served; 0 goes first.
	Priority Priority `json:"priority" jsonschema:"minimum=0,maximum=7"`
	// Timeout is the time a request has when its caller names no shorter one.
	Timeout clock.Milliseconds `json:"timeout"`
	// SoftTimeout is the time within which an answer is worth most to its caller; 0 means that only the timeout counts.
	SoftTimeout clock.Milliseconds `json:"aim,omitempty"`
	// Attempts is the largest number of attempts of one request; 0 leaves it to the service's retry.attempts.
	Attempts int `json:"attempts,omitempty" jsonschema:"minimum=0,maximum=10"`
	// MaxBodySize is the largest request body.
	MaxBodySize Bytes `json:"bodyMost,omitempty" jsonschema:"default=1MiB"`
}

// Queue bounds the requests that wait in an instance for a place on a backend server.
type Queue struct {
	// Length is the largest number of waiting requests of the service at one instance.
	Length int `json:"length,omitempty" jsonschema:"minimum=1,default=256"`
	// Wait is the longest time that a request waits.
	Wait clock.Milliseconds `json:"wait,omitempty" jsonschema:"default=500ms"`
	// RetryAfter is when a refused caller is told to come back.
	RetryAfter clock.Milliseconds `json:"retryAfter,omitempty" jsonschema:"default=1s"`
}

// ColdStart tells how a backend server that has just started takes up work.
type ColdStart struct {
	// InitialPermits is how many requests it bears at first, over the whole fleet.
	InitialPermits int `json:"places,omitempty" jsonschema:"minimum=1,default=1"`
	// RampUpTime is the time after which it bears as many as its slots.
	RampUpTime clock.Milliseconds `json:"fullAfter,omitempty" jsonschema:"default=10s"`
}

// Retry bounds requests sent again.
type Retry struct {
	// Attempts is the largest number of attempts of one request, the first included.
	Attempts int `json:"attempts,omitempty" jsonschema:"minimum=1,maximum=10,default=3"`
	// BudgetShare is the share of live requests that may be sent again.
	BudgetShare float64 `json:"budgetShare,omitempty" jsonschema:"minimum=0,maximum=1,default=0.1"`
	// FailurePenalty is how long a place stays taken after a first failure, so that a server which fails fast does
	// not look idle.
	FailurePenalty clock.Milliseconds `json:"failurePenalty,omitempty" jsonschema:"default=100ms"`
}

// Connections tells how connections to backend servers are made and kept.
type Connections struct {
	// ConnectTimeout is the time for making one.
	ConnectTimeout clock.Milliseconds `json:"connectTimeout,omitempty" jsonschema:"default=500ms"`
	// IdleTimeout is how long an unused one is kept.
	IdleTimeout clock.Milliseconds `json:"idleMost,omitempty" jsonschema:"default=30s"`
	// FreshFor is how long after its last byte a connection is taken to be alive; a request that is not idempotent
	// goes on no older one.
	FreshFor clock.Milliseconds `json:"freshFor,omitempty" jsonschema:"default=1s"`
	// AckTimeout is how long sent bytes may stay unacknowledged before the connection is given up.
	AckTimeout clock.Milliseconds `json:"silentMost,omitempty" jsonschema:"default=1s"`
}

// Process is what one instance's own file says: who it is and where it listens.
type Process struct {
	// Instance is the instance's name in the platform's list.
	Instance InstanceName `json:"instance" jsonschema:"minLength=1"`
	// DataCentre is where it runs.
	DataCentre DataCentreName `json:"dataCentre" jsonschema:"minLength=1"`
	// CallerAddress is where callers connect, IP and port.
	CallerAddress string `json:"callerAddress" jsonschema:"minLength=1"`
	// PeerAddress is where other instances send datagrams, IP and port.
	PeerAddress string `json:"peerAddress" jsonschema:"minLength=1"`
	// OperatorAddress is where metrics, status and explain are read, IP and port.
	OperatorAddress string `json:"operatorAddress" jsonschema:"minLength=1"`
	// Platform is where the platform answers.
	Platform Platform `json:"platform"`
	// Keys seal datagrams between instances.
	Keys Keys `json:"keys"`
	// Callers bounds what callers may cost.
	Callers Callers `json:"callers,omitzero"`
	// LogLevel is the least level of log lines.
	LogLevel string `json:"logLevel,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info"`
}

// Platform is where the platform answers.
type Platform struct {
	// ConfigurationAddress is the configuration service, IP and port.
	ConfigurationAddress string `json:"configurationAddress" jsonschema:"minLength=1"`
	// InstancesAddress is the list of live and leaving instances, IP and port.
	InstancesAddress string `json:"instancesAddress" jsonschema:"minLength=1"`
	// Timeout is the time for one read; a watch may take WatchTimeout more.
	Timeout clock.Milliseconds `json:"timeout,omitempty" jsonschema:"default=1s"`
	// WatchTimeout is how long one watch waits for a change.
	WatchTimeout clock.Milliseconds `json:"watchMost,omitempty" jsonschema:"default=10s"`
}

// Keys seal datagrams. Two are valid while one replaces the other.
type Keys struct {
	// SealWith names the key for datagrams sent.
	SealWith KeyName `json:"sealWith" jsonschema:"minLength=1"`
	// Known are all keys accepted, 32 bytes each in hexadecimal.
	Known map[KeyName]string `json:"known" jsonschema:"minProperties=1"`
}

// Callers bounds what callers may cost an instance.
type Callers struct {
	// MaxConnections is the largest number of callers' connections.
	MaxConnections int `json:"connectionsMost,omitempty" jsonschema:"minimum=1,default=10000"`
	// MaxHeaderSize is the largest request head.
	MaxHeaderSize Bytes `json:"headerMost,omitempty" jsonschema:"default=32KiB"`
	// HeaderTimeout is the time for sending a request head.
	HeaderTimeout clock.Milliseconds `json:"headerTimeout,omitempty" jsonschema:"default=5s"`
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout clock.Milliseconds `json:"idleMost,omitempty" jsonschema:"default=2m"`
	// MaxStall is the longest pause within a body, in either direction.
	MaxStall clock.Milliseconds `json:"stallMost,omitempty" jsonschema:"default=10s"`
}
