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
		// serving is the number of instances that serve, grownFrom the number that serve until the first failure.
		serving, grownFrom int
	}{
		{"small site", 30, 56, 0, 3, 3},
		{"small site, restarts", 30, 56, 2 * clock.Second, 3, 3},
		{"large site", 800, 166, 0, 3, 3},
		{"large site, restarts", 800, 166, clock.Second, 3, 3},
		{"many serve", 800, 62, 0, 27, 27},
		{"many begin to serve", 800, 62, 0, 27, 3},
		{"many serve, restarts", 800, 62, clock.Second, 27, 27},
	}
	const (
		share  = 0.2
		window = 10 * clock.Second
		length = clock.Minute
	)
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 5))
			var budgets []*service.RetryBudget
			newBudget := func() *service.RetryBudget {
				return service.NewSharedRetryBudget(share*retryBudgetMargin, testCase.slack/retryBudgetShares(len(budgets)))
			}
			addBudgets := func(count int) {
				for len(budgets) < count {
					budgets = append(budgets, newBudget())
				}
				for _, budget := range budgets {
					budget.SetCapacity(testCase.slack / retryBudgetShares(len(budgets)))
				}
			}
			addBudgets(testCase.grownFrom)
			var requestTimes, retryTimes []clock.Moment
			nextRestart := clock.Moment(testCase.restarts)
			for now := clock.Moment(0); now < clock.Moment(length); now = now.Add(clock.Milliseconds(random.ExpFloat64() * 1000 / testCase.perSecond)) {
				if testCase.restarts > 0 && now >= nextRestart {
					budgets[random.IntN(len(budgets))] = newBudget()
					nextRestart = now.Add(testCase.restarts)
				}
				if now >= clock.Moment(window) {
					addBudgets(testCase.serving)
				}
				budget := budgets[random.IntN(len(budgets))]
				budget.Deposit(0)
				requestTimes = append(requestTimes, now)
				// In ten of every twenty seconds all requests are retried as often as the budget allows, after saved retries have filled up.
				failing := int(now/clock.Moment(window))%2 == 1
				for failing && budget.TryWithdraw(service.Retry{}) {
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
