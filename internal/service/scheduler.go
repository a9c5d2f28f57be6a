package service

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jaywheel/jaywheel/internal/loan"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// RefusedError reports that a request was refused before it was sent to any backend server, and when a retry is expected to
// succeed.
type RefusedError struct {
	Cause error
	// RetryAfter is the time from now after which a permit is expected to be free.
	RetryAfter clock.Milliseconds
}

// Error implements error.
func (refused *RefusedError) Error() string {
	return refused.Cause.Error()
}

// Unwrap returns the cause.
func (refused *RefusedError) Unwrap() error {
	return refused.Cause
}

// SchedulerOptions configures a Scheduler.
type SchedulerOptions struct {
	Clock *clock.Clock
	Rand  *rand.Rand
	// RequestProbes is called when requests wait for targets of which it is not known that they are warm. TakeUnknown then returns
	// the targets to probe. It must not block, and may be nil.
	RequestProbes func()
}

// Scheduler grants the permits of one service at one instance by predicted completion time: each request goes to the target
// on which it is expected to finish first. While every target is full or slow, a request waits in the instance as long as it
// can still be answered before its soft deadline.
//
// Targets are expected to take several times as long for intervals of some 150 ms. A load reading that is one second old
// therefore predicts nothing, while one that is 50 ms old is the best predictor there is. Scheduler is safe for
// concurrent use.
type Scheduler struct {
	clock *clock.Clock

	mutex      sync.Mutex
	random     *rand.Rand
	candidates map[settings.TargetName]*candidate
	ordered    []*candidate
	// usableCount is the number of usable targets, usableLocal that of those in the local data centre.
	usableCount int
	usableLocal int
	waiting     rankedQueue
	// classStats holds the estimates for the requests of each class.
	classStats map[settings.ClassName]*classStats
	// meanSlowdown is the moving average of the slowdown over the readings of all warm targets.
	meanSlowdown float64
	// meanSpeed is the moving average of 1/slowdown over the same readings: the work done per unit of time, 1 on a target
	// without slowdown.
	meanSpeed float64
	// lastSlowAt is when a target was last slow. It starts at the creation of the scheduler, since nothing is known of the
	// targets then.
	lastSlowAt       clock.Moment
	slowdownModel    slowdownModel
	concurrencyModel concurrencyModel
	// ownInFlight is the number of permits in use, meanPermitDuration the moving average of the time for which one is in use.
	ownInFlight        int
	meanPermitDuration clock.Milliseconds
	// rateShare is the share of the request rate of cold and of limited targets that this instance may use.
	rateShare float64
	// borrowing is whether this instance borrows the tokens for limited targets, nextSpareLoan when it may next request one that no
	// request waits for.
	borrowing     bool
	nextSpareLoan clock.Moment
	// declarations are what targets have said of themselves, limitedTargets the usable targets with a limit in force.
	declarations   map[settings.TargetName]*declaration
	limitedTargets []*candidate
	// lastAcquire is when a permit was last requested.
	lastAcquire clock.Moment
	rankShares  rankShares
	// available indexes the targets that accept a request, reindexTimers holds the moments at which targets have to be reindexed
	// because time has passed, and compareBuffer is reused by every choice.
	available     availableTargets
	reindexTimers timerQueue[candidate]
	compareBuffer []*candidate
	unknown       unknownTargets
	// freeActiveRequests holds the records of ended requests for reuse.
	freeActiveRequests []*activeRequest
	// slowdownPeriod is the time between possible changes of slowdown, 0 until it is known; nextPeriodSearch is when the
	// next search for it is due.
	slowdownPeriod   clock.Milliseconds
	nextPeriodSearch clock.Moment
	// periodSearchFirst is the index of the target with which the next search begins.
	periodSearchFirst int
}

// Initial estimates, used until requests and readings have replaced them.
const (
	initialServiceTime = 100 * clock.Millisecond
	initialSlowdown    = 1.5
)

// NewScheduler returns a Scheduler without targets.
func NewScheduler(options SchedulerOptions) *Scheduler {
	return &Scheduler{
		lastSlowAt: options.Clock.Now(), unknown: unknownTargets{requestProbes: options.RequestProbes},
		clock: options.Clock, random: options.Rand, candidates: map[settings.TargetName]*candidate{},
		classStats: map[settings.ClassName]*classStats{}, meanSlowdown: initialSlowdown, meanSpeed: 1 / initialSlowdown, meanPermitDuration: initialServiceTime, rateShare: 1,
		declarations: map[settings.TargetName]*declaration{},
	}
}

