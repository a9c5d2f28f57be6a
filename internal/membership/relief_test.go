package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// relievedInView returns the instances that the given one leaves out of address answers.
func (fleet *fleet) relievedInView(number int) []string {
	var names []string
	for _, identity := range fleet.instances[number].members.Serving() {
		if fleet.instances[number].members.Relieved(identity.Name) {
			names = append(names, string(identity.Name))
		}
	}
	return names
}

// useServing sets the utilization of the first serving instance and that of the others for some time.
func (fleet *fleet) useServing(length clock.Milliseconds, first, others Utilization) {
	serving := fleet.serving()
	for end := fleet.clock.Now().Add(length); fleet.clock.Now() < end; {
		for index, number := range serving {
			utilization := others
			if index == 0 {
				utilization = first
			}
			fleet.instances[number].members.SetUtilization(utilization)
		}
		fleet.run(simulatedStep)
	}
}

// Guards against an instance whose machine has become slow and that gets as many callers as the others, and against relief that passes its
// load on to instances that cannot carry it.
func TestSlowInstanceIsRelieved(t *testing.T) {
	cases := []struct {
		name          string
		first, others Utilization
		relieved      bool
	}{
		{"others have room", FullUtilization, 300, true},
		{"others could just take over", FullUtilization, 460, true},
		{"others would have too much", FullUtilization, 500, false},
		{"all are fully used", FullUtilization, FullUtilization, false},
		{"much used, but not fully", 950, 100, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(13, 3, []int{0, 1, 2}, equalSize)
			fleet.run(5 * clock.Second)
			slow := string(fleet.instances[fleet.serving()[0]].options.Self.Name)
			fleet.useServing(2*clock.Second, testCase.first, testCase.others)
			var expected []string
			if testCase.relieved {
				expected = []string{slow}
			}
			for number := range fleet.instances {
				require.Equal(t, expected, fleet.relievedInView(number), "in the view of instance %d", number)
			}
			fleet.useServing(minRelief+loadReportTimeout+clock.Second, 100, 100)
			for number := range fleet.instances {
				require.Empty(t, fleet.relievedInView(number), "in the view of instance %d", number)
			}
		})
	}
}

// Guards against callers that are sent to and fro because a slow instance looks well as soon as it has no callers.
func TestReliefLastsLongerEachTime(t *testing.T) {
	fleet := newFleet(13, 3, []int{0, 1, 2}, equalSize)
	fleet.run(5 * clock.Second)
	slow := fleet.instances[fleet.serving()[0]].members
	var lengths []clock.Milliseconds
	for range 5 {
		for !slow.load.relief.active(fleet.clock.Now()) {
			fleet.useServing(100*clock.Millisecond, FullUtilization, 300)
		}
		began := fleet.clock.Now()
		for slow.load.relief.active(fleet.clock.Now()) {
			fleet.useServing(100*clock.Millisecond, 0, 300)
		}
		lengths = append(lengths, fleet.clock.Now().Since(began))
	}
	for index, length := range lengths[1:] {
		require.Greater(t, length, 1.5*lengths[index], "relief %d", index+1)
	}
}
