package service

import (
	"cmp"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const (
	// declarationRefreshInterval is how often an instance repeats an unchanged declaration to others, some of which may be new.
	declarationRefreshInterval = 500 * clock.Millisecond
	// changeRepeatTime is how long an instance that borrows repeats a changed statement, since datagrams may be lost.
	changeRepeatTime = 2 * clock.Second
	// declarationRetention is how long the declaration of a target is kept that is no longer configured: its entry may only have
	// lapsed.
	declarationRetention = 5 * clock.Minute
)

// PeerKey identifies the process of another instance.
type PeerKey uint64

// declaration is what a process of a target has said of itself. It is kept while the target's record is not.
type declaration struct {
	rateLimit

	// started is the start time of the process.
	started int64
	// restUntil is when the target accepts requests of this instance again.
	restUntil clock.Moment
	// leaving is whether the process is about to stop. It does not return from that.
	leaving bool
	// unreported is whether a statement has changed since the last report, unreportedCount whether the number of requests has, and
	// nextReport when the report is repeated.
	unreported      bool
	unreportedCount bool
	nextReport      clock.Moment
	// repeatUntil is the time until which a changed statement is repeated by an instance that borrows.
	repeatUntil clock.Moment
	// removedAt is when the target was found to be no longer configured, 0 while it is.
	removedAt clock.Moment
}

// attachDeclaration gives a candidate what its target said before, and drops what an earlier process of the target said.
func (scheduler *Scheduler) attachDeclaration(candidate *candidate) {
	known, found := scheduler.declarations[candidate.Name]
	if found && known.started != candidate.config.Started {
		delete(scheduler.declarations, candidate.Name)
		known = nil
	}
	candidate.declaration = known
}

// declarationOf returns the declaration of a candidate, created if there is none.
func (scheduler *Scheduler) declarationOf(now clock.Moment, candidate *candidate) *declaration {
	if candidate.declaration == nil {
		candidate.declaration = &declaration{started: candidate.config.Started, rateLimit: newRateLimit(now)}
		scheduler.declarations[candidate.Name] = candidate.declaration
	}
	return candidate.declaration
}

// dropOldDeclarations drops the declarations of targets that have not been configured for declarationRetention.
func (scheduler *Scheduler) dropOldDeclarations(now clock.Moment) {
	for name, known := range scheduler.declarations {
		_, configured := scheduler.candidates[name]
		switch {
		case configured:
			known.removedAt = 0
		case known.removedAt == 0:
			known.removedAt = now
		case now.Since(known.removedAt) > declarationRetention:
			delete(scheduler.declarations, name)
		}
	}
}

// DeclarationReport tells other instances what a target has said of itself, and of the requests sent to it.
type DeclarationReport struct {
	Target  settings.TargetName
	Started int64
	// Observed reports that this instance itself received a response that named the limit or lacked it, at StatedAt; Limited is whether it
	// named it, and Rate the limit.
	Observed, Limited bool
	Rate              float64
	StatedAt          clock.Moment
	// Leaving reports that the process of the target is about to stop.
	Leaving bool
	// Sent is the number of requests that this instance has sent or lent while the target was limited, from an arbitrary start.
	Sent uint32
	// Changed means that a statement has changed, and not only the number of requests; Repeated that none has changed for a while.
	Changed, Repeated bool
}

// DeclarationReports returns what is to be reported to other instances now.
func (scheduler *Scheduler) DeclarationReports(now clock.Moment) []DeclarationReport {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var reports []DeclarationReport
	for name, known := range scheduler.declarations {
		if !known.reportDue(now, scheduler.borrowing) {
			continue
		}
		changed, repeated := known.unreported, !known.unreported && now >= known.nextReport
		if changed {
			known.repeatUntil = now.Add(changeRepeatTime)
		}
		known.unreported, known.unreportedCount = false, false
		if changed || repeated {
			known.nextReport = now.Add(declarationRefreshInterval)
		}
		report := DeclarationReport{
			Target: name, Started: known.started, Rate: known.rate, Leaving: known.leaving, Sent: known.sent, Changed: changed, Repeated: repeated,
		}
		report.Limited, report.StatedAt = known.takeOwnStatement()
		report.Observed = report.StatedAt > 0
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(left, right DeclarationReport) int { return cmp.Compare(left.Target, right.Target) })
	return reports
}

// takeOwnStatement returns whether the response to report named the limit, and when it arrived, 0 if there is none. One that named it goes
// before newer ones that did not, which are reported next: others must not count these without it. Each of these is reported once.
func (rateLimit *rateLimit) takeOwnStatement() (named bool, at clock.Moment) {
	own := &rateLimit.own
	switch {
	case rateLimit.ownNamingNew || own.unnamed <= own.named:
		rateLimit.ownNamingNew = false
		return own.named > 0, own.named
	case rateLimit.ownOmissionNew:
		rateLimit.ownOmissionNew = false
		return false, own.unnamed
	default:
		return false, 0
	}
}

// reportDue reports whether others are to be told. An instance that borrows tells them only what is new.
func (declaration *declaration) reportDue(now clock.Moment, borrowing bool) bool {
	if declaration.removedAt > 0 {
		return false
	}
	due := now >= declaration.nextReport
	if borrowing {
		return declaration.unreported || declaration.ownOmissionNew || due && (declaration.ownNamingNew || now < declaration.repeatUntil)
	}
	return declaration.unreported || declaration.unreportedCount || due && (declaration.named || declaration.leaving)
}

// ReceiveDeclaration applies the report of another instance.
func (scheduler *Scheduler) ReceiveDeclaration(peer PeerKey, report DeclarationReport) StatementChange {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[report.Target]
	if !found || candidate.config.Started != report.Started {
		return StatementChange{}
	}
	now := scheduler.clock.Now()
	declaration := scheduler.declarationOf(now, candidate)
	change := StatementChange{Target: candidate.Name, Source: FromPeer}
	if report.Leaving {
		scheduler.setLeaving(now, candidate, &change)
	}
	switch {
	case !report.Observed:
	case report.Limited:
		scheduler.nameLimit(now, candidate, report.StatedAt, report.Rate, &change)
		if change.Limited {
			// What this instance received is older.
			declaration.own = limitStatements{}
		}
	case declaration.named:
		scheduler.omitLimit(now, candidate, report.StatedAt, &change)
	}
	before, known := declaration.peerSent[peer]
	// The counter may overflow, and datagrams may arrive in another order than they were sent.
	sent := int32(report.Sent - before)
	if known && sent <= 0 {
		return change
	}
	declaration.peerSent[peer] = report.Sent
	if known {
		declaration.refill(now, *candidate.rateShare)
		declaration.deduct(float64(sent))
		scheduler.reindex(now, candidate)
	}
	return change
}