// SetTargets replaces the configuration of all targets. A target that is missing from configs is removed; if requests of
// this instance are still in flight on it, its record is kept as unusable.
func (scheduler *Scheduler) SetTargets(configs []TargetConfig) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	configured := make(map[settings.TargetName]bool, len(configs))
	for index := range configs {
		configured[configs[index].Name] = true
		scheduler.setTarget(now, configs[index])
	}
	scheduler.ordered = slices.DeleteFunc(scheduler.ordered, func(candidate *candidate) bool {
		return !configured[candidate.Name] && scheduler.removeTarget(candidate)
	})
	scheduler.dropOldDeclarations(now)
	scheduler.countUsable()
	scheduler.reindexAll(now)
	scheduler.serveChanged(now)
}

// ChangeTargets replaces the configuration of the given targets, or adds them, and removes others. All other targets stay as they are, and
// are not indexed anew.
func (scheduler *Scheduler) ChangeTargets(configs []TargetConfig, removed []settings.TargetName) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	indexed := len(scheduler.ordered) > maxFullComparison
	for index := range configs {
		scheduler.setTarget(now, configs[index])
	}
	deleted := make(map[settings.TargetName]bool, len(removed))
	for _, name := range removed {
		candidate, known := scheduler.candidates[name]
		if !known {
			continue
		}
		deleted[name] = scheduler.removeTarget(candidate)
		scheduler.count(candidate)
		if !deleted[name] {
			scheduler.reindex(now, candidate)
		}
	}
	if len(deleted) > 0 {
		scheduler.ordered = slices.DeleteFunc(scheduler.ordered, func(candidate *candidate) bool {
			// Targets that were removed earlier may have had requests in flight until now.
			return deleted[candidate.Name] || candidate.removed && scheduler.removeTarget(candidate)
		})
	}
	scheduler.dropOldDeclarations(now)
	if indexed == (len(scheduler.ordered) > maxFullComparison) {
		for index := range configs {
			candidate := scheduler.candidates[configs[index].Name]
			scheduler.count(candidate)
			scheduler.reindex(now, candidate)
		}
	} else {
		scheduler.countUsable()
		scheduler.reindexAll(now)
	}
	scheduler.serveChanged(now)
}

// serveChanged serves or refuses the waiting requests after a change of the targets.
func (scheduler *Scheduler) serveChanged(now clock.Moment) {
	if scheduler.usableCount == 0 {
		scheduler.refuseAll(ErrNoTarget)
	}
	scheduler.serveWaiting(now)
}

// removeTarget makes a target unusable and reports whether its record is to be deleted. The record of a target with requests in flight
// is kept, so that their count survives if the target returns. A new record would start at zero, and a target that is cold again would
// then get more requests than it can run.
func (scheduler *Scheduler) removeTarget(candidate *candidate) bool {
	candidate.config.Usable, candidate.removed = false, true
	if candidate.ownInFlight > 0 {
		return false
	}
	scheduler.removeFromIndex(candidate)
	candidate.slotClass.attached--
	delete(scheduler.candidates, candidate.Name)
	return true
}

// newCandidate returns the record of a target, with all that reindex needs.
func (scheduler *Scheduler) newCandidate(now clock.Moment, config *TargetConfig) *candidate {
	candidate := &candidate{
		Target: &Target{Name: config.Name, Address: config.Address, DataCentre: config.DataCentre}, tokensAt: now, learningSince: now,
		rateShare: &scheduler.rateShare, borrowing: &scheduler.borrowing, concurrencyModel: &scheduler.concurrencyModel,
	}
	candidate.indexEntry.bucketEntry.item, candidate.indexEntry.bucketEntry.bucket = candidate, notIndexed
	candidate.indexEntry.reindexTimer.item = candidate
	scheduler.concurrencyModel.attach(candidate, config.Slots)
	return candidate
}

