package service

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const limitedName = settings.TargetName("limited")

// limitFixture is a scheduler with a target that may name a limit, alone or beside another one.
type limitFixture struct {
	*Scheduler

	t      *testing.T
	manual *clock.Manual
}

func newLimitFixture(t *testing.T, names ...settings.TargetName) *limitFixture {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	fixture := &limitFixture{Scheduler: NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))}), t: t, manual: manual}
	fixture.configure(0, 0, names...)
	return fixture
}

func (fixture *limitFixture) configure(started int64, coldRate float64, names ...settings.TargetName) {
	var configs []TargetConfig
	for _, name := range names {
		configs = append(configs, TargetConfig{Name: name, Slots: 100, Local: true, Owned: true, Usable: true, Started: started, ColdRate: coldRate})
	}
	fixture.SetTargets(configs)
	for _, name := range names {
		fixture.Observe(name, LoadReading{At: fixture.manual.Now(), Slots: 100, Slowdown: 1, ColdKnown: true})
	}
}

func named(rate float64) RateLimitStatement {
	return RateLimitStatement{Named: true, Rate: rate}
}

// say adds a statement of the limited target.
func (fixture *limitFixture) say(source Source, limit RateLimitStatement) {
	fixture.observeStatement(limitedName, 0, Statement{At: fixture.manual.Now(), Limit: limit}, source)
}

// omit adds successful responses of the limited target that do not name its limit, at an interval.
func (fixture *limitFixture) omit(count int, interval clock.Milliseconds) {
	for range count {
		fixture.manual.Advance(interval)
		fixture.say(FromAnswer, RateLimitStatement{Absent: true})
	}
	fixture.Sweep()
}

// request sends a request if a target accepts it at once, and reports to which.
func (fixture *limitFixture) request() settings.TargetName {
	now := fixture.manual.Now()
	permit, pending, err := fixture.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(2 * clock.Second)})
	if pending != nil {
		permit, err = pending.Cancel()
	}
	if err != nil {
		return ""
	}
	permit.Release(Succeeded)
	return permit.Target.Name
}

// ended releases a permit that was acquired, and reports whether it was.
func ended(permit Permit, acquired bool) bool {
	if acquired {
		permit.Release(Succeeded)
	}
	return acquired
}

// sentWithin returns how many requests the limited target gets within a time in which it could get one each 10 ms.
func (fixture *limitFixture) sentWithin(length clock.Milliseconds) int {
	count := 0
	for range int(length / (10 * clock.Millisecond)) {
		fixture.manual.Advance(10 * clock.Millisecond)
		for name := range fixture.candidates {
			fixture.Observe(name, LoadReading{At: fixture.manual.Now(), Slots: 100, Slowdown: 1, ColdKnown: true})
		}
		if fixture.request() == limitedName {
			count++
		}
	}
	return count
}

