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

// Reasons for which a request is refused. In each case nothing has been sent to a backend server.
var (
	// ErrNoTarget is returned when the service has no backend server.
	ErrNoTarget = errors.New("no backend server")
	// ErrUnreachable is returned when this instance cannot reach the backend servers of the service.
	ErrUnreachable = errors.New("this instance cannot reach the backend servers")
	// ErrQueueFull is returned when the queue is full, or too long for the request to be served in time.
	ErrQueueFull = errors.New("queue full")
	// ErrQueueWait is returned when a request has waited for the maximum time.
	ErrQueueWait = errors.New("waited too long for a permit")
	// ErrDeadline is returned when the deadline of a request passed while it waited.
	ErrDeadline = errors.New("deadline passed before a permit was free")
)

// failuresUntilThrottled is the number of consecutive failures after which a target gets one request at a time.
const failuresUntilThrottled = 3

// maxPenaltyDoublings limits how often the penalty for a failure doubles: 2^5 times 100 ms is 3.2 s.
const maxPenaltyDoublings = 5

// Result is the outcome of a request that had a permit.
type Result int

// The results of a request.
const (
	// Succeeded means that the backend server responded.
	Succeeded Result = iota
	// Failed means that the backend server broke the connection, refused the request, or responded with a server error.
	Failed
	// Cancelled means that the request ended for a reason unrelated to the backend server.
	Cancelled
)

// Limits are the service's settings for queueing and for failures.
type Limits struct {
	// QueueLength is the maximum number of waiting requests, QueueWait the maximum time that one waits.
	QueueLength int
	QueueWait   clock.Milliseconds
	// FailurePenalty is the time for which a permit is withheld after a first failure.
	FailurePenalty clock.Milliseconds
}

// Options are the parameters of NewDispatcher.
type Options struct {
	Clock  *clock.Clock
	Rand   *rand.Rand
	Limits Limits
	// Policy is PolicyLeastUtilized except when a baseline is measured.
	Policy Policy
}

// PermitRequest describes a request that needs a permit.
type PermitRequest struct {
	Priority settings.Priority
	// TeamPriority takes precedence over Priority. Only a Scheduler uses it.
	TeamPriority settings.Priority
	// Deadline is the moment after which a response is worthless.
	Deadline clock.Moment
	// PreviousTarget is the target on which an earlier attempt of the request failed, or nil.
	PreviousTarget *Target
	// Class and SoftDeadline are used by a Scheduler only. Requests of one class take about the same time. SoftDeadline is the
	// moment until which a response has its full value.
	Class        settings.ClassName
	SoftDeadline clock.Moment
}

// Permit is the right to have one request in flight on a target. Release returns it.
type Permit struct {
	Target     *Target
	dispatcher *Dispatcher
	// QueueTime is the time that the request waited for the permit.
	QueueTime clock.Milliseconds
	// InFlight is the number of permits in use on the target as far as this instance knew, including this one.
	InFlight int
	// Considered is the number of targets from which the target was chosen.
	Considered int
	// acquiredAt is the moment at which the permit was acquired.
	acquiredAt clock.Moment
	// TransferredBytes is the length of the request and its response in bytes, set before Release.
	TransferredBytes int
	// LoadReading is the load reading of the target at the time of the choice.
	LoadReading LoadReading

	// scheduler and candidate are set instead of dispatcher on a permit that a Scheduler granted.
	scheduler   *Scheduler
	candidate   *candidate
	classStats  *classStats
	startedFast bool
	// started is the start time of the target's process to which the permit applies.
	started int64
	// activeRequest records how many requests run on the target while this one is in flight.
	activeRequest *activeRequest
	// exploredClass is the slotClass of the target if the request exceeds its concurrency limit, to learn the effect of one
	// request more; nil otherwise.
	exploredClass *slotClass
}

// Dispatcher grants the permits of one service at one instance. It is safe for concurrent use.
type Dispatcher struct {
	clock *clock.Clock

	mutex   sync.Mutex
	random  *rand.Rand
	limits  Limits
	targets map[settings.TargetName]*Target
	index   bucketIndex[Target]
	// liveTargets is the number of targets that have not been removed, availableTargets of those that accept another request.
	liveTargets      int
	availableTargets int
	waiting          waitQueue
	penalties        []penalty
	totalLimit       int
	penaltyPermits   int
	ownInFlight      int
	// meanPermitDuration is the time that a permit is in use, as a moving average.
	meanPermitDuration clock.Milliseconds
	// priorityShares holds each priority's share of all granted permits, as a moving average.
	priorityShares [settings.LowestPriority + 1]float64
	// failingTargets is the number of targets with at least failuresUntilThrottled consecutive failures.
	failingTargets int
	policy         Policy

	// ordered, availableBuffer and roundRobinIndex are used by the baselines.
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

// Add adds a target. It gets no permits until SetLimit sets its limit. A target that was removed while
// requests are in flight on it is restored. Add does nothing if the target exists and has not been removed.
func (dispatcher *Dispatcher) Add(name settings.TargetName, address string, dataCentre settings.DataCentreName) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if target, known := dispatcher.targets[name]; known {
		dispatcher.restore(target, address, dataCentre)
		return
	}
	added := &Target{Name: name, Address: address, DataCentre: dataCentre}
	added.bucketEntry = bucketEntry[Target]{item: added, bucket: notIndexed}
	dispatcher.targets[name] = added
	dispatcher.ordered = append(dispatcher.ordered, added)
	dispatcher.liveTargets++
}

