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

// What the targets of this test bear, and what the users allow on top over all instances in any second.
const (
	ownedColdRate  = 4.0
	ownedColdOver  = 1.5
	ownedColdSlack = 5.0
	ownedTargets   = 6
	ownedStep      = 10 * clock.Millisecond
	ownedPause     = 50 * clock.Millisecond
)

// ownedFleet is a few instances in virtual time, whose datagrams may be lost, delayed or cut off and which are paused and
// restarted, on cold targets that all of them want to use as much as they may.
type ownedFleet struct {
	clock     *clock.Manual
	random    *rand.Rand
	nodes     []*ownedNode
	underWay  []ownedDatagram
	cut       map[[2]int]bool
	late      clock.Milliseconds
	sent      map[settings.TargetName][]clock.Moment
	nextProbe clock.Moment
}

type ownedNode struct {
	consumer

	number     int
	pausedTill clock.Moment
}

type ownedDatagram struct {
	to   int
	at   clock.Moment
	text []byte
}

func newOwnedFleet(seed uint64, count int) *ownedFleet {
	fleet := &ownedFleet{
		clock: clock.NewManual(), random: rand.New(rand.NewPCG(seed, 5)), cut: map[[2]int]bool{}, sent: map[settings.TargetName][]clock.Moment{},
	}
	fleet.clock.Advance(clock.Second)
	for number := range count {
		fleet.nodes = append(fleet.nodes, &ownedNode{number: number})
		fleet.restart(fleet.nodes[number])
	}
	return fleet
}

// restart starts an instance anew; it knows nothing of before. What it sent before is still at the targets.
func (fleet *ownedFleet) restart(node *ownedNode) {
	seeds := make([]netip.AddrPort, 0, len(fleet.nodes))
	for number := range 3 {
		seeds = append(seeds, netip.MustParseAddrPort(identity(number).Peer))
	}
	node.places = nil
	node.controller = NewController(Options{
		Self: identity(node.number), Incarnation: membership.Incarnation(fleet.random.Uint64()), Clock: &fleet.clock.Clock,
		Awake: &fleet.clock.Clock, Rand: rand.New(rand.NewPCG(fleet.random.Uint64(), 1)), Seeds: seeds,
		Servers: backendserver.NewServers(&fleet.clock.Clock), Registry: metrics.NewRegistry(), Log: zerolog.Nop(),
		Bounds:  settings.GatewayBounds{ProbesPerSecond: 60, MaxAddressTTL: 5000},
		Send:    func(to netip.AddrPort, text []byte) { fleet.send(node.number, to, text) },
		SetJobs: func(jobs []sensing.Job) { node.jobs = jobs },
	})
	node.controller.SetFeed(Feed{
		SetRole: func(catalog.Role) {}, Follow: func(catalog.Revision) {}, Refresh: func() {}, CatchUp: func(catalog.Revision) {}, ReadStale: func() {},
		Contact: fleet.clock.Now, Failing: func() bool { return false }, PeerFailing: func() bool { return false },
	})
	node.controller.applyView(coldView(ownedTargets, fixtureDataCentres))
}

func (fleet *ownedFleet) send(from int, to netip.AddrPort, text []byte) {
	for number := range fleet.nodes {
		if identity(number).Peer != to.String() || fleet.cut[[2]int{from, number}] || fleet.random.Float64() < 0.03 {
			continue
		}
		delay := ownedStep + clock.Milliseconds(fleet.random.Float64())*fleet.late
		fleet.underWay = append(fleet.underWay, ownedDatagram{to: number, at: fleet.clock.Now().Add(delay), text: text})
	}
}

// step lets a moment pass: datagrams arrive, instances tick, probe and send whatever they may.
func (fleet *ownedFleet) step() {
	fleet.clock.Advance(ownedStep)
	now := fleet.clock.Now()
	waiting := fleet.underWay[:0]
	var arriving []ownedDatagram
	for _, datagram := range fleet.underWay {
		if datagram.at > now || now < fleet.nodes[datagram.to].pausedTill {
			waiting = append(waiting, datagram)
			continue
		}
		arriving = append(arriving, datagram)
	}
	fleet.underWay = append([]ownedDatagram(nil), waiting...)
	probes := now >= fleet.nextProbe
	if probes {
		fleet.nextProbe = now.Add(ownedPause)
	}
	for _, node := range fleet.nodes {
		if now < node.pausedTill {
			continue
		}
		// A request that waited out a pause is placed before anything else happens: the worst order.
		for _, name := range node.use(now) {
			fleet.sent[name] = append(fleet.sent[name], now)
		}
		for _, datagram := range arriving {
			if message, err := Decode(datagram.text); datagram.to == node.number && err == nil {
				node.controller.hear(message)
			}
		}
		node.controller.tick()
		if probes {
			node.probe(now)
		}
	}
}

// trouble changes something at random.
func (fleet *ownedFleet) trouble() string {
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
		fleet.nodes[one].pausedTill = fleet.clock.Now().Add(clock.Milliseconds(fleet.random.IntN(3000)))
		return fmt.Sprintf("pause %d", one)
	default:
		fleet.late = clock.Milliseconds(fleet.random.IntN(300))
		return fmt.Sprintf("datagrams late by up to %s", fleet.late)
	}
}

// Servers are cold, and instances that can't hear each other, were paused or have just started disagree who may start them. Each that
// takes itself for the owner sends to them; the sum over all must stay within what the users allow, or the servers crash again.
func TestColdServersBearWhatAllOwnersSend(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playOwnedFleet(t, newOwnedFleet(seed, 5))
		})
	}
}

func playOwnedFleet(t *testing.T, fleet *ownedFleet) {
	var story []string
	for step := range 3000 {
		if step%60 == 59 {
			story = append(story, fmt.Sprintf("%s: %s", clock.Milliseconds(fleet.clock.Now()), fleet.trouble()))
		}
		fleet.step()
	}
	total := 0
	for name, moments := range fleet.sent {
		total += len(moments)
		for _, from := range moments {
			most := ownedColdRate*ownedColdOver + ownedColdSlack
			require.LessOrEqual(t, float64(within(moments, from, clock.Second)), most, "%s, from %s: %v", name, clock.Milliseconds(from), story)
		}
	}
	require.Greater(t, total, ownedTargets*30, "cold servers get next to nothing")
}
