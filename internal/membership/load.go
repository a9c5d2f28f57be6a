package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Utilization is the part of its processor or of its link that an instance uses, whichever is higher, in thousandths.
type Utilization int

// FullUtilization is the Utilization of an instance that can do no more.
const FullUtilization = 1000

// Parameters of the number of serving instances. Callers distribute themselves evenly over the serving instances, so that the
// smallest one determines how many are needed.
const (
	// More instances begin to serve above maxServingUtilization, as many as reduce the utilization to targetUtilization. Fewer serve
	// when they have been below minServingUtilization for shrinkDelay. The gap prevents instances from starting and stopping to serve
	// in turn, each of which moves callers and ownership of backend servers.
	maxServingUtilization = 700
	targetUtilization     = 550
	minServingUtilization = 350
	shrinkDelay           = 10 * clock.Second
	// growDelay is the time between two increases: callers must have got the addresses of the instances that have begun to serve before
	// the load is measured again. maxGrowth limits an increase, since an instance that can do no more does not show how much more is needed.
	growDelay = 2 * clock.Second
	maxGrowth = 2
	// maxServing is the maximum number of serving instances: an address answer has no room for more.
	maxServing = 64
	// loadReportInterval is the time between two load reports to a serving instance, loadReportTimeout the time after which a report
	// is out of date.
	loadReportInterval = 500 * clock.Millisecond
	loadReportTimeout  = standbyTimeout
)

// LoadReport announces the load of a serving instance, and how many instances should serve in its view.
type LoadReport struct {
	_           struct{} `cbor:",toarray"`
	Sender      settings.InstanceName
	Incarnation Incarnation
	Sequence    uint64
	// Utilization is negative if callers should not be sent to the sender for a while: -1 - u for the utilization u. Messages are told
	// apart by their number of fields, and instances of earlier versions take a negative utilization for 0.
	Utilization Utilization
	// WantedServing is the number of instances of the whole fleet that should serve; 0 is the minimum.
	WantedServing int
}

// reportedLoad is the last load report of another instance.
type reportedLoad struct {
	utilization   Utilization
	wantedServing int
	relieved      bool
	sequence      uint64
	receivedAt    clock.Moment
}

// loadState is what an instance decides and announces about load.
type loadState struct {
	utilization Utilization
	// wantedServing is the number of instances that should serve by the reports of all serving instances, ownWanted by this one's
	// measurements alone; 0 is the minimum.
	wantedServing, ownWanted int
	// lowSince is since when fewer instances would suffice, 0 while they would not. grownAt is when ownWanted last increased.
	lowSince, grownAt clock.Moment
	relief            relief
	sequence          uint64
}

// Utilization returns this instance's own utilization.
func (members *Members) Utilization() Utilization {
	return members.load.utilization
}

// SetUtilization sets this instance's own utilization.
func (members *Members) SetUtilization(utilization Utilization) {
	members.load.utilization = utilization
}

// ReceiveLoad records another instance's load report. Reports that are out of order are ignored.
func (members *Members) ReceiveLoad(report LoadReport) {
	member, known := members.roster.byName[report.Sender]
	if !known || member.Incarnation != report.Incarnation || report.Sequence <= member.load.sequence {
		return
	}
	utilization, relieved := report.Utilization, report.Utilization < 0
	if relieved {
		utilization = -1 - utilization
	}
	member.load = reportedLoad{
		utilization: min(utilization, FullUtilization), wantedServing: min(max(report.WantedServing, 0), maxServing), relieved: relieved,
		sequence: report.Sequence, receivedAt: members.options.Clock.Now(),
	}
}

// DueLoadReports returns the addresses to which a load report is due now, and records them as sent. Standby instances get reports only
// while more than the minimum should serve, and only from the minimum of serving instances; without a report they assume the minimum. They
// also get those of an instance that is relieved, since they tell callers which instances to use.
func (members *Members) DueLoadReports() []netip.AddrPort {
	if members.state != Serving {
		return nil
	}
	now := members.options.Clock.Now()
	var due []netip.AddrPort
	for _, member := range members.roster.listAlive() {
		interval := loadReportInterval
		if member.State != Serving {
			if !members.load.relief.active(now) && (members.load.wantedServing == 0 || !members.amongMinimum()) {
				continue
			}
			interval = standbyInterval
		}
		if now < member.nextLoadReport {
			continue
		}
		member.nextLoadReport = now.Add(interval)
		due = append(due, member.Address)
	}
	return due
}

// NewLoadReport returns the next load report.
func (members *Members) NewLoadReport() LoadReport {
	members.load.sequence++
	utilization := members.load.utilization
	if members.load.relief.active(members.options.Clock.Now()) {
		utilization = -1 - utilization
	}
	return LoadReport{
		Sender: members.options.Self.Name, Incarnation: members.options.Incarnation, Sequence: members.load.sequence,
		Utilization: utilization, WantedServing: members.load.ownWanted,
	}
}

