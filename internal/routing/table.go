package routing

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Reasons for which a request belongs to no class.
var (
	// ErrNoService says that no service claims the host and path.
	ErrNoService = errors.New("no service claims this host and path")
	// ErrUnresolvedRoute says that a route claims the host and path, but not understandably for whom.
	ErrUnresolvedRoute = errors.New("it is not known to which service the route's requests belong")
	// ErrNoClass says that the service has no class for the method and path.
	ErrNoClass = errors.New("the service has no class for this method and path")
)

// Instance is an entry instance that callers may be sent to.
type Instance struct {
	Name       settings.InstanceName
	Address    string
	DataCentre settings.DataCentreName
}

// Service is a service as traffic sees it.
type Service struct {
	Name       settings.ServiceName
	Settings   *settings.Service
	Dispatcher *service.Dispatcher
	Budget     *service.RetryBudget
	// Scheduler gives out places in place of Dispatcher where targets tell how slow they are.
	Scheduler *service.Scheduler
	// Serving are the instances that callers of the service are told to use.
	Serving []Instance

	rules []rule
}

// Acquire waits for a place on one of the service's targets.
func (entry *Service) Acquire(ctx context.Context, demand service.PermitRequest) (service.Permit, error) {
	if entry.Scheduler != nil {
		return entry.Scheduler.Take(ctx, demand)
	}
	return entry.Dispatcher.Acquire(ctx, demand)
}

// RetryAfter is when a caller may return whose request was refused by backend servers.
func (entry *Service) RetryAfter() clock.Milliseconds {
	if entry.Scheduler != nil {
		return entry.Scheduler.RetryAfter()
	}
	return entry.Settings.Queue.RetryAfter
}

// SoftDeadline returns the moment until which an answer is worth most to a caller that has the given time left.
func (entry *Service) SoftDeadline(class settings.ClassName, now clock.Moment, aim, left clock.Milliseconds) clock.Moment {
	if entry.Scheduler != nil {
		return entry.Scheduler.Aim(class, now, aim, left)
	}
	return now.Add(aim)
}

// Class is a class as traffic sees it.
type Class struct {
	Name     settings.ClassName
	Settings settings.Class
	Metrics  *metrics.Class
}

// rule sends a method below a path to a class.
type rule struct {
	method string
	prefix string
	class  *Class
}

// Route is where a request belongs.
type Route struct {
	Service *Service
	Class   *Class
	// Public says that the request needs no API key.
	Public bool
}

// Table is an immutable view of everything that traffic needs.
type Table struct {
	Site *settings.Site
	// Leaving says that this instance is on its way out.
	Leaving bool
	// Teams finds teams by API key; nil when requests need none.
	Teams    *team.Directory
	services map[settings.ServiceName]*Service
	hosts    map[string][]*Service
	entries  map[string][]*Entry
}

// Options are what a Table is made from.
type Options struct {
	Site    *settings.Site
	Leaving bool
	// Teams is nil when requests need no API key.
	Teams    *team.Directory
	Services []*Service
	// Entries are routes by host and path alone. Where there are any, they go before what services claim.
	Entries  []*Entry
	Registry *metrics.Registry
}

// NewTable builds a table. The services' rules are filled in here.
func NewTable(options Options) *Table {
	table := &Table{
		Site:     options.Site,
		Leaving:  options.Leaving,
		Teams:    options.Teams,
		services: map[settings.ServiceName]*Service{},
		hosts:    map[string][]*Service{},
		entries:  entriesByHost(options.Entries),
	}
	for _, entry := range options.Services {
		entry.rules = rulesOf(entry, options)
		table.services[entry.Name] = entry
		for _, host := range entry.Settings.Hosts {
			table.hosts[host] = append(table.hosts[host], entry)
		}
	}
	for _, claimants := range table.hosts {
		slices.SortFunc(claimants, func(left, right *Service) int {
			return cmp.Or(
				len(right.Settings.PathPrefix)-len(left.Settings.PathPrefix),
				cmp.Compare(left.Name, right.Name),
			)
		})
	}
	return table
}

// rulesOf lists a service's rules, longest path first.
func rulesOf(entry *Service, options Options) []rule {
	var rules []rule
	for name, classSettings := range entry.Settings.Classes {
		class := &Class{
			Name:     name,
			Settings: classSettings,
			Metrics:  options.Registry.Class(metrics.ClassKey{Tenant: options.Site.Tenant, Service: entry.Name, Class: name}),
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

// Services returns every service, by name.
func (table *Table) Services() []*Service {
	services := make([]*Service, 0, len(table.services))
	for _, entry := range table.services {
		services = append(services, entry)
	}
	slices.SortFunc(services, func(left, right *Service) int { return cmp.Compare(left.Name, right.Name) })
	return services
}

// Route finds where a request belongs. The error is ErrNoService, ErrNotUnderstood or ErrNoClass.
func (table *Table) Route(host, method, path string) (Route, error) {
	if len(table.entries) > 0 {
		return table.routeByEntry(host, path)
	}
	for _, candidate := range table.hosts[hostName(host)] {
		if !below(path, candidate.Settings.PathPrefix) {
			continue
		}
		for _, rule := range candidate.rules {
			if rule.method == method && below(path, rule.prefix) {
				return Route{Service: candidate, Class: rule.class}, nil
			}
		}
		return Route{Service: candidate}, ErrNoClass
	}
	return Route{}, ErrNoService
}

// hostName takes the port off and folds case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// below reports whether path is prefix or lies under it. "/pay" does not contain "/payments".
func below(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	if !found {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
