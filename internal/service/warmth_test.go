package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// warmthFixture is a scheduler with one target.
type warmthFixture struct {
	*Scheduler

	manual *clock.Manual
	config TargetConfig
}

const warmthColdRate = 4

func newWarmthFixture(owned bool) *warmthFixture {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	fixture := &warmthFixture{
		Scheduler: NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))}), manual: manual,
		config: TargetConfig{Name: "one", Slots: 4, Owned: owned, Usable: true, ColdRate: warmthColdRate, Started: 1},
	}
	fixture.SetTargets([]TargetConfig{fixture.config})
	// The first request to a cold target is permitted after some time.
	manual.Advance(clock.Second)
	return fixture
}

// observe passes on a reading of a probe or of an answer that is so old.
func (fixture *warmthFixture) observe(source Source, age, coldFor clock.Milliseconds) {
	fixture.Observe("one", LoadReading{
		At: fixture.manual.Now().Add(-age), Slots: 4, Slowdown: 1, ColdKnown: source != FromAnswer, ColdFor: coldFor, Source: source,
	})
}

// Guards against a report that does not tell by whose word a target is cold, since when, and how many requests were sent to it.
func TestReportCold(t *testing.T) {
	fixture := newWarmthFixture(true)
	fixture.observe(FromPeer, 0, clock.Second)
	fixture.manual.Advance(400 * clock.Millisecond)
	require.Equal(t, 1, fill(t, fixture.Scheduler))
	report := fixture.ReportCold()
	require.Equal(t, ColdReport{
		Targets: []ColdTarget{{
			Name: "one", Owned: true, Cold: true, Source: FromPeer, Since: 400 * clock.Millisecond, Remaining: 600 * clock.Millisecond, Sent: 1,
		}},
		Cold: 1, Total: 1,
	}, report)
	require.Zero(t, fixture.ReportCold().Targets[0].Sent)
	fixture.manual.Advance(600 * clock.Millisecond)
	require.Equal(t, ColdReport{Total: 1}, fixture.ReportCold())
	fixture.manual.Advance(maxReadingAge)
	require.Equal(t, ColdReport{Unknown: 1, Total: 1}, fixture.ReportCold())
}

