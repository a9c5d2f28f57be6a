package control

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/instance"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/platform"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const targetCount = 6

// fleet is a set of controllers on one manual clock. Heartbeats between them arrive immediately or are lost.
type fleet struct {
	t       *testing.T
	manual  *clock.Manual
	site    *settings.Site
	list    platform.InstanceList
	members map[settings.InstanceName]*Controller
	// isLost reports whether a datagram between two members is lost.
	isLost func(from, to settings.InstanceName) bool
}

func newFleet(t *testing.T, count int) *fleet {
	loaded, err := settings.LoadSite("../../examples/rodopa.base.json", "")
	require.NoError(t, err)
	site := loaded.Site
	for name := range site.Services {
		if name != "browsing" {
			delete(site.Services, name)
		}
	}
	fleet := &fleet{t: t, manual: clock.NewManual(), site: site, members: map[settings.InstanceName]*Controller{}}
	fleet.isLost = func(settings.InstanceName, settings.InstanceName) bool { return false }
	for number := range targetCount {
		fleet.list.Instances = append(fleet.list.Instances, platform.Instance{
			Name: fmt.Sprintf("browsing-%d", number+1), Kind: platform.KindBackendServer, State: platform.StateLive, Service: "browsing",
			DataCentre: dataCentreOf(number), Address: fmt.Sprintf("10.0.0.%d:80", number+1),
		})
	}
	for number := range count {
		fleet.join(number + 1)
	}
	return fleet
}

func dataCentreOf(number int) settings.DataCentreName {
	return settings.DataCentreName(fmt.Sprintf("sofia-%d", number%3+1))
}

func memberName(number int) settings.InstanceName {
	return settings.InstanceName(fmt.Sprintf("entry-%d", number))
}

// join starts a member with the settings, and adds it to the list of instances of all members.
func (fleet *fleet) join(number int) *Controller {
	name := memberName(number)
	controller := NewController(Options{
		Name: name, DataCentre: dataCentreOf(number - 1), Incarnation: instance.Incarnation(1 + fleet.manual.Now()), Clock: &fleet.manual.Clock,
		Rand: rand.New(rand.NewPCG(uint64(number), 1)), Servers: backendserver.NewServers(&fleet.manual.Clock),
		Registry: metrics.NewRegistry(), Log: zerolog.Nop(),
		Send:          func(to netip.AddrPort, heartbeat instance.Heartbeat) { fleet.deliver(name, to, heartbeat) },
		RequestReport: func(ReportRequest) bool { return true },
	})
	fleet.members[name] = controller
	fleet.list.Instances = append(fleet.list.Instances, platform.Instance{
		Name: string(name), Kind: platform.KindEntry, State: platform.StateLive, DataCentre: dataCentreOf(number - 1),
		Address: fmt.Sprintf("10.1.0.%d:80", number), PeerAddress: fmt.Sprintf("10.1.0.%d:81", number),
	})
	fleet.publish(fleet.site, controller)
	fleet.sendList()
	return controller
}

func (fleet *fleet) deliver(from settings.InstanceName, to netip.AddrPort, heartbeat instance.Heartbeat) {
	name := memberName(int(to.Addr().As4()[3]))
	if receiver := fleet.members[name]; receiver != nil && !fleet.isLost(from, name) {
		heartbeatReceived{heartbeat: heartbeat}.apply(receiver)
	}
}

func (fleet *fleet) publish(site *settings.Site, to ...*Controller) {
	documents, err := site.Documents()
	require.NoError(fleet.t, err)
	for _, controller := range to {
		for _, document := range documents {
			documentRead{key: document.Key, text: document.Text}.apply(controller)
		}
	}
}

func (fleet *fleet) sendList() {
	for _, controller := range fleet.members {
		listRead{list: platform.InstanceList{Instances: slices.Clone(fleet.list.Instances)}}.apply(controller)
	}
}

func (fleet *fleet) all() []*Controller {
	var all []*Controller
	for number := range len(fleet.members) {
		all = append(all, fleet.members[memberName(number+1)])
	}
	return all
}

// run advances the clock and ticks all controllers.
func (fleet *fleet) run(length clock.Milliseconds) {
	for passed := clock.Milliseconds(0); passed < length; passed += tickInterval {
		fleet.manual.Advance(tickInterval)
		for _, controller := range fleet.all() {
			controller.tick()
		}
	}
}

