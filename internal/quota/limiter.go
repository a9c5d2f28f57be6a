// Package quota holds teams to their rate limits over a whole fleet without shared state. Each instance keeps a token bucket for every
// team, which approximates the team's bucket for the whole fleet: the instance deducts its own requests, and those that other instances
// report to it.
//
// Instances that receive no reports of each other cannot count together. Each then uses the share of a limit that corresponds to the
// fraction of the fleet that is visible to it, so that all parts of a partitioned fleet together stay within the allowed excess. A bucket
// starts nearly empty: otherwise hundreds of instances that restart together would admit a burst each.
//
// # Usage
//
//	limiter := quota.NewLimiter(quota.Options{Clock: clock, Rand: random})
//	limiter.SetTeams(configuration.Teams)
//	limiter.SetFleetFraction(fraction)
//	if retryAfter, admitted := limiter.Admit(name); !admitted { ... } // the caller may retry after that time
//	limiter.Return(name)                                              // the request did not run
//	reports := limiter.Reports(sender)                                // for the other instances
//	limiter.Receive(report)                                           // from another instance
package quota

import (
	"math/rand/v2"
	"sync"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// partitionedOverShare is the share of the allowed excess that two parts of a partitioned fleet use together.
	partitionedOverShare = 0.3
	// majorityFraction is the fraction of a fleet from which on almost the whole limit may be used, majorityShare the share that is
	// used at that fraction. The smaller the other part of the fleet is, the fewer callers it has.
	majorityFraction = 0.65
	majorityShare    = 0.95
)

// Bounds are how far a limit may be exceeded, as agreed with those who set the limits.
type Bounds struct {
	// Window is the time over which requests are counted.
	Window clock.Milliseconds
	// Over is the fraction of a limit by which it may be exceeded, Slack the number of requests in addition to that.
	Over, Slack float64
}

// Options configure a Limiter.
type Options struct {
	Clock *clock.Clock
	Rand  *rand.Rand
	// RequestLoans is called when a request waits for a loan. It must not block, and may be nil.
	RequestLoans func()
}

// Limiter counts the requests of teams against their limits. It is safe for concurrent use.
type Limiter struct {
	clock *clock.Clock

	mutex  sync.Mutex
	random *rand.Rand
	bounds Bounds
	// share is the share of each limit that this instance may use, from 0 to 1.
	share   float64
	buckets map[team.Name]*bucket
	byKey   map[TeamKey]*bucket
	// reporting are the buckets whose totals are to be reported.
	reporting []*bucket
	// sequence is the number of the last report.
	sequence uint64
	// senders are the totals that other instances reported last.
	senders map[Sender]*senderCounts
	// borrowing is whether this instance borrows the tokens of limits, isolatedInstances the number of instances among which the allowed
	// excess is divided.
	borrowing         bool
	isolatedInstances int
	requestLoans      func()
	// nextExpiry is when senders that stopped reporting are next removed.
	nextExpiry clock.Moment
}

// NewLimiter returns a limiter without teams.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		clock: options.Clock, random: options.Rand, bounds: Bounds{Window: 5 * clock.Second},
		requestLoans: options.RequestLoans, isolatedInstances: maxIsolatedInstances,
		buckets: map[team.Name]*bucket{}, byKey: map[TeamKey]*bucket{}, senders: map[Sender]*senderCounts{},
	}
}

// SetBounds sets how far limits may be exceeded.
func (limiter *Limiter) SetBounds(bounds Bounds) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.bounds = bounds
}

// SetFleetFraction sets the fraction of the fleet, from 0 to 1, that this instance exchanges reports with.
func (limiter *Limiter) SetFleetFraction(fraction float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share := limiter.shareFor(fraction)
	if share == limiter.share {
		return
	}
	now := limiter.clock.Now()
	for _, bucket := range limiter.buckets {
		limiter.refill(now, bucket)
	}
	limiter.share = share
}

// LimitChange is a change of a team's limit. Before and Rate are in requests a second, Burst is in requests at once.
type LimitChange struct {
	Team                team.Name
	Before, Rate, Burst float64
}

// shareFor returns the share of each limit that a part of the fleet may use. Two parts that make up the whole fleet together use no
// more than the limit and partitionedOverShare of the allowed excess.
func (limiter *Limiter) shareFor(fraction float64) float64 {
	combined := 1 + partitionedOverShare*limiter.bounds.Over
	switch {
	case fraction >= majorityFraction:
		return majorityShare + (1-majorityShare)*(min(fraction, 1)-majorityFraction)/(1-majorityFraction)
	case fraction >= 1-majorityFraction:
		minorityShare := combined - majorityShare
		return minorityShare + (majorityShare-minorityShare)*(fraction-(1-majorityFraction))/(2*majorityFraction-1)
	default:
		return (combined - majorityShare) * max(fraction, 0) / (1 - majorityFraction)
	}
}

