package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Limit of the cold targets in this test, and the excess that is allowed over all instances in any second.
const (
	ownedColdRate   = 4.0
	ownedColdFactor = 1.5
	ownedColdSlack  = 5.0
	ownedTargets    = 6
	ownedStep       = 10 * clock.Millisecond
	ownedInterval   = 50 * clock.Millisecond
)

// ownedFleet is a few instances in virtual time that all send as many requests as they may to cold targets. Their datagrams
// may be lost, delayed or cut off, and the instances are paused and restarted.
type ownedFleet struct {
	clock     *clock.Manual
	random    *rand.Rand
	nodes     []*ownedNode
	inTransit []ownedDatagram
	cut       map[[2]int]bool
	maxDelay  clock.Milliseconds
	sent      map[settings.TargetName][]clock.Moment
	nextProbe clock.Moment
	// sendRequests and probe are what an instance does in a step, view returns its view when it starts, and verify is the Verify of
	// its controller, which may be nil.
	sendRequests func(*ownedNode, clock.Moment) []settings.TargetName
	probe        func(*ownedNode, clock.Moment)
	view         func(*ownedNode) *catalog.View
	verify       func(*ownedNode, sensing.Job)
}

type ownedNode struct {
	loadGenerator

	number      int
	pausedUntil clock.Moment
}

type ownedDatagram struct {
	to   int
	at   clock.Moment
	text []byte
}

func newOwnedFleet(seed uint64, count int) *ownedFleet {
	fleet := &ownedFleet{
		clock: clock.NewManual(), random: rand.New(rand.NewPCG(seed, 5)), cut: map[[2]int]bool{}, sent: map[settings.TargetName][]clock.Moment{},
		sendRequests: func(node *ownedNode, now clock.Moment) []settings.TargetName { return node.sendRequests(now) },
		probe:        func(node *ownedNode, now clock.Moment) { node.probe(now) },
		view:         func(*ownedNode) *catalog.View { return newColdView(ownedTargets, fixtureDataCentres) },
	}
	fleet.clock.Advance(clock.Second)
	fleet.startNodes(count)
	return fleet
}

func (fleet *ownedFleet) startNodes(count int) {
	for number := range count {
		fleet.nodes = append(fleet.nodes, &ownedNode{number: number})
		fleet.restart(fleet.nodes[number])
	}
}

// restart starts an instance without any earlier state. The requests that it sent before are still at the targets.
func (fleet *ownedFleet) restart(node *ownedNode) {
	seeds := make([]netip.AddrPort, 0, len(fleet.nodes))
	for number := range 3 {
		seeds = append(seeds, netip.MustParseAddrPort(identity(number).Peer))
	}
	node.permits = nil
	node.controller = NewController(Options{
		Self: identity(node.number), Incarnation: membership.Incarnation(fleet.random.Uint64()), Clock: &fleet.clock.Clock,
		BootClock: &fleet.clock.Clock, Rand: rand.New(rand.NewPCG(fleet.random.Uint64(), 1)), Seeds: seeds,
		Servers: backendserver.NewServers(&fleet.clock.Clock), Registry: metrics.NewRegistry(), Log: zerolog.Nop(),
		Bounds:  settings.GatewayBounds{ProbesPerSecond: 60, MaxAddressTTL: 5000},
		Send:    func(to netip.AddrPort, text []byte) { fleet.send(node.number, to, text) },
		SetJobs: func(jobs []sensing.Job) { node.jobs = jobs },
	})
	node.controller.SetCatalogReader(CatalogReader{
		SetRole: func(catalog.Role) {}, SetPhase: func(float64) {}, SetPeerRevision: func(catalog.Revision) {}, Refresh: func() {},
		CatchUp: func(catalog.Revision) {}, ReadStale: func() {},
		LastResponse: fleet.clock.Now, Failing: func() bool { return false }, PeerFailing: func() bool { return false },
	})
	if fleet.verify != nil {
		node.controller.options.Verify = func(job sensing.Job) { fleet.verify(node, job) }
	}
	node.controller.applyView(fleet.view(node))
}

