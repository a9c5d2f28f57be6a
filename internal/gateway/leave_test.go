package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// An instance leaves, and a caller with an old address answer sends a request that may take some seconds. Taken too late, it runs at
// its server and is cut off when the time for leaving is over: the caller waited for nothing.
func TestWhatIsTakenLastHasTimeToEnd(t *testing.T) {
	const (
		leaveMost = 6 * clock.Second
		// The platform excuses what was sent within half of the time and is still at work at its end.
		excused = leaveMost / 2
		// Callers keep an address answer for 1.5 s, and have to ask again.
		kept = 1500 * clock.Millisecond
	)
	require.Less(t, listenOn*leaveMost, excused)
	require.Greater(t, listenOn*leaveMost, kept+clock.Second)
	require.GreaterOrEqual(t, (finishIn-listenOn)*leaveMost, 2900*clock.Millisecond)
}