func (scheduler *Scheduler) setTarget(now clock.Moment, config TargetConfig) {
	existing, found := scheduler.candidates[config.Name]
	if !found {
		existing = scheduler.newCandidate(now, &config)
		scheduler.candidates[config.Name] = existing
		scheduler.ordered = append(scheduler.ordered, existing)
	}
	if config.Owned && !existing.config.Owned && found {
		existing.ownedFrom = now.Add(takeoverWait)
	}
	if !found || existing.config.Started != config.Started {
		existing.hasReading = false
	}
	existing.configureWarmth(now, &existing.config, &config, found)
	existing.refill(now)
	existing.config, existing.removed = config, false
	existing.down = existing.down && !config.Unprobed
	scheduler.attachDeclaration(existing)
	existing.concurrencyModel.attach(existing, config.Slots)
	if existing.Address != config.Address || existing.DataCentre != config.DataCentre {
		existing.Target = &Target{Name: config.Name, Address: config.Address, DataCentre: config.DataCentre}
	}
}

// A service is busy when busyShare of its concurrency limit is in flight. Other instances then need to learn the number of
// requests in flight on the targets of this instance more often than their slowdown changes: every busyProbeInterval.
const (
	busyShare         = 0.4
	busyProbeInterval = 60 * clock.Millisecond
)

// nonReportingProbeInterval is the time between probes of a target that does not report its load: a probe then only shows
// that the target is reachable and whether it is cold.
const nonReportingProbeInterval = 500 * clock.Millisecond

// A target is probed at a high rate for learnDuration to learn its slowdown cycle, and for relearnDuration when only its
// phase was lost, because the period is known then. If no cycle was found, the next attempt starts after learnRetryInterval.
const (
	relearnDuration    = 1500 * clock.Millisecond
	learnDuration      = 6 * clock.Second
	learnRetryInterval = 30 * clock.Second
)

// SetDown sets whether probes fail to reach the target, and whose probes these are. A target that is down gets no requests. It
// reports whether that has changed. A target that must not be probed is never down: no probe would find it up again.
func (scheduler *Scheduler) SetDown(name settings.TargetName, down bool, source Source) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found || candidate.down == down || down && candidate.config.Unprobed {
		return false
	}
	candidate.down, candidate.downSource = down, source
	if !down {
		candidate.consecutiveFailures = 0
		candidate.backoffUntil = 0
	}
	scheduler.reindex(scheduler.clock.Now(), candidate)
	return true
}

// ForgetFailures makes all targets available again that failed or were down: this instance could not reach them, and can now.
func (scheduler *Scheduler) ForgetFailures() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for _, candidate := range scheduler.ordered {
		candidate.down, candidate.consecutiveFailures, candidate.backoffUntil = false, 0, 0
	}
	now := scheduler.clock.Now()
	scheduler.reindexAll(now)
	scheduler.serveWaiting(now)
}

// RefuseWaiting refuses all waiting requests: this instance cannot reach the targets.
func (scheduler *Scheduler) RefuseWaiting() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.refuseAll(ErrUnreachable)
}

// DownTargets is how many targets of a service are down.
type DownTargets struct {
	// Own are those that probes of this instance fail to reach, Reported those that are down by the word of other instances, Total is
	// the number of all usable targets.
	Own, Reported, Total int
}

// DownTargets returns how many targets are down.
func (scheduler *Scheduler) DownTargets() DownTargets {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	down := DownTargets{Total: scheduler.usableCount}
	for _, candidate := range scheduler.ordered {
		switch {
		case !candidate.down || !candidate.usable():
		case candidate.downSource == FromPeer:
			down.Reported++
		default:
			down.Own++
		}
	}
	return down
}

// SetRateShare sets the share of the request rate of cold and of limited targets that this instance may use, from 0 to 1.
func (scheduler *Scheduler) SetRateShare(share float64) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if share == scheduler.rateShare {
		return
	}
	now := scheduler.clock.Now()
	for _, candidate := range scheduler.ordered {
		candidate.refill(now)
		candidate.limitAllows(now)
	}
	scheduler.rateShare = share
	scheduler.reindexAll(now)
}

// DiscardReadings drops all load readings and borrowed tokens. It is called after the process was suspended, when all of them are out of
// date.
func (scheduler *Scheduler) DiscardReadings() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for _, candidate := range scheduler.ordered {
		candidate.hasReading = false
		candidate.statedUntil = 0
	}
	for _, known := range scheduler.declarations {
		known.loans = loan.Account{}
	}
	scheduler.reindexAll(scheduler.clock.Now())
}

