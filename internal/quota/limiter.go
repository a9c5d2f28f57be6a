// Package quota holds teams to their rate limits over a whole fleet without shared state. Each instance keeps a token bucket for every
// team, which stands for the bucket of the whole fleet: it takes its own requests out, and those that other instances report to it.
//
// Instances that do not hear each other can't count together. Each then uses the part of a limit that answers to the part of the fleet
// that it sees, so that all parts together stay below what may be exceeded. A bucket starts with little in it: hundreds of instances that
// are restarted at once would else let in a burst each.
//
// # Usage
//
//	ledger := quota.NewLedger(quota.Options{Clock: clock, Rand: random})
//	ledger.SetTeams(configuration.Teams)
//	ledger.SetShare(sight)
//	if wait, taken := ledger.Take(name); !taken { ... }   // the caller may return after the wait
//	ledger.Return(name)                                   // the request has not run
//	reports := ledger.Reports(sender)                     // for the other instances
//	ledger.Hear(report)                                   // what another one reported
package quota

import (
	"math/rand/v2"
	"sync"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// overApart is the part of the excess allowed that two parts of a fleet use together which do not hear each other.
	overApart = 0.3
	// largePart is the part of a fleet from which on almost the whole limit may be used, largeShare what is used then. The smaller the
	// other part is, the fewer callers it has.
	largePart  = 0.65
	largeShare = 0.95
)

// Bounds are agreed with whoever sets the limits.
type Bounds struct {
	// Window is the span in which requests are counted.
	Window clock.Milliseconds
	// Over is the part of a limit by which it may be exceeded, Slack the number of requests besides.
	Over, Slack float64
}

// Options are what a Ledger is made from.
type Options struct {
	Clock *clock.Clock
	Rand  *rand.Rand
}

// Limiter counts the requests of teams against their limits. It is safe for concurrent use.
type Limiter struct {
	clock *clock.Clock

	mutex  sync.Mutex
	random *rand.Rand
	bounds Bounds
	// share is the part of each limit that this instance may use.
	share   float64
	buckets map[team.Name]*bucket
	byKey   map[TeamKey]*bucket
	// reporting are the buckets whose count is to be reported.
	reporting []*bucket
	// sequence numbers reports.
	sequence uint64
	// heard are the counts that other instances reported last.
	heard map[Sender]*heardCounts
	// nextForget is when senders that fell silent are looked for.
	nextForget clock.Moment
}

// NewLimiter returns a ledger without teams.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		clock: options.Clock, random: options.Rand, bounds: Bounds{Window: 5 * clock.Second},
		buckets: map[team.Name]*bucket{}, byKey: map[TeamKey]*bucket{}, heard: map[Sender]*heardCounts{},
	}
}

// SetBounds changes by how much limits may be exceeded.
func (ledger *Limiter) SetBounds(bounds Bounds) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.bounds = bounds
}

// SetFleetFraction notes which part of the fleet this instance counts together with, from 0 to 1.
func (ledger *Limiter) SetFleetFraction(seen float64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	share := ledger.shareOf(seen)
	if share == ledger.share {
		return
	}
	now := ledger.clock.Now()
	for _, bucket := range ledger.buckets {
		ledger.fill(now, bucket)
	}
	ledger.share = share
}

// LimitChange is a limit that has changed, in requests a second and at once.
type LimitChange struct {
	Team                team.Name
	Before, Rate, Burst float64
}

// shareOf is the part of each limit that a part of the fleet may use. Two parts that make up the whole use no more together than the limit
// and the part of the excess that is meant for that.
func (ledger *Limiter) shareOf(seen float64) float64 {
	together := 1 + overApart*ledger.bounds.Over
	switch {
	case seen >= largePart:
		return largeShare + (1-largeShare)*(min(seen, 1)-largePart)/(1-largePart)
	case seen >= 1-largePart:
		small := together - largeShare
		return small + (largeShare-small)*(seen-(1-largePart))/(2*largePart-1)
	default:
		return (together - largeShare) * max(seen, 0) / (1 - largePart)
	}
}

// SetTeams replaces the limits, and returns those that differ from before. What a team has used stays; a lower limit holds at once.
func (ledger *Limiter) SetTeams(teams []team.Team) []LimitChange {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.Now()
	kept := make(map[team.Name]bool, len(teams))
	var changes []LimitChange
	for index := range teams {
		named := &teams[index]
		if !named.Limited() {
			continue
		}
		kept[named.Name] = true
		known, found := ledger.buckets[named.Name]
		if !found {
			known = &bucket{name: named.Name, key: keyOf(named.Name), made: now, filled: now}
			ledger.setLimit(known, named)
			known.limit = *named
			ledger.setLimit(known, named)
			known.level = max(startsWith*known.burst, 1)
			ledger.buckets[named.Name] = known
			ledger.byKey[known.key] = known
		}
		if known.limit.Rate != named.Rate || known.limit.Burst != named.Burst {
			changes = append(changes, LimitChange{Team: named.Name, Before: known.limit.Rate, Rate: named.Rate, Burst: named.Burst})
		}
		ledger.fill(now, known)
		ledger.setLimit(known, named)
		known.limit = *named
		known.level = min(known.level, ledger.room(known))
	}
	for name, bucket := range ledger.buckets {
		if !kept[name] {
			delete(ledger.buckets, name)
			delete(ledger.byKey, bucket.key)
			bucket.reportUntil = 0
		}
	}
	return changes
}

// Admit lets a request of the team in, or returns when its caller may come back. A team without a limit is always let in.
func (ledger *Limiter) Admit(name team.Name) (clock.Milliseconds, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket, limited := ledger.buckets[name]
	if !limited {
		return 0, true
	}
	now := ledger.clock.Now()
	ledger.fill(now, bucket)
	if bucket.level < 1 {
		bucket.usage.Refused++
		return ledger.wait(bucket), false
	}
	ledger.report(now, bucket)
	bucket.level--
	bucket.total++
	bucket.usage.Admitted++
	return 0, true
}

// RecordAttempt counts another attempt of a request that was let in and may have run. It is not refused, but what comes after it may be.
func (ledger *Limiter) RecordAttempt(name team.Name) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket, limited := ledger.buckets[name]
	if !limited {
		return
	}
	now := ledger.clock.Now()
	ledger.fill(now, bucket)
	ledger.report(now, bucket)
	bucket.level--
	bucket.total++
	bucket.usage.Repeated++
}

// Return gives back what a request took that has not run and never will.
func (ledger *Limiter) Return(name team.Name) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket, limited := ledger.buckets[name]
	if !limited {
		return
	}
	now := ledger.clock.Now()
	ledger.fill(now, bucket)
	ledger.report(now, bucket)
	bucket.level = min(bucket.level+1, ledger.room(bucket))
	bucket.total--
	bucket.usage.Returned++
}

// Exhausted reports whether the team has nothing left for a second copy of a request.
func (ledger *Limiter) Exhausted(name team.Name) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket, limited := ledger.buckets[name]
	if !limited {
		return false
	}
	ledger.fill(ledger.clock.Now(), bucket)
	return bucket.level < 1
}

// Usage returns what is known of each limited team, in no particular order.
func (ledger *Limiter) Usage() []Usage {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.Now()
	usages := make([]Usage, 0, len(ledger.buckets))
	for _, bucket := range ledger.buckets {
		ledger.fill(now, bucket)
		usage := bucket.usage
		usage.Team, usage.Rate, usage.Level = bucket.name, bucket.rate, bucket.level
		usages = append(usages, usage)
	}
	return usages
}
