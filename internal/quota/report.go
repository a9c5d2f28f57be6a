package quota

import (
	"math"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// reportPeriod is how long a total is reported after it changed, since datagrams may be lost.
	reportPeriod = 200 * clock.Millisecond
	// lapseTimeout is the time without a report from a sender after which the requests that it admitted meanwhile are not deducted:
	// it admitted them in another part of a partitioned fleet, or long ago. A bucket for which no report came for that long has
	// missed deductions, and adopts the level of the next report if that is lower.
	lapseTimeout = clock.Second
	// levelSettlingTime is the age from which a bucket's level is reported for others to adopt.
	levelSettlingTime = 2 * clock.Second
	// senderExpiry is how long the totals of a sender are kept after its last report.
	senderExpiry = clock.Minute
	// maxSenders is the maximum number of senders that are kept, maxCounts the maximum number of counts in one report.
	maxSenders = 4096
	maxCounts  = 96
	// maxStep bounds the change of a total that is accepted from one report: otherwise a malformed report would empty a bucket for
	// long.
	maxStep = 1 << 20
)

// Sender identifies one run of an instance that reports.
type Sender uint64

// Count is the number of requests of a team that an instance has admitted.
type Count struct {
	_ struct{} `cbor:",toarray"`

	Team TeamKey
	// Total counts from the sender's start and wraps around.
	Total uint32
	// Level is the level of the sender's bucket, unknownLevel when the bucket was created recently.
	Level int16
}

// unknownLevel is reported instead of a level that others should not adopt.
const unknownLevel = math.MinInt16

// Report contains the requests that one instance has admitted, for another instance.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Sender Sender
	// Sequence increases with each report of a sender.
	Sequence uint64
	Counts   []Count
}

// senderCounts are the totals last reported by one sender.
type senderCounts struct {
	sequence   uint64
	totals     map[TeamKey]uint32
	receivedAt clock.Moment
}

// scheduleReport includes the bucket's total in the reports of the next reportPeriod.
func (limiter *Limiter) scheduleReport(now clock.Moment, bucket *bucket) {
	bucket.reportUntil = now.Add(reportPeriod)
	if !bucket.reporting {
		bucket.reporting = true
		limiter.reporting = append(limiter.reporting, bucket)
	}
}

// Reports returns the reports for other instances, each of which fits into one datagram; nil when there is nothing to report.
func (limiter *Limiter) Reports(sender Sender) []Report {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	counts := make([]Count, 0, len(limiter.reporting))
	remaining := limiter.reporting[:0]
	for _, bucket := range limiter.reporting {
		if now > bucket.reportUntil {
			bucket.reporting = false
			continue
		}
		remaining = append(remaining, bucket)
		limiter.refill(now, bucket)
		counts = append(counts, Count{Team: bucket.key, Total: bucket.total, Level: bucket.reportedLevel(now)})
	}
	clear(limiter.reporting[len(remaining):])
	limiter.reporting = remaining
	var reports []Report
	for part := range slices.Chunk(counts, maxCounts) {
		limiter.sequence++
		reports = append(reports, Report{Sender: sender, Sequence: limiter.sequence, Counts: part})
	}
	return reports
}

// EmptyReport returns a report without counts, which shows only that its sender receives reports of others.
func (limiter *Limiter) EmptyReport(sender Sender) Report {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.sequence++
	return Report{Sender: sender, Sequence: limiter.sequence}
}

// Receive deducts the requests that another instance has admitted from the buckets. A report that is out of order or repeated is
// ignored.
func (limiter *Limiter) Receive(report Report) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	limiter.expireSenders(now)
	known, found := limiter.senders[report.Sender]
	if !found {
		if len(limiter.senders) >= maxSenders {
			return
		}
		known = &senderCounts{totals: map[TeamKey]uint32{}}
		limiter.senders[report.Sender] = known
	}
	if report.Sequence <= known.sequence {
		return
	}
	lapsed := now.Since(known.receivedAt) > lapseTimeout
	known.sequence, known.receivedAt = report.Sequence, now
	for index, count := range report.Counts {
		bucket, limited := limiter.byKey[count.Team]
		repeated := slices.ContainsFunc(report.Counts[:index], func(earlier Count) bool { return earlier.Team == count.Team })
		if !limited || repeated {
			continue
		}
		if now.Since(bucket.lastRemote) > lapseTimeout && count.Level != unknownLevel {
			limiter.refill(now, bucket)
			bucket.level = min(bucket.level, max(float64(count.Level), bucket.minReportLevel()))
		}
		bucket.lastRemote = now
		before, knownBefore := known.totals[count.Team]
		known.totals[count.Team] = count.Total
		if step := int32(count.Total - before); knownBefore && !lapsed && step > -maxStep && step < maxStep {
			limiter.deductRemote(now, bucket, step)
		}
	}
}

// reportedLevel returns the level as it is reported.
func (bucket *bucket) reportedLevel(now clock.Moment) int16 {
	if now.Since(bucket.created) < levelSettlingTime {
		return unknownLevel
	}
	return int16(min(max(bucket.level, math.MinInt16+1), math.MaxInt16))
}

// deductRemote deducts requests that another instance has admitted; a negative number returns them.
func (limiter *Limiter) deductRemote(now clock.Moment, bucket *bucket, step int32) {
	if step == 0 {
		return
	}
	limiter.refill(now, bucket)
	level := max(bucket.level-float64(step), min(bucket.minReportLevel(), bucket.level))
	bucket.level = min(level, limiter.capacity(bucket))
	if step > 0 {
		bucket.usage.Remote += uint64(step)
	}
}

// expireSenders removes the totals of senders that have not reported for senderExpiry.
func (limiter *Limiter) expireSenders(now clock.Moment) {
	if now < limiter.nextExpiry {
		return
	}
	limiter.nextExpiry = now.Add(senderExpiry / 4)
	for sender, known := range limiter.senders {
		if now.Since(known.receivedAt) > senderExpiry {
			delete(limiter.senders, sender)
		}
	}
}
