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
	// ComeBack is how long from now room is expected.
	ComeBack clock.Milliseconds
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

	mutex      sync.Mutex
	random     *rand.Rand
	candidates map[settings.TargetName]*candidate
	ordered    []*candidate
	usable     int
	waiting    rankedQueue
	// work is the usual time of a request on a fast target, by class; size is the usual length of its answer.
	work map[settings.ClassName]*expectation
	// meanSlowdown is the average over all readings.
	meanSlowdown float64
	// meanSpeed is the average over all readings of the work done in a unit of time, 1 on a fast target.
	meanSpeed float64
	// slowAt is when a target last was slow, or might have been: nothing is known at first.
	slowAt      clock.Moment
	pace        pace
	concurrency concurrency
	// own is the number of places taken, meanHold how long one is taken.
	own      int
	meanHold clock.Milliseconds
	// coldShare is the part of what cold targets bear that this instance may use.
	coldShare float64
	// lastTake is when a request last asked for a place.
	lastTake clock.Moment
	started  startShares
	// open lists targets that are open, changes is when time changes how they are filed, compared is used again by each choice.
	open     openTargets
	changes  timerQueue[candidate]
	compared []*candidate
	// flights are the records of ended requests, for those to come.
	flights []*flight
	// period is the time between changes of slowness, 0 until it is known; nextSearch is when it is looked for again.
	period     clock.Milliseconds
	nextSearch clock.Moment
}

// First guesses, until requests have told better.
const (
	firstWork     = 100 * clock.Millisecond
	firstSlowdown = 1.5
)

// NewScheduler returns a Scheduler without targets.
func NewScheduler(options SchedulerOptions) *Scheduler {
	return &Scheduler{
		slowAt: options.Clock.Now(),
		clock:  options.Clock, random: options.Rand, candidates: map[settings.TargetName]*candidate{},
		work: map[settings.ClassName]*expectation{}, meanSlowdown: firstSlowdown, meanSpeed: 1 / firstSlowdown, meanHold: firstWork, coldShare: 1,
	}
}

// SetOffers replaces what the control goroutine says of targets. Targets that are no longer offered are forgotten, but
// for the count of what is in flight on them.
func (scheduler *Scheduler) SetOffers(offers []Offer) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	kept := make(map[settings.TargetName]bool, len(offers))
	scheduler.usable = 0
	for index := range offers {
		kept[offers[index].Name] = true
		scheduler.setOffer(now, offers[index])
		if offers[index].Usable {
			scheduler.usable++
		}
	}
	remaining := scheduler.ordered[:0]
	for _, known := range scheduler.ordered {
		if !kept[known.Name] {
			known.offer.Usable = false
			// A target that comes back while requests are in flight on it keeps their count: a fresh record would start
			// at zero, and one that is cold again would be given more than it bears.
			if known.own == 0 {
				scheduler.unfile(known)
				delete(scheduler.candidates, known.Name)
				continue
			}
		}
		remaining = append(remaining, known)
	}
	clear(scheduler.ordered[len(remaining):])
	scheduler.ordered = remaining
	scheduler.fileAll(now)
	if scheduler.usable == 0 {
		scheduler.refuseAll(ErrNoTarget)
	}
	scheduler.serveWaiting(now)
}

func (scheduler *Scheduler) setOffer(now clock.Moment, offer Offer) {
	known, found := scheduler.candidates[offer.Name]
	if !found {
		known = &candidate{
			Target: &Target{Name: offer.Name, Address: offer.Address, DataCentre: offer.DataCentre}, tokensAt: now, learningFrom: now,
			coldShare: &scheduler.coldShare, concurrency: &scheduler.concurrency,
		}
		known.filing.entry = levelEntry[candidate]{item: known, level: notIndexed}
		known.filing.change.item = known
		scheduler.candidates[offer.Name] = known
		scheduler.ordered = append(scheduler.ordered, known)
	}
	if offer.Owned && !known.offer.Owned && found {
		known.ownedFrom = now.Add(takeoverWait)
	}
	if !found || known.offer.Started != offer.Started {
		known.coldUntil = now.Add(offer.ColdFor)
		known.read = false
	}
	known.refill(now)
	known.offer = offer
	known.slotClass = known.concurrency.of(offer.Slots)
	if known.Address != offer.Address || known.DataCentre != offer.DataCentre {
		known.Target = &Target{Name: offer.Name, Address: offer.Address, DataCentre: offer.DataCentre}
	}
}