// restore reinstates a target that was removed while requests were still in flight on it. The record is reused to keep the
// count of these requests: with a new one the count would start at zero, and a server that is cold again would get more
// requests than it can handle.
func (dispatcher *Dispatcher) restore(target *Target, address string, dataCentre settings.DataCentreName) {
	if !target.removed {
		return
	}
	target.removed = false
	target.Address = address
	target.DataCentre = dataCentre
	dispatcher.liveTargets++
}

// Remove removes a target. Requests in flight on it continue; it gets no new ones.
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

// deleteIfUnused deletes a removed target once nothing is in flight on it.
func (dispatcher *Dispatcher) deleteIfUnused(target *Target) {
	if target.removed && target.ownInFlight+target.penaltyPermits == 0 {
		delete(dispatcher.targets, target.Name)
		dispatcher.ordered = slices.DeleteFunc(dispatcher.ordered, func(other *Target) bool { return other == target })
	}
}

// SetLimit changes the limits of a target and the number of permits that other instances use on it. Permits that this frees are
// granted to waiting requests.
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

// reindex moves a target to its current bucket of the index.
func (dispatcher *Dispatcher) reindex(target *Target) {
	bucket := target.computeBucket(dispatcher.throttled(target))
	if (bucket == notIndexed) != (target.bucketEntry.bucket == notIndexed) {
		if bucket == notIndexed {
			dispatcher.availableTargets--
		} else {
			dispatcher.availableTargets++
		}
	}
	dispatcher.index.move(&target.bucketEntry, bucket)
}

// throttled reports whether a target has failed so often that it gets one request at a time. No target is throttled while more
// than half of all targets fail: the cause is then most likely not the single target, and removing so much capacity would
// overload the rest.
func (dispatcher *Dispatcher) throttled(target *Target) bool {
	return target.consecutiveFailures >= failuresUntilThrottled && 2*dispatcher.failingTargets <= dispatcher.liveTargets
}

// Acquire waits for a permit. The error is ErrNoTarget, ErrQueueFull, ErrQueueWait, ErrDeadline or the error of the context.
func (dispatcher *Dispatcher) Acquire(ctx context.Context, request PermitRequest) (Permit, error) {
	permit, waiter, err := dispatcher.acquireOrEnqueue(request)
	if waiter == nil {
		return permit, err
	}
	return dispatcher.wait(ctx, waiter)
}

// acquireOrEnqueue acquires a permit if one is free, and otherwise adds the request to the queue.
func (dispatcher *Dispatcher) acquireOrEnqueue(request PermitRequest) (Permit, *waiter, error) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.liveTargets == 0 {
		return Permit{}, nil, ErrNoTarget
	}
	if dispatcher.waiting.length == 0 || request.Priority < dispatcher.waiting.next().request.Priority {
		if permit, found := dispatcher.tryAcquire(now, request); found {
			return permit, nil, nil
		}
	}
	waiter, err := dispatcher.enqueue(now, request)
	return Permit{}, waiter, err
}

// tryAcquire acquires a permit if one is free.
func (dispatcher *Dispatcher) tryAcquire(now clock.Moment, request PermitRequest) (Permit, bool) {
	availableTargets := dispatcher.availableTargets
	target := dispatcher.choose(request)
	if target == nil {
		return Permit{}, false
	}
	target.ownInFlight++
	dispatcher.ownInFlight++
	dispatcher.recordGrant(request.Priority)
	dispatcher.reindex(target)
	return Permit{Target: target, dispatcher: dispatcher, InFlight: target.inFlight(), Considered: availableTargets, acquiredAt: now}, true
}

// enqueue adds a request to the queue. A request that is not expected to be served in time is refused immediately: it would
// wait in vain, and its caller could have used another instance. When the queue is full, a less urgent request is refused in
// its favour.
func (dispatcher *Dispatcher) enqueue(now clock.Moment, request PermitRequest) (*waiter, error) {
	if dispatcher.expectedWait(request.Priority) > maxExpectedWaitShare*min(dispatcher.limits.QueueWait, request.Deadline.Since(now)) {
		return nil, ErrQueueFull
	}
	if dispatcher.waiting.length >= dispatcher.limits.QueueLength {
		evicted := dispatcher.waiting.evictionCandidate(request.Priority)
		if evicted == nil {
			return nil, ErrQueueFull
		}
		dispatcher.waiting.remove(evicted)
		evicted.done <- grant{err: ErrQueueFull}
	}
	added := &waiter{request: request, enqueuedAt: now, maxWait: dispatcher.limits.QueueWait, done: make(chan grant, 1)}
	dispatcher.waiting.push(added)
	return added, nil
}