// Guards against statements of a limit with a wrong effect: a response that cannot be understood or that comes from elsewhere
// neither limits a target nor ends its limit.
func TestStatementsOfLimits(t *testing.T) {
	absent := RateLimitStatement{Absent: true}
	invalid := RateLimitStatement{Invalid: true}
	type step struct {
		source Source
		limit  RateLimitStatement
		// after is the time since the step before, a millisecond if it is 0.
		after clock.Milliseconds
	}
	const enough = minWithdrawalTime
	cases := []struct {
		name  string
		steps []step
		// limited is whether the target is limited in the end, to 2 a second.
		limited bool
	}{
		{"none", nil, false},
		{"named in an answer", []step{{FromAnswer, named(2), 0}}, true},
		{"named in a probe", []step{{FromProbe, named(2), 0}}, true},
		{"lowered", []step{{FromAnswer, named(50), 0}, {FromAnswer, named(2), 0}}, true},
		{"not understood", []step{{FromAnswer, invalid, 0}}, false},
		{"named, then not understood", []step{{FromAnswer, named(2), 0}, {FromAnswer, invalid, 0}, {FromAnswer, invalid, enough}}, true},
		{"named, then one answer without it", []step{{FromAnswer, named(2), 0}, {FromAnswer, absent, clock.Minute}}, true},
		{"named, then answers without it for a short time", []step{{FromAnswer, named(2), 0}, {FromAnswer, absent, 0}, {FromAnswer, absent, enough - 1}}, true},
		{"named, then answers without it", []step{{FromAnswer, named(2), 0}, {FromAnswer, absent, 0}, {FromAnswer, absent, enough}}, false},
		{
			"named between answers without it",
			[]step{{FromAnswer, named(2), 0}, {FromAnswer, absent, 0}, {FromAnswer, named(2), 0}, {FromAnswer, absent, enough}, {FromAnswer, absent, 0}},
			true,
		},
		{"named in answers, absent in probes", []step{{FromAnswer, named(2), 0}, {FromProbe, absent, 0}, {FromProbe, absent, enough}}, true},
		{"named in a probe, absent in probes", []step{{FromProbe, named(2), 0}, {FromProbe, absent, 0}, {FromProbe, absent, enough}}, false},
		{"named, then errors without it", []step{{FromAnswer, named(2), 0}, {FromAnswer, RateLimitStatement{}, 0}, {FromAnswer, RateLimitStatement{}, enough}}, true},
		{"lifted and named again", []step{{FromAnswer, named(2), 0}, {FromAnswer, absent, 0}, {FromAnswer, absent, enough}, {FromAnswer, named(2), liftTime / 2}}, true},
		{
			"lifted and named again with another figure",
			[]step{{FromAnswer, named(50), 0}, {FromAnswer, absent, 0}, {FromAnswer, absent, enough}, {FromAnswer, named(2), liftTime / 2}},
			true,
		},
		{"ended and named again", []step{{FromAnswer, named(2), 0}, {FromAnswer, absent, 0}, {FromAnswer, absent, enough}, {FromAnswer, named(2), 2 * liftTime}}, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newLimitFixture(t, limitedName)
			for _, step := range testCase.steps {
				fixture.manual.Advance(max(step.after, clock.Millisecond))
				fixture.Sweep()
				fixture.say(step.source, step.limit)
			}
			if testCase.limited {
				require.InDelta(t, 8, fixture.sentWithin(4*clock.Second), 2)
				return
			}
			fixture.omit(endResponses, liftTime/(endResponses-1))
			require.Greater(t, fixture.sentWithin(4*clock.Second), 300)
		})
	}
}

// Guards against a server that gets all that waits at once when answers no longer name its limit, and then names it again.
func TestLimitIsLiftedGradually(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	fixture.say(FromAnswer, named(4))
	fixture.manual.Advance(clock.Millisecond)
	fixture.say(FromAnswer, RateLimitStatement{Absent: true})
	fixture.manual.Advance(minWithdrawalTime)
	fixture.say(FromAnswer, RateLimitStatement{Absent: true})
	states, _ := fixture.State()
	require.True(t, states[0].LimitLifted)
	require.Equal(t, 2, states[0].LimitOmitted)
	require.LessOrEqual(t, fixture.sentWithin(liftDoubling), 6)
	require.LessOrEqual(t, fixture.sentWithin(liftDoubling), 8)
	fixture.say(FromAnswer, named(4))
	states, _ = fixture.State()
	require.False(t, states[0].LimitLifted)
	require.InDelta(t, 16, fixture.sentWithin(4*clock.Second), 3)
}

// Guards against an instance that goes on lifting a limit, or reports that it is named, by what it knew before it began to borrow.
func TestBorrowerDoesNotLiftLimit(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	fixture.say(FromAnswer, named(4))
	fixture.omit(2, minWithdrawalTime)
	fixture.SetBorrowing(true)
	fixture.omit(endResponses, liftTime)
	states, _ := fixture.State()
	require.NotNil(t, states[0].RateLimit)
	require.False(t, states[0].LimitLifted)
	fixture.ReceiveLoan(LoanAnswer{Target: limitedName, Tokens: 1, Unknown: true})
	states, _ = fixture.State()
	require.Nil(t, states[0].RateLimit)
	for _, report := range fixture.DeclarationReports(fixture.manual.Now()) {
		require.False(t, report.Observed)
	}
}

