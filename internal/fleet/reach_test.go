package fleet

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/membership"
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
			for _, server := range fixture.controller.view.Servers {
				owned := fixture.controller.owners[server.Name] == identity(0).Name
				if server.Service != "lookups" || !owned && !testCase.reach {
					continue
				}
				fixture.unreachable[server.Name] = testCase.unreachable(position)
				position++
			}
			fixture.sent = nil
			fixture.run(2 * clock.Second)
			down := map[TargetKey]bool{}
			for _, message := range fixture.sent {
				for _, reading := range message.Readings {
					if reading.Down {
						down[reading.Target] = true
					}
				}
			}
			require.Len(t, down, testCase.reported)
			require.Equal(t, testCase.reach, fixture.controller.reach.tracker.Unreachable("lookups"))
		})
	}
}

// Guards against servers that no instance uses because one instance, their owner, cannot reach them.
func TestReportedFailureIsVerified(t *testing.T) {
	fixture := newReachFixture(t)
	controller := fixture.controller
	var target settings.TargetName
	for _, server := range controller.view.Servers {
		if controller.owners[server.Name] == identity(1).Name {
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