// limits returns the sum of all members' limits of concurrent requests on one target.
func (fleet *fleet) limits(target settings.TargetName) int {
	sum := 0
	for _, controller := range fleet.members {
		if state := controller.services["browsing"].targets[target]; state != nil {
			sum += state.limit.Limit
		}
	}
	return sum
}

func (fleet *fleet) phases(target settings.TargetName) map[phase]int {
	phases := map[phase]int{}
	for _, controller := range fleet.members {
		if state := controller.services["browsing"].targets[target]; state != nil {
			phases[state.phase]++
		}
	}
	return phases
}

// serving returns the names of the instances whose addresses a member gives to callers.
func serving(controller *Controller) []settings.InstanceName {
	browsing, _ := controller.Table().Service("browsing")
	var names []settings.InstanceName
	for _, entry := range browsing.Serving {
		names = append(names, entry.Name)
	}
	return names
}

// Guards against overload of cold backend servers by several instances. All servers have just started. Each may get one
// request at first from all instances together, then more; in the end every serving instance sends to all of them.
func TestColdServersWarmUpUnderOneOwner(t *testing.T) {
	fleet := newFleet(t, 5)
	coldStart := fleet.site.Services["browsing"].ColdStart
	warm := fleet.site.Services["browsing"].SlotsPerTarget
	started := false
	for passed := clock.Milliseconds(0); passed < coldStart.RampUpTime+3*clock.Second; passed += tickInterval {
		fleet.run(tickInterval)
		for number := range targetCount {
			target := settings.TargetName(fmt.Sprintf("browsing-%d", number+1))
			if fleet.phases(target)[phaseWarm] > 0 {
				continue
			}
			limit := fleet.limits(target)
			started = started || limit > 0
			require.LessOrEqual(t, limit, warm)
			if passed < coldStart.RampUpTime/2 {
				require.LessOrEqual(t, limit, 3)
			}
		}
	}
	require.True(t, started)
	for number := range targetCount {
		require.Equal(t, 5, fleet.phases(settings.TargetName(fmt.Sprintf("browsing-%d", number+1)))[phaseWarm])
	}
}

// Guards against a dip in capacity whenever an instance is replaced, which is 55 times a day: the new instance must learn
// from its peers that the backend servers are warm.
func TestNewInstanceLearnsWhatIsWarm(t *testing.T) {
	fleet := newFleet(t, 4)
	fleet.run(15 * clock.Second)
	joined := fleet.join(5)
	fleet.run(5 * clock.Second)
	for name, target := range joined.services["browsing"].targets {
		require.Equal(t, phaseWarm, target.phase, name)
	}
	require.Zero(t, joined.options.Registry.View().Events[EventTargetCold])
}

// Guards against overload of a cold backend server when its owner leaves: the owner's requests are still in flight, so the
// next owner must not send requests for a while.
func TestNewOwnerWaits(t *testing.T) {
	fleet := newFleet(t, 3)
	fleet.run(6 * clock.Second)
	target := settings.TargetName("browsing-1")
	require.Positive(t, fleet.limits(target))
	for _, controller := range fleet.members {
		if controller.services["browsing"].targets[target].owned {
			leaveRequested{}.apply(controller)
			break
		}
	}
	for passed := clock.Milliseconds(0); passed < fleet.site.Fleet.SuspectAfter; passed += tickInterval {
		fleet.run(tickInterval)
		require.Zero(t, fleet.limits(target))
	}
	fleet.run(clock.Second)
	require.Equal(t, 1, fleet.limits(target))
}

// Guards against overload of a backend server that was restarted under its old address, which the platform does not
// announce. Its owner notices the changed start time in the load report, and all instances then treat the server as cold.
func TestUnannouncedRestartIsCold(t *testing.T) {
	fleet := newFleet(t, 3)
	fleet.run(15 * clock.Second)
	target := settings.TargetName("browsing-1")
	require.Equal(t, 3, fleet.phases(target)[phaseWarm])
	report := func(startedMs int64) {
		for _, controller := range fleet.members {
			if controller.services["browsing"].targets[target].owned {
				reportRead{service: "browsing", target: target, report: backendserver.Report{StartedMs: startedMs}}.apply(controller)
			}
		}
	}
	report(1000)
	fleet.run(clock.Second)
	require.Equal(t, 3, fleet.phases(target)[phaseWarm], "a first report is not a restart")
	report(2000)
	fleet.run(clock.Second)
	require.Equal(t, 3, fleet.phases(target)[phaseCold])
	require.LessOrEqual(t, fleet.limits(target), 2)
}

