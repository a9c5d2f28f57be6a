package quota

import (
	"hash/fnv"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// maxIsolatedInstances is the number of instances among which the allowed excess is divided, in a fleet of that size or smaller: this
	// many may serve without receiving reports of each other.
	maxIsolatedInstances = 32
	// bucketOverShare and bucketSlackShare are the shares of the allowed excess (Bounds.Over and Bounds.Slack) that every bucket
	// has. Without them, a team with a limit of one request a second and random arrivals would be refused by a bucket that holds
	// one. The rest is for the time in which instances do not receive reports of each other.
	bucketOverShare  = 0.05
	bucketSlackShare = 0.3
	// immediateBurstShare is the share of a burst that may be admitted at once.
	immediateBurstShare = 0.5
	// initialFill is the share of its burst that a bucket starts with: the rest may have been used before a restart of the whole
	// fleet.
	initialFill = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may retry. retryAfterJitter is the maximum random
	// addition, as a share of that time.
	minRetryAfter    = 50 * clock.Millisecond
	maxRetryAfter    = 2 * clock.Second
	retryAfterJitter = 1.0
	// maxDebt is the longest time for which a team is refused because of requests that other instances reported: two others may each have
	// admitted what their buckets held. maxReportDebt is what a single report adds at most, since any process may send one.
	maxDebt       = 2 * clock.Second
	maxReportDebt = clock.Second
)

// bucket is the token bucket of one team.
type bucket struct {
	name        team.Name
	key         TeamKey
	created     clock.Moment
	limit       team.Team
	rate, burst float64
	// level is the number of requests that may be admitted at the time filledAt. It is below 0 when too many were admitted.
	level    float64
	filledAt clock.Moment
	// total is the number of requests admitted here, without the returned ones.
	total uint32
	// lastRemote is when another instance last reported requests.
	lastRemote clock.Moment
	// reportUntil is the time until which the total is reported; reporting is whether the bucket is in Limiter.reporting.
	reportUntil clock.Moment
	reporting   bool
	usage       Usage
	borrowed    borrowed
}

// Usage is what is published for operators about a team.
type Usage struct {
	Team     team.Name `json:"team"`
	Rate     float64   `json:"rate"`
	Level    float64   `json:"level"`
	Admitted uint64    `json:"letIn"`
	Refused  uint64    `json:"refused"`
	Returned uint64    `json:"returned"`
	Repeated uint64    `json:"repeated"`
	// Remote is the number of requests that other instances reported.
	Remote uint64 `json:"elsewhere"`
}

// setLimit sizes a bucket for what the limit allows in a window, and for a share of the allowed excess. Only a share of a burst is
// admitted at once; the rest comes over the window, so that a team at its limit gets the full allowance in each window.
func (limiter *Limiter) setLimit(bucket *bucket, limit *team.Team) {
	window := float64(limiter.bounds.Window / clock.Second)
	burst := immediateBurstShare * limit.Burst
	bucket.rate = (limiter.windowAllowance(limit) - burst) / window * (1 + bucketOverShare*limiter.bounds.Over)
	bucket.burst = burst + bucketSlackShare*limiter.bounds.Slack
}

// windowAllowance returns the number of requests that a limit allows in a window.
func (limiter *Limiter) windowAllowance(limit *team.Team) float64 {
	return limit.Rate*float64(limiter.bounds.Window/clock.Second) + limit.Burst
}

// isolatedAllowance returns the share of the allowed excess that one instance may use without receiving reports of any other.
func (limiter *Limiter) isolatedAllowance(bucket *bucket) float64 {
	return max(limiter.isolatedPart(bucket), 1)
}

// isolatedPart returns that share without the minimum of one request.
func (limiter *Limiter) isolatedPart(bucket *bucket) float64 {
	return (limiter.bounds.Over*limiter.windowAllowance(&bucket.limit) + limiter.bounds.Slack) / float64(limiter.isolatedInstances)
}

// capacity returns the maximum level of a bucket.
func (limiter *Limiter) capacity(bucket *bucket) float64 {
	return max(limiter.share*bucket.burst, min(limiter.isolatedAllowance(bucket), bucket.burst), 1)
}

// refillRate returns the number of requests a second by which a bucket is refilled.
func (limiter *Limiter) refillRate(bucket *bucket) float64 {
	isolatedRate := limiter.isolatedAllowance(bucket) / float64(limiter.bounds.Window/clock.Second)
	return max(limiter.share*bucket.rate, min(isolatedRate, bucket.rate))
}

// refill adds what has accrued since the bucket was last refilled.
func (limiter *Limiter) refill(now clock.Moment, bucket *bucket) {
	passed := max(now.Since(bucket.filledAt), 0)
	bucket.filledAt = now
	capacity := limiter.capacity(bucket)
	if bucket.level >= capacity {
		bucket.level = capacity
		return
	}
	bucket.level = min(bucket.level+limiter.refillRate(bucket)*float64(passed/clock.Second), capacity)
}

// minLevel returns the lowest level that reports of other instances can bring a bucket to.
func (bucket *bucket) minLevel() float64 {
	return -bucket.rate * float64(maxDebt/clock.Second)
}

// minReportLevel returns the lowest level that one more report can bring the bucket to.
func (bucket *bucket) minReportLevel() float64 {
	return max(min(bucket.level, 0)-bucket.rate*float64(maxReportDebt/clock.Second), bucket.minLevel())
}

// retryAfter returns the time after which a caller that is refused now can expect to be admitted. Jitter keeps callers that are
// refused at the same time from retrying at the same time.
func (limiter *Limiter) retryAfter(bucket *bucket) clock.Milliseconds {
	wait := clock.Milliseconds(max(1-bucket.level, 0)/limiter.refillRate(bucket)) * clock.Second
	return min(max(wait, minRetryAfter), maxRetryAfter) * clock.Milliseconds(1+retryAfterJitter*limiter.random.Float64())
}

// TeamKey identifies a team in datagrams: it is a hash of the team's name.
type TeamKey uint32

func keyOf(name team.Name) TeamKey {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(name))
	return TeamKey(hash.Sum32())
}
