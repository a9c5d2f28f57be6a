package fleet

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// With coldSeeds, runs of so many other seeds take the place of those with fixed seeds, each with coldInstances instances.
var (
	coldSeeds     = flag.Int("cold.seeds", 0, "seeds of the runs with servers that turn cold")
	coldInstances = flag.Int("cold.instances", 24, "instances of these runs")
)

// Work, load and warm-up of the backend servers of a coldFleet, those of the users' sites.
const (
	coldSlots       = 3
	coldWork        = 160 * clock.Millisecond
	coldTime        = 3 * clock.Second
	coldWarmFactor  = 2
	coldSlowShare   = 0.3
	coldSlowFactor  = 5
	coldRequestRate = 3.2
	coldDeadline    = 400 * clock.Millisecond
	// coldProbeTime is the time until the result of a probe is known.
	coldProbeTime = 10 * clock.Millisecond
	coldTargets   = 24
)

// coldFleet is a fleet in virtual time whose callers send requests to all instances at the users' rates, and whose backend servers
// turn cold again and again. The instances hear of catalog changes after different times.
type coldFleet struct {
	*ownedFleet

	view    *catalog.View
	servers map[settings.TargetName]*coldServer
	// restarts is whether many instances start again at once.
	restarts bool
	// waiting are the requests that wait at each instance, by the number of the instance.
	waiting    map[int][]coldRequest
	views      []pendingView
	probes     []pendingProbe
	load       float64
	faults     []string
	worst      int
	answered   int
	unanswered int
	violation  string
	// knowledge counts the requests to cold servers by what their senders knew.
	knowledge map[string]int
}

// coldServer is the state of a backend server; it is cold from coldFrom to coldUntil.
type coldServer struct {
	coldFrom, coldUntil clock.Moment
	running             int
	sent                []clock.Moment
	senders             map[settings.InstanceName]int
}

type coldRequest struct {
	service  settings.ServiceName
	deadline clock.Moment
	// pending is nil until the request is queued.
	pending *service.PendingPermit
}

type pendingView struct {
	node *ownedNode
	at   clock.Moment
	view *catalog.View
}

type pendingProbe struct {
	controller *Controller
	at         clock.Moment
	result     sensing.Result
}

func newColdFleet(seed uint64, instances int) *coldFleet {
	fleet := &coldFleet{
		ownedFleet: newOwnedFleet(seed, 0), servers: map[settings.TargetName]*coldServer{}, waiting: map[int][]coldRequest{}, load: 1,
		knowledge: map[string]int{},
	}
	fleet.view = newView(coldTargets, fixtureDataCentres)
	for name := range fleet.view.Configuration.Services {
		fleet.view.Configuration.Services[name] = catalog.ServiceLimits{ColdRate: ownedColdRate, ProbePath: "/load"}
	}
	changeServers(fleet.view, func(server *catalog.Server) {
		server.Slots, server.Started = coldSlots, 1
		fleet.servers[server.Name] = &coldServer{senders: map[settings.InstanceName]int{}}
	})
	fleet.ownedFleet.view = func(*ownedNode) *catalog.View { return fleet.view }
	fleet.sendRequests = fleet.sendWaiting
	fleet.probe = fleet.probeOwned
	fleet.verify = func(node *ownedNode, job sensing.Job) { fleet.startProbe(node.controller, job, true) }
	fleet.startNodes(instances)
	return fleet
}

func (server *coldServer) coldFor(now clock.Moment) clock.Milliseconds {
	return max(server.coldUntil.Since(now), 0)
}

func (fleet *coldFleet) startProbe(controller *Controller, job sensing.Job, verification bool) {
	server := fleet.servers[job.Target]
	now := fleet.clock.Now()
	reading := service.LoadReading{At: now, Slots: coldSlots, Running: server.running, Slowdown: 1, ColdKnown: true, ColdFor: server.coldFor(now)}
	fleet.probes = append(fleet.probes, pendingProbe{
		controller: controller, at: now.Add(coldProbeTime),
		result: sensing.Result{
			Service: job.Service, Target: job.Target, Started: job.Started, Verification: verification,
			Health: sensing.Health{Healthy: true, LoadReading: reading},
		},
	})
}

