package service

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against retries that go to requests which gain little from them while others are refused: when backend servers reject part of
// their requests, all together want more retries than are allowed.
func TestShortRetryBudgetGoesToTheMostUrgent(t *testing.T) {
	const requests = 6000
	type kind struct {
		retry Retry
		// wanted is the part of the requests of the kind that want a retry, least and most the bounds for the part of these that get one.
		wanted, least, most float64
	}
	cases := []struct {
		name  string
		kinds []kind
	}{
		{"enough for all", []kind{
			{Retry{Priority: 1}, 0.1, 1, 1},
			{Retry{Priority: 2}, 0.1, 1, 1},
			{Retry{Priority: 2, Hedged: true}, 0.1, 1, 1},
		}},
		{"the most urgent take what they want, the others what is left", []kind{
			{Retry{Priority: 1}, 0.4, 0.95, 1},
			{Retry{Priority: 2}, 0.4, 0.1, 0.6},
			{Retry{Priority: 2, Hedged: true}, 0.4, 0, 0.1},
		}},
		{"one priority alone", []kind{
			{Retry{Priority: 2}, 0.3, 0.55, 0.65},
		}},
		{"failed requests before hedged ones", []kind{
			{Retry{Priority: 2}, 0.3, 0.95, 1},
			{Retry{Priority: 2, Hedged: true}, 0.3, 0.1, 0.4},
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			budget := NewSharedRetryBudget(0.18, 40)
			wanted, got := make([]float64, len(testCase.kinds)), make([]float64, len(testCase.kinds))
			owed := make([]float64, len(testCase.kinds))
			for number := range requests {
				index := number % len(testCase.kinds)
				kind := testCase.kinds[index]
				budget.Deposit(kind.retry.Priority)
				if owed[index] += kind.wanted; owed[index] < 1 {
					continue
				}
				owed[index]--
				wanted[index]++
				if budget.TryWithdraw(kind.retry) {
					got[index]++
				}
			}
			for index, kind := range testCase.kinds {
				require.GreaterOrEqual(t, got[index]/wanted[index], kind.least, "kind %d", index)
				require.LessOrEqual(t, got[index]/wanted[index], kind.most, "kind %d", index)
			}
		})
	}
}

// Guards against a reserve that takes retries from the least urgent requests although none is short of them.
func TestRetryBudgetReservesNothingWhileThereIsEnough(t *testing.T) {
	budget := NewSharedRetryBudget(0.2, 8)
	for range 100 {
		budget.Deposit(0)
	}
	for range 8 {
		require.True(t, budget.TryWithdraw(Retry{Priority: settings.LowestPriority}))
	}
	require.False(t, budget.TryWithdraw(Retry{}))
}

// Guards against failed requests that are not retried because hedged requests have taken all retries.
func TestHedgedRequestsLeaveRetriesToFailedOnes(t *testing.T) {
	for _, capacity := range []int{8, 16, 40} {
		budget := NewSharedRetryBudget(0.2, capacity)
		for range 10 * capacity {
			budget.Deposit(0)
		}
		hedged, failed := 0, 0
		for budget.TryWithdraw(Retry{Priority: settings.LowestPriority, Hedged: true}) {
			hedged++
		}
		for budget.TryWithdraw(Retry{Priority: settings.LowestPriority}) {
			failed++
		}
		require.Equal(t, capacity/8, failed, "capacity %d", capacity)
		require.Equal(t, capacity-capacity/8, hedged)
	}
}
