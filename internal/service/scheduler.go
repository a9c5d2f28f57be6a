package service

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// RefusedError says that a request was refused without having been sent anywhere, and when room is expected.
type RefusedError struct {
	Cause error
	// RetryAfter is how long from now room is expected.
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

// SchedulerOptions are what a Scheduler is made from.
type SchedulerOptions struct {
	Clock *clock.Clock
	Rand  *rand.Rand
}

// Scheduler gives out the places of one service at one instance by prediction: each request goes to the target on which
// it is expected to be finished first, and waits here while every target is full or slow and waiting still lets it be in
// time. It answers the load in which targets slow down several times over for spells of some 150 ms: what a target did a
// second ago says nothing, what it said 50 ms ago says most of what there is to know. It is safe for concurrent use.
type Scheduler struct {
	clock *clock.Clock

	mutex       sync.Mutex
	random      *rand.Rand
	candidates  map[settings.TargetName]*candidate
	ordered     []*candidate
	usableCount int
	waiting     rankedQueue
	// work is the usual time of a request on a fast target, by class; size is the usual length of its answer.
	classStats map[settings.ClassName]*classStats
	// meanSlowdown is the average over all readings.
	meanSlowdown float64
	// meanSpeed is the average over all readings of the work done in a unit of time, 1 on a fast target.
	meanSpeed float64
	// slowAt is when a target last was slow, or might have been: nothing is known at first.
	lastSlowAt       clock.Moment
	slowdownModel    slowdownModel
	concurrencyModel concurrencyModel
	// own is the number of places taken, meanHold how long one is taken.
	ownInFlight int
	meanHold clock.Milliseconds
	// coldShare is the part of what cold targets bear that this instance may use.
	coldShare float64
	// lastTake is when a request last asked for a place.
	lastAcquire clock.Moment
	startShares startShares
	// open lists targets that are open, changes is when time changes how they are filed, compared is used again by each choice.
	available     availableTargets
	reindexTimers timerQueue[candidate]
	compareBuffer []*candidate
	// flights are the records of ended requests, for those to come.
	freeActiveRequests []*activeRequest
	// period is the time between changes of slowness, 0 until it is known; nextSearch is when it is looked for again.
	slowdownPeriod   clock.Milliseconds
	nextPeriodSearch clock.Moment
}

// First guesses, until requests have told better.
const (
	initialServiceTime = 100 * clock.Millisecond
	initialSlowdown    = 1.5
)

// NewScheduler returns a Scheduler without targets.
func NewScheduler(options SchedulerOptions) *Scheduler {
	return &Scheduler{
		lastSlowAt: options.Clock.Now(),
		clock:      options.Clock, random: options.Rand, candidates: map[settings.TargetName]*candidate{},
		classStats: map[settings.ClassName]*classStats{}, meanSlowdown: initialSlowdown, meanSpeed: 1 / initialSlowdown, meanHold: initialServiceTime, coldShare: 1,
	}
}

// SetTargets replaces what the control goroutine says of targets. Targets that are no longer offered are forgotten, but
// for the count of what is in flight on them.
func (scheduler *Scheduler) SetTargets(configs []TargetConfig) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	kept := make(map[settings.TargetName]bool, len(configs))
	scheduler.usableCount = 0
	for index := range configs {
		kept[configs[index].Name] = true
		scheduler.setTarget(now, configs[index])
		if configs[index].Usable {
			scheduler.usableCount++
		}
	}
	remaining := scheduler.ordered[:0]
	for _, candidate := range scheduler.ordered {
		if !kept[candidate.Name] {
			candidate.config.Usable = false
			// A target that comes back while requests are in flight on it keeps their count: a fresh record would start
			// at zero, and one that is cold again would be given more than it bears.
			if candidate.ownInFlight == 0 {
				scheduler.removeFromIndex(candidate)
				delete(scheduler.candidates, candidate.Name)
				continue
			}
		}
		remaining = append(remaining, candidate)
	}
	clear(scheduler.ordered[len(remaining):])
	scheduler.ordered = remaining
	scheduler.reindexAll(now)
	if scheduler.usableCount == 0 {
		scheduler.refuseAll(ErrNoTarget)
	}
	scheduler.serveWaiting(now)
}

func (scheduler *Scheduler) setTarget(now clock.Moment, config TargetConfig) {
	existing, found := scheduler.candidates[config.Name]
	if !found {
		existing = &candidate{
			Target: &Target{Name: config.Name, Address: config.Address, DataCentre: config.DataCentre}, tokensAt: now, learningSince: now,
			coldShare: &scheduler.coldShare, concurrencyModel: &scheduler.concurrencyModel,
		}
		existing.indexEntry.bucketEntry = bucketEntry[candidate]{item: existing, bucket: unlisted}
		existing.indexEntry.reindexTimer.item = existing
		scheduler.candidates[config.Name] = existing
		scheduler.ordered = append(scheduler.ordered, existing)
	}
	if config.Owned && !existing.config.Owned && found {
		existing.ownedFrom = now.Add(takeoverWait)
	}
	if !found || existing.config.Started != config.Started {
		existing.coldUntil = now.Add(config.ColdFor)
		existing.hasReading = false
	}
	existing.refill(now)
	existing.config = config
	existing.slotClass = existing.concurrencyModel.classOf(config.Slots)
	if existing.Address != config.Address || existing.DataCentre != config.DataCentre {
		existing.Target = &Target{Name: config.Name, Address: config.Address, DataCentre: config.DataCentre}
	}
}

