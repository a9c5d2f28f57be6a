package catalog

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Ranges of the fields of a Configuration. A value outside of its range is replaced by the nearest one within.
const (
	// MaxVersion is the highest version: versions have 32 bits, and after a higher one no later configuration would be put in force.
	MaxVersion Version = math.MaxUint32
	// MaxTimeout is the longest timeout of a route, far longer than any caller waits.
	MaxTimeout = 60 * clock.Minute
	// MaxAttempts is the maximum number of attempts: no request is sent to more backend servers.
	MaxAttempts = 10
	// MaxShares is the maximum number of services that a route is split among, since each request of the route looks at all of them.
	MaxShares = 256
	// MaxWeight is the highest weight of a share: sums of higher ones could overflow.
	MaxWeight = 1_000_000
	// MaxServerConnections is the maximum number of connections to one backend server, which has as many ports.
	MaxServerConnections = 65_535
	// MaxColdRate is the highest rate of requests per second to a cold backend server, far more than a warm one serves.
	MaxColdRate = 1e6
	// MaxProbePathLength is the maximum length of the path of probes, which are sent all the time.
	MaxProbePathLength = 2048
	// MaxServices is the maximum number of services: each takes 10 KB, and time at each tick of the control goroutine.
	MaxServices = 1000
	// MaxTeamRate and MaxTeamBurst limit the rate and the burst of a team. No fleet serves more than that.
	MaxTeamRate  = 1e7
	MaxTeamBurst = 1e8
)

// WeightedService is a service with the weight of its share, which may be any number.
type WeightedService struct {
	Service settings.ServiceName
	Weight  float64
}

// NewSplit returns the shares of a route in proportion to the weights. Services without a positive weight get none, and those beyond
// MaxShares are left out.
func NewSplit(services []WeightedService) []Share {
	var used []WeightedService
	highest, whole := 0.0, true
	for _, service := range services {
		// NaN fails the comparison.
		if usable := service.Weight > 0 && service.Weight <= math.MaxFloat64 && service.Service != ""; !usable || len(used) == MaxShares {
			continue
		}
		used = append(used, service)
		highest, whole = max(highest, service.Weight), whole && service.Weight == math.Trunc(service.Weight)
	}
	shares := make([]Share, 0, len(used))
	for _, service := range used {
		weight := service.Weight
		if !whole || highest > MaxWeight {
			weight = max(math.Round(weight/highest*MaxWeight), 1)
		}
		shares = append(shares, Share{Service: service.Service, Weight: int(weight)})
	}
	return shares
}

// Normalize replaces values that are out of range, and returns the number of services that are left out because there are too many.
func (configuration *Configuration) Normalize() int {
	for index := range configuration.Routes {
		configuration.Routes[index].normalize()
	}
	for name, limits := range configuration.Services {
		limits.normalize()
		configuration.Services[name] = limits
	}
	for index := range configuration.Teams {
		normalizeTeam(&configuration.Teams[index])
	}
	return configuration.limitServices()
}

// limitServices keeps the first services that routes name, and those with limits in the order of their names, up to MaxServices in all. It
// returns the number of others.
func (configuration *Configuration) limitServices() int {
	kept, omitted := map[settings.ServiceName]bool{}, map[settings.ServiceName]bool{}
	keep := func(name settings.ServiceName) bool {
		if !kept[name] && len(kept) == MaxServices {
			omitted[name] = true
			return false
		}
		kept[name] = true
		return true
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		if slices.ContainsFunc(route.Split, func(share Share) bool { return !keep(share.Service) }) {
			route.Split = slices.DeleteFunc(slices.Clone(route.Split), func(share Share) bool { return !kept[share.Service] })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		if !keep(name) {
			delete(configuration.Services, name)
		}
	}
	return len(omitted)
}

func (route *Route) normalize() {
	if len(route.Name) > MaxNameLength {
		// The name is written into the log with requests.
		route.Name = settings.ClassName(strings.ToValidUTF8(string(route.Name[:MaxNameLength]), ""))
	}
	route.Timeout = within(route.Timeout, 0, MaxTimeout)
	route.SoftDeadline = within(route.SoftDeadline, 0, MaxTimeout)
	route.Attempts = min(max(route.Attempts, 1), MaxAttempts)
	route.Priority = min(max(route.Priority, 0), settings.LowestPriority)
	for _, share := range route.Split {
		if share.Weight < 1 || share.Weight > MaxWeight || share.Service == "" || len(route.Split) > MaxShares {
			route.renewSplit()
			return
		}
	}
}

func (route *Route) renewSplit() {
	services := make([]WeightedService, 0, len(route.Split))
	for _, share := range route.Split {
		services = append(services, WeightedService{Service: share.Service, Weight: float64(share.Weight)})
	}
	route.Split = NewSplit(services)
}

func (limits *ServiceLimits) normalize() {
	limits.MaxConnections = min(max(limits.MaxConnections, 0), MaxServerConnections)
	limits.ColdRate = within(limits.ColdRate, 0, MaxColdRate)
	if len(limits.ProbePath) > MaxProbePathLength {
		limits.ProbePath = ""
	}
}

func normalizeTeam(configured *team.Team) {
	configured.Rate = within(configured.Rate, 0, MaxTeamRate)
	configured.Burst = within(configured.Burst, 0, MaxTeamBurst)
	configured.Priority = min(max(configured.Priority, team.NoPriority), settings.LowestPriority)
}

// within returns the value, or the nearest one within the range; for NaN that is the lowest.
func within[Number ~float64](value, lowest, highest Number) Number {
	if value >= lowest {
		return min(value, highest)
	}
	return lowest
}
