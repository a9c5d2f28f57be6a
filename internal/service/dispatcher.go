package service

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Reasons for which a request is refused. In each case nothing was sent to a backend server.
var (
	// ErrNoTarget says that the service has no backend server at all.
	ErrNoTarget = errors.New("no backend server")
	// ErrQueueFull says that as many requests wait as may.
	ErrQueueFull = errors.New("queue full")
	// ErrQueueWait says that the request has waited as long as it may.
	ErrQueueWait = errors.New("waited too long for a place")
	// ErrDeadline says that the request's time ran out while it waited.
	ErrDeadline = errors.New("deadline passed before a place was free")
)

// failuresUntilThrottled is the number of failures in a row after which a target is tried by one request at a time.
const failuresUntilThrottled = 3

// maxPenaltyDoublings bounds how often the penalty for a failure doubles: 2^5 times 100 ms is 3.2 s.
const maxPenaltyDoublings = 5

// Result is how a request on a place ended.
type Result int

// The results of a request.
const (
	// Succeeded means that the backend server answered.
	Succeeded Result = iota
	// Failed means that it broke the connection, refused, or answered with a server error.
	Failed
	// Cancelled means that the request ended for a reason that says nothing about the backend server.
	Cancelled
)

// Limits are the service's settings that bound queueing and failures.
type Limits struct {
	QueueLength    int
	QueueWait      clock.Milliseconds
	FailurePenalty clock.Milliseconds
}

// Options are what a Dispatcher is made from.
type Options struct {
	Clock  *clock.Clock
	Rand   *rand.Rand
	Limits Limits
	// Policy is PolicyLeastTaken unless a baseline is measured.
	Policy Policy
}

// PermitRequest is what a request asks of a Dispatcher.
type PermitRequest struct {
	Priority settings.Priority
	// TeamPriority goes before Priority. Only a Scheduler looks at it.
	TeamPriority settings.Priority
	// Deadline is the moment at which the answer is worth nothing any more.
	Deadline clock.Moment
	// PreviousTarget is the target on which an earlier attempt of the request failed, or nil.
	PreviousTarget *Target
	// Class and Aim are used by a Scheduler only: requests of one class take about the same time, and Aim is the moment
	// until which an answer is worth most.
	Class        settings.ClassName
	SoftDeadline clock.Moment
}

// Permit is the right to have one request in flight on a target. Release gives it back.
type Permit struct {
	Target     *Target
	dispatcher *Dispatcher
	// QueueTime is how long the request waited for it.
	QueueTime clock.Milliseconds
	// InFlight is the number of places in use on the target as this instance saw it, this one included.
	InFlight int
	// Considered is the number of targets among which it was chosen.
	Considered int
	// acquiredAt is when it was taken.
	acquiredAt clock.Moment
	// TransferredBytes is the length of the request and its answer in bytes, set before Release.
	TransferredBytes int
	// LoadReading is what was known of the target when it was chosen.
	LoadReading Reading

	// scheduler and candidate stand in place of dispatcher on a place that a Scheduler gave.
	scheduler   *Scheduler
	candidate   *candidate
	classStats  *expectation
	startedFast bool
	// activeRequest is what the request sees of its target while it is under way.
	activeRequest *flight
	// trialClass is set when the request is one more than the target was thought to do well with.
	trialClass *slotClass
}

// Dispatcher gives out the places of one service at one instance. It is safe for concurrent use.
type Dispatcher struct {
	clock *clock.Clock

	mutex            sync.Mutex
	random           *rand.Rand
	limits           Limits
	targets          map[settings.TargetName]*Target
	index            levelIndex[Target]
	liveTargets      int
	availableTargets int
	waiting          waitQueue
	penalties        []penalty
	totalLimit       int
	penaltyPermits   int
	ownInFlight      int
	// meanPermitDuration is how long a place is taken, on a moving average.
	meanPermitDuration clock.Milliseconds
	// priorityShares are the parts of all places that each priority has been given, on a moving average.
	priorityShares [settings.LowestPriority + 1]float64
	failingTargets int
	policy         Policy

	// ordered, open and turn serve the baselines.
	ordered         []*Target
	availableBuffer []*Target
	roundRobinIndex int
}

// NewDispatcher returns a Dispatcher without targets.
func NewDispatcher(options Options) *Dispatcher {
	if options.Policy == "" {
		options.Policy = PolicyLeastUtilized
	}
	return &Dispatcher{
		clock:   options.Clock,
		random:  options.Rand,
		limits:  options.Limits,
		policy:  options.Policy,
		targets: map[settings.TargetName]*Target{},
	}
}

// SetLimits changes the settings in force.
func (dispatcher *Dispatcher) SetLimits(limits Limits) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.limits = limits
}

