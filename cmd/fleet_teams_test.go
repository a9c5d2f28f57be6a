package cmd

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/fleet"
	"github.com/jaywheel/jaywheel/internal/quota"
)

func TestTeamsOfAFleet(t *testing.T) {
	lines := []fleetLine{
		{status: fleet.Status{Instance: "entry-1", Teams: []quota.Usage{
			{Team: "brass", Rate: 10, Admitted: 5}, {Team: "strings", Rate: 2, Admitted: 3, Refused: 4, Returned: 1},
		}}},
		{status: fleet.Status{Instance: "entry-2", Teams: []quota.Usage{{Team: "strings", Rate: 2, Admitted: 1, Refused: 1}}}},
		{status: fleet.Status{Instance: "entry-3"}},
	}
	var out bytes.Buffer
	require.NoError(t, printTeams(&out, lines))
	require.Equal(t, "team     rate limit  received  admitted  refused  returned  received by\n"+
		"strings  2.0         9         4         5        1         [entry-1 entry-2]\n"+
		"brass    10.0        5         5         0        0         [entry-1]\n", out.String())
}