// A service is busy when the part busyFrom of its room is taken. Other instances then need to know what is in flight on this one's
// targets more often than its slowness changes: every busyLook.
const (
	busyFrom = 0.4
	busyLook = 60 * clock.Millisecond
)

// silentLook is the pause between probes of a target that doesn't tell its load: a probe tells only that it is there, and whether it
// is cold.
const silentLook = 500 * clock.Millisecond

// A target is probed densely for learnFor to learn its cadence, and for relearnFor when its phase was lost: the period is
// known then. When there is none to be learnt, that is tried again after learnAgain.
const (
	relearnFor = 1500 * clock.Millisecond
	learnFor   = 6 * clock.Second
	learnAgain = 30 * clock.Second
)

// SetDown notes whether probes find nobody at the target.
func (scheduler *Scheduler) SetDown(name settings.TargetName, down bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	known, found := scheduler.candidates[name]
	if !found || known.down == down {
		return
	}
	known.down = down
	if !down {
		known.inARow = 0
		known.avoidUntil = 0
	}
	scheduler.file(scheduler.clock.Now(), known)
}

// SetColdShare changes the part of what cold targets bear that this instance may use, from 0 to 1.
func (scheduler *Scheduler) SetColdShare(share float64) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if share == scheduler.coldShare {
		return
	}
	now := scheduler.clock.Now()
	for _, known := range scheduler.ordered {
		known.refill(now)
	}
	scheduler.coldShare = share
	scheduler.fileAll(now)
}

// Forget drops all readings: after this process stood still, nothing that it knew is worth anything.
func (scheduler *Scheduler) Forget() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for _, known := range scheduler.ordered {
		known.read = false
	}
	scheduler.fileAll(scheduler.clock.Now())
}

// Busy reports whether a request asked for a place within the given time.
func (scheduler *Scheduler) Busy(within clock.Milliseconds) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.lastTake > 0 && scheduler.clock.Now().Since(scheduler.lastTake) < within
}

// Take waits for a place. The error is a *RefusedError, or the context's.
func (scheduler *Scheduler) Take(ctx context.Context, demand PermitRequest) (Permit, error) {
	place, ticket, err := scheduler.AcquireOrEnqueue(demand)
	if ticket == nil {
		return place, err
	}
	return ticket.wait(ctx)
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
	scheduler.demoteOverdue(now)
	scheduler.waiting.each(func(waiter *rankedWaiter) bool {
		place, found := scheduler.takeNow(now, waiter)
		if !found {
			// One that shuns its earlier target or a slow one must not keep the others; but when nothing at all is
			// free there is no use in asking for each.
			return scheduler.anyOpen(now)
		}
		scheduler.waiting.remove(waiter)
		waiter.done <- scheduledGrant{permit: place}
		return true
	})
}

func (scheduler *Scheduler) refuseAll(reason error) {
	scheduler.waiting.each(func(waiter *rankedWaiter) bool {
		scheduler.waiting.remove(waiter)
		waiter.done <- scheduledGrant{err: &RefusedError{Cause: reason, ComeBack: retryAfterNoTarget}}
		return true
	})
}

// State returns the state of every target, in no particular order, and the number of waiting requests.
func (scheduler *Scheduler) State() ([]TargetState, int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	states := make([]TargetState, 0, len(scheduler.ordered))
	for _, known := range scheduler.ordered {
		states = append(states, TargetState{
			Name: known.Name, Address: known.Address, DataCentre: known.DataCentre, OwnInFlight: known.own,
			OthersInFlight: known.others(now), Limit: known.room(), Failures: known.inARow,
		})
	}
	return states, scheduler.waiting.length
}

// ReadingAge is how old the reading was on which the choice rested, 0 when there was none.
func (place Permit) ReadingAge(now clock.Moment) clock.Milliseconds {
	if place.LoadReading.At == 0 {
		return 0
	}
	return now.Since(place.LoadReading.At)
}
