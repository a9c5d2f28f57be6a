package quota

import (
	"context"
	"math"
	"time"

	"github.com/jaywheel/jaywheel/internal/loan"
	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Only a few instances count together: each may admit what its bucket holds before it is told of the others' requests. Any other borrows the
// tokens of a limit from one of them, and what that one lends counts as its own.

const (
	// maxLoanWait is how long a request waits for a loan.
	maxLoanWait = 150 * clock.Millisecond
	// loanTimeout is the time after which a request for a loan that was not answered is repeated.
	loanTimeout = 60 * clock.Millisecond
	// loanDemandTime is the time for whose requests tokens are borrowed in advance, maxSpareTokens the maximum of these.
	loanDemandTime = 250 * clock.Millisecond
	maxSpareTokens = 8
	// maxLoanShare is the share of a bucket's level that is lent at once, except for a single token: others ask as well.
	maxLoanShare = 0.25
	// minDenial and maxDenial bound the time for which requests are refused at once after a lender had nothing left.
	minDenial = 20 * clock.Millisecond
	maxDenial = 200 * clock.Millisecond
)

// borrowed is what an instance has borrowed of one limit.
type borrowed struct {
	account loan.Account
	// waiting is the number of requests that wait for a loan, answered is closed when the next answer arrives.
	waiting  int
	answered chan struct{}
	// requestedUntil is the time until which an answer is awaited, deniedUntil that until which the lender has nothing left.
	requestedUntil, deniedUntil clock.Moment
	// demand is the number of recent requests, which decays from demandAt on.
	demand   float64
	demandAt clock.Moment
	// used is the number of requests that were admitted without a token, and are to be reported to the lender.
	used int
}

// LoanRequest asks another instance for tokens of a team's limit.
type LoanRequest struct {
	Team TeamKey
	// Tokens is the number of tokens wanted, Returned that of tokens that were not used, and Used that of requests admitted without one.
	Tokens, Returned, Used int
}

// LoanAnswer is what a lender answers.
type LoanAnswer struct {
	Team   TeamKey
	Tokens int
	// Wait is the time after which the lender expects to have tokens, if it has none.
	Wait clock.Milliseconds
}

// SetBorrowing sets whether this instance borrows the tokens of limits instead of counting with the others. fleetSize is the number of
// instances.
func (limiter *Limiter) SetBorrowing(borrowing bool, fleetSize int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.isolatedInstances = max(fleetSize, maxIsolatedInstances)
	if borrowing == limiter.borrowing {
		return
	}
	now := limiter.clock.Now()
	limiter.borrowing = borrowing
	for _, bucket := range limiter.buckets {
		// What the others have admitted meanwhile is not known.
		limiter.refill(now, bucket)
		bucket.level = min(bucket.level, 0)
		bucket.borrowed.wake()
	}
}

// AdmitWaiting admits a request of the team, or returns the time after which its caller may retry. It waits for a loan if this instance
// borrows.
func (limiter *Limiter) AdmitWaiting(ctx context.Context, name team.Name) (clock.Milliseconds, bool) {
	deadline := limiter.clock.Now().Add(maxLoanWait)
	for {
		wait, admitted, answered := limiter.admitOrBorrow(name, deadline)
		if answered == nil {
			return wait, admitted
		}
		if limiter.requestLoans != nil {
			limiter.requestLoans()
		}
		timer := time.NewTimer(min(loanTimeout, max(deadline.Since(limiter.clock.Now()), 0)).Duration())
		select {
		case <-answered:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		limiter.endWait(name)
		if ctx.Err() != nil {
			return minRetryAfter, false
		}
	}
}

// admitOrBorrow admits or refuses a request, or returns a channel that is closed when the request should try again.
func (limiter *Limiter) admitOrBorrow(name team.Name, deadline clock.Moment) (clock.Milliseconds, bool, <-chan struct{}) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket, limited := limiter.buckets[name]
	if !limited {
		return 0, true, nil
	}
	now := limiter.clock.Now()
	if !limiter.borrowing {
		wait, admitted := limiter.admit(now, bucket)
		return wait, admitted, nil
	}
	state := &bucket.borrowed
	switch {
	case state.account.Available(now):
		state.account.Spend()
		state.count(now)
		bucket.usage.Admitted++
		return 0, true, nil
	case now < state.deniedUntil:
		bucket.usage.Refused++
		return limiter.denialWait(now, state), false, nil
	case now >= deadline:
		return limiter.admitIsolated(now, bucket)
	}
	state.waiting++
	if state.answered == nil {
		state.answered = make(chan struct{})
	}
	return 0, false, state.answered
}

// admitIsolated admits a request from this instance's own part of the allowed excess, since no lender has answered. In a fleet so large
// that this part is less than one request, a request is admitted with that probability: all instances may be cut off from their lenders.
func (limiter *Limiter) admitIsolated(now clock.Moment, bucket *bucket) (clock.Milliseconds, bool, <-chan struct{}) {
	limiter.refill(now, bucket)
	// The lenders may be slow rather than cut off, and use the whole limit meanwhile.
	if bucket.level >= 1 && limiter.random.Float64() >= partitionedOverShare*limiter.isolatedPart(bucket) {
		bucket.level--
	}
	if bucket.level < 1 {
		bucket.usage.Refused++
		return limiter.retryAfter(bucket), false, nil
	}
	bucket.level--
	bucket.borrowed.used++
	bucket.usage.Admitted++
	return 0, true, nil
}

// denialWait returns the time after which a request may be tried again that the lender had no token for.
func (limiter *Limiter) denialWait(now clock.Moment, state *borrowed) clock.Milliseconds {
	wait := max(state.deniedUntil.Since(now), minRetryAfter)
	return min(wait, maxRetryAfter) * clock.Milliseconds(1+retryAfterJitter*limiter.random.Float64())
}

func (limiter *Limiter) endWait(name team.Name) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if bucket, limited := limiter.buckets[name]; limited {
		// The bucket may be newer than the wait.
		bucket.borrowed.waiting = max(bucket.borrowed.waiting-1, 0)
	}
}