// A service is busy when the part busyFrom of its room is taken. Other instances then need to know what is in flight on this one's
// targets more often than its slowness changes: every busyLook.
const (
	busyShare         = 0.4
	busyProbeInterval = 60 * clock.Millisecond
)

// silentLook is the pause between probes of a target that doesn't tell its load: a probe tells only that it is there, and whether it
// is cold.
const nonReportingProbeInterval = 500 * clock.Millisecond

// A target is probed densely for learnFor to learn its cadence, and for relearnFor when its phase was lost: the period is
// known then. When there is none to be learnt, that is tried again after learnAgain.
const (
	relearnDuration    = 1500 * clock.Millisecond
	learnDuration      = 6 * clock.Second
	learnRetryInterval = 30 * clock.Second
)

// SetDown notes whether probes find nobody at the target.
func (scheduler *Scheduler) SetDown(name settings.TargetName, down bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found || candidate.down == down {
		return
	}
	candidate.down = down
	if !down {
		candidate.consecutiveFailures = 0
		candidate.backoffUntil = 0
	}
	scheduler.reindex(scheduler.clock.Now(), candidate)
}

// SetColdShare changes the part of what cold targets bear that this instance may use, from 0 to 1.
func (scheduler *Scheduler) SetColdShare(share float64) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if share == scheduler.coldShare {
		return
	}
	now := scheduler.clock.Now()
	for _, candidate := range scheduler.ordered {
		candidate.refill(now)
	}
	scheduler.coldShare = share
	scheduler.reindexAll(now)
}

// DiscardReadings drops all readings: after this process stood still, nothing that it knew is worth anything.
func (scheduler *Scheduler) DiscardReadings() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for _, candidate := range scheduler.ordered {
		candidate.hasReading = false
	}
	scheduler.reindexAll(scheduler.clock.Now())
}

// Busy reports whether a request asked for a place within the given time.
func (scheduler *Scheduler) Busy(within clock.Milliseconds) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.lastAcquire > 0 && scheduler.clock.Now().Since(scheduler.lastAcquire) < within
}

// Acquire waits for a place. The error is a *RefusedError, or the context's.
func (scheduler *Scheduler) Acquire(ctx context.Context, permitRequest Demand) (Place, error) {
	permit, pendingPermit, err := scheduler.Enter(permitRequest)
	if pendingPermit == nil {
		return permit, err
	}
	return pendingPermit.wait(ctx)
}

// Sweep serves requests whose reason for waiting has passed: they may now go to a slow target, or a cold one can take
// one more. The control goroutine calls it every few milliseconds.
func (scheduler *Scheduler) Sweep() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.serveWaiting(scheduler.clock.Now())
}

// serveWaiting gives free places to waiting requests, the most urgent first.
func (scheduler *Scheduler) serveWaiting(now clock.Moment) {
	if scheduler.waiting.length == 0 {
		return
	}
	scheduler.demote(now)
	scheduler.waiting.each(func(waiter *rankedWaiter) bool {
		permit, found := scheduler.acquireNow(now, waiter)
		if !found {
			// One that shuns its earlier target or a slow one must not keep the others; but when nothing at all is
			// free there is no use in asking for each.
			return scheduler.anyFastAvailable(now)
		}
		scheduler.waiting.remove(waiter)
		waiter.done <- scheduledGrant{place: permit}
		return true
	})
}

func (scheduler *Scheduler) refuseAll(reason error) {
	scheduler.waiting.each(func(waiter *rankedWaiter) bool {
		scheduler.waiting.remove(waiter)
		waiter.done <- scheduledGrant{err: &RefusedError{Cause: reason, RetryAfter: comeBackNoTarget}}
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
		states = append(states, TargetState{
			Name: candidate.Name, Address: candidate.Address, DataCentre: candidate.DataCentre, Own: candidate.ownInFlight,
			Others: candidate.othersInFlight(now), Limit: candidate.concurrencyLimit(), Failures: candidate.consecutiveFailures,
		})
	}
	return states, scheduler.waiting.length
}

// LoadReadingAge is how old the reading was on which the choice rested, 0 when there was none.
func (permit Place) LoadReadingAge(now clock.Moment) clock.Milliseconds {
	if permit.Reading.At == 0 {
		return 0
	}
	return now.Since(permit.Reading.At)
}
