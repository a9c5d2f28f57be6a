package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// ReservedPath is the path prefix of an instance's own endpoints; no service may use it.
const ReservedPath = "/jaywheel/"

// keyBytes is the length of a key that encrypts datagrams, in bytes.
const keyBytes = 32

// checker collects the problems of one file.
type checker struct {
	file     string
	problems []Problem
}

func (checker *checker) add(path, format string, arguments ...any) {
	checker.problems = append(checker.problems, Problem{File: checker.file, Path: path, Reason: fmt.Sprintf(format, arguments...)})
}

func (checker *checker) requirePositive(path string, length clock.Milliseconds) {
	if length <= 0 {
		checker.add(path, "must be longer than 0")
	}
}

func (checker *checker) requireAddress(path, address string) {
	addressPort, err := netip.ParseAddrPort(address)
	if err != nil {
		checker.add(path, "is not an IP address with a port: %q", address)
		return
	}
	if addressPort.Addr().Zone() != "" {
		checker.add(path, "must not have a zone: %q", address)
	}
}

// sortedKeys returns the keys in sorted order, so that problems have the same order in every run.
func sortedKeys[K ~string, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}

// check validates what the JSON Schema can't express, for the site and all its services.
func (site *Site) check(file string) []Problem {
	problems := site.checkSite(file)
	if len(site.ServiceNames) > 0 {
		problems = append(problems, Problem{File: file, Path: "serviceNames", Reason: "rendering fills this in; leave it out"})
	}
	for _, name := range sortedKeys(site.Services) {
		service := site.Services[name]
		path := "services." + string(name)
		problems = append(problems, service.check(file, path)...)
		problems = append(problems, service.CheckAgainst(site, file, path)...)
	}
	return append(problems, CheckRouteConflicts(site.Services, file)...)
}

func (site *Site) checkSite(file string) []Problem {
	checker := &checker{file: file}
	fleet := site.Fleet
	if fleet.InstancesPerService > fleet.MaxInstances {
		checker.add("fleet.instancesPerService", "%d is more than fleet.instancesMost, %d", fleet.InstancesPerService, fleet.MaxInstances)
	}
	checker.requirePositive("fleet.answerKept", fleet.AddressTTL)
	checker.requirePositive("fleet.heartbeatEvery", fleet.HeartbeatInterval)
	if fleet.SuspectAfter < 3*fleet.HeartbeatInterval {
		checker.add("fleet.suspectAfter", "%s is less than three heartbeats of %s; one lost datagram would look like a failure",
			fleet.SuspectAfter, fleet.HeartbeatInterval)
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(site.DataCentres)), func(dataCentre DataCentre) bool { return dataCentre.State == DataCentreIn }) {
		checker.add("dataCentres", "every data centre is out")
	}
	return checker.problems
}

// CheckAgainst returns the conflicts between the service and the site that it belongs to. The problems carry file, and
// path as the prefix of the field.
func (service *Service) CheckAgainst(site *Site, file, path string) []Problem {
	checker := &checker{file: file}
	if service.ConnectionsPerTarget < site.Fleet.MaxInstances {
		checker.add(join(path, "connectionsPerTarget"), "%d does not give each of fleet.instancesMost, %d, one connection",
			service.ConnectionsPerTarget, site.Fleet.MaxInstances)
	}
	return checker.problems
}

func (service *Service) check(file, path string) []Problem {
	checker := &checker{file: file}
	for index, host := range service.Hosts {
		if host == "" || strings.ContainsAny(host, ":/ ") || host != strings.ToLower(host) {
			checker.add(join(path, fmt.Sprintf("hosts.%d", index)), "is not a host name in lower case without a port: %q", host)
		}
	}
	if strings.HasPrefix(service.PathPrefix, ReservedPath) {
		checker.add(join(path, "pathPrefix"), "%s is reserved", ReservedPath)
	}
	checker.requirePositive(join(path, "queue.wait"), service.Queue.Wait)
	checker.requirePositive(join(path, "connections.connectTimeout"), service.Connections.ConnectTimeout)
	checker.requirePositive(join(path, "connections.silentMost"), service.Connections.AckTimeout)
	if service.ColdStart.InitialPermits > service.SlotsPerTarget {
		checker.add(join(path, "coldStart.places"), "%d is more than slotsPerTarget, %d", service.ColdStart.InitialPermits, service.SlotsPerTarget)
	}
	for _, name := range sortedKeys(service.Classes) {
		class := service.Classes[name]
		class.check(checker, join(path, "classes."+string(name)), service.PathPrefix)
	}
	service.checkClassConflicts(checker, join(path, "classes"))
	return checker.problems
}

