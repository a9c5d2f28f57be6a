package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// leave makes an instance leave, as before a restart, and stops it when it has drained.
func (fleet *fleet) leave(numbers []int, drain clock.Milliseconds) {
	for _, number := range numbers {
		fleet.instances[number].members.SetState(Leaving)
	}
	fleet.run(drain)
	for _, number := range numbers {
		fleet.kill(fleet.instances[number])
	}
}

// Guards against callers that wait at too few small instances after the large ones that served have left together: nobody that stays has
// seen the load, and the number would be doubled every two seconds from the minimum on.
func TestLoadOfLeavingInstancesIsTakenOver(t *testing.T) {
	const count, dataCentres, largest = 60, 3, 6
	size := func(number int) int {
		if number < largest {
			return 800
		}
		return 60
	}
	cases := []struct {
		name         string
		load, loss   float64
		least, most  int
		wantedBefore int
	}{
		{"more than the minimum bears", 700, 0, 17, 30, 0},
		{"datagrams lost", 700, 0.05, 17, 30, 0},
		{"less than the minimum bears", 80, 0, 3, 3, 0},
		{"more than the minimum of large ones bears", 1900, 0, 46, 60, 5},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(count, dataCentres, []int{0, 1, 2}, size)
			fleet.loss = testCase.loss
			fleet.run(5 * clock.Second)
			fleet.load = constantLoad(testCase.load)
			fleet.run(10 * clock.Second)
			serving := fleet.serving()
			require.GreaterOrEqual(t, len(serving), max(testCase.wantedBefore, dataCentres))
			fleet.leave([]int{0, 1, 2, 3, 4, 5}, 2*clock.Second)
			require.GreaterOrEqual(t, len(fleet.serving()), testCase.least, "serve when the large ones are gone")
			require.LessOrEqual(t, len(fleet.serving()), testCase.most)
			fleet.run(5 * clock.Second)
			require.GreaterOrEqual(t, len(fleet.serving()), testCase.least, "serve after the last reports of the large ones are out of date")
			require.LessOrEqual(t, len(fleet.serving()), testCase.most)

			fleet.load = constantLoad(30)
			fleet.run(2*shrinkDelay + 6*clock.Second)
			require.Len(t, fleet.serving(), dataCentres, "the minimum serves when the load has passed")
		})
	}
}

// Guards against instances that begin to serve for the load of one that restarts while the others bear it.
func TestRestartOfOneInstanceBringsNoMore(t *testing.T) {
	fleet := newFleet(30, 3, []int{0, 1, 2}, equalSize)
	fleet.run(5 * clock.Second)
	fleet.load = constantLoad(420)
	fleet.run(5 * clock.Second)
	for range 3 {
		leaving := fleet.serving()[0]
		fleet.leave([]int{leaving}, 2*clock.Second)
		require.Len(t, fleet.serving(), 3)
		fleet.start(fleet.instances[leaving], 0)
		fleet.run(3 * clock.Second)
		require.Len(t, fleet.serving(), 3)
	}
}