// WantedServing returns the number of instances that should serve, 0 for the minimum.
func (members *Members) WantedServing() int {
	return members.load.wantedServing
}

// UpdateWantedServing determines how many instances should serve. It reports whether that has changed.
func (members *Members) UpdateWantedServing() bool {
	now := members.options.Clock.Now()
	if members.state == Serving {
		members.updateOwnWanted(now)
		members.updateRelief(now)
	} else {
		members.load.ownWanted, members.load.lowSince, members.load.relief = 0, 0, relief{}
	}
	// The largest number counts. It falls when all serving instances have seen for a while that fewer suffice.
	wanted := members.load.ownWanted
	for _, peer := range members.ServingPeers() {
		if peer.load.current(now) {
			wanted = max(wanted, peer.load.wantedServing)
		}
	}
	if wanted == members.load.wantedServing {
		return false
	}
	members.load.wantedServing = wanted
	members.roster.invalidate()
	for _, member := range members.roster.all {
		member.nextLoadReport = 0
	}
	return true
}

// updateOwnWanted determines how many instances should serve by the load that this instance knows of.
func (members *Members) updateOwnWanted(now clock.Moment) {
	ranking := members.roster.currentRanking(members)
	load := members.servingLoad(now)
	minimum := ranking.minimum
	current := max(members.load.wantedServing, minimum)
	switch {
	case countForLoad(load, ranking.sizes, minimum, maxServingUtilization) > current:
		members.load.lowSince = 0
		if now.Since(max(members.load.grownAt, members.stateSince)) >= growDelay {
			members.load.grownAt = now
			members.load.ownWanted = min(countForLoad(load, ranking.sizes, minimum, targetUtilization), maxGrowth*current)
		}
	case countForLoad(load, ranking.sizes, minimum, minServingUtilization) >= current:
		members.load.lowSince = 0
		members.load.ownWanted = members.load.wantedServing
	case members.load.lowSince == 0:
		members.load.lowSince = now
	case now.Since(members.load.lowSince) >= shrinkDelay:
		members.load.lowSince = 0
		members.load.ownWanted = countForLoad(load, ranking.sizes, minimum, targetUtilization)
	}
	if members.load.ownWanted <= minimum {
		members.load.ownWanted = 0
	}
}

// servingLoad returns the processor capacity that all serving instances need together, in thousandths of a core.
func (members *Members) servingLoad(now clock.Moment) float64 {
	load := float64(members.load.utilization) * float64(members.options.Self.Size)
	for _, peer := range members.ServingPeers() {
		if peer.load.current(now) {
			load += float64(peer.load.utilization) * float64(peer.Identity.Size)
		}
	}
	return load / float64(FullUtilization)
}

// countForLoad returns how many instances, of the given sizes in the order in which they begin to serve, carry the load with no more
// than the given utilization, or the number that carries most of it if none does. Each gets the same part of the load, so many small
// instances beside few large ones may carry less than the large ones alone. It is at least minimum, and at most maxServing.
func countForLoad(load float64, sizes []int, minimum int, utilization Utilization) int {
	best, bestCapacity := minimum, 0.0
	smallest := math.MaxInt
	for index, size := range sizes[:min(len(sizes), max(maxServing, minimum))] {
		smallest = min(smallest, size)
		count := index + 1
		capacity := float64(count) * float64(smallest) * float64(utilization) / float64(FullUtilization)
		if count < minimum {
			continue
		}
		if load <= capacity {
			return count
		}
		if capacity > bestCapacity {
			best, bestCapacity = count, capacity
		}
	}
	return best
}

// addSurplus increases the number of instances of each data centre that should serve until the whole fleet has as many as wanted:
// larger instances first, and of equal ones those of the data centre that has the fewest.
func (ranking *ranking) addSurplus(wanted int) {
	type spare struct {
		dataCentre settings.DataCentreName
		position   int
		size       int
	}
	var spares []spare
	// missing is the number of instances that count for the minimum and reach no backend server, because their whole data centre does
	// not. Others serve in their place.
	missing := 0
	for dataCentre, candidates := range ranking.byDataCentre {
		needed := min(ranking.perDataCentre, len(candidates))
		ranking.needed[dataCentre] = needed
		ranking.minimum += needed
		for position, candidate := range candidates {
			if position < needed {
				ranking.sizes = append(ranking.sizes, candidate.identity.Size)
				missing += boolOrder(candidate.isolated)
				continue
			}
			if candidate.isolated {
				continue
			}
			spares = append(spares, spare{dataCentre: dataCentre, position: position, size: candidate.identity.Size})
		}
	}
	slices.SortFunc(spares, func(left, right spare) int {
		return cmp.Or(right.size-left.size, left.position-right.position, cmp.Compare(left.dataCentre, right.dataCentre))
	})
	for index, spare := range spares {
		ranking.sizes = append(ranking.sizes, spare.size)
		if ranking.minimum+index < max(wanted, ranking.minimum)+missing {
			ranking.needed[spare.dataCentre]++
		}
	}
}
