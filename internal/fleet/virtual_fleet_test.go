package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing/synctest"
	"time"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	virtualStep = 10 * clock.Millisecond
	// virtualPort is the first port of instances that replace others.
	virtualPort = 7001
)

// virtualFleet is a fleet in virtual time: the controllers and catalog readers of all instances, a store, and datagrams
// between them. It runs in a synctest bubble. Each call of a reader starts and ends at a time of its own, so that a schedule
// has the same course each time.
type virtualFleet struct {
	options virtualOptions
	clock   *clock.Clock
	store   *virtualStore
	checks  *checks

	// mutex is held during a step, and by calls of readers between steps.
	mutex     sync.Mutex
	machines  []*machine
	byAddress map[netip.AddrPort]*machine
	random    *rand.Rand
	schedule  []change
	active    []change
	network   network
	steps     int
	inTransit map[int][]packet
	datagrams int
}

// virtualOptions are the parameters of a run besides its schedule.
type virtualOptions struct {
	seed        uint64
	instances   int
	dataCentres int
	servers     int
	length      clock.Milliseconds
	// limits makes the servers warm, and some of them name limits, ask for rest and leave.
	statements bool
	// unsteadyLimits makes limited servers leave out their limit in each unnamedInterval-th answer, and bursts lets callers send for
	// burstLength of each burstInterval only.
	unsteadyLimits, bursts bool
	// ownClocks makes the clock of each process start with it.
	ownClocks bool
	// standbyCallers sends all requests of callers to instances on standby.
	standbyCallers bool
	// load returns the processor capacity that all requests of callers need together, in thousandths of a core; nil for none. It is
	// distributed evenly over the serving instances.
	load func(clock.Moment) float64
	// unreachable reports whether a machine has lost the path to all servers; nil if none ever does.
	unreachable func(number int, now clock.Moment) bool
}

// machine runs one instance at a time.
type machine struct {
	number     int
	generation int
	identity   membership.Identity
	process    *process
	startAt    clock.Moment
	// disturbed is when its process or its links were last disturbed, stoppedAt when its last process ended.
	disturbed clock.Moment
	stoppedAt clock.Moment
	// connectionsLostAt is when its connections to the store last fell silent for good.
	connectionsLostAt clock.Moment
	received          []packet
}

type packet struct {
	to   *machine
	text []byte
}

const never = clock.Moment(1e12)

// newVirtualFleet must be called in a synctest bubble.
func newVirtualFleet(options virtualOptions, schedule []change) *virtualFleet {
	base := clock.New()
	fleet := &virtualFleet{
		options: options, clock: &clock.Clock{Now: func() clock.Moment { return base.Now().Add(clock.Second) }}, schedule: schedule,
		random: rand.New(rand.NewPCG(options.seed, 7)), byAddress: map[netip.AddrPort]*machine{}, inTransit: map[int][]packet{},
	}
	fleet.store = newVirtualStore(fleet)
	fleet.checks = newChecks(fleet)
	for number := range options.instances {
		machine := &machine{number: number, startAt: fleet.clock.Now().Add(clock.Milliseconds(fleet.random.IntN(300)))}
		fleet.machines = append(fleet.machines, machine)
		fleet.setIdentity(machine)
	}
	fleet.network = newNetwork(fleet)
	return fleet
}

// setIdentity sets the identity of the machine's next processes.
func (fleet *virtualFleet) setIdentity(machine *machine) {
	machine.identity = identity(machine.number)
	machine.identity.DataCentre = fleet.dataCentre(machine.number)
	if machine.generation > 0 {
		machine.identity.Name = settings.InstanceName(fmt.Sprintf("entry-%03d-%d", machine.number, machine.generation))
		host := netip.MustParseAddrPort(machine.identity.Peer).Addr()
		machine.identity.Peer = netip.AddrPortFrom(host, uint16(virtualPort+2*machine.generation)).String()
		machine.identity.Caller = netip.AddrPortFrom(host, uint16(virtualPort+2*machine.generation+1)).String()
	}
	if machine.number%7 == 3 {
		machine.identity.Size *= 4
	}
	fleet.byAddress[netip.MustParseAddrPort(machine.identity.Peer)] = machine
}

func (fleet *virtualFleet) dataCentre(number int) settings.DataCentreName {
	return settings.DataCentreName(fmt.Sprintf("dc-%d", number%fleet.options.dataCentres))
}

