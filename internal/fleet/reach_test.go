package fleet

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/relay"
	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// reachFixture is a serving instance among others that serve, one in each data centre.
type reachFixture struct {
	*fixture

	// unreachable are the servers to which this instance cannot connect.
	unreachable map[settings.TargetName]bool
	// verified are the servers that the instance has probed because their owner reports them as down.
	verified []settings.TargetName
	jobs     []sensing.Job
	sent     []*Message
}

const reachTargets = 24

func newReachFixture(t *testing.T) *reachFixture {
	fixture := &reachFixture{fixture: newFixture(0), unreachable: map[settings.TargetName]bool{}}
	options := &fixture.controller.options
	options.CheckConnection = func(name settings.TargetName) { fixture.controller.RecordConnect(name, !fixture.unreachable[name]) }
	options.Verify = func(job sensing.Job) { fixture.verified = append(fixture.verified, job.Target) }
	options.SetJobs = func(jobs []sensing.Job) { fixture.jobs = jobs }
	options.Send = func(_ netip.AddrPort, text []byte) {
		message, err := Decode(text)
		require.NoError(t, err)
		fixture.sent = append(fixture.sent, message)
	}
	for number := 1; number < fixtureDataCentres; number++ {
		fixture.serving = append(fixture.serving, identity(number))
	}
	view := newView(reachTargets, fixtureDataCentres)
	for name := range view.Configuration.Services {
		limits := view.Configuration.Services[name]
		limits.ProbePath = "/health"
		view.Configuration.Services[name] = limits
	}
	fixture.controller.applyView(view)
	fixture.run(4 * clock.Second)
	require.Equal(t, membership.Serving, fixture.controller.members.State())
	require.Len(t, fixture.controller.serving, fixtureDataCentres)
	return fixture
}

// run advances the time. The other instances send heartbeats, and each owned server is probed.
func (fixture *reachFixture) run(length clock.Milliseconds) {
	const heartbeatInterval, probeInterval = 200 * clock.Millisecond, 50 * clock.Millisecond
	for passed := clock.Milliseconds(0); passed < length; passed += servingTickInterval {
		fixture.advance(servingTickInterval)
		if int(passed)%int(heartbeatInterval) == 0 {
			for index := range fixture.serving {
				fixture.receiveHeartbeat(index+1, membership.Serving, 1)
			}
		}
		if int(passed)%int(probeInterval) == 0 {
			fixture.probe()
		}
		fixture.controller.tick()
	}
}

// probe records a probe of each owned server.
func (fixture *reachFixture) probe() {
	for _, job := range fixture.jobs {
		result := sensing.Result{Service: job.Service, Target: job.Target}
		if fixture.unreachable[job.Target] {
			result.Err, result.Down = errNoResponse, true
		} else {
			result.Health = sensing.Health{Healthy: true, LoadReading: service.LoadReading{At: fixture.clock.Now(), Slots: 2, Slowdown: 1}}
		}
		fixture.controller.RecordProbe(result)
	}
}

// receiveReach passes the report of another instance to the controller.
func (fixture *reachFixture) receiveReach(number int, isolated bool, services ...settings.ServiceName) {
	fixture.sequence++
	report := &ReachReport{Sender: identity(number).Name, Incarnation: 1, Sequence: fixture.sequence, Isolated: isolated}
	for _, name := range services {
		report.Unreachable = append(report.Unreachable, serviceKeyOf(name))
	}
	slices.Sort(report.Unreachable)
	fixture.controller.receiveMessage(&Message{Reach: report})
	fixture.run(reachPublishInterval + 2*servingTickInterval)
}

// owned returns how many servers of each service an instance owns.
func (fixture *reachFixture) owned(number int) map[settings.ServiceName]int {
	counts := map[settings.ServiceName]int{}
	for server := range fixture.controller.view.Servers.All() {
		if ownersOf(fixture.controller)[server.Name] == identity(number).Name {
			counts[server.Service]++
		}
	}
	return counts
}