// Guards against a target that is flooded because each of many instances that do not own it sends one request at a time to it while
// it may be cold.
func TestOnlyOwnerSendsToTargetThatMayBeCold(t *testing.T) {
	cases := []struct {
		name string
		play func(*warmthFixture)
		// free is whether a probe has shown that the target is warm.
		free bool
	}{
		{"no probe yet", func(*warmthFixture) {}, false},
		{"a recent probe", func(fixture *warmthFixture) { fixture.observe(FromPeer, clock.Second, 0) }, true},
		{"an old probe", func(fixture *warmthFixture) { fixture.observe(FromPeer, maxReadingAge+1, 0) }, false},
		{"an old probe and a recent answer", func(fixture *warmthFixture) {
			fixture.observe(FromPeer, maxReadingAge+1, 0)
			fixture.observe(FromAnswer, 0, 0)
		}, false},
		{"a recent probe and an answer since", func(fixture *warmthFixture) {
			fixture.observe(FromAnswer, 0, 0)
			fixture.observe(FromPeer, 50*clock.Millisecond, 0)
		}, true},
		{"cold by a recent probe, and an answer since", func(fixture *warmthFixture) {
			fixture.observe(FromPeer, 100*clock.Millisecond, 0)
			fixture.observe(FromAnswer, 0, 0)
			fixture.observe(FromPeer, 50*clock.Millisecond, 3*clock.Second)
		}, false},
		{"probes in the wrong order", func(fixture *warmthFixture) {
			fixture.observe(FromPeer, 0, 3*clock.Second)
			fixture.observe(FromPeer, 50*clock.Millisecond, 0)
		}, false},
		{"a recent probe that says nothing of it", func(fixture *warmthFixture) {
			fixture.Observe("one", LoadReading{At: fixture.manual.Now(), Slots: 4, Slowdown: 1, Source: FromPeer})
		}, true},
		{"a recent probe that is not understood", func(fixture *warmthFixture) {
			fixture.Observe("one", LoadReading{At: fixture.manual.Now(), Slots: 4, Slowdown: 1, ColdUnclear: true, Source: FromPeer})
		}, false},
		{"a probe of its own, just now", func(fixture *warmthFixture) { fixture.observe(FromCheck, 0, 0) }, true},
		{"a probe of its own, some time ago", func(fixture *warmthFixture) { fixture.observe(FromCheck, checkValidity+1, 0) }, false},
		{"a recent probe of the time before its return", func(fixture *warmthFixture) {
			fixture.config.Usable = false
			fixture.SetTargets([]TargetConfig{fixture.config})
			fixture.observe(FromPeer, 0, 0)
			fixture.manual.Advance(200 * clock.Millisecond)
			fixture.config.Usable = true
			fixture.SetTargets([]TargetConfig{fixture.config})
		}, false},
		{"a probe since its return", func(fixture *warmthFixture) {
			fixture.config.Usable = false
			fixture.SetTargets([]TargetConfig{fixture.config})
			fixture.config.Usable = true
			fixture.SetTargets([]TargetConfig{fixture.config})
			fixture.observe(FromPeer, 0, 0)
		}, true},
		{"cold again by its entry", func(fixture *warmthFixture) {
			fixture.observe(FromPeer, 0, 0)
			fixture.config.ColdFor = 3 * clock.Second
			fixture.SetTargets([]TargetConfig{fixture.config})
		}, false},
		{"the same entry twice", func(fixture *warmthFixture) {
			fixture.config.ColdFor = 3 * clock.Second
			fixture.SetTargets([]TargetConfig{fixture.config})
			fixture.observe(FromPeer, 0, 0)
			fixture.SetTargets([]TargetConfig{fixture.config})
		}, true},
		{"a suspended machine", func(fixture *warmthFixture) {
			fixture.observe(FromPeer, 0, 0)
			fixture.DiscardReadings()
		}, false},
		{"another process of the target", func(fixture *warmthFixture) {
			fixture.observe(FromPeer, 0, 0)
			fixture.config.Started++
			fixture.SetTargets([]TargetConfig{fixture.config})
		}, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			owner, other := newWarmthFixture(true), newWarmthFixture(false)
			testCase.play(owner)
			testCase.play(other)
			if testCase.free {
				require.Greater(t, fill(t, owner.Scheduler), 1)
				require.Positive(t, fill(t, other.Scheduler))
				return
			}
			require.Equal(t, 1, fill(t, owner.Scheduler))
			require.Zero(t, fill(t, other.Scheduler))
		})
	}
}

// Guards against an instance that neither probes the targets of which it knows nothing nor lets its callers wait for that: callers with
// old address answers reach instances that are not told of targets.
func TestRequestsWaitForProbesOfUnknownTargets(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Millisecond)
	requested := 0
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1)), RequestProbes: func() { requested++ }})
	scheduler.SetTargets([]TargetConfig{{Name: "one", Slots: 4, Usable: true}, {Name: "two", Slots: 4, Usable: true}, {Name: "out", Slots: 4}})
	require.Empty(t, scheduler.TakeUnknown(), "no request waits")
	_, pending, err := scheduler.AcquireOrEnqueue(PermitRequest{
		Class: "look", SoftDeadline: manual.Now().Add(250 * clock.Millisecond), Deadline: manual.Now().Add(clock.Second),
	})
	require.NoError(t, err)
	require.NotNil(t, pending)
	require.Equal(t, 1, requested)
	require.ElementsMatch(t, []settings.TargetName{"one", "two"}, scheduler.TakeUnknown())
	manual.Advance(unknownCheckInterval)
	scheduler.Sweep()
	require.Equal(t, 1, requested, "each target is probed once at first")
	require.Empty(t, scheduler.TakeUnknown())
	scheduler.Observe("two", LoadReading{At: manual.Now(), Slots: 4, Slowdown: 1, Source: FromCheck})
	permit, ended, err := pending.Poll()
	require.True(t, ended)
	require.NoError(t, err)
	require.Equal(t, settings.TargetName("two"), permit.Target.Name)
}