// maxExpectedWaitShare is the maximum expected wait of an admitted request, as a fraction of its maximum wait. It is below 1
// because the estimate is imprecise and an admitted request should be served.
const maxExpectedWaitShare = 0.7

// averageWeight is the weight of one request in moving averages.
const averageWeight = 0.02

// minRemainingShare is the smallest share of the permits that is assumed to be left for a priority.
const minRemainingShare = 0.02

// recordGrant updates priorityShares with a permit granted to a request of the given priority.
func (dispatcher *Dispatcher) recordGrant(granted settings.Priority) {
	for priority := range dispatcher.priorityShares {
		dispatcher.priorityShares[priority] -= averageWeight * dispatcher.priorityShares[priority]
	}
	dispatcher.priorityShares[granted] += averageWeight
}

// remainingShare returns the share of the permits that is left for a priority by more urgent requests.
func (dispatcher *Dispatcher) remainingShare(priority settings.Priority) float64 {
	remaining := 1.0
	for _, share := range dispatcher.priorityShares[:priority] {
		remaining -= share
	}
	return max(remaining, minRemainingShare)
}

// expectedWait returns the expected queue time of a request of the given priority: the number of requests ahead of it, divided
// by the rate at which permits are released for them. By Little's law that rate is the number of permits in use divided by the
// mean time that a permit is in use. More urgent requests, including those that arrive later, leave only a part of it.
func (dispatcher *Dispatcher) expectedWait(priority settings.Priority) clock.Milliseconds {
	if dispatcher.ownInFlight == 0 {
		return 0
	}
	ahead := dispatcher.waiting.ahead(priority)
	availablePermits := clock.Milliseconds(float64(dispatcher.ownInFlight) * dispatcher.remainingShare(priority))
	return clock.Milliseconds(ahead) * dispatcher.meanPermitDuration / availablePermits
}

// wait blocks until the waiter gets a permit or is refused.
func (dispatcher *Dispatcher) wait(ctx context.Context, waiter *waiter) (Permit, error) {
	maxWait := waiter.maxWait
	cause := ErrQueueWait
	if remaining := waiter.request.Deadline.Since(waiter.enqueuedAt); remaining < maxWait {
		maxWait = remaining
		cause = ErrDeadline
	}
	timer := time.NewTimer(maxWait.Duration())
	defer timer.Stop()
	select {
	case granted := <-waiter.done:
		return dispatcher.grantedPermit(waiter, granted)
	case <-timer.C:
	case <-ctx.Done():
		cause = ctx.Err()
	}
	if dispatcher.cancelWait(waiter) {
		return Permit{}, cause
	}
	// A permit or a refusal was sent at the same moment. A permit must reach the caller, as it would stay in use for ever otherwise.
	return dispatcher.grantedPermit(waiter, <-waiter.done)
}

// cancelWait removes a request from the queue, and reports whether it was still there.
func (dispatcher *Dispatcher) cancelWait(waiter *waiter) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.waiting.remove(waiter)
}

func (dispatcher *Dispatcher) grantedPermit(waiter *waiter, granted grant) (Permit, error) {
	if granted.err != nil {
		return Permit{}, granted.err
	}
	waited := dispatcher.clock.Now().Since(waiter.enqueuedAt)
	return Permit{Target: granted.target, dispatcher: dispatcher, QueueTime: waited, InFlight: granted.inFlight, acquiredAt: granted.acquiredAt}, nil
}

// serveWaiting grants free permits to waiting requests.
func (dispatcher *Dispatcher) serveWaiting() {
	for dispatcher.waiting.length > 0 {
		first := dispatcher.waiting.next()
		permit, found := dispatcher.tryAcquire(dispatcher.clock.Now(), first.request)
		if !found {
			return
		}
		dispatcher.waiting.remove(first)
		first.done <- grant{target: permit.Target, inFlight: permit.InFlight, acquiredAt: permit.acquiredAt}
	}
}

// refuseAll refuses all waiting requests.
func (dispatcher *Dispatcher) refuseAll(cause error) {
	for dispatcher.waiting.length > 0 {
		first := dispatcher.waiting.next()
		dispatcher.waiting.remove(first)
		first.done <- grant{err: cause}
	}
}