// Guards against servers that nobody probes, and that get no request while cold, since their owner cannot reach them.
func TestServersAreOwnedByInstancesThatReachThem(t *testing.T) {
	fixture := newReachFixture(t)
	before := fixture.owned(1)
	require.Len(t, before, 3)
	fixture.receiveReach(1, false, "lookups")
	require.Zero(t, fixture.owned(1)["lookups"])
	require.Equal(t, before["payments"], fixture.owned(1)["payments"])
	for number := range fixtureDataCentres {
		fixture.receiveReach(number, false, "payments")
	}
	require.Equal(t, before["lookups"], fixture.owned(1)["lookups"], "the report is replaced")
	fixture.run(1200*clock.Millisecond + 2*servingTickInterval)
	require.Equal(t, before, fixture.owned(1), "reports that are not repeated do not count")

	for number := 1; number < fixtureDataCentres; number++ {
		fixture.receiveReach(number, false, "lookups")
	}
	require.Equal(t, reachTargets/3, fixture.owned(0)["lookups"])
	for server := range fixture.controller.view.Servers.All() {
		fixture.unreachable[server.Name] = server.Service == "lookups"
	}
	for range 4 {
		fixture.run(500 * clock.Millisecond)
		for number := 1; number < fixtureDataCentres; number++ {
			fixture.receiveReach(number, false, "lookups")
		}
	}
	require.True(t, fixture.controller.Unreachable("lookups"))
	require.Equal(t, before, fixture.owned(1), "owners stay as they are while no instance reaches the service")
}

// Guards against callers that are sent to an instance that reaches no backend server while others do, and against an empty answer when
// none does.
func TestIsolatedInstancesAreNotNamedToCallers(t *testing.T) {
	fixture := newReachFixture(t)
	services := []settings.ServiceName{"exports", "lookups", "payments"}
	fixture.receiveReach(2, true, services...)
	addresses, _ := fixture.controller.Addresses()
	require.Len(t, addresses, fixtureDataCentres-1)
	require.NotContains(t, addresses, identity(2).Caller)
	for server := range fixture.controller.view.Servers.All() {
		fixture.unreachable[server.Name] = true
	}
	for range 4 {
		fixture.run(250 * clock.Millisecond)
		for number := 1; number < fixtureDataCentres; number++ {
			fixture.receiveReach(number, true, services...)
		}
	}
	addresses, _ = fixture.controller.Addresses()
	require.Len(t, addresses, fixtureDataCentres)
}

// Guards against an owner that reports servers as down which it only cannot reach itself, and against one that keeps a failed server to
// itself.
func TestOwnerReportsOnlyServersThatHaveFailed(t *testing.T) {
	cases := []struct {
		name        string
		unreachable func(position int) bool
		reported    int
		reach       bool
	}{
		{"none", func(int) bool { return false }, 0, false},
		{"one", func(position int) bool { return position == 0 }, 1, false},
		{"all", func(int) bool { return true }, 0, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newReachFixture(t)
			position := 0
			for server := range fixture.controller.view.Servers.All() {
				owned := ownersOf(fixture.controller)[server.Name] == identity(0).Name
				if server.Service != "lookups" || !owned && !testCase.reach {
					continue
				}
				fixture.unreachable[server.Name] = testCase.unreachable(position)
				position++
			}
			fixture.sent = nil
			fixture.run(2 * clock.Second)
			down := map[TargetKey]bool{}
			reports := 0
			for _, message := range fixture.sent {
				for _, reading := range message.Readings {
					if reading.Down {
						down[reading.Target] = true
					}
				}
				if message.Reach != nil {
					reports++
				}
			}
			require.Len(t, down, testCase.reported)
			require.Equal(t, testCase.reach, reports > 0)
			require.Equal(t, testCase.reach, fixture.controller.Unreachable("lookups"))
		})
	}
}

