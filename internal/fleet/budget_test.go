package fleet

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Servers fail most requests for a while, instances that serve are restarted and others take over, and callers repeat on their
// own. Instances count retries by themselves; over any ten seconds the fleet must still not send more of them than was agreed,
// or the retries keep the servers down.
func TestFleetKeepsTheRetryBudget(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		slack     int
		restarts  clock.Milliseconds
	}{
		{"small site", 30, 56, 0},
		{"small site, restarts", 30, 56, 2 * clock.Second},
		{"large site", 800, 166, 0},
		{"large site, restarts", 800, 166, clock.Second},
	}
	const (
		share   = 0.2
		serving = 3
		window  = 10 * clock.Second
		length  = clock.Minute
	)
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 5))
			newBudget := func() *service.RetryBudget {
				return service.NewSharedRetryBudget(share*budgetMargin, testCase.slack/budgetShares)
			}
			budgets := []*service.RetryBudget{newBudget(), newBudget(), newBudget()}
			var asked, again []clock.Moment
			nextRestart := clock.Moment(testCase.restarts)
			for now := clock.Moment(0); now < clock.Moment(length); now = now.Add(clock.Milliseconds(random.ExpFloat64() * 1000 / testCase.perSecond)) {
				if testCase.restarts > 0 && now >= nextRestart {
					budgets[random.IntN(serving)] = newBudget()
					nextRestart = now.Add(testCase.restarts)
				}
				budget := budgets[random.IntN(serving)]
				budget.Deposit()
				asked = append(asked, now)
				// For ten seconds in twenty all requests are sent as often as may be, after savings have filled up.
				failing := int(now/clock.Moment(window))%2 == 1
				for failing && budget.TryWithdraw() {
					again = append(again, now)
				}
			}
			for _, from := range again {
				requests, retries := within(asked, from, window), within(again, from, window)
				require.LessOrEqual(t, float64(retries), share*float64(requests)+float64(testCase.slack))
			}
			require.Greater(t, float64(len(again)), 0.4*share*float64(len(asked)), "retries that could have saved requests were not sent")
		})
	}
}

func within(moments []clock.Moment, from clock.Moment, length clock.Milliseconds) int {
	count := 0
	for _, moment := range moments {
		if moment >= from && moment < from.Add(length) {
			count++
		}
	}
	return count
}