func (fleet *coldFleet) probeOwned(node *ownedNode, _ clock.Moment) {
	for _, job := range node.jobs {
		fleet.startProbe(node.controller, job, false)
	}
}

// sendWaiting sends the requests of callers that wait at an instance, as far as its schedulers admit them.
func (fleet *coldFleet) sendWaiting(node *ownedNode, now clock.Moment) []settings.TargetName {
	kept := node.permits[:0]
	for _, held := range node.permits {
		if now >= held.until {
			held.permit.Release(service.Succeeded)
			continue
		}
		kept = append(kept, held)
	}
	node.permits = kept
	var sent []settings.TargetName
	remaining := fleet.waiting[node.number][:0]
	for _, request := range fleet.waiting[node.number] {
		state, known := node.controller.services[request.service]
		if !known {
			fleet.unanswered++
			continue
		}
		permit, ended, err := request.acquire(state.scheduler, now)
		switch {
		case !ended:
			remaining = append(remaining, request)
			continue
		case err != nil:
			fleet.unanswered++
			continue
		}
		fleet.answered++
		fleet.recordKnowledge(node, state, permit.Target.Name, now)
		sent = append(sent, permit.Target.Name)
		node.permits = append(node.permits, heldPermit{permit: permit, until: now.Add(fleet.receive(node, permit.Target.Name, now))})
	}
	fleet.waiting[node.number] = remaining
	return sent
}

// acquire requests a permit, or asks for the result of an earlier call. It reports whether the request has ended.
func (request *coldRequest) acquire(scheduler *service.Scheduler, now clock.Moment) (service.Permit, bool, error) {
	if request.pending == nil {
		permit, pending, err := scheduler.AcquireOrEnqueue(service.PermitRequest{
			Class: "class-0", SoftDeadline: request.deadline, Deadline: request.deadline.Add(clock.Second),
		})
		request.pending = pending
		return permit, pending == nil, err
	}
	permit, ended, err := request.pending.Poll()
	if !ended && now >= min(request.deadline, request.pending.WaitDeadline()) {
		permit, err = request.pending.Cancel()
		ended = true
	}
	return permit, ended, err
}

// recordKnowledge records what the sender of a request to a cold server knew of it.
func (fleet *coldFleet) recordKnowledge(node *ownedNode, state *serviceState, name settings.TargetName, now clock.Moment) {
	if server := fleet.servers[name]; server.coldFor(now) == 0 {
		return
	}
	knowledge := "told that it is warm"
	report := state.scheduler.ReportCold()
	if index := slices.IndexFunc(report.Targets, func(target service.ColdTarget) bool { return target.Name == name }); index >= 0 {
		switch target := report.Targets[index]; {
		case target.Cold:
			knowledge = "cold by " + string(target.Source)
		default:
			knowledge = "unknown"
		}
	}
	if node.controller.owned[name] {
		knowledge += ", owner"
	}
	if server := node.controller.view.Servers.Find(name); server != nil && server.ColdFor > 0 {
		knowledge += ", cold by its entry"
	}
	fleet.knowledge[knowledge]++
}

// receive counts a request at a backend server and returns its duration.
func (fleet *coldFleet) receive(node *ownedNode, name settings.TargetName, now clock.Moment) clock.Milliseconds {
	server := fleet.servers[name]
	duration := coldWork
	if fleet.random.Float64() < coldSlowShare {
		duration *= coldSlowFactor
	}
	if server.coldFor(now) == 0 || now < server.coldFrom {
		return duration
	}
	if len(server.sent) == 0 || server.sent[0] < server.coldFrom {
		clear(server.senders)
	}
	server.sent = slices.DeleteFunc(server.sent, func(at clock.Moment) bool { return now.Since(at) >= clock.Second || at < server.coldFrom })
	server.sent = append(server.sent, now)
	server.senders[identity(node.number).Name]++
	fleet.worst = max(fleet.worst, len(server.sent))
	if limit := ownedColdRate*ownedColdFactor + ownedColdSlack; float64(len(server.sent)) > limit && fleet.violation == "" {
		fleet.violation = fmt.Sprintf("%s: %s got %d requests in a second, cold since %s; by sender %v; faults %v",
			clock.Milliseconds(now), name, len(server.sent), now.Since(server.coldFrom), server.senders, fleet.faults)
	}
	return duration * coldWarmFactor
}