// SetTeams replaces the limits, and returns those that changed. The levels of the buckets are kept; a lower limit applies at once.
func (limiter *Limiter) SetTeams(teams []team.Team) []LimitChange {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	kept := make(map[team.Name]bool, len(teams))
	var changes []LimitChange
	for index := range teams {
		limit := &teams[index]
		if !limit.Limited() {
			continue
		}
		kept[limit.Name] = true
		known, found := limiter.buckets[limit.Name]
		if !found {
			known = &bucket{name: limit.Name, key: keyOf(limit.Name), created: now, filledAt: now}
			limiter.setLimit(known, limit)
			known.limit = *limit
			limiter.setLimit(known, limit)
			known.level = max(initialFill*known.burst, 1)
			limiter.buckets[limit.Name] = known
			limiter.byKey[known.key] = known
		}
		if known.limit.Rate != limit.Rate || known.limit.Burst != limit.Burst {
			changes = append(changes, LimitChange{Team: limit.Name, Before: known.limit.Rate, Rate: limit.Rate, Burst: limit.Burst})
		}
		limiter.refill(now, known)
		limiter.setLimit(known, limit)
		known.limit = *limit
		known.level = min(known.level, limiter.capacity(known))
	}
	for name, bucket := range limiter.buckets {
		if !kept[name] {
			delete(limiter.buckets, name)
			delete(limiter.byKey, bucket.key)
			bucket.reportUntil = 0
		}
	}
	return changes
}

// Admit admits a request of the team, or returns the time after which its caller may retry. A team without a limit is always
// admitted.
func (limiter *Limiter) Admit(name team.Name) (clock.Milliseconds, bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket, limited := limiter.buckets[name]
	if !limited {
		return 0, true
	}
	return limiter.admit(limiter.clock.Now(), bucket)
}

func (limiter *Limiter) admit(now clock.Moment, bucket *bucket) (clock.Milliseconds, bool) {
	limiter.refill(now, bucket)
	if bucket.level < 1 {
		bucket.usage.Refused++
		return limiter.retryAfter(bucket), false
	}
	limiter.scheduleReport(now, bucket)
	bucket.level--
	bucket.total++
	bucket.usage.Admitted++
	return 0, true
}

// RecordAttempt counts another attempt of a request that was admitted and may have run. The attempt is not refused, but later
// requests may be.
func (limiter *Limiter) RecordAttempt(name team.Name) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket, limited := limiter.buckets[name]
	if !limited {
		return
	}
	now := limiter.clock.Now()
	bucket.usage.Repeated++
	if limiter.borrowing {
		bucket.borrowed.used++
		return
	}
	limiter.refill(now, bucket)
	limiter.scheduleReport(now, bucket)
	bucket.level--
	bucket.total++
}

// Return returns what was taken from the bucket for a request that did not run and never will.
func (limiter *Limiter) Return(name team.Name) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket, limited := limiter.buckets[name]
	if !limited {
		return
	}
	now := limiter.clock.Now()
	bucket.usage.Returned++
	if limiter.borrowing {
		bucket.borrowed.used--
		return
	}
	limiter.refill(now, bucket)
	limiter.scheduleReport(now, bucket)
	bucket.level = min(bucket.level+1, limiter.capacity(bucket))
	bucket.total--
}

// Exhausted reports whether the team's bucket has nothing left for a hedged request.
func (limiter *Limiter) Exhausted(name team.Name) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket, limited := limiter.buckets[name]
	if !limited {
		return false
	}
	now := limiter.clock.Now()
	if limiter.borrowing {
		return now < bucket.borrowed.deniedUntil
	}
	limiter.refill(now, bucket)
	return bucket.level < 1
}

// Usage returns the usage of each team that has a limit, in no particular order.
func (limiter *Limiter) Usage() []Usage {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	usages := make([]Usage, 0, len(limiter.buckets))
	for _, bucket := range limiter.buckets {
		limiter.refill(now, bucket)
		usage := bucket.usage
		usage.Team, usage.Rate, usage.Level = bucket.name, bucket.rate, bucket.level
		usages = append(usages, usage)
	}
	return usages
}