// Add makes a target known, without any place until SetLimit grants some. It does nothing when the name is known.
func (dispatcher *Dispatcher) Add(name settings.TargetName, address string, dataCentre settings.DataCentreName) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if target, known := dispatcher.targets[name]; known {
		dispatcher.restore(target, address, dataCentre)
		return
	}
	added := &Target{Name: name, Address: address, DataCentre: dataCentre}
	added.bucketEntry = levelEntry[Target]{item: added, level: notIndexed}
	dispatcher.targets[name] = added
	dispatcher.ordered = append(dispatcher.ordered, added)
	dispatcher.liveTargets++
}

// restore takes back a target that was removed while requests were still in flight on it. Keeping the same record keeps
// their count: a fresh one would start at zero, and a server that is cold again would be given more than it bears.
func (dispatcher *Dispatcher) restore(target *Target, address string, dataCentre settings.DataCentreName) {
	if !target.removed {
		return
	}
	target.removed = false
	target.Address = address
	target.DataCentre = dataCentre
	dispatcher.liveTargets++
}

// Remove forgets a target. Requests in flight on it go on; no new one is given to it.
func (dispatcher *Dispatcher) Remove(name settings.TargetName) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	target, known := dispatcher.targets[name]
	if !known || target.removed {
		return
	}
	dispatcher.setConsecutiveFailures(target, 0)
	dispatcher.changeLimit(target, TargetLimit{})
	target.removed = true
	dispatcher.liveTargets--
	dispatcher.deleteIfUnused(target)
	if dispatcher.liveTargets == 0 {
		dispatcher.refuseAll(ErrNoTarget)
	}
}

// deleteIfUnused drops a removed target once nothing is in flight on it.
func (dispatcher *Dispatcher) deleteIfUnused(target *Target) {
	if target.removed && target.ownInFlight+target.penaltyPermits == 0 {
		delete(dispatcher.targets, target.Name)
		dispatcher.ordered = slices.DeleteFunc(dispatcher.ordered, func(other *Target) bool { return other == target })
	}
}

// SetLimit changes how many places a target has, and what others have taken of them. Waiting requests are given the
// places that this frees.
func (dispatcher *Dispatcher) SetLimit(name settings.TargetName, limit TargetLimit, others int) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	target, known := dispatcher.targets[name]
	if !known || target.removed {
		return
	}
	target.othersInFlight = others
	dispatcher.changeLimit(target, limit)
	dispatcher.serveWaiting()
}

func (dispatcher *Dispatcher) changeLimit(target *Target, limit TargetLimit) {
	dispatcher.totalLimit += limit.Limit - target.limit
	target.limit = limit.Limit
	target.minShare = limit.MinShare
	target.maxOwnInFlight = limit.MaxOwnInFlight
	dispatcher.reindex(target)
}

// reindex puts target on the list where it now belongs.
func (dispatcher *Dispatcher) reindex(target *Target) {
	level := target.computeBucket(dispatcher.throttled(target))
	if (level == notIndexed) != (target.bucketEntry.level == notIndexed) {
		if level == notIndexed {
			dispatcher.availableTargets--
		} else {
			dispatcher.availableTargets++
		}
	}
	dispatcher.index.move(&target.bucketEntry, level)
}

// throttled reports whether target has failed so often that it is only tried by one request at a time. When more than
// half of all targets fail, none is treated so: the cause then is most likely not the single target, and taking so
// many away would topple the rest.
func (dispatcher *Dispatcher) throttled(target *Target) bool {
	return target.consecutiveFailures >= failuresUntilThrottled && 2*dispatcher.failingTargets <= dispatcher.liveTargets
}

// Acquire waits for a place. The error is ErrNoTarget, ErrQueueFull, ErrQueueWait, ErrDeadline or the context's.
func (dispatcher *Dispatcher) Acquire(ctx context.Context, demand PermitRequest) (Permit, error) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	if dispatcher.liveTargets == 0 {
		dispatcher.mutex.Unlock()
		return Permit{}, ErrNoTarget
	}
	if dispatcher.waiting.length == 0 || demand.Priority < dispatcher.waiting.next().request.Priority {
		if place, found := dispatcher.tryAcquire(now, demand); found {
			dispatcher.mutex.Unlock()
			return place, nil
		}
	}
	waiter, err := dispatcher.enqueue(now, demand)
	dispatcher.mutex.Unlock()
	if err != nil {
		return Permit{}, err
	}
	return dispatcher.wait(ctx, waiter)
}

