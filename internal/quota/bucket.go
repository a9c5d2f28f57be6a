package quota

import (
	"hash/fnv"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// startsMost is the number of instances among which the requests are divided that may exceed a limit: as many may serve without
	// hearing of each other.
	startsMost = 32
	// overUsed and slackUsed are the parts of the excess allowed that every bucket has: a team of one request a second whose requests come
	// by chance would be refused by a bucket that holds one. The rest is for the time in which instances have not heard of each other.
	overUsed  = 0.05
	slackUsed = 0.4
	// atOnce is the part of a burst that may come at once.
	atOnce = 0.5
	// startsWith is the part of its burst with which a bucket starts: the rest may have been used before a whole fleet was restarted.
	startsWith = 0.1
	// leastWait and mostWait bound when a refused caller may return, waitSpread spreads returns as a part of that time.
	leastWait  = 50 * clock.Millisecond
	mostWait   = 2 * clock.Second
	waitSpread = 1.0
	// debtMost bounds how long a team is refused for what others reported.
	debtMost = clock.Second
)

// bucket is one team's.
type bucket struct {
	name        team.Name
	key         TeamKey
	made        clock.Moment
	limit       team.Team
	rate, burst float64
	// level is the number of requests that may be let in now, at the time filled. It is below 0 when too many were.
	level  float64
	filled clock.Moment
	// total is the number of requests let in here, returned ones taken off.
	total uint32
	// heard is when another instance last reported requests.
	heard clock.Moment
	// reportUntil is until when the count is reported.
	reportUntil clock.Moment
	reported    bool
	usage       Usage
}

// Usage is what operators are told of a team.
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

// setLimit has a bucket let in what the team may send within a window, and a part of what it may send beyond that. Only a part of a burst
// comes at once. The rest comes over the window, so that a team at its limit goes on to get what it may send in each.
func (ledger *Limiter) setLimit(bucket *bucket, limit *team.Team) {
	window := float64(ledger.bounds.Window / clock.Second)
	burst := atOnce * limit.Burst
	bucket.rate = (ledger.within(limit) - burst) / window * (1 + overUsed*ledger.bounds.Over)
	bucket.burst = burst + slackUsed*ledger.bounds.Slack
}

// within is the number of requests that a limit allows in a window.
func (ledger *Limiter) within(limit *team.Team) float64 {
	return limit.Rate*float64(ledger.bounds.Window/clock.Second) + limit.Burst
}

// spare is the part of the excess allowed that one instance may use which counts with nobody.
func (ledger *Limiter) spare(bucket *bucket) float64 {
	return max((ledger.bounds.Over*ledger.within(&bucket.limit)+ledger.bounds.Slack)/startsMost, 1)
}

// room is how much a bucket holds at most.
func (ledger *Limiter) room(bucket *bucket) float64 {
	return max(ledger.share*bucket.burst, min(ledger.spare(bucket), bucket.burst), 1)
}

// pace is how many requests a second come back into a bucket.
func (ledger *Limiter) pace(bucket *bucket) float64 {
	alone := ledger.spare(bucket) / float64(ledger.bounds.Window/clock.Second)
	return max(ledger.share*bucket.rate, min(alone, bucket.rate))
}

// fill brings a bucket up to date.
func (ledger *Limiter) fill(now clock.Moment, bucket *bucket) {
	passed := max(now.Since(bucket.filled), 0)
	bucket.filled = now
	room := ledger.room(bucket)
	if bucket.level >= room {
		bucket.level = room
		return
	}
	bucket.level = min(bucket.level+ledger.pace(bucket)*float64(passed/clock.Second), room)
}

// leastLevel is the lowest level to which reports of others bring a bucket.
func (bucket *bucket) leastLevel() float64 {
	return -bucket.rate * float64(debtMost/clock.Second)
}

// wait is when room is expected for a caller that is refused now, spread by chance so that those refused together don't return together.
func (ledger *Limiter) wait(bucket *bucket) clock.Milliseconds {
	wait := clock.Milliseconds(max(1-bucket.level, 0)/ledger.pace(bucket)) * clock.Second
	return min(max(wait, leastWait), mostWait) * clock.Milliseconds(1+waitSpread*ledger.random.Float64())
}

// TeamKey stands for a team's name in datagrams.
type TeamKey uint32

func keyOf(name team.Name) TeamKey {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(name))
	return TeamKey(hash.Sum32())
}
