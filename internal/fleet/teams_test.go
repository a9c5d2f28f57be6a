package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// datagramMost is what fits one packet beside the headers, in bytes.
const datagramMost = 1400

// manyTeams returns teams with a limit that one request does not reach.
func manyTeams(count int) []team.Team {
	teams := make([]team.Team, count)
	for index := range teams {
		name := fmt.Sprint("team-", index)
		teams[index] = team.Team{Name: team.Name(name), Rate: 50, Burst: 50}
	}
	return teams
}

// Guards against reports that are cut or lost on the way for their length, however many teams ask.
func TestReportsFitADatagram(t *testing.T) {
	for _, count := range []int{1, 79, 100, 10_000} {
		manual := clock.NewManual()
		ledger := quota.NewLedger(quota.Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
		ledger.SetBounds(quota.Bounds{Window: 5 * clock.Second, Over: 0.25, Slack: 20})
		ledger.SetShare(1)
		teams := manyTeams(count)
		ledger.SetTeams(teams)
		manual.Advance(clock.Minute)
		for index := range teams {
			ledger.Take(teams[index].Name)
		}
		reports := ledger.Reports(1 << 63)
		whole := 0
		for index := range reports {
			datagram, err := Encode(&Message{Quota: &reports[index]})
			require.NoError(t, err)
			require.LessOrEqual(t, len(datagram), datagramMost)
			whole += len(datagram)
			decoded, err := Decode(datagram)
			require.NoError(t, err)
			require.Equal(t, reports[index], *decoded.Quota)
		}
		t.Logf("%d teams: %d datagrams, %d bytes", count, len(reports), whole)
	}
}

// Guards against a datagram of anybody's that empties a team's bucket for much longer than a second, or fills it beyond its burst.
func FuzzReport(f *testing.F) {
	manual := clock.NewManual()
	known := quota.NewLedger(quota.Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	known.SetTeams(manyTeams(1))
	known.Take("team-0")
	key := known.Reports(1)[0].Counts[0].Team
	for _, report := range []quota.Report{
		{Sender: 1, Sequence: 2, Counts: []quota.Count{{Team: key, Total: 4, Level: 5}}},
		{Sender: 1, Sequence: 1 << 63},
		{},
		{Sender: 1, Sequence: 2, Counts: []quota.Count{{Team: key, Total: 1 << 31, Level: -32767}}},
		{Sender: 1, Sequence: 2, Counts: []quota.Count{{Team: key, Total: 4}, {Team: key, Total: 1 << 19}}},
	} {
		text, err := Encode(&Message{Quota: &report})
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		message, err := Decode(text)
		if err != nil || message.Quota == nil {
			return
		}
		manual := clock.NewManual()
		ledger := quota.NewLedger(quota.Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
		ledger.SetBounds(quota.Bounds{Window: 5 * clock.Second, Over: 0.25, Slack: 20})
		ledger.SetShare(1)
		ledger.SetTeams(manyTeams(1))
		manual.Advance(clock.Minute)
		full := ledger.Usage()[0].Level
		ledger.Hear(*message.Quota)
		require.LessOrEqual(t, ledger.Usage()[0].Level, full)
		manual.Advance(1200 * clock.Millisecond)
		_, letIn := ledger.Take("team-0")
		require.True(t, letIn)
	})
}

// Guards against an unknown key that is refused for good by an instance that has not heard of the newest configuration.
func TestKeysAreUnsureUntilTheViewIsFresh(t *testing.T) {
	fixture := newStandby(t, 20, 12)
	require.Equal(t, team.KeysCurrent, fixture.controller.Keys())
	fixture.pass(currentFor + 3*tickStandby)
	fixture.controller.tick()
	require.Equal(t, team.KeysUnverified, fixture.controller.Keys())
	fixture.second()
	require.Equal(t, team.KeysCurrent, fixture.controller.Keys())
}

// Guards against revoked keys that work for ever at an instance which hears nobody, where operators don't want that.
func TestFailClosed(t *testing.T) {
	cases := []struct {
		name     string
		closed   bool
		expected team.KeySetStatus
	}{
		{"open", false, team.KeysUnverified},
		{"closed", true, team.KeysStale},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newStandby(t, 20, 12)
			fixture.controller.options.Bounds = settings.GatewayBounds{ProbesPerSecond: 60, FailClosed: testCase.closed, RevokeWithin: 5 * clock.Second}
			fixture.pass(4 * clock.Second)
			fixture.controller.tick()
			require.Equal(t, team.KeysUnverified, fixture.controller.Keys())
			fixture.pass(2 * clock.Second)
			fixture.controller.tick()
			require.Equal(t, testCase.expected, fixture.controller.Keys())
		})
	}
}
