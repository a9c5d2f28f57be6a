package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// runFiveInstances runs a schedule with five instances.
func runFiveInstances(t *testing.T, seed uint64, schedule []change) *violation {
	options := optionsForSeed(seed)
	options.instances = 5
	return playVirtual(t, options, schedule).violation
}

// Guards against a standby instance that learns of a drain late because the serving instances die between two of their
// heartbeats.
func TestDrainedInTimeWhenLeadersDie(t *testing.T) {
	require.Nil(t, runFiveInstances(t, 1138, []change{
		{At: 11830, Kind: drainServer},
		{At: 12480, For: 1780, Kind: killServing, One: 3, Other: 1},
	}))
}

// Guards against a reader that was the only one cut off and still has a removed server in its view when it is in contact again.
func TestDrainedInTimeAfterACut(t *testing.T) {
	require.Nil(t, runFiveInstances(t, 1043, []change{
		{At: 11960, For: 1520, Kind: powerLoss},
		{At: 17690, Kind: drainServer},
		{At: 17840, For: 4420, Kind: cutOff, One: 1},
		{At: 18200, Kind: removeServer},
		{At: 18240, For: 4950, Kind: kill},
	}))
}