// tryAcquire takes a place if one is free.
func (dispatcher *Dispatcher) tryAcquire(now clock.Moment, demand PermitRequest) (Permit, bool) {
	listed := dispatcher.availableTargets
	target := dispatcher.choose(demand)
	if target == nil {
		return Permit{}, false
	}
	target.ownInFlight++
	dispatcher.ownInFlight++
	dispatcher.recordGrant(demand.Priority)
	dispatcher.reindex(target)
	return Permit{Target: target, dispatcher: dispatcher, InFlight: target.inFlight(), Considered: listed, acquiredAt: now}, true
}

// enqueue makes a request wait. One whose turn would not come in time is refused at once: it would wait for nothing, and
// its caller could have gone elsewhere. When the queue is full, a less urgent request is refused in its favour.
func (dispatcher *Dispatcher) enqueue(now clock.Moment, demand PermitRequest) (*waiter, error) {
	if dispatcher.expectedWait(demand.Priority) > maxExpectedWaitShare*min(dispatcher.limits.QueueWait, demand.Deadline.Since(now)) {
		return nil, ErrQueueFull
	}
	if dispatcher.waiting.length >= dispatcher.limits.QueueLength {
		victim := dispatcher.waiting.evictionCandidate(demand.Priority)
		if victim == nil {
			return nil, ErrQueueFull
		}
		dispatcher.waiting.remove(victim)
		victim.done <- grant{err: ErrQueueFull}
	}
	newcomer := &waiter{request: demand, enqueuedAt: now, maxWait: dispatcher.limits.QueueWait, done: make(chan grant, 1)}
	dispatcher.waiting.push(newcomer)
	return newcomer, nil
}

// maxExpectedWaitShare is the part of a request's longest wait that its expected wait may take up: expectations are off by
// some, and those that were let in should be served.
const maxExpectedWaitShare = 0.7

// averageWeight is the weight of one request in moving averages.
const averageWeight = 0.02

// minRemainingShare bounds how small a part of the places is taken to be left for a priority.
const minRemainingShare = 0.02

func (dispatcher *Dispatcher) recordGrant(taken settings.Priority) {
	for priority := range dispatcher.priorityShares {
		dispatcher.priorityShares[priority] -= averageWeight * dispatcher.priorityShares[priority]
	}
	dispatcher.priorityShares[taken] += averageWeight
}

// remainingShare is the part of the places that more urgent requests leave to a priority.
func (dispatcher *Dispatcher) remainingShare(priority settings.Priority) float64 {
	left := 1.0
	for _, share := range dispatcher.priorityShares[:priority] {
		left -= share
	}
	return max(left, minRemainingShare)
}

// expectedWait is how long a request of the given priority would wait: those before it, at the pace at which places
// become free for them. By Little's law that pace is the number of places taken by the time each is taken, and more
// urgent requests, also those that have yet to come, leave only a part of it.
func (dispatcher *Dispatcher) expectedWait(priority settings.Priority) clock.Milliseconds {
	if dispatcher.ownInFlight == 0 {
		return 0
	}
	ahead := dispatcher.waiting.ahead(priority)
	pace := clock.Milliseconds(float64(dispatcher.ownInFlight) * dispatcher.remainingShare(priority))
	return clock.Milliseconds(ahead) * dispatcher.meanPermitDuration / pace
}

// wait blocks until waiter has a place or is refused.
func (dispatcher *Dispatcher) wait(ctx context.Context, waiter *waiter) (Permit, error) {
	longest := waiter.maxWait
	reason := ErrQueueWait
	if left := waiter.request.Deadline.Since(waiter.enqueuedAt); left < longest {
		longest = left
		reason = ErrDeadline
	}
	timer := time.NewTimer(longest.Duration())
	defer timer.Stop()
	select {
	case granted := <-waiter.done:
		return dispatcher.grantedPermit(waiter, granted)
	case <-timer.C:
	case <-ctx.Done():
		reason = ctx.Err()
	}
	dispatcher.mutex.Lock()
	stillWaiting := dispatcher.waiting.remove(waiter)
	dispatcher.mutex.Unlock()
	if stillWaiting {
		return Permit{}, reason
	}
	// A place arrived at the same instant; it is used, or else it would stay taken for ever.
	return dispatcher.grantedPermit(waiter, <-waiter.done)
}

func (dispatcher *Dispatcher) grantedPermit(waiter *waiter, granted grant) (Permit, error) {
	if granted.err != nil {
		return Permit{}, granted.err
	}
	waited := dispatcher.clock.Now().Since(waiter.enqueuedAt)
	return Permit{Target: granted.target, dispatcher: dispatcher, QueueTime: waited, InFlight: granted.inFlight, acquiredAt: granted.acquiredAt}, nil
}

// serveWaiting gives free places to waiting requests.
func (dispatcher *Dispatcher) serveWaiting() {
	for dispatcher.waiting.length > 0 {
		first := dispatcher.waiting.next()
		place, found := dispatcher.tryAcquire(dispatcher.clock.Now(), first.request)
		if !found {
			return
		}
		dispatcher.waiting.remove(first)
		first.done <- grant{target: place.Target, inFlight: place.InFlight, acquiredAt: place.acquiredAt}
	}
}

