package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// TestVirtualFleetCases runs schedules that once failed, shortened as far as they still failed. Each is named after its
// failure.
func TestVirtualFleetCases(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name                            string
		seed                            uint64
		instances, dataCentres, servers int
		schedule                        []change
	}{
		{"all serving instances die after a server was removed", 25, 5, 2, 6, []change{
			{At: 7640, Kind: removeServer, One: 1},
			{At: 8220, For: 2005, Kind: killServing},
		}},
		{"all serving instances die before a server is drained", 162, 10, 1, 6, []change{
			{At: 11260, For: 2360, Kind: killServing},
			{At: 11420, Kind: drainServer, One: 2},
		}},
		{"a reader that was frozen keeps a server that others saw removed", 200, 13, 1, 6, []change{
			{At: 14900, For: 2500, Kind: stop, One: 3},
			{At: 18300, Kind: removeServer},
		}},
		{"a reader that was cut off keeps a server that others saw removed", 26, 6, 2, 6, []change{
			{At: 8100, For: 1910, Kind: storeCut},
			{At: 9580, Kind: removeServer},
		}},
		{"no instance reports that kept servers were dropped", 221, 9, 1, 6, []change{
			{At: 15020, For: 2620, Kind: storeDown},
			{At: 19860, Kind: removeServer},
			{At: 20170, Kind: removeServer, One: 8},
		}},
		{"an instance that is a follower again keeps the servers that it retained", 283, 12, 1, 6, []change{
			{At: 10290, For: 1405, Kind: storeLags, One: 9},
			{At: 11190, Kind: removeServer},
			{At: 11560, For: 3840, Kind: storeDown},
		}},
		{"reports of a lost instance circulate", 248, 13, 2, 6, []change{
			{At: 11210, For: 2535, Kind: storeSlow, One: 4},
			{At: 12080, For: 2900, Kind: cutOff, One: 10},
			{At: 13070, For: 2900, Kind: cutOff, One: 11},
		}},
		{"a server is added right after a partition", 1098, 10, 4, 6, []change{
			{At: 19050, For: 2185, Kind: partition, One: 8, Other: 8},
			{At: 20160, For: 78, Kind: addServer, One: 9, Other: 4},
		}},
		{"no instance serves and a leaving instance did not notify all others", 2135, 100, 4, 6, []change{
			{At: 9010, For: 79, Kind: leave, One: 13, Other: 74},
			{At: 9880, For: 4530, Kind: killServing, One: 73, Other: 26},
		}},
		{"no instance serves and a leaving instance does not answer", 3524, 13, 1, 6, []change{
			{At: 7380, For: 4990, Kind: cutOff, One: 11},
			{At: 8990, For: 1930, Kind: killServing, One: 2, Other: 7},
			{At: 16540, For: 72, Kind: leave, One: 9, Other: 11},
			{At: 16550, For: 1710, Kind: killServing, One: 6, Other: 4},
		}},
		{"all instances restart while the seeds are cut off from most", 4139, 100, 4, 6, []change{
			{At: 13590, For: 2490, Kind: powerLoss, One: 36, Other: 82},
			{At: 15570, For: 4910, Kind: partition, One: 13, Other: 37},
		}},
		{"a caller reaches an instance that could get a view from a peer while the store is down", 6158, 6, 4, 6, []change{
			{At: 10780, For: 1830, Kind: killServing, One: 1, Other: 1},
			{At: 11140, For: 3460, Kind: storeDown, One: 3},
			{At: 13820, For: 69, Kind: replace, One: 4, Other: 2},
		}},
		{"all serving instances die while the store is down", 6320, 13, 1, 6, []change{
			{At: 8510, For: 55, Kind: addServer, One: 10, Other: 3},
			{At: 8680, For: 55, Kind: addServer, One: 11, Other: 11},
			{At: 10640, For: 585, Kind: storeDown, Other: 4},
			{At: 11600, For: 292, Kind: storeDown, One: 12},
			{At: 11610, For: 94, Kind: configure, One: 4, Other: 7},
			{At: 12060, For: 3860, Kind: storeDown, One: 9, Other: 11},
			{At: 15650, For: 5000, Kind: killServing, One: 4, Other: 6},
		}},
		{"a standby instance lists instances as standby that others report as serving", 35, 100, 4, 6, nil},
		{"an instance that was suspended asks a peer that is suspended as well", 7, 8, 2, 6, []change{
			{At: 13210, For: 1350, Kind: suspend},
			{At: 14340, For: 1350, Kind: suspend, One: 3},
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			result := playVirtual(t, virtualOptions{
				seed: testCase.seed, instances: testCase.instances, dataCentres: testCase.dataCentres, servers: testCase.servers, length: 30 * clock.Second,
			}, testCase.schedule)
			require.Nil(t, result.violation)
		})
	}
}
