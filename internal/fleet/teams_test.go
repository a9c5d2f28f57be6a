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

// maxDatagramSize is the size of a datagram that fits into one packet with the headers, in bytes.
const maxDatagramSize = 1400

// manyTeams returns teams with a rate limit that one request does not reach.
func manyTeams(count int) []team.Team {
	teams := make([]team.Team, count)
	for index := range teams {
		name := fmt.Sprint("team-", index)
		teams[index] = team.Team{Name: team.Name(name), Rate: 50, Burst: 50}
	}
	return teams
}

// Guards against reports that are truncated or lost in transit because of their length, however many teams send requests.
func TestReportsFitADatagram(t *testing.T) {
	for _, count := range []int{1, 79, 100, 10_000} {
		manual := clock.NewManual()
		limiter := quota.NewLimiter(quota.Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
		limiter.SetBounds(quota.Bounds{Window: 5 * clock.Second, Over: 0.25, Slack: 20})
		limiter.SetFleetFraction(1)
		teams := manyTeams(count)
		limiter.SetTeams(teams)
		manual.Advance(clock.Minute)
		for index := range teams {
			limiter.Admit(teams[index].Name)
		}
		reports := limiter.Reports(1 << 63)
		total := 0
		for index := range reports {
			datagram, err := Encode(&Message{Quota: &reports[index]})
			require.NoError(t, err)
			require.LessOrEqual(t, len(datagram), maxDatagramSize)
			total += len(datagram)
			decoded, err := Decode(datagram)
			require.NoError(t, err)
			require.Equal(t, reports[index], *decoded.Quota)
		}
		t.Logf("%d teams: %d datagrams, %d bytes", count, len(reports), total)
	}
}

// Guards against a datagram of any sender that empties a team's bucket for much longer than a second, or fills it beyond its
// burst.
func FuzzReport(f *testing.F) {
	manual := clock.NewManual()
	known := quota.NewLimiter(quota.Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	known.SetTeams(manyTeams(1))
	known.Admit("team-0")
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
		limiter := quota.NewLimiter(quota.Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
		limiter.SetBounds(quota.Bounds{Window: 5 * clock.Second, Over: 0.25, Slack: 20})
		limiter.SetFleetFraction(1)
		limiter.SetTeams(manyTeams(1))
		manual.Advance(clock.Minute)
		full := limiter.Usage()[0].Level
		limiter.Receive(*message.Quota)
		require.LessOrEqual(t, limiter.Usage()[0].Level, full)
		manual.Advance(1200 * clock.Millisecond)
		_, admitted := limiter.Admit("team-0")
		require.True(t, admitted)
	})
}

// Guards against an instance that does not have the newest configuration and refuses an unknown key for good.
func TestKeysAreUnsureUntilTheViewIsFresh(t *testing.T) {
	fixture := newStandbyFixture(t, 20, 12)
	require.Equal(t, team.KeysCurrent, fixture.controller.KeyStatus())
	fixture.advance(freshViewTimeout + 3*standbyTickInterval)
	fixture.controller.tick()
	require.Equal(t, team.KeysUnverified, fixture.controller.KeyStatus())
	fixture.advanceSecond()
	require.Equal(t, team.KeysCurrent, fixture.controller.KeyStatus())
}

// Guards against revoked keys that work forever at an instance which receives no messages, if operators have configured it to
// fail closed.
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
			fixture := newStandbyFixture(t, 20, 12)
			fixture.controller.options.Bounds = settings.GatewayBounds{ProbesPerSecond: 60, FailClosed: testCase.closed, RevokeWithin: 5 * clock.Second}
			fixture.advance(4 * clock.Second)
			fixture.controller.tick()
			require.Equal(t, team.KeysUnverified, fixture.controller.KeyStatus())
			fixture.advance(2 * clock.Second)
			fixture.controller.tick()
			require.Equal(t, testCase.expected, fixture.controller.KeyStatus())
		})
	}
}
