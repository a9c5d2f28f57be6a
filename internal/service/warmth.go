package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// warmth is what is known of whether a target is cold.
type warmth struct {
	// coldUntil is when the target becomes warm and coldSince when it was found to be cold, by the word of coldSource.
	coldUntil, coldSince clock.Moment
	coldSource           Source
	// statedAt is the time of the last statement of a probe, 0 if there is none.
	statedAt clock.Moment
	// statedUntil is how long the last statement of a probe, of this instance or of another, on whether the target is cold is valid; 0
	// if there is none.
	statedUntil clock.Moment
	// nextProbeRequest is when a probe of the target may next be requested because its state is unknown.
	nextProbeRequest clock.Moment
	// sentCold is the number of requests that were sent while the target was cold or of unknown state, since the last report.
	sentCold int
}

// setColdUntil records that the target becomes warm at the given moment, as found at the moment at.
func (warmth *warmth) setColdUntil(at, until clock.Moment, source Source) {
	if until > at && at >= warmth.coldUntil {
		warmth.coldSince = at
	}
	warmth.coldUntil = until
	warmth.coldSource = source
}

// observeWarmth records what a reading tells about whether the target is cold, even if an answer has told its load since.
func (warmth *warmth) observeWarmth(reading *LoadReading) {
	at := reading.At.Add(-reading.Delay)
	if reading.Source == FromAnswer || reading.ColdUnclear || at < warmth.statedAt {
		return
	}
	warmth.statedAt = at
	warmth.statedUntil = at.Add(statementValidity(reading.Source))
	if reading.ColdKnown {
		// A target that was cold may still be, for as long as it said when the reading was handled.
		warmth.setColdUntil(at, reading.At.Add(reading.ColdFor), reading.Source)
	}
}

// statementValidity returns how long the statement of a probe on whether a target is cold is valid. No other follows a single probe by
// itself, and many instances may probe the same target once, so that its validity is short.
func statementValidity(source Source) clock.Milliseconds {
	if source == FromCheck {
		return checkValidity
	}
	return maxReadingAge
}

// checkValidity is the validity of a FromCheck statement.
const checkValidity = 500 * clock.Millisecond

// configureWarmth records what a new configuration tells about whether the target is cold.
func (warmth *warmth) configureWarmth(now clock.Moment, before, config *TargetConfig, found bool) {
	coldUntil := now.Add(config.ColdFor)
	switch {
	case !found || before.Started != config.Started:
		warmth.setColdUntil(now, coldUntil, FromCatalog)
		warmth.statedUntil = 0
	case config.ColdFor != before.ColdFor && coldUntil > max(warmth.coldUntil, now):
		warmth.setColdUntil(now, coldUntil, FromCatalog)
	}
	if config.Usable && !before.Usable {
		// The target may have become cold while it got no requests.
		warmth.statedUntil = 0
	}
}

// ColdTarget is a target that is cold, or of which it is not known whether it is.
type ColdTarget struct {
	Name  settings.TargetName
	Owned bool
	// Cold is false if it is only not known that the target is warm.
	Cold bool
	// Source is by whose word the target is cold, Since for how long it has been and Remaining how long it still is.
	Source           Source
	Since, Remaining clock.Milliseconds
	// Sent is the number of requests that this instance has sent to it in this state since the last report.
	Sent int
}

// ColdReport is what a scheduler knows of cold targets.
type ColdReport struct {
	// Targets are those that are cold and those of unknown state that were sent requests.
	Targets []ColdTarget
	// Cold, Unknown and Total are the numbers of usable targets that are cold, of unknown state, and of all.
	Cold, Unknown, Total int
}

// ReportCold returns what is known of cold targets, and resets the counts of requests that were sent to them.
func (scheduler *Scheduler) ReportCold() ColdReport {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	report := ColdReport{Total: scheduler.usableCount}
	for _, candidate := range scheduler.ordered {
		cold, unknown := now < candidate.coldUntil, !candidate.warmthKnown(now)
		if candidate.usable() {
			switch {
			case cold:
				report.Cold++
			case unknown:
				report.Unknown++
			}
		}
		if candidate.sentCold == 0 && (!cold || !candidate.usable()) {
			continue
		}
		target := ColdTarget{Name: candidate.Name, Owned: candidate.config.Owned, Cold: cold, Sent: candidate.sentCold}
		candidate.sentCold = 0
		if cold {
			target.Source, target.Since, target.Remaining = candidate.coldSource, now.Since(candidate.coldSince), candidate.coldUntil.Since(now)
		}
		report.Targets = append(report.Targets, target)
	}
	return report
}

// mayBeCold reports whether the target gets requests of its owner alone, at its cold rate: because it is cold, or because it is not
// known to be warm.
func (candidate *candidate) mayBeCold(now clock.Moment) bool {
	return now < candidate.coldUntil || !candidate.warmthKnown(now)
}

// warmthKnown reports whether it is known from a recent probe whether the target is cold. An answer to a request does not tell. Of a target
// that must not be probed, nobody ever learns more than its configuration tells.
func (candidate *candidate) warmthKnown(now clock.Moment) bool {
	return candidate.config.Unprobed || now < candidate.statedUntil
}