func (class *Class) check(checker *checker, path, servicePrefix string) {
	for index, method := range class.Methods {
		if method == "" || method != strings.ToUpper(method) {
			checker.add(fmt.Sprintf("%s.methods.%d", path, index), "is not an HTTP method in upper case: %q", method)
		}
		if method == "CONNECT" {
			checker.add(fmt.Sprintf("%s.methods.%d", path, index), "CONNECT is not supported, because it opens a tunnel")
		}
	}
	for index, prefix := range class.Paths {
		if !strings.HasPrefix(prefix, servicePrefix) {
			checker.add(fmt.Sprintf("%s.paths.%d", path, index), "%q is not below pathPrefix, %q", prefix, servicePrefix)
		}
	}
	checker.requirePositive(join(path, "timeout"), class.Timeout)
}

// checkClassConflicts finds classes with the same method and path prefix, for which the class of a request is ambiguous.
func (service *Service) checkClassConflicts(checker *checker, path string) {
	type claim struct{ method, prefix string }
	claimed := map[claim]ClassName{}
	for _, name := range sortedKeys(service.Classes) {
		for _, method := range service.Classes[name].Methods {
			for _, prefix := range service.Classes[name].Paths {
				other, used := claimed[claim{method, prefix}]
				if used && other != name {
					checker.add(join(path, string(name)), "%s %s is already used by class %s", method, prefix, other)
				}
				claimed[claim{method, prefix}] = name
			}
		}
	}
}

// CheckRouteConflicts returns a problem for each host and path prefix that two services have in common, for which the
// service of a request is ambiguous. The problems carry file.
func CheckRouteConflicts(services map[ServiceName]Service, file string) []Problem {
	type claim struct{ host, prefix string }
	checker := &checker{file: file}
	claimed := map[claim]ServiceName{}
	for _, name := range sortedKeys(services) {
		service := services[name]
		for _, host := range service.Hosts {
			other, used := claimed[claim{host, service.PathPrefix}]
			if used {
				checker.add("services."+string(name)+".hosts", "%s%s is already used by service %s", host, service.PathPrefix, other)
			}
			claimed[claim{host, service.PathPrefix}] = name
		}
	}
	return checker.problems
}

func (process *Process) check(file string) []Problem {
	checker := &checker{file: file}
	checker.requireAddress("callerAddress", process.CallerAddress)
	checker.requireAddress("peerAddress", process.PeerAddress)
	checker.requireAddress("operatorAddress", process.OperatorAddress)
	checker.requireAddress("platform.configurationAddress", process.Platform.ConfigurationAddress)
	checker.requireAddress("platform.instancesAddress", process.Platform.InstancesAddress)
	checker.requirePositive("platform.timeout", process.Platform.Timeout)
	checker.requirePositive("callers.headerTimeout", process.Callers.HeaderTimeout)
	checker.requirePositive("callers.stallMost", process.Callers.MaxStall)
	if _, known := process.Keys.Known[process.Keys.SealWith]; !known {
		checker.add("keys.sealWith", "%q is not among keys.known", process.Keys.SealWith)
	}
	for _, name := range sortedKeys(process.Keys.Known) {
		if key, err := hex.DecodeString(process.Keys.Known[name]); err != nil || len(key) != keyBytes {
			checker.add("keys.known."+string(name), "is not %d bytes in hexadecimal", keyBytes)
		}
	}
	return checker.problems
}