// Guards against callers that wait in vain for targets that do not answer probes.
func TestRequestsDoNotWaitForTargetsThatDoNotAnswer(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Millisecond)
	scheduler := NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetTargets([]TargetConfig{{Name: "one", Slots: 4, Usable: true}})
	request := func() error {
		_, _, err := scheduler.AcquireOrEnqueue(PermitRequest{
			Class: "look", SoftDeadline: manual.Now().Add(150 * clock.Millisecond), Deadline: manual.Now().Add(400 * clock.Millisecond),
		})
		return err
	}
	require.NoError(t, request())
	scheduler.TakeUnknown()
	manual.Advance(maxUnknownProbeTime + unknownCheckInterval)
	var refused *RefusedError
	require.ErrorAs(t, request(), &refused)
}

// Guards against targets that nobody may probe and that get no requests of their owner, since nothing tells that they are warm. Without a
// reading they get one request at a time.
func TestUnprobedTargetIsWarmUnlessItsConfigurationTellsOtherwise(t *testing.T) {
	const coldFor = 10 * clock.Second
	cases := []struct {
		name            string
		owned, tookOver bool
		coldRate        float64
		// coldFor is how long the target was cold when it was configured, and elapsed the time since.
		coldFor, elapsed clock.Milliseconds
		served           int
	}{
		{"owned", true, false, warmthColdRate, 0, clock.Second, 1},
		{"owned, no cold rate", true, false, 0, 0, clock.Second, 1},
		{"owned since just now", true, true, 0, 0, clock.Second, 1},
		{"not owned", false, false, 0, 0, clock.Second, 1},
		{"owned, cold", true, false, warmthColdRate, coldFor, clock.Second, 1},
		{"owned, cold, no cold rate", true, false, 0, coldFor, clock.Second, 0},
		{"owned since just now, cold", true, true, warmthColdRate, coldFor, clock.Second, 0},
		{"not owned, cold", false, false, warmthColdRate, coldFor, clock.Second, 0},
		{"owned, cold until now, no cold rate", true, false, 0, coldFor, coldFor, 1},
		{"owned since just now, cold until now", true, true, warmthColdRate, coldFor, coldFor, 1},
		{"not owned, cold until now", false, false, warmthColdRate, coldFor, coldFor, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newWarmthFixture(true)
			config := TargetConfig{
				Name: "two", Slots: 4, Owned: testCase.owned && !testCase.tookOver, Usable: true, Unprobed: true, ColdRate: testCase.coldRate, ColdFor: testCase.coldFor,
			}
			fixture.SetTargets([]TargetConfig{config})
			fixture.manual.Advance(testCase.elapsed)
			config.Owned = testCase.owned
			fixture.SetTargets([]TargetConfig{config})
			require.Equal(t, testCase.served, fill(t, fixture.Scheduler))
		})
	}
}

// Guards against a target that probes found to be down and that gets no request any more, because the service's health check path was
// dropped and no probe can find it up again.
func TestTargetThatIsNotProbedAnyMoreIsNotDown(t *testing.T) {
	for _, source := range []Source{FromProbe, FromPeer} {
		fixture := newWarmthFixture(true)
		fixture.observe(FromProbe, 0, 0)
		require.True(t, fixture.SetDown("one", true, source))
		fixture.config.Unprobed = true
		fixture.ChangeTargets([]TargetConfig{fixture.config}, nil)
		require.False(t, fixture.SetDown("one", true, source), "a late report")
		require.Zero(t, fixture.DownTargets().Own+fixture.DownTargets().Reported)
		require.Positive(t, fill(t, fixture.Scheduler))
	}
}
