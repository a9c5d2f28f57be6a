package service

import (
	"cmp"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// A target may limit the requests per second that it accepts from all instances together. Every instance keeps a token bucket
// for the whole fleet: it deducts its own requests, and those that the others report. Until a report arrives, other instances
// may use the same token; what was used too much is deducted, so the mean rate stays within the limit.

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
	// limitRefreshInterval is how often an instance repeats an unchanged limit to others, some of which may be new.
	limitRefreshInterval = 500 * clock.Millisecond
	// withdrawalReportTime is how long a withdrawn limit is reported to other instances.
	withdrawalReportTime = 2 * clock.Second
	// limitRetention is how long the limit of a target is kept that is no longer configured: its entry may only have lapsed.
	limitRetention = 5 * clock.Minute
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

// PeerKey identifies the process of another instance.
type PeerKey uint64

// rateLimit is the limit of one target, and what this instance knows of its use. It is kept while the target's record is not.
type rateLimit struct {
	// started is the start time of the process of the target that named the limit.
	started int64
	// named is whether the limit is in force.
	named bool
	rate  float64
	// statedAt is when the newest response that named or withdrew the limit arrived, here or at another instance. observed is
	// whether it arrived here.
	statedAt clock.Moment
	observed bool
	// probesName is whether responses to probes have named the limit. Only then does a probe's response without one withdraw it.
	probesName bool
	// level is the number of tokens at the time filledAt, below 0 if too many requests were sent; threshold is the number that the
	// next request needs.
	level     float64
	threshold float64
	filledAt  clock.Moment
	// sent is the number of requests that this instance has sent, peerSent that of the others by their last reports.
	sent     uint32
	peerSent map[PeerKey]uint32
	// unreported is whether something has changed since the last report, nextReport when it is repeated.
	unreported bool
	nextReport clock.Moment
	// removedAt is when the target was found to be no longer configured, 0 while it is.
	removedAt clock.Moment
}

// fillRate returns the number of requests per second that this instance may send if no other does.
func (rateLimit *rateLimit) fillRate(share float64) float64 {
	return max(rateLimit.rate, minLimitRate) * share
}

// capacity returns the maximum level.
func (rateLimit *rateLimit) capacity() float64 {
	return 1 + limitThresholdSpread + rateLimit.rate*float64(limitBurstTime/clock.Second)
}

func (rateLimit *rateLimit) refill(now clock.Moment, share float64) {
	passed := max(now.Since(rateLimit.filledAt), 0)
	rateLimit.filledAt = now
	rateLimit.level = min(rateLimit.level+rateLimit.fillRate(share)*float64(passed/clock.Second), rateLimit.capacity())
}

// deduct deducts requests that another instance has sent.
func (rateLimit *rateLimit) deduct(requests float64) {
	debt := -maxLimitDebt - rateLimit.rate*float64(maxLimitDebtTime/clock.Second)
	rateLimit.level = max(rateLimit.level-requests, min(debt, rateLimit.level))
}

// name puts a limit in force.
func (rateLimit *rateLimit) name(now clock.Moment, rate float64) {
	if !rateLimit.named {
		// The requests of the last moments are not known.
		rateLimit.level = min(rateLimit.level, 0)
		rateLimit.filledAt = now
	}
	rateLimit.named, rateLimit.rate = true, rate
	rateLimit.level = min(rateLimit.level, rateLimit.capacity())
}

// limited reports whether the target names a limit.
func (candidate *candidate) limited() bool {
	return candidate.rateLimit != nil && candidate.rateLimit.named
}

// limitAllows reports whether the limit of the target admits one more request now.
func (candidate *candidate) limitAllows(now clock.Moment) bool {
	if !candidate.limited() {
		return true
	}
	candidate.rateLimit.refill(now, *candidate.rateShare)
	return candidate.rateLimit.level >= candidate.rateLimit.threshold
}

// limitAllowsAt returns when the limit next admits a request, or the value never if it admits one now.
func (candidate *candidate) limitAllowsAt(now clock.Moment) clock.Moment {
	if candidate.limitAllows(now) {
		return never
	}
	rateLimit := candidate.rateLimit
	return now.Add(clock.Milliseconds((rateLimit.threshold-rateLimit.level)/rateLimit.fillRate(*candidate.rateShare)) * clock.Second)
}

// countSent counts a request that is sent to the target.
func (scheduler *Scheduler) countSent(now clock.Moment, candidate *candidate) {
	if !candidate.limited() {
		return
	}
	rateLimit := candidate.rateLimit
	rateLimit.threshold = 1 + limitThresholdSpread*scheduler.random.Float64()
	rateLimit.refill(now, *candidate.rateShare)
	rateLimit.level--
	rateLimit.sent++
	rateLimit.unreported = true
}

// attachLimit gives a candidate the limit that its target named before, and drops the limit of an earlier process of the target.
func (scheduler *Scheduler) attachLimit(candidate *candidate) {
	known, found := scheduler.rateLimits[candidate.Name]
	if found && known.started != candidate.config.Started {
		delete(scheduler.rateLimits, candidate.Name)
		known = nil
	}
	candidate.rateLimit = known
}

// limitOf returns the limit of a candidate, created if there is none.
func (scheduler *Scheduler) limitOf(now clock.Moment, candidate *candidate) *rateLimit {
	if candidate.rateLimit == nil {
		candidate.rateLimit = &rateLimit{started: candidate.config.Started, filledAt: now, threshold: 1, peerSent: map[PeerKey]uint32{}}
		scheduler.rateLimits[candidate.Name] = candidate.rateLimit
	}
	return candidate.rateLimit
}

// dropOldLimits drops the limits of targets that have not been configured for limitRetention.
func (scheduler *Scheduler) dropOldLimits(now clock.Moment) {
	for name, known := range scheduler.rateLimits {
		_, configured := scheduler.candidates[name]
		switch {
		case configured:
			known.removedAt = 0
		case known.removedAt == 0:
			known.removedAt = now
		case now.Since(known.removedAt) > limitRetention:
			delete(scheduler.rateLimits, name)
		}
	}
}

// observeLimit applies what a response says of the target's limit. A limit that is not understood changes nothing.
func (scheduler *Scheduler) observeLimit(candidate *candidate, statement Statement, source Source) StatementChange {
	stated := statement.Limit
	if !stated.Named && (!stated.Absent || !candidate.limited()) {
		return StatementChange{}
	}
	now := scheduler.clock.Now()
	rateLimit := scheduler.limitOf(now, candidate)
	if statement.At < rateLimit.statedAt || !stated.Named && source == FromProbe && !rateLimit.probesName {
		return StatementChange{}
	}
	rateLimit.probesName = rateLimit.probesName || stated.Named && source == FromProbe
	rateLimit.observed = true
	change := scheduler.setLimit(now, candidate, statement.At, stated.Named, stated.Rate)
	change.Source = source
	rateLimit.unreported = rateLimit.unreported || change.Changed()
	return change
}

// setLimit puts a limit in force, or withdraws it.
func (scheduler *Scheduler) setLimit(now clock.Moment, candidate *candidate, statedAt clock.Moment, named bool, rate float64) StatementChange {
	rateLimit := candidate.rateLimit
	rateLimit.statedAt = statedAt
	if rateLimit.named == named && rateLimit.rate == rate {
		return StatementChange{}
	}
	change := StatementChange{Target: candidate.Name, Limited: named, Unlimited: !named && rateLimit.named, Rate: rate}
	if named {
		rateLimit.refill(now, *candidate.rateShare)
		rateLimit.name(now, rate)
	} else {
		rateLimit.named = false
	}
	scheduler.countLimited()
	scheduler.reindex(now, candidate)
	scheduler.serveWaiting(now)
	return change
}

// countLimited lists the usable targets that name a limit.
func (scheduler *Scheduler) countLimited() {
	scheduler.limitedTargets = scheduler.limitedTargets[:0]
	for _, candidate := range scheduler.ordered {
		if candidate.config.Usable && candidate.limited() {
			scheduler.limitedTargets = append(scheduler.limitedTargets, candidate)
		}
	}
}

// limitedWait returns the expected wait of the last of the given number of requests if all usable targets name a limit, else 0.
func (scheduler *Scheduler) limitedWait(now clock.Moment, requests int) clock.Milliseconds {
	if len(scheduler.limitedTargets) == 0 || len(scheduler.limitedTargets) < scheduler.usableCount {
		return 0
	}
	rate, level := 0.0, 0.0
	for _, candidate := range scheduler.limitedTargets {
		candidate.limitAllows(now)
		level += min(candidate.rateLimit.level, 1)
		rate += candidate.rateLimit.fillRate(*candidate.rateShare)
	}
	return clock.Milliseconds(max(float64(requests)-level, 0)/rate) * clock.Second
}

// MinProbeInterval returns the shortest time between two probes of the target by all instances together.
func (scheduler *Scheduler) MinProbeInterval(name settings.TargetName) clock.Milliseconds {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found || !candidate.limited() {
		return 0
	}
	return clock.Second / clock.Milliseconds(limitedProbeRate*candidate.rateLimit.rate+minLimitedProbeRate)
}

// ProbeDue reports whether the target should be probed now, provided that MinProbeInterval has passed since the last probe.
func (scheduler *Scheduler) ProbeDue(name settings.TargetName) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found || !candidate.limited() {
		return true
	}
	now := scheduler.clock.Now()
	next := candidate.limitAllowsAt(now)
	return next == never || next.Since(now) <= limitedProbeLead || !candidate.hasReading || now.Since(candidate.reading.At) >= limitedProbeMaxAge
}

