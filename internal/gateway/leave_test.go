package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against requests that are accepted too late in a drain to be responded to before the process is killed.
func TestRequestsAcceptedLastHaveTimeToEnd(t *testing.T) {
	const (
		maxDrain = 6 * clock.Second
		// The platform excuses requests that were sent within the first half of the drain and are still running in the last sixth.
		excused      = maxDrain / 2
		stillRunning = maxDrain * 5 / 6
		// Callers cache addresses for 1.5 s, and then have to request them again.
		addressTTL = 1500 * clock.Millisecond
		// A process that is short of CPU time handles the signal late.
		signalDelay = 700 * clock.Millisecond
	)
	require.Less(t, keepListeningShare*maxDrain, excused)
	require.Greater(t, keepListeningShare*maxDrain, addressTTL+clock.Second)
	require.GreaterOrEqual(t, (closeConnectionsShare-keepListeningShare)*maxDrain, 2900*clock.Millisecond)
	require.Less(t, acceptLongRequestsShare*maxDrain+signalDelay, excused)
	require.Greater(t, respondShare*maxDrain, stillRunning)
	require.Less(t, respondShare*maxDrain+signalDelay, maxDrain)
}
