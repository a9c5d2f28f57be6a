package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// newTestLimiter returns a limiter of an instance that exchanges reports with the whole fleet and has run for a minute.
func newTestLimiter(manual *clock.Manual, teams ...team.Team) *Limiter {
	limiter := NewLimiter(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	limiter.SetBounds(modelBounds)
	limiter.SetFleetFraction(1)
	limiter.SetTeams(teams)
	manual.Advance(clock.Minute)
	return limiter
}

// admitAll returns the number of requests that are admitted before one is refused.
func admitAll(limiter *Limiter, name team.Name) int {
	admittedCount := 0
	for {
		if _, admitted := limiter.Admit(name); !admitted {
			return admittedCount
		}
		admittedCount++
	}
}

// Guards against parts of a partitioned fleet that together use more than a limit allows.
func TestSharesOfTwoPartsAddUp(t *testing.T) {
	for _, over := range []float64{0, 0.25, 1} {
		limiter := newTestLimiter(clock.NewManual())
		limiter.SetBounds(Bounds{Window: 5 * clock.Second, Over: over})
		before := 0.0
		for percent := range 101 {
			seen := float64(percent) / 100
			share := limiter.shareFor(seen)
			require.GreaterOrEqual(t, share, before)
			require.LessOrEqual(t, share, 1.0)
			require.LessOrEqual(t, share+limiter.shareFor(1-seen), max(1, 1+partitionedOverShare*over)+1e-9)
			before = share
		}
		require.InDelta(t, 1, before, 1e-9)
	}
}

// Guards against shares of small teams that are rounded down to nothing.
func TestSmallTeamIsServed(t *testing.T) {
	manual := clock.NewManual()
	limiter := newTestLimiter(manual, team.Team{Name: "solo", Rate: 0.2, Burst: 0.2})
	limiter.SetFleetFraction(0.05)
	_, admitted := limiter.Admit("solo")
	require.True(t, admitted)
}

func TestTeamWithoutLimitIsNeverRefused(t *testing.T) {
	limiter := newTestLimiter(clock.NewManual(), team.Team{Name: "free"})
	for range 1000 {
		_, admitted := limiter.Admit("free")
		require.True(t, admitted)
	}
}

// Guards against a refused caller that is given a retry time at which it is refused again, or one that is much too long.
func TestRetryAfterIsWhenCapacityIsExpected(t *testing.T) {
	manual := clock.NewManual()
	limiter := newTestLimiter(manual, team.Team{Name: "brass", Rate: 2, Burst: 2})
	admitAll(limiter, "brass")
	retryAfter, admitted := limiter.Admit("brass")
	require.False(t, admitted)
	require.GreaterOrEqual(t, float64(retryAfter), float64(300*clock.Millisecond))
	require.LessOrEqual(t, float64(retryAfter), float64(2*maxRetryAfter))
	manual.Advance(retryAfter)
	_, admitted = limiter.Admit("brass")
	require.True(t, admitted)
}

// Guards against hedged requests and retries that are not counted against a limit.
func TestRepeatsCount(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 10, Burst: 10}
	local, remote := newTestLimiter(manual, limit), newTestLimiter(manual, limit)
	remote.Admit("brass")
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	before := local.Usage()[0].Level
	for range 40 {
		remote.RecordAttempt("brass")
	}
	require.True(t, remote.Exhausted("brass"))
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	require.Less(t, local.Usage()[0].Level, before-10)
}

// Guards against requests that count against a limit although they never ran.
func TestReturnedRequestCountsNowhere(t *testing.T) {
	manual := clock.NewManual()
	local := newTestLimiter(manual, team.Team{Name: "brass", Rate: 10, Burst: 10})
	remote := newTestLimiter(manual, team.Team{Name: "brass", Rate: 10, Burst: 10})
	before := local.Usage()[0].Level
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	_, admitted := remote.Admit("brass")
	require.True(t, admitted)
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	remote.Return("brass")
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	require.InDelta(t, before, local.Usage()[0].Level, 1e-9)
}

