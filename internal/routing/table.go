package routing

import (
	"cmp"
	"context"
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Errors of Table.Route.
var (
	// ErrNoService is returned when no service is configured for the host and path.
	ErrNoService = errors.New("no service is configured for this host and path")
	// ErrUnresolvedRoute is returned when a route matches the host and path, but its configuration does not resolve to a
	// service.
	ErrUnresolvedRoute = errors.New("the route does not resolve to a service")
	// ErrNoClass is returned when the service has no class for the method and path.
	ErrNoClass = errors.New("the service has no class for this method and path")
)

// Instance is an instance of the fleet to which callers may be sent.
type Instance struct {
	Name       settings.InstanceName
	Address    string
	DataCentre settings.DataCentreName
}

// Service holds what request processing needs of a service.
type Service struct {
	Name       settings.ServiceName
	Settings   *settings.Service
	Dispatcher *service.Dispatcher
	Budget     *service.RetryBudget
	// Scheduler grants permits instead of Dispatcher if the targets report their slowdown.
	Scheduler *service.Scheduler
	// Serving are the instances whose addresses callers of the service are given.
	Serving []Instance

	rules []rule
}

// Acquire waits for a permit for one of the service's targets. The error is that of the Scheduler or the Dispatcher.
func (service *Service) Acquire(ctx context.Context, request service.PermitRequest) (service.Permit, error) {
	if service.Scheduler != nil {
		return service.Scheduler.Acquire(ctx, request)
	}
	return service.Dispatcher.Acquire(ctx, request)
}

// RetryAfter returns the time after which a request that backend servers refused may be retried.
func (service *Service) RetryAfter() clock.Milliseconds {
	if service.Scheduler != nil {
		return service.Scheduler.RetryAfter()
	}
	return service.Settings.Queue.RetryAfter
}

// SoftDeadline returns the moment until which a response has its full value to a caller with the given remaining time.
// softTimeout is the time from the caller's first attempt until then.
func (service *Service) SoftDeadline(class settings.ClassName, now clock.Moment, softTimeout, remaining clock.Milliseconds) clock.Moment {
	if service.Scheduler != nil {
		return service.Scheduler.SoftDeadline(class, now, softTimeout, remaining)
	}
	return now.Add(softTimeout)
}

// Class holds what request processing needs of a class.
type Class struct {
	Name     settings.ClassName
	Settings settings.Class
	Metrics  *metrics.Class
}

// rule assigns requests with a method and a path prefix to a class.
type rule struct {
	method string
	prefix string
	class  *Class
}

// Route is the service and class of a request.
type Route struct {
	Service *Service
	Class   *Class
	// Public is true if the request needs no API key.
	Public bool
}

// Table is an immutable snapshot of the configuration that request processing needs.
type Table struct {
	Site *settings.Site
	// Leaving is true while this instance is leaving the fleet.
	Leaving bool
	// Teams finds teams by API key; nil when requests need no key.
	Teams    *team.Directory
	services map[settings.ServiceName]*Service
	hosts    map[string][]*Service
	entries  map[string][]*Entry
}

// Options are the parameters of NewTable.
type Options struct {
	Site    *settings.Site
	Leaving bool
	// Teams is nil when requests need no API key.
	Teams    *team.Directory
	Services []*Service
	// Entries are routes by host and path alone. If there are any, only these are used, and the hosts and paths of services are
	// ignored.
	Entries  []*Entry
	Registry *metrics.Registry
}

// NewTable builds a table, including the rules of the services in options.
func NewTable(options Options) *Table {
	table := &Table{
		Site:     options.Site,
		Leaving:  options.Leaving,
		Teams:    options.Teams,
		services: map[settings.ServiceName]*Service{},
		hosts:    map[string][]*Service{},
		entries:  entriesByHost(options.Entries),
	}
	for _, service := range options.Services {
		service.rules = rulesOf(service, options)
		table.services[service.Name] = service
		for _, host := range service.Settings.Hosts {
			table.hosts[host] = append(table.hosts[host], service)
		}
	}
	for _, hostServices := range table.hosts {
		slices.SortFunc(hostServices, func(left, right *Service) int {
			return cmp.Or(
				len(right.Settings.PathPrefix)-len(left.Settings.PathPrefix),
				cmp.Compare(left.Name, right.Name),
			)
		})
	}
	return table
}

// rulesOf returns a service's rules, with the longest path first.
func rulesOf(service *Service, options Options) []rule {
	var rules []rule
	for name, classSettings := range service.Settings.Classes {
		class := &Class{
			Name:     name,
			Settings: classSettings,
			Metrics:  options.Registry.Class(metrics.ClassKey{Tenant: options.Site.Tenant, Service: service.Name, Class: name}),
		}
		for _, method := range classSettings.Methods {
			for _, prefix := range classSettings.Paths {
				rules = append(rules, rule{method: method, prefix: prefix, class: class})
			}
		}
	}
	slices.SortFunc(rules, func(left, right rule) int {
		return cmp.Or(len(right.prefix)-len(left.prefix), cmp.Compare(left.prefix, right.prefix), cmp.Compare(left.method, right.method))
	})
	return rules
}

// Service returns a service by name.
func (table *Table) Service(name settings.ServiceName) (*Service, bool) {
	found, known := table.services[name]
	return found, known
}

// Services returns all services, ordered by name.
func (table *Table) Services() []*Service {
	services := make([]*Service, 0, len(table.services))
	for _, service := range table.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(left, right *Service) int { return cmp.Compare(left.Name, right.Name) })
	return services
}

// Route returns the route of a request by its path as it was sent, with its escapes. Prefixes of entries are compared with these bytes, those
// of services and classes with the path whose escapes are decoded, except those of slashes, which separate nothing. The error is
// ErrNoService, ErrUnresolvedRoute or ErrNoClass.
func (table *Table) Route(host, method, path string) (Route, error) {
	if len(table.entries) > 0 {
		return table.routeByEntry(host, path)
	}
	path = unescapePath(path)
	for _, service := range table.hosts[hostName(host)] {
		if !hasPathPrefix(path, service.Settings.PathPrefix) {
			continue
		}
		for _, rule := range service.rules {
			if rule.method == method && hasPathPrefix(path, rule.prefix) {
				return Route{Service: service, Class: rule.class}, nil
			}
		}
		return Route{Service: service}, ErrNoClass
	}
	return Route{}, ErrNoService
}

// unescapePath decodes the escapes of a path, except those of slashes and malformed ones.
func unescapePath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	pieces := strings.SplitAfter(strings.ReplaceAll(path, "%2f", "%2F"), "%2F")
	for index, piece := range pieces {
		text, escapedSlash := strings.CutSuffix(piece, "%2F")
		unescaped, err := url.PathUnescape(text)
		if err != nil {
			return path
		}
		if escapedSlash {
			unescaped += "%2F"
		}
		pieces[index] = unescaped
	}
	return strings.Join(pieces, "")
}

// hostName removes the port and a trailing dot, and converts the host to lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// hasPathPrefix reports whether path is equal to prefix or below it. "/payments" is not below "/pay".
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	if !found {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
