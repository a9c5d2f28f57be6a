package catalog

import (
	"context"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// overdueFixture is a reader of a source whose watches end late by a given time, and which makes no changes but one.
type overdueFixture struct {
	reader *Reader
	events *expvar.Map
	// watchLate and checkLate are by how much watches and checks end late.
	watchLate, checkLate clock.Milliseconds
	// ends are the times at which watches have ended.
	ends []time.Time
}

func newOverdueFixture(t *testing.T, phase float64, watchLate, checkLate clock.Milliseconds) *overdueFixture {
	fixture := &overdueFixture{events: new(expvar.Map).Init(), watchLate: watchLate, checkLate: checkLate}
	fixture.reader = NewReader(Options{
		Source: Source{
			ReadAll: func(ctx context.Context, _ clock.Milliseconds) (Snapshot, error) {
				return Snapshot{Revision: 7, Items: []Item{configurationItem(7)}}, ctx.Err()
			},
			ReadStale: func(ctx context.Context, _ clock.Milliseconds) (Snapshot, error) { return Snapshot{}, ctx.Err() },
			Watch: func(ctx context.Context, after Revision, wait clock.Milliseconds) (Changes, error) {
				sleep(ctx, wait+fixture.watchLate)
				fixture.ends = append(fixture.ends, time.Now())
				return Changes{Revision: after}, ctx.Err()
			},
			Check: func(ctx context.Context, after Revision) (Changes, error) {
				sleep(ctx, fixture.checkLate)
				return Changes{Revision: after + 1, Set: []Item{configurationItem(8)}}, ctx.Err()
			},
		},
		FetchFromPeer: func(context.Context, Revision) (Update, error) { return Update{}, errNoPeer },
		Publish:       func(context.Context, View) error { return nil },
		Clock:         clock.New(), Events: fixture.events, Log: zerolog.Nop(), Jitter: func() float64 { return 0.5 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = fixture.reader.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	advance(1)
	fixture.reader.SetPhase(phase)
	fixture.reader.SetRole(RoleLeader)
	return fixture
}

// Guards against a source that is slow, or late once in a while, and counts as one that does not respond again and again: each time,
// other instances would read it too.
func TestSlowSourceIsRarelyOverdue(t *testing.T) {
	cases := []struct {
		name string
		late clock.Milliseconds
		// checks is the maximum number of checks in a minute.
		checks int64
	}{
		{"fast", 4 * clock.Millisecond, 0},
		{"slow", 250 * clock.Millisecond, 1},
		{"slower", 400 * clock.Millisecond, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newOverdueFixture(t, 1, testCase.late, testCase.late)
				advance(clock.Minute)
				require.LessOrEqual(t, metrics.EventCount(fixture.events, EventCheck), testCase.checks)
				require.False(t, fixture.reader.Failing())
			})
		})
	}
}

// Guards against an instance whose connection to the store has stopped responding, and that learns of a change only when its watch is
// given up.
func TestSilentConnectionIsReplacedWhenItsWatchIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newOverdueFixture(t, 1, clock.Minute, 4*clock.Millisecond)
		started := time.Now()
		for fixture.reader.options.Events.Get(EventCheck) == nil {
			require.Less(t, time.Since(started), 3*time.Second)
			advance(10)
		}
		advance(10)
		require.False(t, fixture.reader.Failing())
		require.LessOrEqual(t, clock.Of(time.Since(started)), watchWait+minOverdueSlack+50)
	})
}

// Guards against readers whose watches all end at the same time: a store that stops responding to all of them would be noticed only then.
func TestWatchesOfReadersEndInTurn(t *testing.T) {
	const count = 3
	synctest.Test(t, func(t *testing.T) {
		var ends []time.Time
		fixtures := make([]*overdueFixture, count)
		for number := range fixtures {
			fixtures[number] = newOverdueFixture(t, float64(number+1)/count, 4*clock.Millisecond, 0)
		}
		started := time.Now()
		advance(30 * clock.Second)
		calls := 0
		for _, fixture := range fixtures {
			ends = append(ends, fixture.ends...)
			calls += len(fixture.ends)
		}
		require.LessOrEqual(t, calls, count*(15+1), "the phase costs at most one call")
		for passed := clock.Milliseconds(0); passed < 29*clock.Second; passed += watchWait / 20 {
			from, to := started.Add(passed.Duration()), started.Add((passed + watchWait/count + 50).Duration())
			found := false
			for _, end := range ends {
				found = found || end.After(from) && !end.After(to)
			}
			require.True(t, found, "no watch ends within %s after %s", watchWait/count, passed)
		}
	})
}
