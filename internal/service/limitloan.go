package service

import (
	"cmp"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// The instances that serve count the requests to a limited target together. All others borrow from them, since telling every instance
// of each request would cost more than the requests.

const (
	// maxLoanTargets is the maximum number of limited targets for which loans are requested at once.
	maxLoanTargets = 8
	// loanDemandWindow is how recently a request must have come for loans to be requested.
	loanDemandWindow = 500 * clock.Millisecond
	// maxLoanTokens is the maximum number of tokens that are requested at once.
	maxLoanTokens = 32
	// spareLoanInterval is the shortest interval between two requests for a token that no request waits for.
	spareLoanInterval = 100 * clock.Millisecond
)

// LoanRequest asks another instance for tokens of a target's limit, and returns unused ones.
type LoanRequest struct {
	Target           settings.TargetName
	Started          int64
	Tokens, Returned int
}

// LoanAnswer is what a lender answers.
type LoanAnswer struct {
	Target  settings.TargetName
	Started int64
	// Tokens is the number of tokens lent, 0 if the request waits for its turn.
	Tokens int
	// Unknown means that the lender knows of no limit, or with Tokens that the limit has ended. The borrower reports what it knows.
	Unknown bool
}

// PeerLoan is a loan for the instance that is to receive it.
type PeerLoan struct {
	Peer   PeerKey
	Answer LoanAnswer
}

// SetBorrowing sets whether this instance borrows the tokens for limited targets instead of counting with the others.
func (scheduler *Scheduler) SetBorrowing(borrowing bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if borrowing == scheduler.borrowing {
		return
	}
	now := scheduler.clock.Now()
	scheduler.borrowing = borrowing
	for _, known := range scheduler.declarations {
		// An instance that borrowed was told neither what the others sent nor of all responses.
		known.restart(now, scheduler.rateShare)
	}
	scheduler.reindexAll(now)
}

// LoanRequests returns the requests for loans that are due. It must be called every few milliseconds.
func (scheduler *Scheduler) LoanRequests(now clock.Moment) []LoanRequest {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if len(scheduler.limitedTargets) == 0 || !scheduler.borrowing {
		return nil
	}
	needed := scheduler.neededLoans(now)
	perTarget := (needed + len(scheduler.limitedTargets) - 1) / len(scheduler.limitedTargets)
	var requests []LoanRequest
	first := scheduler.random.IntN(len(scheduler.limitedTargets))
	for index := range scheduler.limitedTargets {
		candidate := scheduler.limitedTargets[(first+index)%len(scheduler.limitedTargets)]
		request := LoanRequest{Target: candidate.Name, Started: candidate.config.Started, Returned: candidate.declaration.loans.TakeUnused(now)}
		if needed > 0 && scheduler.borrows(now, candidate) {
			request.Tokens = candidate.declaration.loans.Want(now, min(perTarget, needed))
			needed -= request.Tokens
		}
		if request.Tokens > 0 || request.Returned > 0 {
			requests = append(requests, request)
		}
		if len(requests) == maxLoanTargets {
			break
		}
	}
	return requests
}

// neededLoans returns the number of tokens to request: one for each request that waits, or a spare one for the next request. It gives up
// the tokens that are held beyond that.
func (scheduler *Scheduler) neededLoans(now clock.Moment) int {
	held, expected := 0, 0
	for _, candidate := range scheduler.limitedTargets {
		held += candidate.declaration.loans.Tokens(now)
		expected += candidate.declaration.loans.Expected(now)
	}
	surplus := held - max(scheduler.waiting.length, 1)
	for _, candidate := range scheduler.limitedTargets {
		if surplus <= 0 {
			break
		}
		surplus -= candidate.declaration.loans.GiveUp(now, surplus)
		scheduler.reindex(now, candidate)
	}
	if scheduler.waiting.length > 0 {
		return min(scheduler.waiting.length-held-expected, maxLoanTokens)
	}
	if held+expected > 0 || now < scheduler.nextSpareLoan || !scheduler.busyWithin(loanDemandWindow) {
		return 0
	}
	scheduler.nextSpareLoan = now.Add(spareLoanInterval)
	return 1
}

// borrows reports whether the target would get requests if a token were borrowed. One in another data centre only gets those that would
// wait otherwise.
func (scheduler *Scheduler) borrows(now clock.Moment, candidate *candidate) bool {
	preferred := candidate.config.Local || scheduler.waiting.length > 0 || scheduler.usableLocal == 0
	return preferred && !candidate.down && now >= candidate.restUntil() && now >= candidate.coldUntil
}

// Lend handles a request for a loan of another instance, and returns the answer for that instance.
func (scheduler *Scheduler) Lend(peer PeerKey, request LoanRequest) LoanAnswer {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	answer := LoanAnswer{Target: request.Target, Started: request.Started}
	candidate, found := scheduler.candidates[request.Target]
	if !found || candidate.config.Started != request.Started || scheduler.borrowing {
		return answer
	}
	now := scheduler.clock.Now()
	declaration := candidate.declaration
	switch {
	case declaration == nil || declaration.statements.named == 0:
		answer.Unknown = request.Tokens > 0
	case !declaration.named:
		// The borrower may have received a newer response that names the limit.
		answer.Tokens, answer.Unknown = request.Tokens, request.Tokens > 0
	default:
		declaration.giveBack(now, *candidate.rateShare, request.Returned)
		if request.Tokens > 0 {
			declaration.borrowers.Add(now, peer, request.Tokens)
		}
		scheduler.reindex(now, candidate)
	}
	return answer
}

// giveBack adds tokens that a borrower did not use.
func (rateLimit *rateLimit) giveBack(now clock.Moment, share float64, tokens int) {
	rateLimit.refill(now, share)
	rateLimit.level = min(rateLimit.level+float64(tokens), rateLimit.capacity(now))
	rateLimit.sent -= uint32(tokens)
}

// DueLoans returns the loans whose turn it is. It must be called every few milliseconds.
func (scheduler *Scheduler) DueLoans() []PeerLoan {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	var loans []PeerLoan
	for _, candidate := range scheduler.limitedTargets {
		loans = append(loans, scheduler.lendFrom(now, candidate)...)
	}
	return loans
}

// lendFrom lends the tokens of a target's limit to those that wait for them.
func (scheduler *Scheduler) lendFrom(now clock.Moment, candidate *candidate) []PeerLoan {
	declaration := candidate.declaration
	if declaration.borrowers.Empty(now) {
		if declaration.lendNext {
			declaration.lendNext = false
			scheduler.reindex(now, candidate)
		}
		return nil
	}
	declaration.refill(now, *candidate.rateShare)
	lent := map[PeerKey]int{}
	for declaration.level >= declaration.threshold {
		peer, found := declaration.borrowers.Next(now)
		if !found {
			break
		}
		lent[peer]++
		scheduler.takeToken(now, candidate)
		declaration.lendNext = false
	}
	loans := make([]PeerLoan, 0, len(lent))
	for peer, tokens := range lent {
		loans = append(loans, PeerLoan{Peer: peer, Answer: LoanAnswer{Target: candidate.Name, Started: candidate.config.Started, Tokens: tokens}})
	}
	slices.SortFunc(loans, func(left, right PeerLoan) int { return cmp.Compare(left.Peer, right.Peer) })
	scheduler.reindex(now, candidate)
	return loans
}

// ReceiveLoan applies the answer of a lender.
func (scheduler *Scheduler) ReceiveLoan(answer LoanAnswer) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[answer.Target]
	if !found || candidate.config.Started != answer.Started || !candidate.limited() || !scheduler.borrowing {
		return
	}
	now := scheduler.clock.Now()
	declaration := candidate.declaration
	declaration.unreported = declaration.unreported || answer.Unknown
	declaration.loans.Receive(now, answer.Tokens)
	if ended := answer.Unknown && answer.Tokens > 0; ended && declaration.own.unnamed > declaration.own.named {
		scheduler.endLimit(now, candidate)
		return
	}
	scheduler.reindex(now, candidate)
	scheduler.serveWaiting(now)
}
