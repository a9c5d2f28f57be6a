package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// newTestLedger returns a ledger of an instance that counts with the whole fleet and has run for a while.
func newTestLedger(manual *clock.Manual, teams ...team.Team) *Limiter {
	ledger := NewLimiter(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	ledger.SetBounds(modelBounds)
	ledger.SetFleetFraction(1)
	ledger.SetTeams(teams)
	manual.Advance(clock.Minute)
	return ledger
}

// takeAll takes as many requests as are let in at once.
func takeAll(ledger *Limiter, name team.Name) int {
	taken := 0
	for {
		if _, letIn := ledger.Admit(name); !letIn {
			return taken
		}
		taken++
	}
}

// Guards against parts of a fleet that use more together than a limit allows while they do not hear each other.
func TestSharesOfTwoPartsAddUp(t *testing.T) {
	for _, over := range []float64{0, 0.25, 1} {
		ledger := newTestLedger(clock.NewManual())
		ledger.SetBounds(Bounds{Window: 5 * clock.Second, Over: over})
		before := 0.0
		for percent := range 101 {
			seen := float64(percent) / 100
			share := ledger.shareOf(seen)
			require.GreaterOrEqual(t, share, before)
			require.LessOrEqual(t, share, 1.0)
			require.LessOrEqual(t, share+ledger.shareOf(1-seen), max(1, 1+overApart*over)+1e-9)
			before = share
		}
		require.InDelta(t, 1, before, 1e-9)
	}
}

// Guards against small teams whose shares round to nothing.
func TestSmallTeamIsServed(t *testing.T) {
	manual := clock.NewManual()
	ledger := newTestLedger(manual, team.Team{Name: "solo", Rate: 0.2, Burst: 0.2})
	ledger.SetFleetFraction(0.05)
	_, letIn := ledger.Admit("solo")
	require.True(t, letIn)
}

func TestTeamWithoutLimitIsNeverRefused(t *testing.T) {
	ledger := newTestLedger(clock.NewManual(), team.Team{Name: "free"})
	for range 1000 {
		_, letIn := ledger.Admit("free")
		require.True(t, letIn)
	}
}

// Guards against a refused caller that is told to come back when there is still nothing for it, or much later than that.
func TestWaitTellsWhenRoomIsExpected(t *testing.T) {
	manual := clock.NewManual()
	ledger := newTestLedger(manual, team.Team{Name: "brass", Rate: 2, Burst: 2})
	takeAll(ledger, "brass")
	wait, letIn := ledger.Admit("brass")
	require.False(t, letIn)
	require.GreaterOrEqual(t, float64(wait), float64(300*clock.Millisecond))
	require.LessOrEqual(t, float64(wait), float64(2*mostWait))
	manual.Advance(wait)
	_, letIn = ledger.Admit("brass")
	require.True(t, letIn)
}

// Guards against second copies and retries that run beyond a limit uncounted.
func TestRepeatsCount(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 10, Burst: 10}
	here, there := newTestLedger(manual, limit), newTestLedger(manual, limit)
	there.Admit("brass")
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	before := here.Usage()[0].Level
	for range 40 {
		there.RecordAttempt("brass")
	}
	require.True(t, there.Exhausted("brass"))
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	require.Less(t, here.Usage()[0].Level, before-10)
}

// Guards against requests that count against their limit although they never ran.
func TestReturnedRequestCountsNowhere(t *testing.T) {
	manual := clock.NewManual()
	here := newTestLedger(manual, team.Team{Name: "brass", Rate: 10, Burst: 10})
	there := newTestLedger(manual, team.Team{Name: "brass", Rate: 10, Burst: 10})
	before := here.Usage()[0].Level
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	_, letIn := there.Admit("brass")
	require.True(t, letIn)
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	there.Return("brass")
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	require.InDelta(t, before, here.Usage()[0].Level, 1e-9)
}

// Guards against a report that is counted twice, or that undoes a later one.
func TestLateAndDoubledReports(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 100, Burst: 100}
	here, there := newTestLedger(manual, limit), newTestLedger(manual, limit)
	manual.Advance(clock.Second)
	var reports []Report
	for range 3 {
		_, letIn := there.Admit("brass")
		require.True(t, letIn)
		reports = append(reports, there.Reports(1)...)
	}
	require.Len(t, reports, 3)
	here.Receive(reports[0])
	level := here.Usage()[0].Level
	for _, report := range []Report{reports[2], reports[1], reports[2], reports[0]} {
		here.Receive(report)
	}
	require.InDelta(t, level-2, here.Usage()[0].Level, 1e-9)
}

// Guards against a lower limit that waits until a full bucket is used up.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	manual := clock.NewManual()
	ledger := newTestLedger(manual, team.Team{Name: "brass", Rate: 100, Burst: 100})
	changes := ledger.SetTeams([]team.Team{{Name: "brass", Rate: 10, Burst: 10}})
	require.Equal(t, []LimitChange{{Team: "brass", Before: 100, Rate: 10, Burst: 10}}, changes)
	require.LessOrEqual(t, takeAll(ledger, "brass"), 10+int(modelBounds.Slack))
}

// Guards against a bucket that starts full: hundreds of instances that are restarted together would let in a burst each.
func TestStartsWithLittle(t *testing.T) {
	manual := clock.NewManual()
	ledger := NewLimiter(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	ledger.SetBounds(modelBounds)
	ledger.SetFleetFraction(1)
	ledger.SetTeams([]team.Team{{Name: "brass", Rate: 100, Burst: 100}})
	require.LessOrEqual(t, takeAll(ledger, "brass"), 10)
}

// Guards against an instance that begins to serve with a full bucket while the fleet's is empty.
func TestLevelIsTakenOver(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 100, Burst: 100}
	here, there := newTestLedger(manual, limit), newTestLedger(manual, limit)
	takeAll(there, "brass")
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	require.LessOrEqual(t, takeAll(here, "brass"), 1)
}

// Guards against a debt that refuses a team for long when a part of the fleet is back that went on without the others.
func TestRequestsOfACutCountNoMore(t *testing.T) {
	manual := clock.NewManual()
	limit := team.Team{Name: "brass", Rate: 100, Burst: 100}
	here, there := newTestLedger(manual, limit), newTestLedger(manual, limit)
	there.Admit("brass")
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	for range 50 {
		manual.Advance(100 * clock.Millisecond)
		for range 5 {
			there.Admit("brass")
		}
	}
	level := here.Usage()[0].Level
	for _, report := range there.Reports(1) {
		here.Receive(report)
	}
	require.Greater(t, here.Usage()[0].Level, level/2)
}

// benchmarkTeams are the numbers of teams at which the way of a request is measured.
var benchmarkTeams = []int{100, 10_000}

// largeTeams returns teams with a limit that no benchmark reaches.
func largeTeams(count int) []team.Team {
	teams := make([]team.Team, count)
	for index := range teams {
		teams[index] = team.Team{Name: team.Name(fmt.Sprint("team-", index)), Rate: 1e6, Burst: 1e6}
	}
	return teams
}

func BenchmarkTake(b *testing.B) {
	for _, count := range benchmarkTeams {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			manual := clock.NewManual()
			teams := largeTeams(count)
			ledger := newTestLedger(manual, teams...)
			b.ReportAllocs()
			for b.Loop() {
				ledger.Admit(teams[count/2].Name)
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
			ledger := newTestLedger(manual, teams...)
			for index := range teams {
				ledger.Admit(teams[index].Name)
			}
			b.ReportAllocs()
			for b.Loop() {
				ledger.Reports(1)
			}
		})
	}
}