// seeds returns the addresses of the first machines, at most three.
func (fleet *virtualFleet) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for number := range min(3, fleet.options.instances) {
		seeds = append(seeds, netip.MustParseAddrPort(identity(number).Peer))
	}
	return seeds
}

// play runs until the time is over or a check fails.
func (fleet *virtualFleet) play() *violation {
	defer fleet.stop()
	for end := fleet.clock.Now().Add(fleet.options.length); fleet.clock.Now() < end; {
		time.Sleep(virtualStep.Duration())
		synctest.Wait()
		if found := fleet.step(); found != nil {
			return found
		}
	}
	return nil
}

func (fleet *virtualFleet) step() *violation {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.steps++
	now := fleet.clock.Now()
	fleet.applySchedule(now)
	arriving := fleet.inTransit[fleet.steps]
	delete(fleet.inTransit, fleet.steps)
	for _, packet := range arriving {
		packet.to.received = append(packet.to.received, packet)
	}
	for _, machine := range fleet.machines {
		fleet.run(machine, now)
	}
	return fleet.checks.check(now)
}

// run executes one step of a machine. A request that waited during a pause is sent before anything else happens, which is the
// worst order.
func (fleet *virtualFleet) run(machine *machine, now clock.Moment) {
	if machine.process == nil && now >= machine.startAt {
		fleet.start(machine, now)
	}
	process := machine.process
	if process == nil {
		machine.received = nil
		return
	}
	if process.frozen(now) {
		machine.disturbed = now
		return
	}
	if process.gate != nil {
		process.thaw(now)
	}
	if now >= process.leavesAt {
		fleet.end(machine, now)
		return
	}
	state := process.controller.members.State()
	serves := state == membership.Serving || state == membership.Leaving
	if !fleet.options.standbyCallers && serves || !serves && now >= process.nextProbe {
		fleet.sendRequests(machine, now)
	}
	for _, packet := range machine.received {
		if message, err := Decode(packet.text); err == nil {
			process.controller.receiveMessage(message)
		}
	}
	machine.received = nil
	process.handleEvents()
	process.tick(now)
}

// sendRequests sends as many requests of a machine as its process admits.
func (fleet *virtualFleet) sendRequests(machine *machine, now clock.Moment) {
	process := machine.process
	if fleet.options.statements {
		fleet.checks.statements.send(machine, process.time(now), now)
		return
	}
	sent := process.sendRequests(process.time(now))
	if fleet.unreachable(machine, now) {
		process.failConnections(sent)
		return
	}
	fleet.checks.recordSent(process, sent, now)
}

// unreachable reports whether the machine has lost the path to all servers.
func (fleet *virtualFleet) unreachable(machine *machine, now clock.Moment) bool {
	return fleet.options.unreachable != nil && fleet.options.unreachable(machine.number, now)
}

func (fleet *virtualFleet) start(machine *machine, now clock.Moment) {
	first := machine.stoppedAt == 0 && machine.generation == 0 && now < clock.Moment(5*clock.Second)
	machine.startAt = never
	machine.disturbed = now
	machine.stoppedAt = 0
	machine.process = newProcess(fleet, machine, first)
}

// end ends the process of a machine, whatever its state.
func (fleet *virtualFleet) end(machine *machine, now clock.Moment) {
	if machine.process == nil {
		return
	}
	machine.process.stop()
	machine.process = nil
	machine.received = nil
	machine.stoppedAt = now
	machine.disturbed = now
}

func (fleet *virtualFleet) stop() {
	fleet.mutex.Lock()
	for _, machine := range fleet.machines {
		fleet.end(machine, fleet.clock.Now())
	}
	fleet.mutex.Unlock()
	synctest.Wait()
}

// send puts a datagram in transit unless it is lost.
func (fleet *virtualFleet) send(from *machine, to netip.AddrPort, text []byte) {
	receiver, known := fleet.byAddress[to]
	if !known || receiver.identity.Peer != to.String() || !fleet.network.passes(from, receiver) {
		return
	}
	fleet.datagrams++
	for range fleet.network.copies(from, receiver) {
		arrives := fleet.steps + 1 + int(fleet.network.delay(from, receiver)/virtualStep)
		fleet.inTransit[arrives] = append(fleet.inTransit[arrives], packet{to: receiver, text: text})
	}
}

// sleep waits in virtual time, or returns early with the error of the context.
func sleep(ctx context.Context, length clock.Milliseconds) error {
	timer := time.NewTimer(length.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
