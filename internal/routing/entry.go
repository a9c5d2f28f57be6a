package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync"
)

// Entry is a route by host and path prefix, whose requests go to one service or are split among several.
type Entry struct {
	Host string
	// Prefix begins and ends with a slash; the longest one that begins a path wins.
	Prefix string
	Class  *Class
	// Public says that requests need no API key.
	Public bool
	// Services is empty when it is not known where the requests belong.
	Services []WeightedService

	mutex sync.Mutex
}

// WeightedService is a service's part of an entry's requests.
type WeightedService struct {
	Service *Service
	Weight  int

	// credit is how far the part lags behind its share.
	credit int
}

// next picks the part whose turn it is. Each part gets its share over any short span, which chance would not give: of
// 100 requests, a part of 10 in 100 would get fewer than 5 or more than 15 once in ten spans.
func (entry *Entry) next() *Service {
	if len(entry.Services) == 1 {
		return entry.Services[0].Service
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	total := 0
	best := &entry.Services[0]
	for index := range entry.Services {
		part := &entry.Services[index]
		part.credit += part.Weight
		total += part.Weight
		if part.credit > best.credit {
			best = part
		}
	}
	best.credit -= total
	return best.Service
}

func entriesByHost(entries []*Entry) map[string][]*Entry {
	byHost := map[string][]*Entry{}
	for _, entry := range entries {
		host := hostName(entry.Host)
		byHost[host] = append(byHost[host], entry)
	}
	for _, claimants := range byHost {
		slices.SortFunc(claimants, func(left, right *Entry) int {
			return cmp.Or(len(right.Prefix)-len(left.Prefix), cmp.Compare(left.Prefix, right.Prefix))
		})
	}
	return byHost
}

// routeByEntry finds the entry for a request. The error is ErrNoService or ErrNotUnderstood.
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
