package fleet

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// network applies the active changes to datagrams, and to calls between instances.
type network struct {
	fleet *virtualFleet
	links []machineLink
	// oneWay are the pairs of machines of which the first cannot reach the second.
	oneWay map[[2]int]bool
	// parts is the number of parts into which the fleet is partitioned, by data centre if there are enough; 0 if it is whole.
	parts int
}

// machineLink is the state of the links of a machine.
type machineLink struct {
	down, storeUnreachable, storeRefuses bool
	loss, doubled                        float64
	maxDelay                             clock.Milliseconds
	sent                                 uint64
}

// Faults of links.
const (
	lossRate      = 0.3
	duplicateRate = 0.5
	lateMaxDelay  = 300 * clock.Millisecond
	// baseLoss is the loss between any two machines without faults, baseMaxDelay the maximum delay of their datagrams.
	baseLoss     = 0.0
	baseMaxDelay = 9 * clock.Millisecond
)

func newNetwork(fleet *virtualFleet) network {
	return network{fleet: fleet, links: make([]machineLink, len(fleet.machines)), oneWay: map[[2]int]bool{}}
}

// refresh computes the state of the links from the active changes.
func (network *network) refresh(active []change) {
	clear(network.oneWay)
	network.parts = 0
	for number := range network.links {
		network.links[number] = machineLink{sent: network.links[number].sent}
	}
	for _, change := range active {
		link := &network.links[change.One]
		switch change.Kind {
		case cutOneWay:
			network.oneWay[[2]int{change.One, change.Other}] = true
		case cutOff:
			link.down, link.storeUnreachable = true, true
		case partition:
			network.parts = 2 + change.Other%3
		case lossy:
			link.loss = lossRate
		case doubled:
			link.doubled = duplicateRate
		case late:
			link.maxDelay = lateMaxDelay
		case storeCut:
			link.storeUnreachable = true
		case storeRefusesOne:
			link.storeRefuses = true
		case storeRefuses:
			for number := range network.links {
				network.links[number].storeRefuses = network.links[number].storeRefuses || storeRefusesMachine(change, number)
			}
		default:
		}
	}
}

// storeRefusesMachine reports whether a store that refuses the calls of some machines refuses those of the given one.
func storeRefusesMachine(change change, number int) bool {
	return (number+change.One)%3 != change.Other%3
}

// cut reports whether nothing passes from one machine to another.
func (network *network) cut(from, to *machine) bool {
	return network.links[from.number].down || network.links[to.number].down || network.oneWay[[2]int{from.number, to.number}] ||
		network.parts > 0 && network.part(from) != network.part(to)
}

func (network *network) part(machine *machine) int {
	number := machine.number
	if network.fleet.options.dataCentres >= network.parts {
		number %= network.fleet.options.dataCentres
	}
	return number % network.parts
}

// passes reports whether the next datagram arrives.
func (network *network) passes(from, to *machine) bool {
	network.links[from.number].sent++
	loss := max(baseLoss, network.links[from.number].loss, network.links[to.number].loss)
	return !network.cut(from, to) && network.random(from, to, 1) >= loss
}

func (network *network) copies(from, to *machine) int {
	if network.random(from, to, 2) < max(network.links[from.number].doubled, network.links[to.number].doubled) {
		return 2
	}
	return 1
}

func (network *network) delay(from, to *machine) clock.Milliseconds {
	late := max(baseMaxDelay, network.links[from.number].maxDelay, network.links[to.number].maxDelay)
	return late * clock.Milliseconds(network.random(from, to, 3))
}

// random returns a number from 0 to 1 that depends on the datagram alone, so that the run of a schedule with one change less
// differs no more than necessary.
func (network *network) random(from, to *machine, salt uint64) float64 {
	mixed := network.fleet.options.seed
	for _, part := range []uint64{uint64(from.number), uint64(to.number), network.links[from.number].sent, salt} {
		mixed = (mixed ^ part) + 0x9e3779b97f4a7c15
		mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
		mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
		mixed ^= mixed >> 31
	}
	return float64(mixed>>11) / (1 << 53)
}

// markDisturbed records which machines are disturbed by the active changes, and whether the store is.
func (fleet *virtualFleet) markDisturbed(now clock.Moment) {
	for _, change := range fleet.active {
		switch change.Kind {
		case partition:
			for _, machine := range fleet.machines {
				machine.disturbed = now
			}
		case storeRefuses:
			fleet.store.refusingAt = now
		case storeDown, storeSlow, storeLags:
			fleet.store.degradedAt = now
		case cutOneWay:
			fleet.machines[change.One].disturbed = now
			fleet.machines[change.Other].disturbed = now
		default:
			fleet.machines[change.One].disturbed = now
		}
	}
}

// isActive reports whether a change of the given kind is active.
func (fleet *virtualFleet) isActive(kind changeKind) bool {
	return slices.ContainsFunc(fleet.active, func(change change) bool { return change.Kind == kind })
}