// Operators take a data centre out of service. Its backend servers must get no more requests and its instances' addresses
// must not be given to callers. When the data centre returns, its servers are cold.
func TestDataCentreOutAndBack(t *testing.T) {
	fleet := newFleet(t, 6)
	fleet.run(15 * clock.Second)
	move := func(revision settings.Revision, state settings.DataCentreState) {
		changed := *fleet.site
		changed.Revision = revision
		changed.DataCentres = map[settings.DataCentreName]settings.DataCentre{
			"sofia-1": {Region: "sofia", State: state}, "sofia-2": {Region: "sofia", State: settings.DataCentreIn}, "sofia-3": {Region: "sofia", State: settings.DataCentreIn},
		}
		fleet.publish(&changed, fleet.all()...)
	}
	move(2, settings.DataCentreOut)
	for _, controller := range fleet.members {
		require.Len(t, controller.services["browsing"].targets, 4)
		require.NotContains(t, serving(controller), memberName(1))
		require.NotContains(t, serving(controller), memberName(4))
		require.NotEmpty(t, serving(controller))
	}
	fleet.run(5 * clock.Second)
	move(3, settings.DataCentreIn)
	require.Zero(t, fleet.limits("browsing-1"), "no requests until the owner's delay is over")
	fleet.run(2 * clock.Second)
	require.LessOrEqual(t, fleet.limits("browsing-1"), 2)
	fleet.run(12 * clock.Second)
	require.Equal(t, 6, fleet.phases("browsing-1")[phaseWarm])
}

// A backend server is marked as leaving, or removed from the list. No instance may send it new requests.
func TestLeavingServerGetsNothing(t *testing.T) {
	fleet := newFleet(t, 3)
	fleet.run(15 * clock.Second)
	require.Positive(t, fleet.limits("browsing-1"))
	require.Positive(t, fleet.limits("browsing-2"))
	fleet.list.Instances[0].State = platform.StateLeaving
	fleet.list.Instances = slices.Delete(fleet.list.Instances, 1, 2)
	fleet.sendList()
	for passed := 0; passed < 10; passed++ {
		for _, controller := range fleet.members {
			targets, _ := controller.services["browsing"].dispatcher.State()
			require.Len(t, targets, targetCount-2)
		}
		require.Zero(t, fleet.limits("browsing-1"))
		require.Zero(t, fleet.limits("browsing-2"))
		fleet.run(clock.Second)
	}
}

// Documents arrive late, duplicated, out of order or invalid. The highest valid revision must stay in force, and invalid
// documents must be reported as problems.
func TestSettingsNeverRevert(t *testing.T) {
	fleet := newFleet(t, 1)
	controller := fleet.all()[0]
	withRevision := func(revision settings.Revision, slots int) *settings.Site {
		changed := *fleet.site
		changed.Revision = revision
		service := fleet.site.Services["browsing"]
		service.Revision = revision
		service.SlotsPerTarget = slots
		changed.Services = map[settings.ServiceName]settings.Service{"browsing": service}
		return &changed
	}
	inForce := func() (settings.Revision, int) {
		browsing, _ := controller.Table().Service("browsing")
		return controller.Table().Site.Revision, browsing.Settings.SlotsPerTarget
	}
	steps := []struct {
		revision settings.Revision
		slots    int
		want     settings.Revision
	}{{5, 5, 5}, {3, 3, 5}, {5, 4, 5}, {6, 6, 6}, {1, 1, 6}}
	for _, step := range steps {
		fleet.publish(withRevision(step.revision, step.slots), controller)
		revision, slots := inForce()
		require.Equal(t, step.want, revision)
		require.EqualValues(t, step.want, slots)
	}
	for key, text := range map[string]string{
		"service/browsing": `{"revision": 9, "hosts": []}`,
		"site": `{"revision": 9, "tenant": "rodopa", "dataCentres": {"sofia-1": {"region": "sofia", "state": "in"}},
			"fleet": {"instancesMost": 900}, "serviceNames": ["browsing"]}`,
		"unheard-of": `{}`,
	} {
		documentRead{key: key, text: []byte(text)}.apply(controller)
		require.NotEmpty(t, controller.problems[key])
		revision, _ := inForce()
		require.EqualValues(t, 6, revision)
	}
}

