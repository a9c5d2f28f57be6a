package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// publishedState is what publish determines from the view and from who serves.
type publishedState struct {
	targets   map[settings.ServiceName][]service.TargetState
	owned     map[settings.TargetName]bool
	refs      map[TargetKey]targetRef
	known     map[settings.TargetName]catalog.Server
	jobs      []settings.TargetName
	shares    map[settings.ServiceName]int64
	addresses []string
}

// publishedStateOf returns the state of a controller whose prober has the given jobs.
func publishedStateOf(controller *Controller, jobs []sensing.Job) publishedState {
	state := publishedState{
		targets: map[settings.ServiceName][]service.TargetState{}, owned: map[settings.TargetName]bool{}, refs: map[TargetKey]targetRef{},
		known: map[settings.TargetName]catalog.Server{}, shares: map[settings.ServiceName]int64{}, addresses: controller.book.Load().addresses,
	}
	for name, serviceState := range controller.services {
		targets, _ := serviceState.scheduler.State()
		slices.SortFunc(targets, func(left, right service.TargetState) int { return compareTargets(left.Name, right.Name) })
		state.targets[name] = targets
		state.shares[name] = serviceState.maxConnections.Load()
	}
	for name, owned := range controller.owned {
		state.owned[name] = owned
	}
	for key, ref := range controller.targets {
		state.refs[key] = ref
	}
	for name, server := range controller.knownServers {
		state.known[name] = server
	}
	for _, job := range jobs {
		state.jobs = append(state.jobs, job.Target)
	}
	return state
}

func compareTargets(left, right settings.TargetName) int {
	return slices.Compare([]byte(left), []byte(right))
}

// randomServerEdits returns edits that add, change, move and remove servers, also to a service that is not configured.
func randomServerEdits(random *rand.Rand, names int) catalog.ServerEdits {
	services := []settings.ServiceName{"lookups", "payments", "exports", "unknown"}
	states := []catalog.ServerState{catalog.ServerReady, catalog.ServerReady, catalog.ServerLeaving}
	edits := catalog.ServerEdits{}
	for range 1 + random.IntN(8) {
		name := targetName(random.IntN(names))
		if random.IntN(4) == 0 {
			edits[name] = nil
			continue
		}
		edits[name] = &catalog.Server{
			Name: name, Service: services[random.IntN(len(services))], Address: fmt.Sprintf("10.9.0.%d:80", 1+random.IntN(3)), Slots: 1 + random.IntN(3),
			DataCentre: settings.DataCentreName(fmt.Sprintf("dc-%d", random.IntN(fixtureDataCentres))), State: states[random.IntN(len(states))],
			Started: int64(random.IntN(2)),
		}
	}
	return edits
}

// randomConfiguration returns the next version of a configuration, in which the limits of one service differ. The service may be new.
func randomConfiguration(random *rand.Rand, before *catalog.Configuration) *catalog.Configuration {
	next := *before
	next.Version++
	next.Services = maps.Clone(before.Services)
	names := []settings.ServiceName{"lookups", "payments", "exports", "unknown"}
	paths := []string{"", "/health"}
	next.Services[names[random.IntN(len(names))]] = catalog.ServiceLimits{
		ProbePath: paths[random.IntN(len(paths))], MaxConnections: 40 + 40*random.IntN(3), ColdRate: float64(random.IntN(3)),
	}
	return &next
}

