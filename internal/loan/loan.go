// Package loan lets instances that do not count requests with others borrow from those that do. A limit over a whole fleet is kept by
// token buckets at the few instances that serve, which report to each other what they use. Any other instance that receives requests
// borrows single tokens from one of them, which counts them as its own: so nothing has to be reported to hundreds of instances, and
// a limit holds however many of them are in use. Whatever is lost on the way, a request for a loan, the loan itself or its return,
// leaves a part of the limit unused and never exceeds it.
//
// The package is pure: it does no I/O, and the time is passed in.
//
// # Usage
//
//	account.Want(now, 2)                                  // borrower: send the number that it returns to the lender
//	queue.Add(now, peer, 2)                               // lender
//	for bucketHasTokens() { peer, found := queue.Next(now) } // lender: one token each, to be sent to the peer
//	account.Receive(now, 1)                               // borrower
//	if account.Available(now) { account.Spend() }
package loan

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// Validity is how long a borrowed token may be used.
	Validity = 500 * clock.Millisecond
	// answerTimeout is the time after which a request for a loan that was not answered is repeated, queueInterval that after which one
	// is that waits for its turn.
	answerTimeout = 150 * clock.Millisecond
	queueInterval = clock.Second
	// queueTimeout is how long a request waits for its turn unless it is repeated.
	queueTimeout = 1200 * clock.Millisecond
)

// Account holds what an instance has borrowed of one limit. Its zero value holds nothing.
type Account struct {
	tokens int
	// expires is when the tokens can no longer be used.
	expires clock.Moment
	// unused is the number of expired tokens that have not been returned.
	unused int
	// nextRequest is when the next loan may be requested, requested the number of tokens of the last request while it is not answered.
	nextRequest clock.Moment
	requested   int
	// waitsSince is since when a requested loan has not come, 0 if none is wanted.
	waitsSince clock.Moment
}

// Available reports whether a token may be used now.
func (account *Account) Available(now clock.Moment) bool {
	return account.tokens > 0 && now < account.expires
}

// Tokens returns the number of tokens that may be used now.
func (account *Account) Tokens(now clock.Moment) int {
	if !account.Available(now) {
		return 0
	}
	return account.tokens
}

// Expires returns when the borrowed tokens expire.
func (account *Account) Expires() clock.Moment {
	return account.expires
}

// Expected returns the number of tokens that are requested and may arrive at any moment.
func (account *Account) Expected(now clock.Moment) int {
	if now >= account.nextRequest {
		return 0
	}
	return account.requested
}

// GiveUp puts tokens that are not needed, at most the given number, among those to be returned, and returns how many.
func (account *Account) GiveUp(now clock.Moment, most int) int {
	count := min(account.Tokens(now), most)
	account.tokens -= count
	account.unused += count
	return count
}

// Spend uses a token.
func (account *Account) Spend() {
	account.tokens--
}

// Want returns the number of tokens to request now for an instance that could use the given number, 0 if no request is due.
func (account *Account) Want(now clock.Moment, usable int) int {
	if usable <= 0 || account.Available(now) || now < account.nextRequest {
		return 0
	}
	if !account.waits(now) {
		account.waitsSince = now
	}
	account.nextRequest, account.requested = now.Add(answerTimeout), usable
	return usable
}

// Receive adds the lender's answer: the given number of tokens, 0 if the request waits for its turn.
func (account *Account) Receive(now clock.Moment, tokens int) {
	account.requested = 0
	if tokens == 0 {
		account.nextRequest = now.Add(queueInterval)
		return
	}
	if !account.Available(now) {
		account.expire(now)
	}
	account.tokens += tokens
	account.expires = now.Add(Validity)
	account.nextRequest, account.waitsSince = now, 0
}

// expire puts expired tokens among those to be returned.
func (account *Account) expire(now clock.Moment) {
	if now >= account.expires {
		account.unused += account.tokens
		account.tokens = 0
	}
}

// TakeUnused returns the number of tokens that have expired unused. They are to be returned to the lender.
func (account *Account) TakeUnused(now clock.Moment) int {
	account.expire(now)
	unused := account.unused
	account.unused = 0
	return unused
}

// Rate returns the number of tokens per second that this instance can expect: at most the given one, and less the longer a requested
// loan has not come.
func (account *Account) Rate(now clock.Moment, highest float64) float64 {
	if !account.waits(now) {
		return highest
	}
	waited := float64(now.Since(account.waitsSince) / clock.Second)
	return min(highest, 1/max(waited, 1/max(highest, minRate)))
}

// waits reports whether a requested loan has not come, and the request has been repeated since.
func (account *Account) waits(now clock.Moment) bool {
	return account.waitsSince > 0 && now < account.nextRequest.Add(answerTimeout)
}

// minRate is the least rate at which an instance expects loans, in tokens per second.
const minRate = 0.01

// Queue holds the borrowers of one limit that wait for their turn. Its zero value is empty.
type Queue[Peer comparable] struct {
	waiting []request[Peer]
}

type request[Peer comparable] struct {
	peer    Peer
	tokens  int
	expires clock.Moment
}

// Add adds a request of a borrower, or replaces its earlier one without a loss of its turn.
func (queue *Queue[Peer]) Add(now clock.Moment, peer Peer, tokens int) {
	added := request[Peer]{peer: peer, tokens: tokens, expires: now.Add(queueTimeout)}
	for index := range queue.waiting {
		if queue.waiting[index].peer == peer {
			queue.waiting[index] = added
			return
		}
	}
	queue.waiting = append(queue.waiting, added)
}

// Next removes one token from the request of the borrower whose turn it is, and returns the borrower.
func (queue *Queue[Peer]) Next(now clock.Moment) (Peer, bool) {
	if queue.Empty(now) {
		var none Peer
		return none, false
	}
	first := queue.waiting[0]
	queue.waiting = slices.Delete(queue.waiting, 0, 1)
	if first.tokens--; first.tokens > 0 {
		queue.waiting = append(queue.waiting, first)
	}
	return first.peer, true
}

// Empty reports whether no borrower waits.
func (queue *Queue[Peer]) Empty(now clock.Moment) bool {
	for len(queue.waiting) > 0 && now >= queue.waiting[0].expires {
		queue.waiting = slices.Delete(queue.waiting, 0, 1)
	}
	return len(queue.waiting) == 0
}
