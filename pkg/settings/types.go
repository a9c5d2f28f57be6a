package settings

import "github.com/jaywheel/jaywheel/pkg/clock"

// Revision numbers the versions of a document. An instance applies only a revision higher than the one in force.
type Revision uint64

// Names used in settings. They are distinct types so that the compiler rejects one in place of another.
type (
	// ServiceName names a service, for example "browsing".
	ServiceName string
	// ClassName names a request class within a service, for example "list".
	ClassName string
	// DataCentreName names a data centre.
	DataCentreName string
	// RegionName names a region, which contains data centres.
	RegionName string
	// InstanceName names an entry instance of jaywheel.
	InstanceName string
	// TargetName names a backend server.
	TargetName string
	// KeyName names a key that encrypts datagrams between instances.
	KeyName string
)

// Bytes is a size in bytes. In files it is written with its unit, such as "64KiB".
type Bytes int64

// Priority orders request classes under overload; 0 is served first.
type Priority int

// LowestPriority is the priority that is served last.
const LowestPriority Priority = 7

// DataCentreState states whether a data centre is in service or operators have taken it out.
type DataCentreState string

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// Site is the complete settings of one site: the result of a base file and an overlay.
type Site struct {
	// Revision numbers the site document, which contains all fields except the services.
	Revision Revision `json:"revision" jsonschema:"minimum=1"`
	// Tenant is the user whose callers are served; histograms are labelled with it.
	Tenant string `json:"tenant" jsonschema:"minLength=1"`
	// Gateway is the product name that operators use for this site.
	Gateway string `json:"gateway,omitempty"`
	// DataCentres lists all data centres of the site.
	DataCentres map[DataCentreName]DataCentre `json:"dataCentres" jsonschema:"minProperties=1"`
	// Fleet configures how entry instances divide the load.
	Fleet Fleet `json:"fleet"`
	// Measuring limits the load that monitoring adds to backend servers.
	Measuring Measuring `json:"measuring,omitzero"`
	// ServiceNames lists the services of the site in the published document; rendering fills it in. The document of a service
	// that is not listed here is not put in force. A service in force is removed only when a newer site document no longer
	// lists it, so it stays in force while its own document is temporarily missing.
	ServiceNames []ServiceName `json:"serviceNames,omitempty"`
	// Services holds the services of the site by name.
	Services map[ServiceName]Service `json:"services,omitempty"`
}

// DataCentre is a data centre of a site.
type DataCentre struct {
	// Region is the region that contains the data centre.
	Region RegionName `json:"region" jsonschema:"minLength=1"`
	// State is "in" while the data centre is in service, "out" while operators have taken it out of service.
	State DataCentreState `json:"state" jsonschema:"enum=in,enum=out"`
}

// Fleet configures how entry instances divide the load.
type Fleet struct {
	// MaxInstances (instancesMost) is the largest number of entry instances that run at the same time, including instances that are
	// being replaced. Each may open an equal share of a target's connections, so the fleet stays within
	// connectionsPerTarget without coordination.
	MaxInstances int `json:"instancesMost" jsonschema:"minimum=1,maximum=1000"`
	// InstancesPerService is the number of instances that an addresses response lists for one service.
	InstancesPerService int `json:"instancesPerService,omitempty" jsonschema:"minimum=1,default=3"`
	// AddressTTL (answerKept) is how long callers may cache an addresses response.
	AddressTTL clock.Milliseconds `json:"answerKept,omitempty" jsonschema:"default=5s"`
	// HeartbeatInterval (heartbeatEvery) is the time between two datagrams to the same peer. With more than 14 peers it grows
	// with their number, so that the cost for an instance stays constant.
	HeartbeatInterval clock.Milliseconds `json:"heartbeatEvery,omitempty" jsonschema:"default=300ms"`
	// SuspectAfter is the time without a datagram from a peer after which the peer is omitted from addresses responses. It
	// grows with the number of peers in the same way as heartbeatEvery.
	SuspectAfter clock.Milliseconds `json:"suspectAfter,omitempty" jsonschema:"default=1s"`
}

// Measuring limits the load that monitoring adds to backend servers.
type Measuring struct {
	// ReportsPerTargetPerSecond is how often a target's load report is read, by all instances of the fleet together.
	ReportsPerTargetPerSecond float64 `json:"reportsPerTargetPerSecond,omitempty" jsonschema:"exclusiveMinimum=0,maximum=100,default=1"`
}

