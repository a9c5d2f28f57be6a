package membership

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against instances that go on serving although they reach no backend server while others do, and against instances that take
// their place and do no better.
func TestInstancesThatReachServersServe(t *testing.T) {
	inDataCentre := func(dataCentre int) func(int) bool {
		return func(number int) bool { return number%3 == dataCentre }
	}
	cases := []struct {
		name        string
		count       int
		large, loss float64
		isolated    func(serving []int) func(int) bool
		// serving is the number of instances that reach the servers and serve.
		serving int
	}{
		{"one that serves", 13, 0, 0, func(serving []int) func(int) bool { return func(number int) bool { return number == serving[1] } }, 3},
		{"one that serves, datagrams lost", 13, 0, 0.05, func(serving []int) func(int) bool { return func(number int) bool { return number == serving[1] } }, 3},
		{"all that serve", 13, 0, 0, func(serving []int) func(int) bool {
			return func(number int) bool { return slices.Contains(serving, number) }
		}, 3},
		{"a data centre", 13, 0, 0, func([]int) func(int) bool { return inDataCentre(1) }, 3},
		{"two data centres", 13, 0, 0, func([]int) func(int) bool {
			return func(number int) bool { return number%3 != 2 }
		}, 3},
		{"all but one", 13, 0, 0, func([]int) func(int) bool { return func(number int) bool { return number != 7 } }, 1},
		{"large ones", 30, 0.2, 0, func([]int) func(int) bool { return func(number int) bool { return number%5 == 0 } }, 3},
		{"most of 100", 100, 0, 0, func([]int) func(int) bool { return func(number int) bool { return number%4 != 0 } }, 3},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			size := equalSize
			if testCase.large > 0 {
				size = func(number int) int {
					if number%5 == 0 {
						return 800
					}
					return 320
				}
			}
			fleet := newFleet(testCase.count, 3, []int{0, 1, 2}, size)
			fleet.loss = testCase.loss
			fleet.run(5 * clock.Second)
			fleet.isolated = testCase.isolated(fleet.serving())
			fleet.run(4 * clock.Second)
			require.GreaterOrEqual(t, fleet.countReaching(), testCase.serving)
			fleet.run(6 * clock.Second)
			require.GreaterOrEqual(t, fleet.countReaching(), testCase.serving)
			for number := range fleet.instances {
				require.NotEmpty(t, fleet.advertised(number), "in the view of instance %d", number)
			}
			fleet.isolated = nil
			fleet.run(8 * clock.Second)
			require.Len(t, fleet.serving(), 3, "as many as before serve when all reach the servers again")
		})
	}
}

// countReaching returns the number of instances that serve and reach the backend servers.
func (fleet *fleet) countReaching() int {
	count := 0
	for _, number := range fleet.serving() {
		if !fleet.isolated(number) {
			count++
		}
	}
	return count
}

// Guards against instances that take each other's place while no instance reaches the servers, because all of these have failed.
func TestServingInstancesStayWhenNoneReachesServers(t *testing.T) {
	for _, count := range []int{5, 13, 45} {
		fleet := newFleet(count, 3, []int{0, 1, 2}, equalSize)
		fleet.run(5 * clock.Second)
		before := fleet.serving()
		fleet.isolated = func(int) bool { return true }
		require.LessOrEqual(t, fleet.servingChanges(10*clock.Second), 2)
		require.Subset(t, fleet.serving(), before)
		fleet.isolated = nil
		fleet.run(6 * clock.Second)
		require.Len(t, fleet.serving(), 3)
	}
}

// Guards against reports of an instance that has ended, or of one that nobody knows.
func TestReachReportsEnd(t *testing.T) {
	fleet := newFleet(13, 3, []int{0, 1, 2}, equalSize)
	fleet.run(5 * clock.Second)
	serving := fleet.serving()
	observer, sender := fleet.instances[serving[0]], fleet.instances[serving[1]]
	name := sender.options.Self.Name
	require.False(t, observer.members.ReceiveReach("entry-unknown", 1, true))
	require.False(t, observer.members.ReceiveReach(name, sender.options.Incarnation+1, true), "of an earlier run")
	require.True(t, observer.members.ReceiveReach(name, sender.options.Incarnation, true))
	fleet.run(isolationSettleTime + 2*simulatedStep)
	require.NotEmpty(t, observer.members.promotions())
	fleet.run(reachTimeout + 4*clock.Second)
	require.Empty(t, observer.members.promotions())
	require.Len(t, observer.members.Serving(), 3)
}