// publish writes the next revision of the catalog. Instances that serve hear of it soon, others later, and some only after seconds.
func (fleet *coldFleet) publish(change func(*catalog.View)) {
	view := *fleet.view
	view.Evacuated = slices.Clone(view.Evacuated)
	view.Revision++
	change(&view)
	fleet.view = &view
	now := fleet.clock.Now()
	for _, node := range fleet.nodes {
		lag := clock.Milliseconds(50 + fleet.random.IntN(1200))
		if fleet.random.Float64() < 0.2 {
			lag += 6 * clock.Second
		}
		fleet.views = append(fleet.views, pendingView{node: node, at: now.Add(lag), view: &view})
	}
}

// turnCold makes the backend servers of a data centre cold, and tells so in the catalog.
func (fleet *coldFleet) turnCold(dataCentre settings.DataCentreName, change func(*catalog.View, *catalog.Server)) {
	now := fleet.clock.Now()
	fleet.publish(func(view *catalog.View) {
		changeServers(view, func(server *catalog.Server) {
			if server.DataCentre != dataCentre {
				return
			}
			state := fleet.servers[server.Name]
			state.coldFrom, state.coldUntil = now, now.Add(coldTime)
			server.ColdFor = coldTime
			change(view, server)
		})
	})
}

// fault injects a fault of the servers, the instances or the load, and records it.
func (fleet *coldFleet) fault() {
	now := fleet.clock.Now()
	dataCentre := settings.DataCentreName(fmt.Sprintf("dc-%d", fleet.random.IntN(fixtureDataCentres)))
	var text string
	if fleet.restarts && fleet.random.IntN(3) == 0 {
		fleet.restartMany(now)
		return
	}
	switch fleet.random.IntN(6) {
	case 0:
		text = fmt.Sprintf("%s evacuated", dataCentre)
		if slices.Contains(fleet.view.Evacuated, dataCentre) {
			text = fmt.Sprintf("evacuation of %s ends, its servers are cold", dataCentre)
			fleet.turnCold(dataCentre, func(view *catalog.View, _ *catalog.Server) {
				view.Evacuated = slices.DeleteFunc(view.Evacuated, func(name settings.DataCentreName) bool { return name == dataCentre })
			})
			break
		}
		if len(fleet.view.Evacuated) == fixtureDataCentres-1 {
			text = "none, the last data centre is not evacuated"
			break
		}
		fleet.publish(func(view *catalog.View) { view.Evacuated = append(view.Evacuated, dataCentre) })
	case 1:
		text = fmt.Sprintf("servers of %s turn cold", dataCentre)
		fleet.turnCold(dataCentre, func(*catalog.View, *catalog.Server) {})
	case 2:
		text = fmt.Sprintf("servers of %s start again", dataCentre)
		fleet.turnCold(dataCentre, func(_ *catalog.View, server *catalog.Server) { server.Started++ })
	case 3:
		fleet.load = 1 + 0.7*fleet.random.Float64()
		text = fmt.Sprintf("load %.1f", fleet.load)
	case 4:
		share := fleet.random.Float64()
		for _, node := range fleet.nodes {
			if fleet.random.Float64() < share {
				node.pausedUntil = now.Add(clock.Milliseconds(100 + fleet.random.IntN(2500)))
			}
		}
		text = fmt.Sprintf("instances late, share %.1f", share)
	default:
		text = fleet.injectFault()
	}
	fleet.faults = append(fleet.faults, fmt.Sprintf("%s: %s", clock.Milliseconds(now), text))
}