// Service is a service and the common properties of its backend servers.
type Service struct {
	// Revision numbers this service's document.
	Revision Revision `json:"revision" jsonschema:"minimum=1"`
	// Hosts lists the host names of requests to the service, without a port.
	Hosts []string `json:"hosts" jsonschema:"minItems=1"`
	// PathPrefix restricts the service to paths with this prefix.
	PathPrefix string `json:"pathPrefix,omitempty" jsonschema:"pattern=^/,default=/"`
	// SlotsPerTarget is the number of requests that a target processes concurrently.
	SlotsPerTarget int `json:"slotsPerTarget" jsonschema:"minimum=1,maximum=100000"`
	// ConnectionsPerTarget is the agreed number of connections to a target from the whole fleet.
	ConnectionsPerTarget int `json:"connectionsPerTarget" jsonschema:"minimum=1,maximum=1000000"`
	// Classes holds the request classes by name.
	Classes map[ClassName]Class `json:"classes" jsonschema:"minProperties=1"`
	// Queue limits the requests that wait in an instance for a permit.
	Queue Queue `json:"queue,omitzero"`
	// ColdStart configures how load on a newly started backend server is ramped up.
	ColdStart ColdStart `json:"coldStart,omitzero"`
	// Retry limits retries.
	Retry Retry `json:"retry,omitzero"`
	// Connections configures how connections to backend servers are opened and reused.
	Connections Connections `json:"connections,omitzero"`
	// ReportPath is the path at which a backend server reports its load.
	ReportPath string `json:"reportPath,omitempty" jsonschema:"pattern=^/,default=/load"`
	// NotRunHeader is the response header with which a backend server states that it did not run a request.
	NotRunHeader string `json:"notRunHeader,omitempty" jsonschema:"pattern=^[A-Za-z][A-Za-z0-9-]*$,default=Not-Run"`
}

// Class is a request class: the requests with one of its methods and one of its path prefixes. The longest prefix wins.
type Class struct {
	// Methods lists the HTTP methods.
	Methods []string `json:"methods" jsonschema:"minItems=1"`
	// Paths lists the path prefixes.
	Paths []string `json:"paths,omitempty"`
	// Idempotent states that a request may run twice without harm. A request that may have run is retried only then.
	Idempotent bool `json:"idempotent"`
	// Priority orders request classes under overload; 0 is served first.
	Priority Priority `json:"priority" jsonschema:"minimum=0,maximum=7"`
	// Timeout is the time limit of a request unless its caller sets a shorter one.
	Timeout clock.Milliseconds `json:"timeout"`
	// SoftTimeout (aim) is the time within which a response is worth most to the caller; 0 means that only the timeout counts.
	SoftTimeout clock.Milliseconds `json:"aim,omitempty"`
	// Attempts is the largest number of attempts of one request; 0 uses the service's retry.attempts.
	Attempts int `json:"attempts,omitempty" jsonschema:"minimum=0,maximum=10"`
	// MaxBodySize (bodyMost) is the largest size of a request body.
	MaxBodySize Bytes `json:"bodyMost,omitempty" jsonschema:"default=1MiB"`
}

// Queue limits the requests that wait in an instance for a permit on a backend server.
type Queue struct {
	// Length is the largest number of requests of the service that wait in one instance.
	Length int `json:"length,omitempty" jsonschema:"minimum=1,default=256"`
	// Wait is the longest time that a request waits.
	Wait clock.Milliseconds `json:"wait,omitempty" jsonschema:"default=500ms"`
	// RetryAfter is the time after which a rejected caller is asked to retry.
	RetryAfter clock.Milliseconds `json:"retryAfter,omitempty" jsonschema:"default=1s"`
}

// ColdStart configures how load on a newly started backend server is ramped up.
type ColdStart struct {
	// InitialPermits (places) is the number of permits of the backend server at first, over the whole fleet.
	InitialPermits int `json:"places,omitempty" jsonschema:"minimum=1,default=1"`
	// RampUpTime (fullAfter) is the time after which the backend server has as many permits as slots.
	RampUpTime clock.Milliseconds `json:"fullAfter,omitempty" jsonschema:"default=10s"`
}

// Retry limits retries.
type Retry struct {
	// Attempts is the largest number of attempts of one request, including the first.
	Attempts int `json:"attempts,omitempty" jsonschema:"minimum=1,maximum=10,default=3"`
	// BudgetShare is the fraction of live requests that may be retried.
	BudgetShare float64 `json:"budgetShare,omitempty" jsonschema:"minimum=0,maximum=1,default=0.1"`
	// FailurePenalty is how long a permit stays in use after a first failure, so that a backend server that fails fast
	// does not look idle.
	FailurePenalty clock.Milliseconds `json:"failurePenalty,omitempty" jsonschema:"default=100ms"`
}

