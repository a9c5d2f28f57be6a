package service

import "github.com/jaywheel/jaywheel/pkg/clock"

const (
	// A limit begins to be lifted when no response has named it for the time in which it allows withdrawalRequests, within
	// minWithdrawalTime and maxWithdrawalTime. Single responses without a limit also come from a target that still has one.
	withdrawalRequests = 1.5
	minWithdrawalTime  = 1500 * clock.Millisecond
	maxWithdrawalTime  = 5 * clock.Second
	// endResponses is the number of responses in a row without a limit after which it may end altogether.
	endResponses = 6
	// liftResponses is the number of them beyond which each one doubles the rate at most.
	liftResponses = 2
)

// limitStatements is when responses named a target's limit and when they did not, as far as this instance knows. A limit ends if all
// successful responses of a time that it depends on lack it, at whichever instance they arrived: one of them may have been made before the
// limit was named, and instances that drop a limit for a moment send at once all that waits.
type limitStatements struct {
	// named is the time of the newest response with the limit.
	named clock.Moment
	// unnamedSince is the time of the first response without it since then, and unnamed that of the newest; 0 if there is none.
	unnamedSince, unnamed clock.Moment
	// omissions is the number of responses without it since then.
	omissions int
}

// name adds a response with the limit, and reports whether it is the newest one and not older than those that led to the limit's end.
func (limitStatements *limitStatements) name(at clock.Moment) bool {
	if at < limitStatements.named || at < limitStatements.unnamedSince {
		return false
	}
	limitStatements.named = at
	limitStatements.unnamedSince, limitStatements.omissions = 0, 0
	if limitStatements.unnamed > at {
		limitStatements.unnamedSince, limitStatements.omissions = limitStatements.unnamed, 1
	}
	return true
}

// omit adds a response without the limit.
func (limitStatements *limitStatements) omit(at clock.Moment) {
	if at <= limitStatements.named {
		return
	}
	if limitStatements.unnamedSince == 0 {
		limitStatements.unnamedSince = at
	}
	limitStatements.unnamedSince = min(limitStatements.unnamedSince, at)
	limitStatements.unnamed = max(limitStatements.unnamed, at)
	limitStatements.omissions++
}

// lifted reports whether responses have lacked the limit for long enough to send more than it allows.
func (limitStatements *limitStatements) lifted(rate float64) bool {
	if limitStatements.unnamedSince == 0 {
		return false
	}
	needed := min(max(withdrawalRequests*clock.Second/clock.Milliseconds(max(rate, minLimitRate)), minWithdrawalTime), maxWithdrawalTime)
	return limitStatements.unnamed.Since(limitStatements.unnamedSince) >= needed
}
