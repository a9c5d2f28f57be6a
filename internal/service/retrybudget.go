package service

import "sync/atomic"

// thousandthsPerRetry is the cost of one retry. The budget counts in thousandths of a retry.
const thousandthsPerRetry = 1000

// maxBudget is the maximum balance, 10 retries: a service with few requests can still retry its first failures, and a busy one cannot
// accumulate enough retries for a retry storm.
const maxBudget = 10 * thousandthsPerRetry

// RetryBudget limits retries to a share of the requests of callers, retries not counted. Without a limit, retries multiply the
// load exactly when backend servers fail because they are overloaded. It is safe for concurrent use.
type RetryBudget struct {
	thousandths atomic.Int64
	perRequest  atomic.Int64
	capacity    atomic.Int64
}

// NewRetryBudget returns a full budget to which each request of a caller adds the given ratio of a retry, from 0 to 1.
func NewRetryBudget(ratio float64) *RetryBudget {
	budget := &RetryBudget{}
	budget.capacity.Store(maxBudget)
	budget.thousandths.Store(maxBudget)
	budget.SetRetryRatio(ratio)
	return budget
}

// NewSharedRetryBudget returns the budget of one of several instances that share an allowance. It starts with a single retry
// and accumulates up to capacity retries. If each instance started with a full budget, a restarted fleet could spend all of
// them at once as a retry storm.
func NewSharedRetryBudget(ratio float64, capacity int) *RetryBudget {
	budget := &RetryBudget{}
	budget.SetCapacity(capacity)
	budget.thousandths.Store(thousandthsPerRetry)
	budget.SetRetryRatio(ratio)
	return budget
}

// SetCapacity changes the number of retries that the budget can accumulate, at least 1. Accumulated retries above it are lost.
func (budget *RetryBudget) SetCapacity(capacity int) {
	budget.capacity.Store(int64(max(capacity, 1)) * thousandthsPerRetry)
}

// SetRetryRatio changes the number of retries allowed per request of a caller, from 0 to 1.
func (budget *RetryBudget) SetRetryRatio(ratio float64) {
	budget.perRequest.Store(int64(ratio * thousandthsPerRetry))
}

// Deposit adds the share of a retry that one request of a caller contributes.
func (budget *RetryBudget) Deposit() {
	if budget.thousandths.Load() < budget.capacity.Load() {
		budget.thousandths.Add(budget.perRequest.Load())
	}
}

// TryWithdraw removes one retry from the budget, and reports whether one was available.
func (budget *RetryBudget) TryWithdraw() bool {
	for {
		balance := budget.thousandths.Load()
		remaining := min(balance, budget.capacity.Load()+budget.perRequest.Load()) - thousandthsPerRetry
		if remaining < 0 {
			return false
		}
		if budget.thousandths.CompareAndSwap(balance, remaining) {
			return true
		}
	}
}
