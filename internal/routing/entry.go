package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Entry is a route by host and path prefix. Its requests go to one service or are split among several.
type Entry struct {
	Host string
	// Prefix begins and ends with a slash. The longest matching prefix takes precedence.
	Prefix string
	Class  *Class
	// Public is true if requests need no API key.
	Public bool
	// Services are the services of the entry. It is empty when the configuration does not resolve to a service.
	Services []WeightedService

	mutex sync.Mutex
}

// WeightedService is a service with its share of an entry's requests.
type WeightedService struct {
	Service *Service
	Weight  int

	// currentWeight is the current weight of smooth weighted round robin: how far the service is behind its share.
	currentWeight int
}

// next chooses a service by smooth weighted round robin. Each service gets its share over any short sequence of requests, which
// a random choice does not give: of 100 requests, a service with 10 % of the weight would get fewer than 5 or more than 15 in
// one of ten sequences.
func (entry *Entry) next() *Service {
	if len(entry.Services) == 1 {
		return entry.Services[0].Service
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	total := 0
	best := &entry.Services[0]
	for index := range entry.Services {
		weighted := &entry.Services[index]
		weighted.currentWeight += weighted.Weight
		total += weighted.Weight
		if weighted.currentWeight > best.currentWeight {
			best = weighted
		}
	}
	best.currentWeight -= total
	return best.Service
}

// entriesByHost groups entries by host name, with the longest prefix first.
func entriesByHost(entries []*Entry) map[string][]*Entry {
	byHost := map[string][]*Entry{}
	for _, entry := range entries {
		host := hostName(entry.Host)
		byHost[host] = append(byHost[host], entry)
	}
	for _, hostEntries := range byHost {
		slices.SortFunc(hostEntries, func(left, right *Entry) int {
			return cmp.Or(len(right.Prefix)-len(left.Prefix), cmp.Compare(left.Prefix, right.Prefix))
		})
	}
	return byHost
}

// routeByEntry returns the route of the first entry that matches. The error is ErrNoService or ErrUnresolvedRoute.
func (table *Table) routeByEntry(host, path string) (Route, error) {
	for _, entry := range table.entries[hostName(host)] {
		if strings.HasPrefix(path, entry.Prefix) {
			if len(entry.Services) == 0 {
				return Route{}, ErrUnresolvedRoute
			}
			return Route{Service: entry.next(), Class: entry.Class, Public: entry.Public}, nil
		}
	}
	return Route{}, ErrNoService
}

// RouteTo returns the route of the entry that matches the host and path, to the given service rather than the one whose turn it is.
// It reports whether the entry has that service.
func (table *Table) RouteTo(host, path string, name settings.ServiceName) (Route, bool) {
	for _, entry := range table.entries[hostName(host)] {
		if !strings.HasPrefix(path, entry.Prefix) {
			continue
		}
		for index := range entry.Services {
			if service := entry.Services[index].Service; service.Name == name {
				return Route{Service: service, Class: entry.Class, Public: entry.Public}, true
			}
		}
		return Route{}, false
	}
	return Route{}, false
}
