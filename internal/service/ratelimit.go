package service

import (
	"math"
	"slices"

	"github.com/jaywheel/jaywheel/internal/loan"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// A target may limit the requests per second that it accepts from all instances together. Every instance that serves keeps a token
// bucket for the whole fleet: it deducts its own requests, and those that the others report. All other instances borrow tokens
// (limitloan.go). Until a report arrives, other instances may use the same token; what was used too much is deducted, so the mean rate
// stays within the limit.

const (
	// limitBurstTime is the time for which unused tokens are kept, besides those that the highest threshold needs.
	limitBurstTime = 250 * clock.Millisecond
	// limitThresholdSpread is the random part of the number of tokens that a request needs. All buckets of the fleet hold the same
	// number, and without it all instances would use each token before the report of the first arrives.
	limitThresholdSpread = 0.5
	// maxLimitDebt and maxLimitDebtTime bound the debt from requests that other instances reported.
	maxLimitDebt     = 4.0
	maxLimitDebtTime = clock.Second
	// minLimitRate is the least rate at which a limited target gets requests, per second over all instances: only a response
	// shows that a target that accepted none accepts them again.
	minLimitRate = 0.2
	// liftDoubling is the time in which the rate doubles once responses no longer name a limit, for liftTime. A limit that is named again
	// in that time has hardly been exceeded.
	liftDoubling = 250 * clock.Millisecond
	liftTime     = clock.Second
)

// Probes of a limited target count against its resources as well. There are at most limitedProbeRate times the limit and
// minLimitedProbeRate more a second, preferably within limitedProbeLead before the limit admits a request, which then is sent by a
// recent reading. Without such a moment, a target is probed before its reading is stale.
const (
	limitedProbeRate    = 0.5
	minLimitedProbeRate = 0.75
	limitedProbeLead    = 120 * clock.Millisecond
	limitedProbeMaxAge  = maxReadingAge - 250*clock.Millisecond
)

// rateLimit is the limit of one target, and what this instance knows of its use.
type rateLimit struct {
	// named is whether there is a limit, liftedSince since when its rate has been raised until there is none, 0 while it is in force.
	named       bool
	rate        float64
	liftedSince clock.Moment
	// statements are the responses that arrived here or elsewhere, own those that arrived here. ownNamingNew means that one that named the
	// limit has not been reported, ownOmissionNew that one that did not has not been.
	statements, own              limitStatements
	ownNamingNew, ownOmissionNew bool
	// probesName is whether responses to probes have named the limit. Only then do probes' responses without one count.
	probesName bool
	// level is the number of tokens at the time filledAt, below 0 if too many requests were sent; threshold is the number that the
	// next request needs.
	level     float64
	threshold float64
	filledAt  clock.Moment
	// sent is the number of tokens that this instance has taken, for its own requests and for loans, peerSent that of the others by their
	// last reports. sentHere is the number of its own requests alone.
	sent     uint32
	sentHere uint32
	peerSent map[PeerKey]uint32
	// loans are the tokens that this instance has borrowed, borrowers the instances that wait for loans of this one. lendNext means
	// that the next token is lent if any waits, since the last one was used here.
	loans     loan.Account
	borrowers loan.Queue[PeerKey]
	lendNext  bool
}

func newRateLimit(now clock.Moment) rateLimit {
	return rateLimit{filledAt: now, threshold: 1, peerSent: map[PeerKey]uint32{}}
}

// inForce reports whether there is a limit that is not being lifted.
func (rateLimit *rateLimit) inForce() bool {
	return rateLimit.named && rateLimit.liftedSince == 0
}

// currentRate returns the limit in requests per second over all instances, raised while it is lifted: with time, and with each response that
// lacked it, since a limit that is named again after a pause must not have been raised meanwhile.
func (rateLimit *rateLimit) currentRate(now clock.Moment) float64 {
	if rateLimit.liftedSince == 0 {
		return rateLimit.rate
	}
	byTime := float64(min(now.Since(rateLimit.liftedSince), liftTime) / liftDoubling)
	byResponses := float64(rateLimit.statements.omissions - liftResponses)
	return max(rateLimit.rate, minLimitRate) * math.Exp2(max(min(byTime, byResponses), 0))
}

// fillRate returns the number of requests per second that this instance may send if no other does.
func (rateLimit *rateLimit) fillRate(now clock.Moment, share float64) float64 {
	return max(rateLimit.currentRate(now), minLimitRate) * share
}

// capacity returns the maximum level.
func (rateLimit *rateLimit) capacity(now clock.Moment) float64 {
	return 1 + limitThresholdSpread + rateLimit.currentRate(now)*float64(limitBurstTime/clock.Second)
}

func (rateLimit *rateLimit) refill(now clock.Moment, share float64) {
	passed := max(now.Since(rateLimit.filledAt), 0)
	rateLimit.filledAt = now
	rateLimit.level = min(rateLimit.level+rateLimit.fillRate(now, share)*float64(passed/clock.Second), rateLimit.capacity(now))
}

// deduct deducts requests that another instance has sent.
func (rateLimit *rateLimit) deduct(requests float64) {
	debt := -maxLimitDebt - rateLimit.rate*float64(maxLimitDebtTime/clock.Second)
	rateLimit.level = max(rateLimit.level-requests, min(debt, rateLimit.level))
}

// enforce puts a limit in force.
func (rateLimit *rateLimit) enforce(now clock.Moment, rate float64) {
	if !rateLimit.inForce() {
		// The requests of the last moments are not known, or more than the limit allows.
		rateLimit.level = min(rateLimit.level, 0)
		rateLimit.filledAt = now
	}
	rateLimit.named, rateLimit.rate, rateLimit.liftedSince = true, rate, 0
	rateLimit.level = min(rateLimit.level, rateLimit.capacity(now))
}

// restart puts a limit in force whose use, and whose end, this instance did not follow.
func (rateLimit *rateLimit) restart(now clock.Moment, share float64) {
	rateLimit.refill(now, share)
	rateLimit.level = min(rateLimit.level, 0)
	if rateLimit.named {
		rateLimit.liftedSince, rateLimit.statements.unnamedSince, rateLimit.statements.omissions = 0, 0, 0
	}
}

// limited reports whether the target names a limit.
func (candidate *candidate) limited() bool {
	return candidate.declaration != nil && candidate.declaration.named
}

// limitAllows reports whether the limit of the target admits one more request now.
func (candidate *candidate) limitAllows(now clock.Moment) bool {
	if !candidate.limited() {
		return true
	}
	declaration := candidate.declaration
	if *candidate.borrowing {
		return declaration.loans.Available(now)
	}
	declaration.refill(now, *candidate.rateShare)
	return declaration.level >= declaration.threshold && (!declaration.lendNext || declaration.borrowers.Empty(now))
}

// limitAllowsAt returns when the limit next admits a request, or the value never if it admits one now or if that does not depend on time
// alone.
func (candidate *candidate) limitAllowsAt(now clock.Moment) clock.Moment {
	if candidate.limitAllows(now) || *candidate.borrowing {
		return never
	}
	declaration := candidate.declaration
	if declaration.level >= declaration.threshold {
		return never
	}
	return now.Add(clock.Milliseconds((declaration.threshold-declaration.level)/declaration.fillRate(now, *candidate.rateShare)) * clock.Second)
}

// countSent counts a request that is sent to the target.
func (scheduler *Scheduler) countSent(now clock.Moment, candidate *candidate) {
	if !candidate.limited() {
		return
	}
	candidate.declaration.sentHere++
	if scheduler.borrowing {
		candidate.declaration.loans.Spend()
		return
	}
	candidate.declaration.lendNext = true
	scheduler.takeToken(now, candidate)
}

// takeToken takes a token from the bucket of a limited target.
func (scheduler *Scheduler) takeToken(now clock.Moment, candidate *candidate) {
	declaration := candidate.declaration
	declaration.threshold = 1 + limitThresholdSpread*scheduler.random.Float64()
	declaration.refill(now, *candidate.rateShare)
	declaration.level--
	declaration.sent++
	declaration.unreportedCount = true
}

// observeLimit applies what a response says of the target's limit. A limit that is not understood changes nothing.
func (scheduler *Scheduler) observeLimit(now clock.Moment, candidate *candidate, statement Statement, change *StatementChange) {
	switch stated := statement.Limit; {
	case stated.Named:
		declaration := scheduler.declarationOf(now, candidate)
		declaration.probesName = declaration.probesName || change.Source == FromProbe
		if declaration.own.name(statement.At) {
			declaration.ownNamingNew = true
		}
		scheduler.nameLimit(now, candidate, statement.At, stated.Rate, change)
	case stated.Absent && candidate.limited():
		declaration := candidate.declaration
		uncertain := change.Source == FromProbe && !declaration.probesName
		// The target may have decided on its response before it named its limit elsewhere.
		older := statement.SentAt != 0 && statement.SentAt < declaration.statements.named
		if uncertain || older {
			return
		}
		declaration.own.omit(statement.At)
		declaration.ownOmissionNew = true
		scheduler.omitLimit(now, candidate, statement.At, change)
	}
}

// nameLimit puts a limit in force that a response named, here or at another instance, unless a newer one said otherwise.
func (scheduler *Scheduler) nameLimit(now clock.Moment, candidate *candidate, at clock.Moment, rate float64, change *StatementChange) {
	declaration := candidate.declaration
	if !declaration.statements.name(at) || declaration.inForce() && declaration.rate == rate {
		return
	}
	change.Limited, change.Rate = true, rate
	declaration.refill(now, *candidate.rateShare)
	declaration.enforce(now, rate)
	scheduler.limitChanged(now, candidate)
}

// omitLimit adds a response without the target's limit, which arrived here or at another instance, and begins to lift the limit if there
// have been enough. An instance that borrows is not told of all responses and leaves that to its lender.
func (scheduler *Scheduler) omitLimit(now clock.Moment, candidate *candidate, at clock.Moment, change *StatementChange) {
	declaration := candidate.declaration
	declaration.statements.omit(at)
	if scheduler.borrowing || !declaration.inForce() || !declaration.statements.lifted(declaration.rate) {
		return
	}
	change.Unlimited = true
	declaration.refill(now, *candidate.rateShare)
	declaration.liftedSince = now
	scheduler.limitChanged(now, candidate)
}

// endLiftedLimits ends the limits whose rate has been raised for liftTime without a response that names them.
func (scheduler *Scheduler) endLiftedLimits(now clock.Moment) {
	for _, candidate := range slices.Clone(scheduler.limitedTargets) {
		declaration := candidate.declaration
		raised := declaration.liftedSince > 0 && now.Since(declaration.liftedSince) >= liftTime
		if raised && declaration.statements.omissions >= endResponses {
			scheduler.endLimit(now, candidate)
		}
	}
}

func (scheduler *Scheduler) endLimit(now clock.Moment, candidate *candidate) {
	declaration := candidate.declaration
	declaration.named, declaration.liftedSince = false, 0
	// A response that named the limit must not be reported any more.
	declaration.own = limitStatements{}
	scheduler.limitChanged(now, candidate)
}

func (scheduler *Scheduler) limitChanged(now clock.Moment, candidate *candidate) {
	candidate.declaration.unreported = true
	scheduler.countUsable()
	scheduler.reindex(now, candidate)
	scheduler.serveWaiting(now)
}

// countUsable counts the usable targets, and lists those of them that name a limit.
func (scheduler *Scheduler) countUsable() {
	scheduler.usableCount, scheduler.usableLocal = 0, 0
	scheduler.limitedTargets = scheduler.limitedTargets[:0]
	for _, candidate := range scheduler.ordered {
		candidate.counted = countedTarget{}
		scheduler.count(candidate)
	}
}

// countedTarget is how a target is included in the counts of a Scheduler.
type countedTarget struct {
	usable, local, limited bool
}

// count updates the numbers of usable targets, and the targets with a limit, after a change of one target.
func (scheduler *Scheduler) count(candidate *candidate) {
	before := candidate.counted
	usable := candidate.usable()
	now := countedTarget{usable: usable, local: usable && candidate.config.Local, limited: usable && candidate.limited()}
	candidate.counted = now
	scheduler.usableCount += difference(before.usable, now.usable)
	scheduler.usableLocal += difference(before.local, now.local)
	switch difference(before.limited, now.limited) {
	case 1:
		scheduler.limitedTargets = append(scheduler.limitedTargets, candidate)
	case -1:
		position := slices.Index(scheduler.limitedTargets, candidate)
		scheduler.limitedTargets = slices.Delete(scheduler.limitedTargets, position, position+1)
	}
}

// difference returns by how much a count changes that a target was included in before, and is now.
func difference(before, now bool) int {
	switch {
	case before == now:
		return 0
	case now:
		return 1
	default:
		return -1
	}
}

// allLimited reports whether all usable targets name a limit.
func (scheduler *Scheduler) allLimited() bool {
	return len(scheduler.limitedTargets) > 0 && len(scheduler.limitedTargets) == scheduler.usableCount
}

// limitedWait returns the expected wait of the last of the given number of requests if all usable targets name a limit, else 0.
func (scheduler *Scheduler) limitedWait(now clock.Moment, requests int) clock.Milliseconds {
	if !scheduler.allLimited() {
		return 0
	}
	rate, level := 0.0, 0.0
	for _, candidate := range scheduler.limitedTargets {
		declaration := candidate.declaration
		full := declaration.fillRate(now, *candidate.rateShare)
		if scheduler.borrowing {
			level += float64(declaration.loans.Tokens(now))
			rate += declaration.loans.Rate(now, full)
			continue
		}
		candidate.limitAllows(now)
		level += min(declaration.level, 1)
		rate += full
	}
	return clock.Milliseconds(max(float64(requests)-level, 0)/rate) * clock.Second
}

// MinProbeInterval returns the shortest time between two probes of the target by all instances together.
func (scheduler *Scheduler) MinProbeInterval(name settings.TargetName) clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found {
		return 0
	}
	if candidate.leaving() {
		return leavingProbeInterval
	}
	if !candidate.limited() {
		return 0
	}
	return clock.Second / clock.Milliseconds(limitedProbeRate*candidate.declaration.currentRate(scheduler.clock.Now())+minLimitedProbeRate)
}

// ProbeDue reports whether the target should be probed now, provided that MinProbeInterval has passed since the last probe.
func (scheduler *Scheduler) ProbeDue(name settings.TargetName) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found {
		return true
	}
	now := scheduler.clock.Now()
	if now < candidate.restUntil() {
		return false
	}
	if !candidate.limited() {
		return true
	}
	next := candidate.limitAllowsAt(now)
	return next == never || next.Since(now) <= limitedProbeLead || !candidate.hasReading || now.Since(candidate.reading.At) >= limitedProbeMaxAge
}
