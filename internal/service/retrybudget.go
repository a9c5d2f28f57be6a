package service

import "sync/atomic"

// thousandthsPerRetry is one request in the budget's count, which works in thousandths.
const thousandthsPerRetry = 1000

// maxBudget is how many retries can be saved up, so that a quiet service can still retry its first failures and a
// busy one can't store enough for a storm.
const maxBudget = 10 * thousandthsPerRetry

// RetryBudget lets a share of live requests be sent again. Without it, retries multiply the load exactly when backend
// servers fail because there is too much of it. It is safe for concurrent use.
type RetryBudget struct {
	thousandths atomic.Int64
	perRequest  atomic.Int64
	capacity    atomic.Int64
}

// NewRetryBudget returns a full budget that regains share of a retry with each live request.
func NewRetryBudget(share float64) *RetryBudget {
	budget := &RetryBudget{}
	budget.capacity.Store(maxBudget)
	budget.thousandths.Store(maxBudget)
	budget.SetRetryRatio(share)
	return budget
}

// NewSharedRetryBudget returns the budget of one of many instances that share an allowance: it starts with a single retry, and
// saves up to the given number. With a full one each, a fleet that is restarted would have a storm of them to spend at once.
func NewSharedRetryBudget(share float64, most int) *RetryBudget {
	budget := &RetryBudget{}
	budget.SetCapacity(most)
	budget.thousandths.Store(thousandthsPerRetry)
	budget.SetRetryRatio(share)
	return budget
}

// SetCapacity changes the number of retries that may be saved up.
func (budget *RetryBudget) SetCapacity(most int) {
	budget.capacity.Store(int64(max(most, 1)) * thousandthsPerRetry)
}

// SetRetryRatio changes the share of live requests that may be sent again, from 0 to 1.
func (budget *RetryBudget) SetRetryRatio(share float64) {
	budget.perRequest.Store(int64(share * thousandthsPerRetry))
}

// Deposit counts one live request.
func (budget *RetryBudget) Deposit() {
	if budget.thousandths.Load() < budget.capacity.Load() {
		budget.thousandths.Add(budget.perRequest.Load())
	}
}

// TryWithdraw takes one retry out of the budget, and reports whether there was one.
func (budget *RetryBudget) TryWithdraw() bool {
	for {
		left := budget.thousandths.Load()
		if left < thousandthsPerRetry {
			return false
		}
		if budget.thousandths.CompareAndSwap(left, left-thousandthsPerRetry) {
			return true
		}
	}
}
