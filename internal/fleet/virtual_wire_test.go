package fleet

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// wire is what happens to datagrams, and to calls between instances, while changes last.
type wire struct {
	fleet *virtualFleet
	links []link
	// oneWay are the pairs between which nothing passes.
	oneWay map[[2]int]bool
	// parts is into how many parts the fleet is cut, by data centre if there are enough; 0 when it is whole.
	parts int
}

// wireEnd is what a machine's links suffer.
type link struct {
	down, storeUnreachable, storeRefuses bool
	loss, doubled                        float64
	maxDelay                             clock.Milliseconds
	sent                                 uint64
}

// Harm that links suffer.
const (
	lossRate      = 0.3
	duplicateRate = 0.5
	lateMaxDelay  = 300 * clock.Millisecond
	// usualLoss is lost between any two machines at any time, usualDelay what datagrams take at most.
	baseLoss     = 0.0
	baseMaxDelay = 9 * clock.Millisecond
)

func newWire(fleet *virtualFleet) wire {
	return wire{fleet: fleet, links: make([]link, len(fleet.machines)), oneWay: map[[2]int]bool{}}
}

// refresh works out anew what links suffer by the changes that last.
func (wire *wire) refresh(active []change) {
	clear(wire.oneWay)
	wire.parts = 0
	for number := range wire.links {
		wire.links[number] = link{sent: wire.links[number].sent}
	}
	for _, change := range active {
		end := &wire.links[change.One]
		switch change.Kind {
		case cutOneWay:
			wire.oneWay[[2]int{change.One, change.Other}] = true
		case cutOff:
			end.down, end.storeUnreachable = true, true
		case partition:
			wire.parts = 2 + change.Other%3
		case lossy:
			end.loss = lossRate
		case doubled:
			end.doubled = duplicateRate
		case late:
			end.maxDelay = lateMaxDelay
		case storeCut:
			end.storeUnreachable = true
		case storeRefuses:
			for number := range wire.links {
				wire.links[number].storeRefuses = wire.links[number].storeRefuses || storeRefusesMachine(change, number)
			}
		default:
		}
	}
}

// refused tells which machines a store turns away that refuses some.
func storeRefusesMachine(change change, number int) bool {
	return (number+change.One)%3 != change.Other%3
}

// cut reports whether nothing passes from one machine to another.
func (wire *wire) cut(from, to *machine) bool {
	return wire.links[from.number].down || wire.links[to.number].down || wire.oneWay[[2]int{from.number, to.number}] ||
		wire.parts > 0 && wire.part(from) != wire.part(to)
}

func (wire *wire) part(machine *machine) int {
	number := machine.number
	if wire.fleet.options.dataCentres >= wire.parts {
		number %= wire.fleet.options.dataCentres
	}
	return number % wire.parts
}

// passes decides the fate of the next datagram.
func (wire *wire) passes(from, to *machine) bool {
	wire.links[from.number].sent++
	loss := max(baseLoss, wire.links[from.number].loss, wire.links[to.number].loss)
	return !wire.cut(from, to) && wire.random(from, to, 1) >= loss
}

func (wire *wire) copies(from, to *machine) int {
	if wire.random(from, to, 2) < max(wire.links[from.number].doubled, wire.links[to.number].doubled) {
		return 2
	}
	return 1
}

func (wire *wire) delay(from, to *machine) clock.Milliseconds {
	late := max(baseMaxDelay, wire.links[from.number].maxDelay, wire.links[to.number].maxDelay)
	return late * clock.Milliseconds(wire.random(from, to, 3))
}

// draw is a number from 0 to 1 that depends on the datagram alone, so that a schedule with a change less differs no more than it must.
func (wire *wire) random(from, to *machine, salt uint64) float64 {
	mixed := wire.fleet.options.seed
	for _, part := range []uint64{uint64(from.number), uint64(to.number), wire.links[from.number].sent, salt} {
		mixed = (mixed ^ part) + 0x9e3779b97f4a7c15
		mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
		mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
		mixed ^= mixed >> 31
	}
	return float64(mixed>>11) / (1 << 53)
}

// disturb notes which machines, and whether the store, suffer by the changes that last.
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

// lasting returns the first change of a kind that lasts.
func (fleet *virtualFleet) isActive(kind changeKind) bool {
	return slices.ContainsFunc(fleet.active, func(change change) bool { return change.Kind == kind })
}
