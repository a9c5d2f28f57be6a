package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Sizes of a heartbeat and of a member summary in it, in bytes, with the header of a datagram.
const (
	heartbeatBytes = 150
	summaryBytes   = 60
)

// Guards against heartbeats that fill the links of small instances while the configuration changes and instances restart: each serving
// instance sent each change to all others at once, 0.9 GB within 12 s on a day of planned work with 100 instances.
func TestChangesAreAnnouncedByFewInstances(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name               string
		count, dataCentres int
		load               float64
		least              int
	}{
		{"100 instances, half of which serve", 100, 3, 4400, 45},
		{"60 instances of one data centre", 60, 1, 2200, 22},
	}
	// A tenth of a link of 10 megabits per second.
	const bytesPerSecond = 125e3
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(testCase.count, testCase.dataCentres, []int{0, 1, 2}, func(int) int { return 160 })
			fleet.readers = 3
			fleet.run(5 * clock.Second)
			fleet.load = constantLoad(testCase.load)
			fleet.run(12 * clock.Second)
			require.GreaterOrEqual(t, len(fleet.serving()), testCase.least)
			heartbeats, summaries := fleet.sentHeartbeats, fleet.sentSummaries
			const seconds = 4
			for step := range 20 * seconds {
				fleet.version++
				if step%4 == 0 {
					fleet.start(fleet.instances[fleet.random.IntN(testCase.count)], clock.Second)
				}
				fleet.run(50 * clock.Millisecond)
			}
			sent := (fleet.sentHeartbeats-heartbeats)*heartbeatBytes + (fleet.sentSummaries-summaries)*summaryBytes
			perInstance := float64(sent) / float64(seconds*testCase.count)
			t.Logf("%.0f heartbeats and %.0f summaries a second, %.0f bytes by each instance", float64(fleet.sentHeartbeats-heartbeats)/seconds,
				float64(fleet.sentSummaries-summaries)/seconds, perInstance)
			require.Less(t, perInstance, bytesPerSecond)
			fleet.run(3 * clock.Second)
			serving := fleet.serving()
			for number := range fleet.instances {
				require.Len(t, fleet.advertised(number), len(serving), "in the view of instance %d", number)
			}
		})
	}
}
