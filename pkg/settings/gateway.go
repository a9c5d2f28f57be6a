package settings

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Gateway is what one instance's own file says where a platform's store tells everything else: who it is, where it
// listens, and where it finds the store and the first other instances.
type Gateway struct {
	// Instance is the instance's name.
	Instance InstanceName `json:"instance" jsonschema:"minLength=1"`
	// DataCentre is where it runs, Region the region that holds it.
	DataCentre DataCentreName `json:"dataCentre" jsonschema:"minLength=1"`
	Region     RegionName     `json:"region,omitempty"`
	// CallerAddress is where callers connect, ReadyAddress where the platform asks whether the instance is ready,
	// DirectoryAddress where callers ask which instances to use; all are IP and port.
	CallerAddress    string `json:"callerAddress" jsonschema:"minLength=1"`
	ReadyAddress     string `json:"readyAddress" jsonschema:"minLength=1"`
	DirectoryAddress string `json:"directoryAddress" jsonschema:"minLength=1"`
	// PeerAddress is where other instances reach this one, IP and port: datagrams and requests on the same port number.
	// The port is the same at all instances.
	PeerAddress string `json:"peerAddress" jsonschema:"minLength=1"`
	// OperatorAddress is where metrics, status and explain are read, IP and port.
	OperatorAddress string `json:"operatorAddress" jsonschema:"minLength=1"`
	// Seeds are addresses of other instances; only their IP numbers count. They may be stale.
	Seeds []string `json:"seeds"`
	// StoreAddress is the platform's store, IP and port.
	StoreAddress string `json:"storeAddress" jsonschema:"minLength=1"`
	// Cores is the instance's share of a processor. Of several instances the larger ones serve first.
	Cores float64 `json:"cores,omitempty" jsonschema:"exclusiveMinimum=0,default=1"`
	// MaxDescriptors is the number of file descriptors that the process may use.
	MaxDescriptors int `json:"descriptorsMost,omitempty" jsonschema:"minimum=64,default=4096"`
	// FleetBootstrap says that all instances start for the first time, so that no caller waits for this one yet.
	FleetBootstrap bool `json:"fleetStarts,omitempty"`
	// Bounds are agreed with the platform.
	Bounds GatewayBounds `json:"bounds,omitzero"`
	// LogLevel is the least level of log lines.
	LogLevel string `json:"logLevel,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info"`
	// Warnings say which figures were not understood, and what stands in for them.
	Warnings []Problem `json:"-"`
}

// GatewayBounds are the limits agreed with the platform.
type GatewayBounds struct {
	// DrainTimeout is how long after the signal to leave the process may still run.
	DrainTimeout clock.Milliseconds `json:"leaveMost,omitempty" jsonschema:"default=6s"`
	// MaxAddressTTL is the longest time that callers keep an address answer.
	MaxAddressTTL clock.Milliseconds `json:"answerKeptMost,omitempty" jsonschema:"default=5s"`
	// RetryShare is the share of a service's requests that may be sent again, over the whole fleet.
	RetryShare float64 `json:"retryShare,omitempty" jsonschema:"minimum=0,maximum=1,default=0.2"`
	// RetrySlack is the number of requests of a service that may be sent again beyond the share, over the whole fleet and in
	// any span of the length agreed with the platform.
	RetrySlack int `json:"retrySlack,omitempty" jsonschema:"minimum=0,default=40"`
	// ProbesPerSecond is how often one target may be probed, over the whole fleet.
	ProbesPerSecond float64 `json:"probesPerSecond,omitempty" jsonschema:"exclusiveMinimum=0,default=60"`
	// QuotaWindow is the span in which a team's requests are counted against its rate limit.
	QuotaWindow clock.Milliseconds `json:"quotaWindow,omitempty" jsonschema:"default=5s"`
	// QuotaOver is the part of its limit by which a team may exceed it in such a span, QuotaSlack the number of requests by which it may
	// do so besides, both over the whole fleet.
	QuotaOver  float64 `json:"quotaOver,omitempty" jsonschema:"minimum=0,maximum=10,default=0.25"`
	QuotaSlack float64 `json:"quotaSlack,omitempty" jsonschema:"minimum=0,default=20"`
	// FailClosed says that requests that need an API key are refused, as not run, once nothing has been heard of the store for RevokeWithin:
	// a key may have been revoked meanwhile. Otherwise the last configuration stays in force.
	FailClosed   bool               `json:"failClosed,omitempty"`
	RevokeWithin clock.Milliseconds `json:"revokeWithin,omitempty" jsonschema:"default=5s"`
}

