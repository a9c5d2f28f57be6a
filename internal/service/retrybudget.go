package service

import (
	"sync/atomic"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// thousandthsPerRetry is the cost of one retry. The budget counts in thousandths of a retry.
const thousandthsPerRetry = 1000

// maxBudget is the maximum balance, 10 retries: a service with few requests can still retry its first failures, and a busy one cannot
// accumulate enough retries for a retry storm.
const maxBudget = 10 * thousandthsPerRetry

// Hedged requests leave reserveStep of the capacity to retries of requests that failed: without a retry these fail for good, while a
// request that is not hedged may only be late. A budget that has just started leaves as much of what has been deposited. While a budget is
// short, reserveStep of its capacity is left to requests with a more urgent priority as well. It is short from the moment at which the retry
// of a failed request is denied until plentyShare of its capacity has accumulated again.
const (
	reserveStep = 0.125
	plentyShare = 0.5
)

// RetryBudget limits retries to a share of the requests of callers, retries not counted. Without a limit, retries multiply the
// load exactly when backend servers fail because they are overloaded. It is safe for concurrent use.
type RetryBudget struct {
	thousandths atomic.Int64
	// deposited is what requests have contributed, up to the capacity.
	deposited  atomic.Int64
	perRequest atomic.Int64
	capacity   atomic.Int64
	// priorities has a bit for each priority of which there have been requests.
	priorities atomic.Uint32
	short      atomic.Bool
}

// Retry is what a retry is for.
type Retry struct {
	// Priority is that of the request.
	Priority settings.Priority
	// Hedged means that the request has not failed, but takes long.
	Hedged bool
}

// NewRetryBudget returns a full budget to which each request of a caller adds the given ratio of a retry, from 0 to 1.
func NewRetryBudget(ratio float64) *RetryBudget {
	budget := &RetryBudget{}
	budget.capacity.Store(maxBudget)
	budget.thousandths.Store(maxBudget)
	budget.deposited.Store(maxBudget)
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

// Deposit adds the share of a retry that one request of a caller contributes, and takes note of its priority.
func (budget *RetryBudget) Deposit(priority settings.Priority) {
	if bit := uint32(1) << priority; budget.priorities.Load()&bit == 0 {
		budget.priorities.Or(bit)
	}
	balance, capacity := budget.thousandths.Load(), budget.capacity.Load()
	if budget.deposited.Load() < capacity {
		budget.deposited.Add(budget.perRequest.Load())
	}
	if balance < capacity {
		balance = budget.thousandths.Add(budget.perRequest.Load())
	}
	if float64(balance) >= plentyShare*float64(capacity) && budget.short.Load() {
		budget.short.Store(false)
	}
}

// TryWithdraw removes one retry from the budget, and reports whether one was available beyond what is reserved for more useful ones.
func (budget *RetryBudget) TryWithdraw(retry Retry) bool {
	for {
		balance, capacity := budget.thousandths.Load(), budget.capacity.Load()
		remaining := min(balance, capacity+budget.perRequest.Load()) - thousandthsPerRetry
		if remaining < budget.reserved(retry, capacity) {
			if remaining < 0 && !retry.Hedged {
				budget.short.Store(true)
			}
			return false
		}
		if budget.thousandths.CompareAndSwap(balance, remaining) {
			return true
		}
	}
}

// reserved returns the part of the budget that the retry must leave to others.
func (budget *RetryBudget) reserved(retry Retry, capacity int64) int64 {
	reserved := 0.0
	if moreUrgent := uint32(1)<<retry.Priority - 1; budget.short.Load() && budget.priorities.Load()&moreUrgent != 0 {
		reserved += reserveStep * float64(capacity)
	}
	if retry.Hedged {
		reserved += reserveStep * float64(min(budget.deposited.Load(), capacity))
	}
	return int64(reserved)
}