// Busy reports whether a permit was requested within the given time before now.
func (scheduler *Scheduler) Busy(within clock.Milliseconds) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.busyWithin(within)
}

func (scheduler *Scheduler) busyWithin(within clock.Milliseconds) bool {
	return scheduler.lastAcquire > 0 && scheduler.clock.Now().Since(scheduler.lastAcquire) < within
}

// Acquire waits for a permit. The error is a *RefusedError or the error of the context.
func (scheduler *Scheduler) Acquire(ctx context.Context, permitRequest PermitRequest) (Permit, error) {
	permit, pendingPermit, err := scheduler.AcquireOrEnqueue(permitRequest)
	if pendingPermit == nil {
		return permit, err
	}
	return pendingPermit.wait(ctx)
}

// Sweep grants permits to waiting requests whose reason to wait has ended with time: they may now start on a slow target, or
// a cold target accepts one more request. The control goroutine calls it every few milliseconds.
func (scheduler *Scheduler) Sweep() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	scheduler.endLiftedLimits(now)
	scheduler.serveWaiting(now)
	if scheduler.waiting.length > 0 {
		scheduler.requestProbes(now)
	}
}

// serveWaiting grants free permits to waiting requests, the most urgent first.
func (scheduler *Scheduler) serveWaiting(now clock.Moment) {
	if scheduler.waiting.length == 0 {
		return
	}
	scheduler.demoteOverdue(now)
	scheduler.waiting.each(func(waiter *rankedWaiter) bool {
		permit, found := scheduler.acquireNow(now, waiter)
		if !found {
			// A request that avoids a slow target or the target of its earlier attempt must not block the requests behind
			// it. If no fast target is available at all, the remaining requests need not be tried.
			return scheduler.anyFastAvailable(now)
		}
		scheduler.waiting.serve(waiter)
		waiter.done <- scheduledGrant{permit: permit}
		return true
	})
}

// refuseAll refuses all waiting requests.
func (scheduler *Scheduler) refuseAll(cause error) {
	scheduler.waiting.each(func(waiter *rankedWaiter) bool {
		scheduler.waiting.remove(waiter)
		waiter.done <- scheduledGrant{err: &RefusedError{Cause: cause, RetryAfter: retryAfterNoTarget}}
		return true
	})
}

// State returns the state of every target, in no particular order, and the number of waiting requests.
func (scheduler *Scheduler) State() ([]TargetState, int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	states := make([]TargetState, 0, len(scheduler.ordered))
	for _, candidate := range scheduler.ordered {
		state := TargetState{
			Name: candidate.Name, Address: candidate.Address, DataCentre: candidate.DataCentre, OwnInFlight: candidate.ownInFlight,
			OthersInFlight: candidate.othersInFlight(now), Limit: candidate.concurrencyLimit(), Failures: candidate.consecutiveFailures,
			Rest: max(candidate.restUntil().Since(now), 0), Leaving: candidate.leaving(),
			Usable: candidate.config.Usable, Owned: candidate.config.Owned,
			WarmthUnknown: !candidate.warmthKnown(now),
		}
		if now < candidate.coldUntil {
			state.ColdFor, state.ColdSource = candidate.coldUntil.Since(now), candidate.coldSource
		}
		if candidate.limited() {
			candidate.limitAllows(now)
			rate := candidate.declaration.rate
			state.RateLimit, state.Tokens = &rate, candidate.declaration.level
			if scheduler.borrowing {
				state.Tokens = float64(candidate.declaration.loans.Tokens(now))
			}
			state.LimitedSent, state.LimitedPeers = candidate.declaration.sentHere, len(candidate.declaration.peerSent)
			state.LimitCounted = !scheduler.borrowing
			state.LimitOmitted, state.LimitLifted = candidate.declaration.statements.omissions, !candidate.declaration.inForce()
		}
		states = append(states, state)
	}
	return states, scheduler.waiting.length
}

// Started returns the start time of the target's process that gets the request.
func (permit Permit) Started() int64 {
	return permit.started
}

// LoadReadingAge returns the age of the load reading on which the choice was based, 0 if there was none.
func (permit Permit) LoadReadingAge(now clock.Moment) clock.Milliseconds {
	if permit.LoadReading.At == 0 {
		return 0
	}
	return now.Since(permit.LoadReading.At)
}