// LimitReport tells other instances of a target's limit and of the requests sent to it.
type LimitReport struct {
	Target  settings.TargetName
	Started int64
	// Stated reports that this instance received the statement itself; Named is whether the limit is in force, Rate the limit
	// and StatedAt when the statement arrived.
	Stated, Named bool
	Rate          float64
	StatedAt      clock.Moment
	// Sent is the number of requests that this instance has sent, from an arbitrary start.
	Sent uint32
}

// LimitReports returns what is to be reported to other instances now.
func (scheduler *Scheduler) LimitReports(now clock.Moment) []LimitReport {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var reports []LimitReport
	for name, known := range scheduler.rateLimits {
		recent := known.named || now.Since(known.statedAt) < withdrawalReportTime
		if known.removedAt > 0 || !known.unreported && (!recent || now < known.nextReport) {
			continue
		}
		known.unreported = false
		known.nextReport = now.Add(limitRefreshInterval)
		reports = append(reports, LimitReport{
			Target: name, Started: known.started, Stated: known.observed, Named: known.named, Rate: known.rate, StatedAt: known.statedAt, Sent: known.sent,
		})
	}
	slices.SortFunc(reports, func(left, right LimitReport) int { return cmp.Compare(left.Target, right.Target) })
	return reports
}

// ReceiveLimitReport applies the report of another instance.
func (scheduler *Scheduler) ReceiveLimitReport(peer PeerKey, report LimitReport) StatementChange {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[report.Target]
	if !found || candidate.config.Started != report.Started {
		return StatementChange{}
	}
	now := scheduler.clock.Now()
	rateLimit := scheduler.limitOf(now, candidate)
	var change StatementChange
	if report.Stated && report.StatedAt > rateLimit.statedAt {
		if report.Named != rateLimit.named || report.Rate != rateLimit.rate {
			rateLimit.observed = false
		}
		change = scheduler.setLimit(now, candidate, report.StatedAt, report.Named, report.Rate)
		change.Source = FromPeer
	}
	before, known := rateLimit.peerSent[peer]
	// The counter may overflow, and datagrams may arrive in another order than they were sent.
	sent := int32(report.Sent - before)
	if known && sent <= 0 {
		return change
	}
	rateLimit.peerSent[peer] = report.Sent
	if known {
		rateLimit.refill(now, *candidate.rateShare)
		rateLimit.deduct(float64(sent))
		scheduler.reindex(now, candidate)
	}
	return change
}