// Connections configures how connections to backend servers are opened and reused.
type Connections struct {
	// ConnectTimeout is the time limit for opening a connection.
	ConnectTimeout clock.Milliseconds `json:"connectTimeout,omitempty" jsonschema:"default=500ms"`
	// IdleTimeout (idleMost) is how long an idle connection is kept open.
	IdleTimeout clock.Milliseconds `json:"idleMost,omitempty" jsonschema:"default=30s"`
	// FreshFor is how long after its last byte a connection is assumed to be alive. A request that is not idempotent
	// is never sent on an older connection.
	FreshFor clock.Milliseconds `json:"freshFor,omitempty" jsonschema:"default=1s"`
	// AckTimeout (silentMost) is how long sent bytes may stay unacknowledged before the connection is closed.
	AckTimeout clock.Milliseconds `json:"silentMost,omitempty" jsonschema:"default=1s"`
}

// Process is the settings of one instance: its name and the addresses on which it listens.
type Process struct {
	// Instance is the name of the instance in the platform's list.
	Instance InstanceName `json:"instance" jsonschema:"minLength=1"`
	// DataCentre is the data centre in which the instance runs.
	DataCentre DataCentreName `json:"dataCentre" jsonschema:"minLength=1"`
	// CallerAddress is the IP address and port to which callers connect.
	CallerAddress string `json:"callerAddress" jsonschema:"minLength=1"`
	// PeerAddress is the IP address and port to which other instances send datagrams.
	PeerAddress string `json:"peerAddress" jsonschema:"minLength=1"`
	// OperatorAddress is the IP address and port that serves metrics, status and explain.
	OperatorAddress string `json:"operatorAddress" jsonschema:"minLength=1"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Keys encrypt datagrams between instances.
	Keys Keys `json:"keys"`
	// Callers limits the resources that callers may use.
	Callers Callers `json:"callers,omitzero"`
	// LogLevel is the minimum level of log lines.
	LogLevel string `json:"logLevel,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// ConfigurationAddress is the IP address and port of the configuration service.
	ConfigurationAddress string `json:"configurationAddress" jsonschema:"minLength=1"`
	// InstancesAddress is the IP address and port of the list of live and draining instances.
	InstancesAddress string `json:"instancesAddress" jsonschema:"minLength=1"`
	// Timeout is the time limit of one read; for a watch, the time that it waits for a change is added.
	Timeout clock.Milliseconds `json:"timeout,omitempty" jsonschema:"default=1s"`
	// WatchTimeout (watchMost) is how long a watch waits for a change.
	WatchTimeout clock.Milliseconds `json:"watchMost,omitempty" jsonschema:"default=10s"`
}

// Keys encrypt datagrams. Two keys are valid during a key rotation.
type Keys struct {
	// SealWith names the key that encrypts sent datagrams.
	SealWith KeyName `json:"sealWith" jsonschema:"minLength=1"`
	// Known holds all accepted keys by name, 32 bytes each in hexadecimal.
	Known map[KeyName]string `json:"known" jsonschema:"minProperties=1"`
}

// Callers limits the resources of an instance that callers may use.
type Callers struct {
	// MaxConnections (connectionsMost) is the largest number of open connections from callers.
	MaxConnections int `json:"connectionsMost,omitempty" jsonschema:"minimum=1,default=10000"`
	// MaxHeaderSize (headerMost) is the largest size of a request head.
	MaxHeaderSize Bytes `json:"headerMost,omitempty" jsonschema:"default=32KiB"`
	// HeaderTimeout is the time limit for receiving a request head.
	HeaderTimeout clock.Milliseconds `json:"headerTimeout,omitempty" jsonschema:"default=5s"`
	// IdleTimeout (idleMost) is how long an idle connection is kept open.
	IdleTimeout clock.Milliseconds `json:"idleMost,omitempty" jsonschema:"default=2m"`
	// MaxStall (stallMost) is the longest pause in the transfer of a body, in either direction.
	MaxStall clock.Milliseconds `json:"stallMost,omitempty" jsonschema:"default=10s"`
	// MaxPipelined (pipelinedMost) is the largest number of requests of one connection that are served at the same time. With 0 or 1,
	// a request is read only when the one before it has been answered.
	MaxPipelined int `json:"pipelinedMost,omitempty" jsonschema:"minimum=0,maximum=1000"`
	// MaxPipelinedHeld (pipelinedHeldMost) is the largest size of the responses that one connection holds until earlier ones have been
	// sent.
	MaxPipelinedHeld Bytes `json:"pipelinedHeldMost,omitempty" jsonschema:"default=256KiB"`
	// MaxHeadMemory (headMemoryMost) is the memory that the heads of all requests may take together. Requests with a long head are
	// rejected beyond it, with outcome notRun. A head takes 320 bytes for each line and twice its length; heads up to 8 KiB by this
	// measure are not counted.
	MaxHeadMemory Bytes `json:"headMemoryMost,omitempty" jsonschema:"default=64MiB"`
	// MaxStreams (streamsMost) is the largest number of requests of one HTTP/2 connection that are served at the same time.
	MaxStreams int `json:"streamsMost,omitempty" jsonschema:"minimum=1,maximum=1000,default=100"`
}