// wake lets the requests that wait try again.
func (borrowed *borrowed) wake() {
	if borrowed.answered != nil {
		close(borrowed.answered)
		borrowed.answered = nil
	}
	borrowed.requestedUntil = 0
}

// count counts a request for the demand.
func (borrowed *borrowed) count(now clock.Moment) {
	borrowed.demand = borrowed.recentDemand(now) + 1
	borrowed.demandAt = now
}

// recentDemand returns about the number of requests within loanDemandTime.
func (borrowed *borrowed) recentDemand(now clock.Moment) float64 {
	return borrowed.demand * math.Exp(-float64(now.Since(borrowed.demandAt)/loanDemandTime))
}

// LoanRequests returns the requests for loans that are due.
func (limiter *Limiter) LoanRequests() []LoanRequest {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if !limiter.borrowing {
		return nil
	}
	now := limiter.clock.Now()
	var requests []LoanRequest
	for _, bucket := range limiter.buckets {
		state := &bucket.borrowed
		request := LoanRequest{Team: bucket.key, Returned: state.account.TakeUnused(now), Used: state.used}
		state.used = 0
		if state.waiting > 0 && now >= state.requestedUntil && now >= state.deniedUntil {
			request.Tokens = state.waiting + min(int(state.recentDemand(now)), maxSpareTokens)
			state.requestedUntil = now.Add(loanTimeout)
		}
		if request.Tokens > 0 || request.Returned > 0 || request.Used > 0 {
			requests = append(requests, request)
		}
	}
	return requests
}

// Lend handles a request for a loan and returns the answer for the borrower.
func (limiter *Limiter) Lend(request LoanRequest) LoanAnswer {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	answer := LoanAnswer{Team: request.Team}
	bucket, limited := limiter.byKey[request.Team]
	if !limited {
		// In the configuration in force here the team has no limit.
		answer.Tokens = request.Tokens
		return answer
	}
	now := limiter.clock.Now()
	limiter.refill(now, bucket)
	limiter.take(now, bucket, request.Used-request.Returned)
	if request.Tokens <= 0 {
		return answer
	}
	if bucket.level < 1 {
		answer.Wait = limiter.retryAfter(bucket)
		return answer
	}
	answer.Tokens = min(request.Tokens, max(int(maxLoanShare*bucket.level), 1))
	limiter.take(now, bucket, answer.Tokens)
	return answer
}

// take takes tokens from a bucket, or gives them back if the number is negative, and reports that.
func (limiter *Limiter) take(now clock.Moment, bucket *bucket, tokens int) {
	if tokens == 0 {
		return
	}
	limiter.scheduleReport(now, bucket)
	bucket.level = min(max(bucket.level-float64(tokens), min(bucket.minLevel(), bucket.level)), limiter.capacity(bucket))
	bucket.total += uint32(int32(tokens))
}

// ReceiveLoan applies the answer of a lender.
func (limiter *Limiter) ReceiveLoan(answer LoanAnswer) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket, limited := limiter.byKey[answer.Team]
	if !limited || !limiter.borrowing {
		return
	}
	now := limiter.clock.Now()
	if answer.Tokens > 0 {
		bucket.borrowed.account.Receive(now, answer.Tokens)
	} else {
		bucket.borrowed.deniedUntil = now.Add(min(max(answer.Wait, minDenial), maxDenial))
	}
	bucket.borrowed.wake()
}