// refuseAll ends every wait.
func (dispatcher *Dispatcher) refuseAll(reason error) {
	for dispatcher.waiting.length > 0 {
		first := dispatcher.waiting.next()
		dispatcher.waiting.remove(first)
		first.done <- grant{err: reason}
	}
}

// Release gives the place back and learns from how the request ended.
func (place Permit) Release(result Result) {
	if place.scheduler != nil {
		place.scheduler.release(place, result)
		return
	}
	place.dispatcher.release(place, result)
}

func (dispatcher *Dispatcher) release(place Permit, result Result) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	target := place.Target
	target.ownInFlight--
	dispatcher.ownInFlight--
	dispatcher.meanPermitDuration += averageWeight * (now.Since(place.acquiredAt) - dispatcher.meanPermitDuration)
	switch result {
	case Succeeded:
		dispatcher.setConsecutiveFailures(target, 0)
	case Failed:
		dispatcher.penalize(target)
	case Cancelled:
	}
	dispatcher.reindex(target)
	dispatcher.deleteIfUnused(target)
	dispatcher.serveWaiting()
}

// penalize counts a failure. A server that fails fast has few requests in flight and would look like the best choice, so
// it would draw nearly all requests; one notices many errors at a low load. Keeping the place taken for a while makes
// a failure weigh as much as a slow answer. At most half of all places are kept so at once.
func (dispatcher *Dispatcher) penalize(target *Target) {
	dispatcher.setConsecutiveFailures(target, target.consecutiveFailures+1)
	if 2*(dispatcher.penaltyPermits+1) > dispatcher.totalLimit || target.removed {
		return
	}
	doublings := min(target.consecutiveFailures-1, maxPenaltyDoublings)
	length := dispatcher.limits.FailurePenalty * clock.Milliseconds(int(1)<<doublings)
	target.penaltyPermits++
	dispatcher.penaltyPermits++
	dispatcher.penalties = append(dispatcher.penalties, penalty{target: target, until: dispatcher.clock.Now().Add(length)})
}

// setConsecutiveFailures sets the number of failures in a row, and keeps count of the targets that fail.
func (dispatcher *Dispatcher) setConsecutiveFailures(target *Target, failures int) {
	before := target.consecutiveFailures >= failuresUntilThrottled
	target.consecutiveFailures = failures
	after := target.consecutiveFailures >= failuresUntilThrottled
	if before == after {
		return
	}
	if after {
		dispatcher.failingTargets++
	} else {
		dispatcher.failingTargets--
	}
}

// ReleaseExpiredPenalties gives back the places whose time as a penalty is over. The control goroutine calls it every few milliseconds.
func (dispatcher *Dispatcher) ReleaseExpiredPenalties() {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	kept := dispatcher.penalties[:0]
	for _, held := range dispatcher.penalties {
		if now < held.until {
			kept = append(kept, held)
			continue
		}
		held.target.penaltyPermits--
		dispatcher.penaltyPermits--
		dispatcher.reindex(held.target)
		dispatcher.deleteIfUnused(held.target)
	}
	clear(dispatcher.penalties[len(kept):])
	dispatcher.penalties = kept
	dispatcher.serveWaiting()
}

// TargetState is a copy of what the Dispatcher knows of a target.
type TargetState struct {
	Name           settings.TargetName     `json:"name"`
	Address        string                  `json:"address"`
	DataCentre     settings.DataCentreName `json:"dataCentre"`
	OwnInFlight    int                     `json:"own"`
	PenaltyPermits int                     `json:"held"`
	OthersInFlight int                     `json:"others"`
	Limit          int                     `json:"limit"`
	Failures       int                     `json:"failures"`
}

// State returns the state of every target, in no particular order, and the number of waiting requests.
func (dispatcher *Dispatcher) State() ([]TargetState, int) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	states := make([]TargetState, 0, len(dispatcher.targets))
	for _, target := range dispatcher.targets {
		if target.removed {
			continue
		}
		states = append(states, TargetState{
			Name: target.Name, Address: target.Address, DataCentre: target.DataCentre,
			OwnInFlight: target.ownInFlight, PenaltyPermits: target.penaltyPermits, OthersInFlight: target.othersInFlight, Limit: target.limit, Failures: target.consecutiveFailures,
		})
	}
	return states, dispatcher.waiting.length
}

// OwnInFlight returns how many places this instance has taken on the target.
func (dispatcher *Dispatcher) OwnInFlight(name settings.TargetName) int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if target, known := dispatcher.targets[name]; known {
		return target.ownInFlight
	}
	return 0
}
