package membership

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// constantLoad returns a load that does not change.
func constantLoad(load float64) func(clock.Moment) float64 {
	return func(clock.Moment) float64 { return load }
}

// servingChanges runs the fleet and returns how often the number of serving instances changed.
func (fleet *fleet) servingChanges(length clock.Milliseconds) int {
	changes, before := 0, len(fleet.serving())
	for end := fleet.clock.Now().Add(length); fleet.clock.Now() < end; {
		fleet.run(simulatedStep)
		if now := len(fleet.serving()); now != before {
			changes, before = changes+1, now
		}
	}
	return changes
}

// Guards against small instances that begin to serve beside few large ones, each with the same part of the load, although all of them
// together carry less than the large ones alone.
func TestInstancesThatServeCarryMostOfTheLoad(t *testing.T) {
	const large, small = 800, 160
	cases := []struct {
		name             string
		large, instances int
		load             float64
		most             int
	}{
		{"the load is carried", 20, 585, 8000, 20},
		{"the load is too heavy for the large ones, and for the most that may serve", 20, 585, 11_440, 20},
		{"a larger fleet", 40, 1170, 22_880, 40},
		{"many small ones carry more", 3, 100, 2400, 30},
		{"small ones carry more, but not all", 3, 30, 4000, 30},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			sizes := make([]int, testCase.instances)
			for number := range sizes {
				sizes[number] = small
				if number < testCase.large {
					sizes[number] = large
				}
			}
			require.Equal(t, testCase.most, countForLoad(testCase.load, sizes, 3, FullUtilization/2))
		})
	}
}

// Guards against a fixed number of serving instances, whatever is asked of them: callers are refused or wait until their deadlines
// while most instances of the fleet are idle.
func TestServingInstancesFollowTheLoad(t *testing.T) {
	large := func(number int) int {
		if number%10 < 2 {
			return 800
		}
		return 160
	}
	cases := []struct {
		name               string
		count, dataCentres int
		size               func(int) int
		load, loss         float64
		least, most        int
	}{
		{"light", 30, 3, equalSize, 300, 0, 3, 3},
		{"more than three bear", 30, 3, equalSize, 1200, 0, 6, 12},
		{"ten times as much", 60, 3, equalSize, 3000, 0, 14, 28},
		{"datagrams lost", 30, 3, equalSize, 1200, 0.05, 6, 12},
		{"large ones suffice", 60, 3, large, 3000, 0, 6, 12},
		{"one data centre", 40, 1, equalSize, 2000, 0, 9, 18},
		{"more than all bear", 12, 3, equalSize, 9000, 0, 12, 12},
		{"more than an address answer names", 66, 3, equalSize, 60000, 0, maxServing, maxServing},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(testCase.count, testCase.dataCentres, []int{0, 1, 2}, testCase.size)
			fleet.loss = testCase.loss
			fleet.run(5 * clock.Second)
			fleet.load = constantLoad(testCase.load)
			fleet.run(10 * clock.Second)
			serving := fleet.serving()
			require.GreaterOrEqual(t, len(serving), testCase.least)
			require.LessOrEqual(t, len(serving), testCase.most)
			fleet.run(2 * clock.Second)
			for number := range fleet.instances {
				// Of an instance whose heartbeats were lost three times in a row the others learn again within a second.
				require.InDelta(t, len(serving), len(fleet.advertised(number)), testCase.loss*float64(len(serving)), "in the view of instance %d", number)
			}
			require.Zero(t, fleet.servingChanges(12*clock.Second), "the number does not change while the load does not")

			fleet.load = constantLoad(100)
			fleet.run(shrinkDelay + 6*clock.Second)
			require.Len(t, fleet.serving(), max(3, testCase.dataCentres), "as few as before serve when the load has passed")
		})
	}
}

// Guards against instances that start and stop to serve in turn while the load rises and falls as it does every few seconds.
func TestServingInstancesDoNotFollowEachWave(t *testing.T) {
	cases := []struct {
		name          string
		least, most   float64
		mostOfChanges int
	}{
		{"as three bear it", 300, 600, 0},
		{"as nine bear it", 900, 1500, 2},
		{"bursts of two seconds", 250, 900, 2},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(24, 3, []int{0, 1, 2}, equalSize)
			fleet.run(5 * clock.Second)
			started := fleet.clock.Now()
			const period = 8 * clock.Second
			fleet.load = func(now clock.Moment) float64 {
				phase := 2 * math.Pi * float64(now.Since(started)/period)
				return testCase.least + (testCase.most-testCase.least)*(1+math.Sin(phase))/2
			}
			fleet.run(10 * clock.Second)
			require.LessOrEqual(t, fleet.servingChanges(40*clock.Second), testCase.mostOfChanges)
		})
	}
}

// Guards against a fleet that serves with the minimum for long after all serving instances were killed under load.
func TestServingInstancesFollowTheLoadAfterAllWereKilled(t *testing.T) {
	fleet := newFleet(45, 3, []int{0, 1, 2}, equalSize)
	fleet.run(5 * clock.Second)
	fleet.load = constantLoad(3000)
	fleet.run(10 * clock.Second)
	enough := len(fleet.serving())
	require.GreaterOrEqual(t, enough, 14)
	for _, number := range fleet.serving() {
		fleet.start(fleet.instances[number], 2*clock.Second)
	}
	fleet.run(9 * clock.Second)
	require.GreaterOrEqual(t, len(fleet.serving()), 14)
}

// Guards against a serving instance that is cut off and whose last report keeps the rest of the fleet at a number that nobody needs,
// and against reports that are repeated or out of order.
func TestLoadReportsAreCurrent(t *testing.T) {
	fleet := newFleet(13, 3, []int{0, 1, 2}, equalSize)
	fleet.run(5 * clock.Second)
	serving := fleet.serving()
	observer, sender := fleet.instances[serving[0]].members, fleet.instances[serving[1]].members
	report := sender.NewLoadReport()
	report.WantedServing = 9
	observer.ReceiveLoad(report)
	require.True(t, observer.UpdateWantedServing())
	require.Equal(t, 9, observer.WantedServing())
	older := report
	older.WantedServing, older.Sequence = 20, report.Sequence-1
	observer.ReceiveLoad(older)
	require.False(t, observer.UpdateWantedServing())
	fleet.kill(fleet.instances[serving[1]])
	fleet.run(shrinkDelay + 2*clock.Second)
	require.Zero(t, observer.WantedServing())

	stranger := report
	stranger.Sender = "entry-unknown"
	observer.ReceiveLoad(stranger)
	require.False(t, observer.UpdateWantedServing())
}