// restartMany starts a part of the instances again, all of them at times.
func (fleet *coldFleet) restartMany(now clock.Moment) {
	share := min(2*fleet.random.Float64(), 1)
	for _, node := range fleet.nodes {
		if fleet.random.Float64() < share {
			fleet.restart(node)
		}
	}
	fleet.faults = append(fleet.faults, fmt.Sprintf("%s: a share of %.1f starts again", clock.Milliseconds(now), share))
}

// advance advances time by one step.
func (fleet *coldFleet) advance() {
	now := fleet.clock.Now().Add(ownedStep)
	names := slices.Sorted(maps.Keys(fleet.view.Configuration.Services))
	for range coldTargets {
		if fleet.random.Float64() < fleet.load*coldRequestRate*float64(ownedStep/clock.Second) {
			number := fleet.random.IntN(len(fleet.nodes))
			request := coldRequest{service: names[fleet.random.IntN(len(names))], deadline: now.Add(coldDeadline)}
			fleet.waiting[number] = append(fleet.waiting[number], request)
		}
	}
	fleet.views = slices.DeleteFunc(fleet.views, func(pending pendingView) bool {
		due := now >= pending.at && now >= pending.node.pausedUntil
		if due {
			pending.node.controller.applyView(pending.view)
		}
		return due
	})
	fleet.probes = slices.DeleteFunc(fleet.probes, func(pending pendingProbe) bool {
		node := fleet.nodes[slices.IndexFunc(fleet.nodes, func(node *ownedNode) bool {
			return identity(node.number).Name == pending.controller.options.Self.Name
		})]
		due := now >= pending.at && now >= node.pausedUntil
		if due && node.controller == pending.controller {
			pending.controller.RecordProbe(pending.result)
		}
		return due
	})
	fleet.step()
	for _, node := range fleet.nodes {
		if now >= node.pausedUntil {
			node.handleEvents()
		}
	}
}

// settle runs the fleet without faults.
func (fleet *coldFleet) settle(length clock.Milliseconds) {
	for end := fleet.clock.Now().Add(length); fleet.clock.Now() < end; {
		fleet.advance()
	}
}

// Guards against servers that turn cold, start again or return from an evacuation and are flooded by many instances, each of which
// sends a request or two because it does not know that they are cold.
func TestVirtualFleetDoesNotFloodColdServers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		instances int
		restarts  bool
		seeds     []uint64
	}{{3, false, []uint64{0, 1, 2, 3}}, {24, false, []uint64{0, 2, 5, 6}}, {24, true, []uint64{0, 1}}}
	if *coldSeeds > 0 {
		cases = cases[:0]
		for seed := range *coldSeeds {
			cases = append(cases, struct {
				instances int
				restarts  bool
				seeds     []uint64
			}{*coldInstances, seed%2 == 1, []uint64{1000 + uint64(seed)}})
		}
	}
	for _, testCase := range cases {
		for _, seed := range testCase.seeds {
			t.Run(fmt.Sprintf("%d instances, restarts %t, seed %d", testCase.instances, testCase.restarts, seed), func(t *testing.T) {
				t.Parallel()
				fleet := newColdFleet(seed, testCase.instances)
				fleet.restarts = testCase.restarts
				fleet.random = rand.New(rand.NewPCG(seed, 6))
				fleet.settle(4 * clock.Second)
				for range 40 {
					fleet.fault()
					fleet.settle(clock.Milliseconds(200 + fleet.random.IntN(1500)))
				}
				t.Logf("worst second %d, answered %d, unanswered %d, requests to cold servers by knowledge %v",
					fleet.worst, fleet.answered, fleet.unanswered, fleet.knowledge)
				require.Empty(t, fleet.violation)
				require.Greater(t, fleet.answered, fleet.unanswered)
			})
		}
	}
}
