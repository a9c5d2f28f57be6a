package settings

import (
	"encoding/json"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Gateway is the settings of one instance on a platform whose store holds all other configuration: its name, the
// addresses on which it listens, and the addresses of the store and of seed instances.
type Gateway struct {
	// Instance is the name of the instance.
	Instance InstanceName `json:"instance" jsonschema:"minLength=1"`
	// DataCentre is the data centre in which the instance runs.
	DataCentre DataCentreName `json:"dataCentre" jsonschema:"minLength=1"`
	// Region is the region of the data centre.
	Region RegionName `json:"region,omitempty"`
	// Regions are the regions of all data centres. Requests are relayed only to instances in data centres of the same region; without
	// this field, all data centres count as one region.
	Regions map[DataCentreName]RegionName `json:"regions,omitempty"`
	// CallerAddress is the IP address and port to which callers connect.
	CallerAddress string `json:"callerAddress" jsonschema:"minLength=1"`
	// ReadyAddress is the IP address and port that serves the platform's readiness check.
	ReadyAddress string `json:"readyAddress" jsonschema:"minLength=1"`
	// DirectoryAddress is the IP address and port that serves the list of instances that callers use.
	DirectoryAddress string `json:"directoryAddress" jsonschema:"minLength=1"`
	// PeerAddress is the IP address and port for datagrams (UDP) and requests (TCP) of other instances. All instances use
	// the same port number.
	PeerAddress string `json:"peerAddress" jsonschema:"minLength=1"`
	// OperatorAddress is the IP address and port that serves metrics, status and explain.
	OperatorAddress string `json:"operatorAddress" jsonschema:"minLength=1"`
	// Seeds lists addresses of other instances; their ports are ignored. The addresses may be stale.
	Seeds []string `json:"seeds"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `json:"storeAddress" jsonschema:"minLength=1"`
	// Cores is the number of processor cores of the instance, which may be a fraction. Instances with more cores are
	// preferred for serving.
	Cores float64 `json:"cores,omitempty" jsonschema:"exclusiveMinimum=0,default=1"`
	// LinkMegabits is the bandwidth of the instance's own link in megabits per second; 0 if it is not known.
	LinkMegabits float64 `json:"linkMegabits,omitempty" jsonschema:"minimum=0"`
	// MaxDescriptors (descriptorsMost) is the number of file descriptors that the process may use.
	MaxDescriptors int `json:"descriptorsMost,omitempty" jsonschema:"minimum=64,default=4096"`
	// MaxMemory (memoryMost) is the memory that the process may use. The memory for the heads of requests, bodies and responses of callers,
	// and the number of their connections are limited to parts of it.
	MaxMemory Bytes `json:"memoryMost,omitempty" jsonschema:"default=256MiB"`
	// MaxPipelined (pipelinedMost) is the largest number of requests of one caller's connection that are served at the same time. With 0
	// or 1, a request is read only when the one before it has been answered.
	MaxPipelined int `json:"pipelinedMost,omitempty" jsonschema:"minimum=0,maximum=1000"`
	// MaxPipelinedHeld (pipelinedHeldMost) is the largest size of the responses that one connection holds until earlier ones have been
	// sent.
	MaxPipelinedHeld Bytes `json:"pipelinedHeldMost,omitempty" jsonschema:"default=256KiB"`
	// FleetBootstrap (fleetStarts) states that all instances of the fleet start for the first time, so that no caller waits for
	// this instance yet.
	FleetBootstrap bool `json:"fleetStarts,omitempty"`
	// Bounds holds the limits agreed with the platform.
	Bounds GatewayBounds `json:"bounds,omitzero"`
	// LogLevel is the minimum level of log lines.
	LogLevel string `json:"logLevel,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info"`
	// Warnings lists the fields that were not understood and have their default value instead, and those that are unknown.
	Warnings []Problem `json:"-"`
}

// GatewayBounds are the limits agreed with the platform.
type GatewayBounds struct {
	// DrainTimeout (leaveMost) is how long the process may run after the signal to drain.
	DrainTimeout clock.Milliseconds `json:"leaveMost,omitempty" jsonschema:"default=6s"`
	// MaxAddressTTL (answerKeptMost) is the longest time for which callers may cache an addresses response.
	MaxAddressTTL clock.Milliseconds `json:"answerKeptMost,omitempty" jsonschema:"default=5s"`
	// RetryShare is the fraction of a service's requests that may be retried, over the whole fleet.
	RetryShare float64 `json:"retryShare,omitempty" jsonschema:"minimum=0,maximum=1,default=0.2"`
	// RetrySlack is the number of requests of a service that may be retried in addition to retryShare, over the whole fleet
	// and in any window of the length agreed with the platform.
	RetrySlack int `json:"retrySlack,omitempty" jsonschema:"minimum=0,default=40"`
	// ProbesPerSecond is how often one target may be probed by all instances of the fleet together.
	ProbesPerSecond float64 `json:"probesPerSecond,omitempty" jsonschema:"exclusiveMinimum=0,default=60"`
	// QuotaWindow is the length of the window in which a team's requests are counted against its rate limit.
	QuotaWindow clock.Milliseconds `json:"quotaWindow,omitempty" jsonschema:"default=5s"`
	// QuotaOver is the fraction of its limit by which a team may exceed the limit within a window, over the whole fleet.
	QuotaOver float64 `json:"quotaOver,omitempty" jsonschema:"minimum=0,maximum=10,default=0.25"`
	// QuotaSlack is the number of requests by which a team may exceed its limit within a window in addition to quotaOver, over
	// the whole fleet.
	QuotaSlack float64 `json:"quotaSlack,omitempty" jsonschema:"minimum=0,default=20"`
	// FailClosed states that requests that require an API key are rejected, with outcome notRun, once the instance has had no
	// contact with the store, neither directly nor through other instances, for the time revokeWithin, since the key may have
	// been revoked in the meantime. Without failClosed the last configuration stays in force.
	FailClosed bool `json:"failClosed,omitempty"`
	// RevokeWithin is the time without contact with the store after which failClosed takes effect.
	RevokeWithin clock.Milliseconds `json:"revokeWithin,omitempty" jsonschema:"default=5s"`
}

// LoadGateway loads and validates the settings file at path. For invalid settings IsErrInvalid reports true of the
// error; any other error means that the file could not be read. Fields that a deployment of another version fills in are not an error:
// they are ignored, and Warnings names them.
func LoadGateway(path string) (*Gateway, error) {
	document, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	problems := document.checkText()
	if !json.Valid(document.text) {
		return nil, &InvalidError{Problems: problems, unfinished: true}
	}
	if len(problems) > 0 {
		return nil, invalid(problems)
	}
	// The defaults are set before decoding, so that an explicit 0 in the file is kept.
	gateway := &Gateway{}
	gateway.ApplyDefaults()
	var unknown []Problem
	document.text, gateway.Warnings = normalizeTextFields(document.name, document.text)
	document.text, unknown = removeUnknownFields(document.name, document.text)
	gateway.Warnings = append(gateway.Warnings, unknown...)
	if _, err := decodePair(document, nil, gatewayDefinition, gateway); err != nil {
		return nil, err
	}
	return gateway, invalid(gateway.check(document.name))
}

// removeUnknownFields removes the fields that a Gateway does not have, and returns a problem for each of them. They must not be decoded:
// package json would also take one whose name differs in case.
func removeUnknownFields(file string, text []byte) ([]byte, []Problem) {
	var root map[string]any
	if json.Unmarshal(text, &root) != nil {
		return text, nil
	}
	problems := removeUnknown(file, "", root, reflect.TypeFor[Gateway]())
	if bounds, isObject := root["bounds"].(map[string]any); isObject {
		problems = append(problems, removeUnknown(file, "bounds.", bounds, reflect.TypeFor[GatewayBounds]())...)
	}
	if len(problems) == 0 {
		return text, nil
	}
	known, err := json.Marshal(root)
	if err != nil {
		return text, problems
	}
	return known, problems
}

// removeUnknown removes the entries of an object that are no fields of the structure.
func removeUnknown(file, prefix string, object map[string]any, structure reflect.Type) []Problem {
	known := map[string]bool{}
	for index := range structure.NumField() {
		if name, _, _ := strings.Cut(structure.Field(index).Tag.Get("json"), ","); name != "-" {
			known[name] = true
		}
	}
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(object)) {
		if !known[name] {
			delete(object, name)
			problems = append(problems, Problem{File: file, Path: prefix + name, Reason: "unknown field, ignored"})
		}
	}
	return problems
}

// ApplyDefaults sets the fields that have their zero value to their defaults.
func (gateway *Gateway) ApplyDefaults() {
	setDefault(&gateway.Cores, 1)
	setDefault(&gateway.MaxDescriptors, 4096)
	setDefault(&gateway.MaxMemory, 256<<20)
	setDefault(&gateway.MaxPipelinedHeld, defaultPipelinedHeld)
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
			problems = append(problems, Problem{File: file, Path: entry.path, Reason: "not an IP address and port: " + strconv.Quote(entry.address)})
		}
	}
	return append(problems, gateway.checkShared(file)...)
}

// checkShared returns a problem for each listening address that another server has already. It could never be bound, and the start would
// wait for it. Port 0 stands for any port.
func (gateway *Gateway) checkShared(file string) []Problem {
	listening := []struct{ path, address string }{
		{"callerAddress", gateway.CallerAddress},
		{"readyAddress", gateway.ReadyAddress},
		{"directoryAddress", gateway.DirectoryAddress},
		{"peerAddress", gateway.PeerAddress},
		{"operatorAddress", gateway.OperatorAddress},
	}
	var problems []Problem
	pathOf := map[netip.AddrPort]string{}
	for _, entry := range listening {
		address, err := netip.ParseAddrPort(entry.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if path, shared := pathOf[address]; shared {
			problems = append(problems, Problem{File: file, Path: entry.path, Reason: "the same address as " + path})
			continue
		}
		pathOf[address] = entry.path
	}
	return problems
}

// PeerPort returns the port number that all instances use for datagrams and requests of their peers.
func (gateway *Gateway) PeerPort() uint16 {
	return netip.MustParseAddrPort(gateway.PeerAddress).Port()
}

// SeedAddresses returns the addresses of the seeds with the peer port in place of their own.
func (gateway *Gateway) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(gateway.Seeds))
	for _, seed := range gateway.Seeds {
		parsed := netip.MustParseAddrPort(seed)
		addresses = append(addresses, netip.AddrPortFrom(parsed.Addr(), gateway.PeerPort()))
	}
	return addresses
}

// SameIdentity reports whether other has the same name, data centre and listening addresses, which can't change while the
// process runs.
func (gateway *Gateway) SameIdentity(other *Gateway) bool {
	identity := func(of *Gateway) string {
		return strings.Join([]string{
			string(of.Instance), string(of.DataCentre), of.CallerAddress, of.ReadyAddress, of.DirectoryAddress, of.PeerAddress,
			of.OperatorAddress,
		}, " ")
	}
	return identity(gateway) == identity(other)
}