// Guards against the answer to a request that was sent before a limit was named and that counts as its end.
func TestAnswerToEarlierRequestDoesNotEndLimit(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	start := fixture.manual.Now()
	fixture.manual.Advance(clock.Second)
	fixture.say(FromAnswer, named(2))
	for range 5 {
		fixture.manual.Advance(minWithdrawalTime)
		fixture.observeStatement(limitedName, 0, Statement{At: fixture.manual.Now(), SentAt: start, Limit: RateLimitStatement{Absent: true}}, FromAnswer)
	}
	require.InDelta(t, 8, fixture.sentWithin(4*clock.Second), 2)
}

// Guards against a server that names a limit of zero and gets requests, or that never gets one again once it has withdrawn it.
func TestLimitOfZero(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	fixture.say(FromAnswer, named(0))
	require.LessOrEqual(t, fixture.sentWithin(4*clock.Second), 1)
	require.LessOrEqual(t, fixture.sentWithin(10*clock.Second), 2)
	fixture.omit(2, maxWithdrawalTime)
	fixture.omit(endResponses, liftTime/(endResponses-1))
	require.Greater(t, fixture.sentWithin(clock.Second), 50)
}

// Guards against an older response, overtaken by a newer one, that changes the limit.
func TestOlderStatementChangesNothing(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	now := fixture.manual.Now()
	fixture.observeStatement(limitedName, 0, Statement{At: now, Limit: named(2)}, FromAnswer)
	fixture.observeStatement(limitedName, 0, Statement{At: now.Add(-clock.Second), Limit: RateLimitStatement{Absent: true}}, FromAnswer)
	require.Less(t, fixture.sentWithin(4*clock.Second), 11)
}

// Guards against the limit of a process of a server that applies to its next one.
func TestLimitEndsWithTheProcess(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	fixture.say(FromAnswer, named(1))
	fixture.configure(7, 0, limitedName)
	fixture.say(FromAnswer, named(1))
	require.Greater(t, fixture.sentWithin(clock.Second), 50)
}

// Guards against a limit that is forgotten when the server's entry lapses while the store is down.
func TestLimitOutlastsALapsedEntry(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	fixture.say(FromAnswer, named(1))
	fixture.configure(0, 0)
	fixture.manual.Advance(clock.Second)
	fixture.configure(0, 0, limitedName)
	require.LessOrEqual(t, fixture.sentWithin(4*clock.Second), 6)
}

// Guards against a retry, a hedged request, a waiting request or a request to a cold server that does not count against a limit.
func TestLimitCountsOnEveryPath(t *testing.T) {
	request := func(fixture *limitFixture) PermitRequest {
		now := fixture.manual.Now()
		return PermitRequest{Class: "look", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(2 * clock.Second)}
	}
	cases := []struct {
		name string
		cold bool
		// send tries to send one request and reports whether it was sent.
		send func(*limitFixture) bool
	}{
		{"a first attempt", false, func(fixture *limitFixture) bool { return fixture.request() != "" }},
		{"a retry", false, func(fixture *limitFixture) bool {
			retried := request(fixture)
			retried.PreviousTarget = fixture.candidates[limitedName].Target
			permit, pending, err := fixture.AcquireOrEnqueue(retried)
			if pending != nil {
				permit, err = pending.Cancel()
			}
			return ended(permit, err == nil)
		}},
		{"a hedged request", false, func(fixture *limitFixture) bool {
			permit, acquired := fixture.TryAcquire(request(fixture))
			return ended(permit, acquired)
		}},
		{"a request that waited", false, func(fixture *limitFixture) bool {
			permit, pending, err := fixture.AcquireOrEnqueue(request(fixture))
			if pending != nil {
				fixture.manual.Advance(10 * clock.Millisecond)
				fixture.Sweep()
				permit, err = pending.Cancel()
			}
			return ended(permit, err == nil)
		}},
		{"a request to a cold server", true, func(fixture *limitFixture) bool { return fixture.request() != "" }},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newLimitFixture(t, limitedName)
			fixture.configure(0, 40, limitedName)
			fixture.say(FromAnswer, named(2))
			count, start := 0, fixture.manual.Now()
			for range 400 {
				fixture.manual.Advance(10 * clock.Millisecond)
				reading := LoadReading{At: fixture.manual.Now(), Slots: 100, Slowdown: 1, ColdKnown: true}
				if testCase.cold {
					reading.ColdFor = clock.Minute
				}
				fixture.Observe(limitedName, reading)
				if testCase.send(fixture) {
					count++
				}
			}
			require.InDelta(t, 2*float64(fixture.manual.Now().Since(start)/clock.Second), count, 2)
		})
	}
}