// One instance leaves, and another is partitioned from all peers. The others must stop giving their addresses to callers
// within seconds; the partitioned instance must not send all callers to itself.
func TestLeavingAndPartitionedPeers(t *testing.T) {
	fleet := newFleet(t, 6)
	fleet.site.Fleet.InstancesPerService = 6
	fleet.site.Revision = 2
	fleet.publish(fleet.site, fleet.all()...)
	fleet.run(clock.Second)
	require.Len(t, serving(fleet.members["entry-1"]), 6)

	leaveRequested{}.apply(fleet.members["entry-2"])
	require.NotContains(t, serving(fleet.members["entry-1"]), memberName(2), "notified immediately")

	fleet.isLost = func(from, to settings.InstanceName) bool { return from == "entry-3" || to == "entry-3" }
	fleet.run(2 * clock.Second)
	require.NotContains(t, serving(fleet.members["entry-1"]), memberName(3))
	require.Contains(t, serving(fleet.members["entry-3"]), memberName(1), "an instance that suspects most peers ignores its suspicions")

	fleet.isLost = func(settings.InstanceName, settings.InstanceName) bool { return false }
	fleet.run(clock.Second)
	require.Contains(t, serving(fleet.members["entry-1"]), memberName(3))
}

// Guards against callers that are sent to a leaving instance after the network has delivered an old datagram again, in which
// the instance is not leaving yet.
func TestOldDatagramsAreIgnored(t *testing.T) {
	fleet := newFleet(t, 2)
	controller := fleet.members["entry-1"]
	datagrams := []struct {
		incarnation instance.Incarnation
		sequence    instance.Sequence
		leaving     bool
		want        bool
	}{
		{10, 5, false, false}, {10, 6, true, true}, {10, 5, false, true}, {10, 6, false, true}, {9, 99, false, true}, {11, 1, false, false},
	}
	for _, datagram := range datagrams {
		heartbeatReceived{heartbeat: instance.Heartbeat{
			From: "entry-2", Incarnation: datagram.incarnation, Sequence: datagram.sequence, Leaving: datagram.leaving,
		}}.apply(controller)
		require.Equal(t, datagram.want, controller.peers["entry-2"].leaving)
	}
	heartbeatReceived{heartbeat: instance.Heartbeat{From: "stranger", Incarnation: 1, Sequence: 1}}.apply(controller)
	require.Len(t, controller.peers, 1, "a datagram from an unlisted instance does not make it a member")
}

// Guards against heartbeat traffic that grows with the fleet and exceeds the budget of a node: a fleet four times as large
// must not cost an instance four times the datagrams.
func TestHeartbeatsArePacedByFleetSize(t *testing.T) {
	sentBy := func(peers int) int {
		sent := 0
		controller := NewController(Options{
			Name: "entry-0", Clock: &clock.NewManual().Clock, Rand: rand.New(rand.NewPCG(1, 1)), Registry: metrics.NewRegistry(), Log: zerolog.Nop(),
			Servers: backendserver.NewServers(clock.New()), Send: func(netip.AddrPort, instance.Heartbeat) { sent++ },
		})
		controller.site = &settings.Site{Fleet: settings.Fleet{HeartbeatInterval: 300, SuspectAfter: clock.Second}}
		for number := range peers {
			controller.peers[memberName(number)] = &peerState{}
		}
		for now := clock.Moment(1); now < clock.Moment(clock.Minute); now = now.Add(tickInterval) {
			controller.sendHeartbeats(now, false)
		}
		return sent
	}
	require.Less(t, sentBy(56), sentBy(14)+sentBy(14)/10)
	require.Greater(t, sentBy(56), 56*10, "each peer still gets a heartbeat every few seconds")
}

// Guards against measuring load that grows with the number of instances: each target's report is read at the rate in the
// settings by the whole fleet together, not by each instance.
func TestMeasuringStaysWithinItsBudget(t *testing.T) {
	for _, count := range []int{5, 15, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			fleet := newFleet(t, count)
			fleet.run(20 * clock.Second)
			requested := map[settings.TargetName]int{}
			for _, controller := range fleet.members {
				controller.options.RequestReport = func(request ReportRequest) bool {
					requested[request.Target]++
					return true
				}
			}
			const seconds = 10
			fleet.run(seconds * clock.Second)
			require.Len(t, requested, targetCount)
			for target, reads := range requested {
				maxReads := seconds*fleet.site.Measuring.ReportsPerTargetPerSecond + 1
				require.LessOrEqual(t, float64(reads), maxReads, target)
				require.Positive(t, reads)
			}
		})
	}
}
