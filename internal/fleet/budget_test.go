package fleet

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against a fleet that sends more retries in ten seconds than was agreed, which would keep failing servers down.
// Servers fail most requests for a while, serving instances are restarted and others take over, callers retry on their own,
// and each instance counts only its own retries.
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
				return service.NewSharedRetryBudget(share*retryBudgetMargin, testCase.slack/retryBudgetShares)
			}
			budgets := []*service.RetryBudget{newBudget(), newBudget(), newBudget()}
			var requestTimes, retryTimes []clock.Moment
			nextRestart := clock.Moment(testCase.restarts)
			for now := clock.Moment(0); now < clock.Moment(length); now = now.Add(clock.Milliseconds(random.ExpFloat64() * 1000 / testCase.perSecond)) {
				if testCase.restarts > 0 && now >= nextRestart {
					budgets[random.IntN(serving)] = newBudget()
					nextRestart = now.Add(testCase.restarts)
				}
				budget := budgets[random.IntN(serving)]
				budget.Deposit()
				requestTimes = append(requestTimes, now)
				// In ten of every twenty seconds all requests are retried as often as the budget allows, after saved retries have filled up.
				failing := int(now/clock.Moment(window))%2 == 1
				for failing && budget.TryWithdraw() {
					retryTimes = append(retryTimes, now)
				}
			}
			for _, from := range retryTimes {
				requests, retries := countWithin(requestTimes, from, window), countWithin(retryTimes, from, window)
				require.LessOrEqual(t, float64(retries), share*float64(requests)+float64(testCase.slack))
			}
			require.Greater(t, float64(len(retryTimes)), 0.4*share*float64(len(requestTimes)), "retries that could have saved requests were not sent")
		})
	}
}

func countWithin(moments []clock.Moment, from clock.Moment, length clock.Milliseconds) int {
	count := 0
	for _, moment := range moments {
		if moment >= from && moment < from.Add(length) {
			count++
		}
	}
	return count
}