// Guards against a report that is counted twice, or that reverts a later one.
func TestLateAndRepeatedReports(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 100, Burst: 100}
	local, remote := newTestLimiter(manual, limit), newTestLimiter(manual, limit)
	manual.Advance(clock.Second)
	var reports []Report
	for range 3 {
		_, admitted := remote.Admit("brass")
		require.True(t, admitted)
		reports = append(reports, remote.Reports(1)...)
	}
	require.Len(t, reports, 3)
	local.Receive(reports[0])
	level := local.Usage()[0].Level
	for _, report := range []Report{reports[2], reports[1], reports[2], reports[0]} {
		local.Receive(report)
	}
	require.InDelta(t, level-2, local.Usage()[0].Level, 1e-9)
}

// Guards against a lower limit that applies only after a full bucket is used up.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	manual := clock.NewManual()
	limiter := newTestLimiter(manual, team.Team{Name: "brass", Rate: 100, Burst: 100})
	changes := limiter.SetTeams([]team.Team{{Name: "brass", Rate: 10, Burst: 10}})
	require.Equal(t, []LimitChange{{Team: "brass", Before: 100, Rate: 10, Burst: 10}}, changes)
	require.LessOrEqual(t, admitAll(limiter, "brass"), 10+int(modelBounds.Slack))
}

// Guards against a bucket that starts full: hundreds of instances that restart together would admit a burst each.
func TestStartsWithLittle(t *testing.T) {
	manual := clock.NewManual()
	limiter := NewLimiter(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	limiter.SetBounds(modelBounds)
	limiter.SetFleetFraction(1)
	limiter.SetTeams([]team.Team{{Name: "brass", Rate: 100, Burst: 100}})
	require.LessOrEqual(t, admitAll(limiter, "brass"), 10)
}

// Guards against an instance that begins to serve with a full bucket while those of the fleet are empty.
func TestLevelIsTakenOver(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 100, Burst: 100}
	local, remote := newTestLimiter(manual, limit), newTestLimiter(manual, limit)
	admitAll(remote, "brass")
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	require.LessOrEqual(t, admitAll(local, "brass"), 1)
}

// Guards against a long refusal of a team after a network partition ends, for requests that the other part of the fleet admitted
// during it.
func TestRequestsDuringPartitionAreNotDeducted(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 100, Burst: 100}
	local, remote := newTestLimiter(manual, limit), newTestLimiter(manual, limit)
	remote.Admit("brass")
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	for range 50 {
		manual.Advance(100 * clock.Millisecond)
		for range 5 {
			remote.Admit("brass")
		}
	}
	level := local.Usage()[0].Level
	for _, report := range remote.Reports(1) {
		local.Receive(report)
	}
	require.Greater(t, local.Usage()[0].Level, level/2)
}

// benchmarkTeams are the numbers of teams for which the benchmarks run.
var benchmarkTeams = []int{100, 10_000}

// largeTeams returns teams with a limit that no benchmark reaches.
func largeTeams(count int) []team.Team {
	teams := make([]team.Team, count)
	for index := range teams {
		teams[index] = team.Team{Name: team.Name(fmt.Sprint("team-", index)), Rate: 1e6, Burst: 1e6}
	}
	return teams
}

func BenchmarkAdmit(b *testing.B) {
	for _, count := range benchmarkTeams {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			manual := clock.NewManual()
			teams := largeTeams(count)
			limiter := newTestLimiter(manual, teams...)
			b.ReportAllocs()
			for b.Loop() {
				limiter.Admit(teams[count/2].Name)
				manual.Advance(clock.Millisecond)
			}
		})
	}
}

func BenchmarkReports(b *testing.B) {
	for _, count := range benchmarkTeams {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			manual := clock.NewManual()
			teams := largeTeams(count)
			limiter := newTestLimiter(manual, teams...)
			for index := range teams {
				limiter.Admit(teams[index].Name)
			}
			b.ReportAllocs()
			for b.Loop() {
				limiter.Reports(1)
			}
		})
	}
}