// Release returns the permit and updates the statistics of the target with the result of the request.
func (permit Permit) Release(result Result) {
	if permit.scheduler != nil {
		permit.scheduler.release(permit, result)
		return
	}
	permit.dispatcher.release(permit, result)
}

func (dispatcher *Dispatcher) release(permit Permit, result Result) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	target := permit.Target
	target.ownInFlight--
	dispatcher.ownInFlight--
	dispatcher.meanPermitDuration += averageWeight * (now.Since(permit.acquiredAt) - dispatcher.meanPermitDuration)
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

// penalize records a failure. A server that fails fast has few requests in flight and would look like the best choice, so
// nearly all requests would go to it; the symptom is many errors at a low load. Withholding the permit for a while makes a
// failure count as much as a slow response. At most half of all permits are withheld at a time.
func (dispatcher *Dispatcher) penalize(target *Target) {
	dispatcher.setConsecutiveFailures(target, target.consecutiveFailures+1)
	if 2*(dispatcher.penaltyPermits+1) > dispatcher.totalLimit || target.removed {
		return
	}
	doublings := min(target.consecutiveFailures-1, maxPenaltyDoublings)
	duration := dispatcher.limits.FailurePenalty * clock.Milliseconds(int(1)<<doublings)
	target.penaltyPermits++
	dispatcher.penaltyPermits++
	dispatcher.penalties = append(dispatcher.penalties, penalty{target: target, until: dispatcher.clock.Now().Add(duration)})
}

// setConsecutiveFailures sets a target's number of consecutive failures and updates the number of failing targets.
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

// ReleaseExpiredPenalties returns the permits whose penalty has expired. The control goroutine calls it every few milliseconds.
func (dispatcher *Dispatcher) ReleaseExpiredPenalties() {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	kept := dispatcher.penalties[:0]
	for _, penalty := range dispatcher.penalties {
		if now < penalty.until {
			kept = append(kept, penalty)
			continue
		}
		penalty.target.penaltyPermits--
		dispatcher.penaltyPermits--
		dispatcher.reindex(penalty.target)
		dispatcher.deleteIfUnused(penalty.target)
	}
	clear(dispatcher.penalties[len(kept):])
	dispatcher.penalties = kept
	dispatcher.serveWaiting()
}

// TargetState is a snapshot of a target.
type TargetState struct {
	Name           settings.TargetName     `json:"name"`
	Address        string                  `json:"address"`
	DataCentre     settings.DataCentreName `json:"dataCentre"`
	OwnInFlight    int                     `json:"own"`
	PenaltyPermits int                     `json:"held"`
	OthersInFlight int                     `json:"others"`
	Limit          int                     `json:"limit"`
	Failures       int                     `json:"failures"`
	// RateLimit is the number of requests per second that the target accepts from the whole fleet, nil if it has named no limit;
	// Tokens is the number of requests that it may get now.
	RateLimit *float64 `json:"rateLimit,omitempty"`
	Tokens    float64  `json:"tokens,omitempty"`
	// LimitedSent is the number of requests that this instance has sent while the target was limited, LimitedPeers the number of other
	// instances whose count of such requests it has received.
	LimitedSent  uint32 `json:"limitedSent,omitempty"`
	LimitedPeers int    `json:"limitedPeers,omitempty"`
	// LimitCounted is whether this instance counts those requests together with others, rather than borrowing; LimitOmitted is the number
	// of responses in a row that did not name the limit, and LimitLifted whether it allows more than it says because of these.
	LimitCounted bool `json:"limitCounted,omitempty"`
	LimitOmitted int  `json:"limitOmitted,omitempty"`
	LimitLifted  bool `json:"limitLifted,omitempty"`
	// Rest is the time for which the target wants no request from this instance.
	Rest clock.Milliseconds `json:"rest,omitempty"`
	// Leaving is whether the target has said that it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Usable is whether the target may get requests by its entry in the catalog, Owned whether this instance owns it.
	Usable bool `json:"usable,omitempty"`
	Owned  bool `json:"owned,omitempty"`
	// ColdFor is for how long the target is still cold, by the word of ColdSource.
	ColdFor    clock.Milliseconds `json:"coldFor,omitempty"`
	ColdSource Source             `json:"coldSource,omitempty"`
	// WarmthUnknown is whether no recent probe has told if the target is cold.
	WarmthUnknown bool `json:"warmthUnknown,omitempty"`
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
			OwnInFlight: target.ownInFlight, PenaltyPermits: target.penaltyPermits, OthersInFlight: target.othersInFlight,
			Limit: target.limit, Failures: target.consecutiveFailures,
		})
	}
	return states, dispatcher.waiting.length
}

// OwnInFlight returns the number of permits that this instance uses on the target.
func (dispatcher *Dispatcher) OwnInFlight(name settings.TargetName) int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if target, known := dispatcher.targets[name]; known {
		return target.ownInFlight
	}
	return 0
}