// Guards against an instance that, after a change of some servers, of the configuration or of who serves, has another state than one that computes everything
// anew: it would send to servers that are gone, or leave servers without an owner.
func TestChangesLeadToTheSameStateAsComputingAll(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		fixture := newFixture(0)
		var jobs []sensing.Job
		fixture.controller.options.SetJobs = func(changed []sensing.Job) { jobs = changed }
		view := newView(40, fixtureDataCentres)
		for name := range view.Configuration.Services {
			view.Configuration.Services[name] = catalog.ServiceLimits{ProbePath: "/health", MaxConnections: 60}
		}
		fixture.controller.applyView(view)
		states := []membership.State{membership.Serving, membership.Standby, membership.Leaving}
		for step := range 60 {
			switch random.IntN(4) {
			case 0:
				fixture.receiveHeartbeat(1+random.IntN(7), states[random.IntN(len(states))], 1)
				fixture.advance(50 * clock.Millisecond)
				fixture.controller.tick()
			case 1:
				// The own state follows the others at random.
				fixture.controller.members.SetState(states[random.IntN(2)])
				fixture.controller.publishServing()
			default:
				current := fixture.controller.view
				next := *current
				next.Revision++
				next.Servers = current.Servers.Edit(randomServerEdits(random, 60))
				if random.IntN(8) == 0 {
					next.Evacuated = []settings.DataCentreName{settings.DataCentreName(fmt.Sprintf("dc-%d", random.IntN(fixtureDataCentres)))}
				}
				if random.IntN(4) == 0 {
					next.Configuration = randomConfiguration(random, current.Configuration)
				}
				fixture.controller.applyView(&next)
			}
			changed := publishedStateOf(fixture.controller, jobs)
			fixture.controller.publish()
			require.Equal(t, publishedStateOf(fixture.controller, jobs), changed, "seed %d, step %d", seed, step)
		}
	}
}

// allocated returns the number of bytes that a function allocates each time.
func allocated(function func()) uint64 {
	const rounds = 50
	var before, after runtime.MemStats
	function()
	runtime.ReadMemStats(&before)
	for range rounds {
		function()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / rounds
}

// Guards against a change of one server, of one serving instance or of a route that costs an instance on standby as much as the fleet has servers.
// It would use two fifths of a small instance's processor while a list of 6,000 servers turns over.
func TestChangeCostsWhatChanges(t *testing.T) {
	const maxBytes = 50 << 10
	for _, servers := range []int{3000, 6000, 12_000} {
		fixture := newStandbyFixture(t, 60, servers)
		revision := catalog.Revision(1)
		state := catalog.ServerLeaving
		changeOne := func() {
			revision++
			next := *fixture.controller.view
			next.Revision = revision
			changed := *next.Servers.Find(targetName(7))
			changed.State, state = state, changed.State
			next.Servers = next.Servers.Edit(catalog.ServerEdits{changed.Name: &changed})
			fixture.controller.applyView(&next)
		}
		served := membership.Leaving
		changeServing := func() {
			fixture.receiveHeartbeat(2, served, 1)
			if served == membership.Leaving {
				served = membership.Serving
			} else {
				served = membership.Leaving
			}
			fixture.controller.publishIfServingChanged()
		}
		changeConfiguration := func() {
			revision++
			next := *fixture.controller.view
			next.Revision = revision
			configuration := *next.Configuration
			configuration.Version++
			next.Configuration = &configuration
			fixture.controller.applyView(&next)
		}
		bytes, servingBytes, configurationBytes := allocated(changeOne), allocated(changeServing), allocated(changeConfiguration)
		t.Logf("%d servers: %d bytes for a server, %d for a serving instance, %d for a configuration", servers, bytes, servingBytes, configurationBytes)
		require.Less(t, bytes, uint64(maxBytes))
		require.Less(t, servingBytes, uint64(maxBytes))
		require.Less(t, configurationBytes, uint64(maxBytes))
	}
}

// Guards against a service without an entry in the configuration whose servers get fewer connections than they have slots.
func TestServiceWithoutEntryGetsDefaultConnections(t *testing.T) {
	fixture := newServingFixture(t, 1, 6)
	for _, without := range []settings.ServiceName{"", "lookups"} {
		view := newView(6, fixtureDataCentres)
		view.Revision = fixture.controller.view.Revision + 1
		for name := range view.Configuration.Services {
			view.Configuration.Services[name] = catalog.ServiceLimits{ProbePath: "/health", MaxConnections: catalog.DefaultMaxConnections}
		}
		delete(view.Configuration.Services, without)
		fixture.controller.applyView(view)
		for name, state := range fixture.controller.services {
			require.Equal(t, catalog.DefaultMaxConnections/minConnectionShares, state.connectionLimit(), "%s without an entry for %q", name, without)
		}
	}
}