func (fleet *ownedFleet) send(from int, to netip.AddrPort, text []byte) {
	for number := range fleet.nodes {
		if identity(number).Peer != to.String() || fleet.cut[[2]int{from, number}] || fleet.random.Float64() < 0.03 {
			continue
		}
		delay := ownedStep + clock.Milliseconds(fleet.random.Float64())*fleet.maxDelay
		fleet.inTransit = append(fleet.inTransit, ownedDatagram{to: number, at: fleet.clock.Now().Add(delay), text: text})
	}
}

// step advances time by one step: datagrams arrive, and instances tick, probe and send as many requests as they may.
func (fleet *ownedFleet) step() {
	fleet.clock.Advance(ownedStep)
	now := fleet.clock.Now()
	waiting := fleet.inTransit[:0]
	var arriving []ownedDatagram
	for _, datagram := range fleet.inTransit {
		if datagram.at > now || now < fleet.nodes[datagram.to].pausedUntil {
			waiting = append(waiting, datagram)
			continue
		}
		arriving = append(arriving, datagram)
	}
	fleet.inTransit = append([]ownedDatagram(nil), waiting...)
	probes := now >= fleet.nextProbe
	if probes {
		fleet.nextProbe = now.Add(ownedInterval)
	}
	for _, node := range fleet.nodes {
		if now < node.pausedUntil {
			continue
		}
		// A request that waited during a pause is sent before anything else happens, which is the worst order.
		for _, name := range fleet.sendRequests(node, now) {
			fleet.sent[name] = append(fleet.sent[name], now)
		}
		for _, datagram := range arriving {
			if message, err := Decode(datagram.text); datagram.to == node.number && err == nil {
				node.controller.receiveMessage(message)
			}
		}
		node.controller.tick()
		if probes {
			fleet.probe(node, now)
		}
	}
}

// injectFault injects a random fault and returns its description.
func (fleet *ownedFleet) injectFault() string {
	one, other := fleet.random.IntN(len(fleet.nodes)), fleet.random.IntN(len(fleet.nodes))
	switch fleet.random.IntN(6) {
	case 0:
		fleet.cut[[2]int{one, other}] = true
		return fmt.Sprintf("cut from %d to %d", one, other)
	case 1:
		for number := range fleet.nodes {
			fleet.cut[[2]int{one, number}], fleet.cut[[2]int{number, one}] = true, true
		}
		return fmt.Sprintf("cut off %d", one)
	case 2:
		clear(fleet.cut)
		return "heal"
	case 3:
		fleet.restart(fleet.nodes[one])
		return fmt.Sprintf("restart %d", one)
	case 4:
		fleet.nodes[one].pausedUntil = fleet.clock.Now().Add(clock.Milliseconds(fleet.random.IntN(3000)))
		return fmt.Sprintf("pause %d", one)
	default:
		fleet.maxDelay = clock.Milliseconds(fleet.random.IntN(300))
		return fmt.Sprintf("datagrams delayed by up to %s", fleet.maxDelay)
	}
}

// Guards against cold servers that crash under the load of several owners. Instances that cannot reach each other, were paused
// or have just started disagree on which of them owns a server, and each instance that considers itself the owner sends requests to it.
// The sum over all instances must stay within what is allowed.
func TestColdServerLoadIsBoundedOverAllOwners(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runOwnedFleet(t, newOwnedFleet(seed, 5))
		})
	}
}

func runOwnedFleet(t *testing.T, fleet *ownedFleet) {
	var faults []string
	for step := range 3000 {
		if step%60 == 59 {
			faults = append(faults, fmt.Sprintf("%s: %s", clock.Milliseconds(fleet.clock.Now()), fleet.injectFault()))
		}
		fleet.step()
	}
	total := 0
	for name, moments := range fleet.sent {
		total += len(moments)
		for _, from := range moments {
			limit := ownedColdRate*ownedColdFactor + ownedColdSlack
			require.LessOrEqual(t, float64(countWithin(moments, from, clock.Second)), limit, "%s, from %s: %v", name, clock.Milliseconds(from), faults)
		}
	}
	require.Greater(t, total, ownedTargets*30, "cold servers receive next to no requests")
}
