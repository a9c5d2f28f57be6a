package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against requests that are taken too late to be answered before the process is killed.
func TestWhatIsTakenLastHasTimeToEnd(t *testing.T) {
	const (
		leaveMost = 6 * clock.Second
		// The platform excuses what was sent within half of the time and is still at work in the last sixth of it.
		excused = leaveMost / 2
		atWork  = leaveMost * 5 / 6
		// Callers keep an address answer for 1.5 s, and have to ask again.
		kept = 1500 * clock.Millisecond
		// A process that is short of processor time notices the signal late.
		noticed = 700 * clock.Millisecond
	)
	require.Less(t, listenOn*leaveMost, excused)
	require.Greater(t, listenOn*leaveMost, kept+clock.Second)
	require.GreaterOrEqual(t, (finishIn-listenOn)*leaveMost, 2900*clock.Millisecond)
	require.Less(t, takeIn*leaveMost+noticed, excused)
	require.Greater(t, answerIn*leaveMost, atWork)
	require.Less(t, answerIn*leaveMost+noticed, leaveMost)
}
