package service

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// askForRest adds a statement of the limited target that it wants no request for a time.
func (fixture *limitFixture) askForRest(source Source, rest clock.Milliseconds) StatementChange {
	return fixture.observeStatement(limitedName, 0, Statement{At: fixture.manual.Now(), Rest: rest}, source)
}

// Guards against requests to a server within the rest that it asked for, and against one that is avoided after it.
func TestRest(t *testing.T) {
	type step struct {
		after  clock.Milliseconds
		source Source
		rest   clock.Milliseconds
	}
	cases := []struct {
		name  string
		steps []step
		// rest is the time for which the server still rests after the last step.
		rest clock.Milliseconds
	}{
		{"none", []step{{0, FromAnswer, 0}}, 0},
		{"asked for in an answer", []step{{0, FromAnswer, 3 * clock.Second}}, 3 * clock.Second},
		{"asked for in a probe", []step{{0, FromProbe, 3 * clock.Second}}, 3 * clock.Second},
		{"extended", []step{{0, FromAnswer, 3 * clock.Second}, {clock.Second, FromAnswer, 3 * clock.Second}}, 3 * clock.Second},
		{"not shortened", []step{{0, FromAnswer, 3 * clock.Second}, {clock.Second, FromAnswer, clock.Second}}, 2 * clock.Second},
		{"not ended by a response without one", []step{{0, FromAnswer, 3 * clock.Second}, {clock.Second, FromProbe, 0}}, 2 * clock.Second},
		{"asked for again", []step{{0, FromAnswer, clock.Second}, {5 * clock.Second, FromAnswer, 2 * clock.Second}}, 2 * clock.Second},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newLimitFixture(t, limitedName)
			for _, step := range testCase.steps {
				fixture.manual.Advance(step.after)
				fixture.askForRest(step.source, step.rest)
			}
			require.Zero(t, fixture.sentWithin(max(testCase.rest-10*clock.Millisecond, 0)))
			require.Greater(t, fixture.sentWithin(clock.Second), 90)
		})
	}
}

// Guards against a rest that is forgotten by a success, a load reading, a configuration, a lapsed entry or the refusal's backoff.
func TestRestOutlastsEverythingButARestart(t *testing.T) {
	cases := []struct {
		name   string
		change func(*limitFixture)
		rests  bool
	}{
		{"a success", func(fixture *limitFixture) {
			fixture.candidates[limitedName].recordSuccess()
			fixture.reindexAll(fixture.manual.Now())
		}, true},
		{"a configuration", func(fixture *limitFixture) { fixture.configure(0, 0, limitedName) }, true},
		{"a lapsed entry", func(fixture *limitFixture) {
			fixture.configure(0, 0)
			fixture.configure(0, 0, limitedName)
		}, true},
		{"probes that failed and pass again", func(fixture *limitFixture) {
			fixture.SetDown(limitedName, true, FromProbe)
			fixture.SetDown(limitedName, false, FromProbe)
		}, true},
		{"a suspended machine", func(fixture *limitFixture) { fixture.DiscardReadings() }, true},
		{"a restart of the server", func(fixture *limitFixture) { fixture.configure(7, 0, limitedName) }, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newLimitFixture(t, limitedName)
			fixture.askForRest(FromAnswer, 3*clock.Second)
			testCase.change(fixture)
			require.Equal(t, testCase.rests, fixture.sentWithin(2*clock.Second) == 0)
		})
	}
}

// Guards against callers who are refused or wait because a server rests, while another one can serve them.
func TestOtherServersServeBesideARestingOne(t *testing.T) {
	fixture := newLimitFixture(t, limitedName, "other")
	fixture.askForRest(FromAnswer, 3*clock.Second)
	for range 200 {
		fixture.manual.Advance(10 * clock.Millisecond)
		fixture.Observe("other", LoadReading{At: fixture.manual.Now(), Slots: 100, Slowdown: 1, ColdKnown: true})
		require.NotEmpty(t, fixture.request())
	}
}

// Guards against requests that wait although all servers rest beyond their deadline, or that are refused although a rest is short.
func TestAllServersRest(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	request := func() (*PendingPermit, error) {
		now := fixture.manual.Now()
		_, pending, err := fixture.AcquireOrEnqueue(PermitRequest{Class: "look", SoftDeadline: now.Add(500 * clock.Millisecond), Deadline: now.Add(2 * clock.Second)})
		return pending, err
	}
	fixture.askForRest(FromAnswer, 100*clock.Millisecond)
	pending, err := request()
	require.NoError(t, err)
	require.NotNil(t, pending)
	fixture.manual.Advance(110 * clock.Millisecond)
	fixture.Observe(limitedName, LoadReading{At: fixture.manual.Now(), Slots: 100, Slowdown: 1, ColdKnown: true})
	permit, granted, err := pending.Poll()
	require.NoError(t, err)
	require.True(t, granted)
	permit.Release(Succeeded)
	fixture.askForRest(FromAnswer, 10*clock.Second)
	_, err = request()
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.GreaterOrEqual(t, float64(refused.RetryAfter), float64(clock.Second))
}

// Guards against probes of a server within its rest, which are requests too.
func TestRestingServerIsNotProbed(t *testing.T) {
	fixture := newLimitFixture(t, limitedName)
	require.True(t, fixture.ProbeDue(limitedName))
	fixture.askForRest(FromAnswer, clock.Second)
	require.False(t, fixture.ProbeDue(limitedName))
	fixture.manual.Advance(clock.Second)
	require.True(t, fixture.ProbeDue(limitedName))
}
