package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// counters returns the names of the instances that count by their own view, and for each the number that it takes for counting.
func (fleet *fleet) counters() (names []settings.InstanceName, seen map[settings.InstanceName]int) {
	seen = map[settings.InstanceName]int{}
	for _, instance := range fleet.instances {
		if instance.stopped {
			continue
		}
		peers, self := instance.members.Counting()
		seen[instance.options.Self.Name] = len(peers)
		if self {
			names = append(names, instance.options.Self.Name)
			seen[instance.options.Self.Name]++
		}
	}
	return names, seen
}

// Guards against a number of instances that count together which grows with the number that serve, and against views of them that differ.
func TestFewInstancesCountTogether(t *testing.T) {
	cases := []struct {
		name                   string
		instances, dataCentres int
		load                   float64
	}{
		{"17 instances", 17, 3, 0},
		{"17 instances under load", 17, 3, 9000},
		{"one data centre", 8, 1, 0},
		{"eleven data centres", 33, 11, 0},
		{"five data centres under load", 60, 5, 30000},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(testCase.instances, testCase.dataCentres, []int{0, 1, 2}, func(number int) int { return 800 + number%3 })
			fleet.load = func(clock.Moment) float64 { return testCase.load }
			fleet.run(20 * clock.Second)
			names, seen := fleet.counters()
			require.Len(t, names, minServing)
			for name, count := range seen {
				require.Equal(t, minServing, count, name)
			}
			if testCase.load > 0 {
				require.Greater(t, len(fleet.serving()), minServing)
			}
		})
	}
}

// Guards against a fleet in which none counts, and that leaves limited servers alone, after those that did have ended.
func TestOthersCountOnceCountersEnd(t *testing.T) {
	t.Parallel()
	fleet := newFleet(17, 3, []int{0, 1, 2}, func(int) int { return 800 })
	fleet.run(20 * clock.Second)
	before, _ := fleet.counters()
	for _, instance := range fleet.instances {
		if instance.options.Self.Name == before[0] || instance.options.Self.Name == before[1] {
			fleet.kill(instance)
		}
	}
	fleet.run(5 * clock.Second)
	names, _ := fleet.counters()
	require.Len(t, names, minServing)
	require.NotContains(t, names, before[0])
	require.NotContains(t, names, before[1])
}