// Guards against servers that no instance uses because one instance, their owner, cannot reach them.
func TestReportedFailureIsVerified(t *testing.T) {
	fixture := newReachFixture(t)
	controller := fixture.controller
	var target settings.TargetName
	for server := range controller.view.Servers.All() {
		if ownersOf(controller)[server.Name] == identity(1).Name {
			target = server.Name
		}
	}
	ref := controller.targets[keyOf(target)]
	scheduler := controller.services[ref.service].scheduler
	report := func() {
		controller.receiveMessage(&Message{Readings: []SharedReading{{Target: keyOf(target), Down: true}}})
	}
	report()
	require.Equal(t, 1, scheduler.DownTargets().Reported)
	require.Equal(t, []settings.TargetName{target}, fixture.verified)
	report()
	require.Len(t, fixture.verified, 1, "one probe a second is enough")
	controller.RecordProbe(sensing.Result{Service: ref.service, Target: target, Verification: true, Err: errNoResponse})
	require.Equal(t, 1, scheduler.DownTargets().Reported)

	fixture.run(verificationInterval)
	report()
	require.Len(t, fixture.verified, 2)
	fixture.sent = nil
	controller.RecordProbe(sensing.Result{Service: ref.service, Target: target, Verification: true})
	require.Zero(t, scheduler.DownTargets().Reported)
	report()
	require.Zero(t, scheduler.DownTargets().Reported, "the own probe counts")
	fixture.run(100 * clock.Millisecond)
	for _, message := range fixture.sent {
		for _, reading := range message.Readings {
			require.NotEqual(t, keyOf(target), reading.Target, "only the owner sends readings")
		}
	}
	fixture.run(verificationValidity)
	report()
	require.Equal(t, 1, scheduler.DownTargets().Reported)
}

// Guards against an overloaded instance whose attempts time out for want of processor time, and which then relays its requests and takes
// itself out of address answers.
func TestOverloadedInstanceDoesNotCountAsCutOff(t *testing.T) {
	const late = 200
	fixture := newReachFixture(t)
	for server := range fixture.controller.view.Servers.All() {
		fixture.unreachable[server.Name] = true
	}
	fixture.controller.lateness.Store(late)
	fixture.run(3 * clock.Second)
	require.False(t, fixture.controller.Unreachable("lookups"))
	fixture.controller.lateness.Store(0)
	fixture.run(3 * clock.Second)
	require.True(t, fixture.controller.Unreachable("lookups"))
}

// Guards against requests that leave their region on the way through another instance.
func TestRelayedRequestsStayInTheirRegion(t *testing.T) {
	cases := []struct {
		name    string
		regions map[settings.DataCentreName]settings.RegionName
		peers   int
	}{
		{"no regions known", nil, 3},
		{"one region", map[settings.DataCentreName]settings.RegionName{"dc-0": "sofia", "dc-1": "sofia", "dc-2": "sofia", "dc-3": "sofia"}, 3},
		{"two regions", map[settings.DataCentreName]settings.RegionName{"dc-0": "sofia", "dc-1": "plovdiv", "dc-2": "sofia", "dc-3": "plovdiv"}, 1},
		{"a data centre that is not listed", map[settings.DataCentreName]settings.RegionName{"dc-0": "sofia", "dc-1": "sofia"}, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newReachFixture(t)
			var peers []relay.Peer
			fixture.controller.options.Regions = testCase.regions
			fixture.controller.options.SetRelayPeers = func(set []relay.Peer) { peers = set }
			for server := range fixture.controller.view.Servers.All() {
				fixture.unreachable[server.Name] = true
			}
			fixture.run(2 * clock.Second)
			require.Len(t, peers, testCase.peers)
		})
	}
}

// Guards against reports that grow with the square of the fleet: a data centre loses the path to its servers, and each of its instances tells
// all others of it several times.
func TestReportsOfStandbyInstancesAreFew(t *testing.T) {
	const maxReports = 60
	for _, instances := range []int{300, 600, 1200} {
		fixture := newStandbyFixture(t, instances, 24)
		reports := 0
		options := &fixture.controller.options
		options.CheckConnection = func(name settings.TargetName) { fixture.controller.RecordConnect(name, false) }
		options.Send = func(_ netip.AddrPort, text []byte) {
			message, err := Decode(text)
			require.NoError(t, err)
			if message.Reach != nil {
				reports++
			}
		}
		for server := range fixture.controller.view.Servers.All() {
			fixture.controller.RecordConnect(server.Name, false)
		}
		for range 3 {
			fixture.advanceSecond()
		}
		require.True(t, fixture.controller.reach.tracker.Isolated())
		t.Logf("%d instances: %d reports in 3 s", instances, reports)
		require.NotZero(t, reports, "those that serve decide who is promoted")
		require.LessOrEqual(t, reports, maxReports)
	}
}