// LoadGateway reads the file.
func LoadGateway(path string) (*Gateway, error) {
	document, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	// A figure that is given stays as it is, 0 as well.
	gateway := &Gateway{}
	gateway.ApplyDefaults()
	document.text, gateway.Warnings = normalizeTextFields(document.name, document.text)
	if _, err := decodePair(document, nil, gatewayDefinition, gateway); err != nil {
		return nil, err
	}
	return gateway, invalid(gateway.check(document.name))
}

// ApplyDefaults fills in what was left out.
func (gateway *Gateway) ApplyDefaults() {
	setDefault(&gateway.Cores, 1)
	setDefault(&gateway.MaxDescriptors, 4096)
	setDefault(&gateway.Bounds.DrainTimeout, 6*clock.Second)
	setDefault(&gateway.Bounds.MaxAddressTTL, 5*clock.Second)
	setDefault(&gateway.Bounds.RetryShare, 0.2)
	setDefault(&gateway.Bounds.RetrySlack, 40)
	setDefault(&gateway.Bounds.ProbesPerSecond, 60)
	setDefault(&gateway.Bounds.QuotaWindow, 5*clock.Second)
	setDefault(&gateway.Bounds.QuotaOver, 0.25)
	setDefault(&gateway.Bounds.QuotaSlack, 20)
	setDefault(&gateway.Bounds.RevokeWithin, 5*clock.Second)
	setDefault(&gateway.LogLevel, "info")
}

func (gateway *Gateway) check(file string) []Problem {
	var problems []Problem
	addresses := []struct{ path, address string }{
		{"callerAddress", gateway.CallerAddress},
		{"readyAddress", gateway.ReadyAddress},
		{"directoryAddress", gateway.DirectoryAddress},
		{"peerAddress", gateway.PeerAddress},
		{"operatorAddress", gateway.OperatorAddress},
		{"storeAddress", gateway.StoreAddress},
	}
	for index, seed := range gateway.Seeds {
		addresses = append(addresses, struct{ path, address string }{"seeds." + strconv.Itoa(index), seed})
	}
	for _, entry := range addresses {
		if _, err := netip.ParseAddrPort(entry.address); err != nil {
			problems = append(problems, Problem{File: file, Path: entry.path, Reason: "not an IP number and port: " + strconv.Quote(entry.address)})
		}
	}
	return problems
}

// PeerPort is the port number at which every instance is reached by the others.
func (gateway *Gateway) PeerPort() uint16 {
	return netip.MustParseAddrPort(gateway.PeerAddress).Port()
}

// SeedAddresses are the seeds as peers' addresses.
func (gateway *Gateway) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(gateway.Seeds))
	for _, seed := range gateway.Seeds {
		parsed := netip.MustParseAddrPort(seed)
		addresses = append(addresses, netip.AddrPortFrom(parsed.Addr(), gateway.PeerPort()))
	}
	return addresses
}

// SameIdentity reports whether other says the same of who this instance is and where it listens, which can't change while
// it runs.
func (gateway *Gateway) SameIdentity(other *Gateway) bool {
	identity := func(of *Gateway) string {
		return strings.Join([]string{
			string(of.Instance), string(of.DataCentre), of.CallerAddress, of.ReadyAddress, of.DirectoryAddress, of.PeerAddress,
			of.OperatorAddress,
		}, " ")
	}
	return identity(gateway) == identity(other)
}