// Guards against callers who are refused or wait because a server limits its rate, while another one can serve them.
func TestOtherServersServeBesideALimitedOne(t *testing.T) {
	fixture := newLimitFixture(t, limitedName, "other")
	fixture.say(FromAnswer, named(1))
	for range 200 {
		fixture.manual.Advance(10 * clock.Millisecond)
		fixture.Observe("other", LoadReading{At: fixture.manual.Now(), Slots: 100, Slowdown: 1, ColdKnown: true})
		require.NotEmpty(t, fixture.request())
	}
}

// Guards against a request that waits although all servers limit their rate and none accepts it before its deadline.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	fixture.say(FromAnswer, named(0.25))
	now := fixture.manual.Now()
	_, pending, err := fixture.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(2 * clock.Second)})
	require.Nil(t, pending)
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.GreaterOrEqual(t, float64(refused.RetryAfter), float64(clock.Second))
}

// Guards against probes that are a larger load on a limited server than its requests.
func TestLimitedServerIsProbedRarely(t *testing.T) {
	cases := []struct {
		rate     float64
		interval clock.Milliseconds
	}{
		{0, clock.Second / 0.75},
		{1, clock.Second / 1.25},
		{10, clock.Second / 5.75},
	}
	for _, testCase := range cases {
		fixture := newLimitFixture(t, limitedName)
		require.Zero(t, fixture.MinProbeInterval(limitedName))
		fixture.say(FromAnswer, named(testCase.rate))
		require.InDelta(t, float64(testCase.interval), float64(fixture.MinProbeInterval(limitedName)), 1e-6)
	}
}

// Guards against reports that are lost, late or doubled and change what an instance counts.
func TestReportsOfLimitedServers(t *testing.T) {
	local, remote := newLimitFixture(t, limitedName), newLimitFixture(t, limitedName)
	remote.say(FromAnswer, named(10))
	var reports []DeclarationReport
	for range 4 {
		remote.manual.Advance(200 * clock.Millisecond)
		require.Equal(t, limitedName, remote.request())
		reports = append(reports, remote.DeclarationReports(remote.manual.Now())...)
	}
	require.Len(t, reports, 4)
	const peer = PeerKey(9)
	change := local.ReceiveDeclaration(peer, reports[0])
	require.Equal(t, StatementChange{Target: limitedName, Source: FromPeer, Limited: true, Rate: 10}, change)
	local.manual.Advance(clock.Minute)
	local.candidates[limitedName].limitAllows(local.manual.Now())
	level := local.candidates[limitedName].declaration.level
	for _, report := range []DeclarationReport{reports[3], reports[1], reports[3], reports[2], reports[0]} {
		local.ReceiveDeclaration(peer, report)
	}
	require.InDelta(t, level-3, local.candidates[limitedName].declaration.level, 1e-9)
}
