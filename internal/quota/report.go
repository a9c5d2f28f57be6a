package quota

import (
	"math"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

const (
	// repeatFor is how long a count is reported after it changed: datagrams are lost at times.
	repeatFor = 200 * clock.Millisecond
	// lapsedAfter is the silence after which what a sender let in meanwhile is not taken off: it was let in from another part of the fleet,
	// or long ago. An instance that heard of nobody's requests for that long has missed what a bucket lost, and takes over another one's level.
	lapsedAfter = clock.Second
	// settledAfter is the age from which a bucket's level is worth taking over.
	settledAfter = 2 * clock.Second
	// forgetAfter is how long a silent sender's counts are kept.
	forgetAfter = clock.Minute
	// sendersMost bounds the number of senders that are kept, countsMost that of counts in one report.
	sendersMost = 4096
	countsMost  = 96
	// stepMost is the largest change of a count that is believed at once: a report that is no report would else empty a bucket for long.
	stepMost = 1 << 20
)

// Sender tells the instances that report from each other, and one run of an instance from another.
type Sender uint64

// Count is how many requests of a team an instance has let in.
type Count struct {
	_ struct{} `cbor:",toarray"`

	Team TeamKey
	// Total counts from the sender's start and wraps.
	Total uint32
	// Level is the sender's, unknownLevel when it has just started.
	Level int16
}

// unknownLevel stands for a level that is not worth taking over.
const unknownLevel = math.MinInt16

// Report is what one instance tells another of the requests that it has let in.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Sender Sender
	// Sequence rises with each report of a sender.
	Sequence uint64
	Counts   []Count
}

// heardCounts are those of one sender.
type heardCounts struct {
	sequence uint64
	totals   map[TeamKey]uint32
	at       clock.Moment
}

// report has the bucket's count reported.
func (ledger *Limiter) report(now clock.Moment, bucket *bucket) {
	bucket.reportUntil = now.Add(repeatFor)
	if !bucket.reported {
		bucket.reported = true
		ledger.reporting = append(ledger.reporting, bucket)
	}
}

// Reports returns what other instances are to hear, each of which fits into one datagram; nil when there is nothing.
func (ledger *Limiter) Reports(sender Sender) []Report {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.Now()
	counts := make([]Count, 0, len(ledger.reporting))
	remaining := ledger.reporting[:0]
	for _, bucket := range ledger.reporting {
		if now > bucket.reportUntil {
			bucket.reported = false
			continue
		}
		remaining = append(remaining, bucket)
		ledger.fill(now, bucket)
		counts = append(counts, Count{Team: bucket.key, Total: bucket.total, Level: bucket.tellLevel(now)})
	}
	clear(ledger.reporting[len(remaining):])
	ledger.reporting = remaining
	var reports []Report
	for part := range slices.Chunk(counts, countsMost) {
		ledger.sequence++
		reports = append(reports, Report{Sender: sender, Sequence: ledger.sequence, Counts: part})
	}
	return reports
}

// EmptyReport returns a report that says only that its sender hears others.
func (ledger *Limiter) EmptyReport(sender Sender) Report {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.sequence++
	return Report{Sender: sender, Sequence: ledger.sequence}
}

// Receive takes what another instance has let in out of the buckets. A report that comes late or twice changes nothing.
func (ledger *Limiter) Receive(report Report) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.Now()
	ledger.forgetSilent(now)
	known, found := ledger.heard[report.Sender]
	if !found {
		if len(ledger.heard) >= sendersMost {
			return
		}
		known = &heardCounts{totals: map[TeamKey]uint32{}}
		ledger.heard[report.Sender] = known
	}
	if report.Sequence <= known.sequence {
		return
	}
	lapsed := now.Since(known.at) > lapsedAfter
	known.sequence, known.at = report.Sequence, now
	for _, count := range report.Counts {
		bucket, limited := ledger.byKey[count.Team]
		if !limited {
			continue
		}
		if now.Since(bucket.heard) > lapsedAfter && count.Level != unknownLevel {
			ledger.fill(now, bucket)
			bucket.level = min(bucket.level, max(float64(count.Level), bucket.leastLevel()))
		}
		bucket.heard = now
		before, heardBefore := known.totals[count.Team]
		known.totals[count.Team] = count.Total
		if step := int32(count.Total - before); heardBefore && !lapsed && step > -stepMost && step < stepMost {
			ledger.takeElsewhere(now, bucket, step)
		}
	}
}

// tellLevel is the level as it is reported.
func (bucket *bucket) tellLevel(now clock.Moment) int16 {
	if now.Since(bucket.made) < settledAfter {
		return unknownLevel
	}
	return int16(min(max(bucket.level, math.MinInt16+1), math.MaxInt16))
}

// takeElsewhere takes requests off that another instance has let in; a negative number gives them back.
func (ledger *Limiter) takeElsewhere(now clock.Moment, bucket *bucket, step int32) {
	if step == 0 {
		return
	}
	ledger.fill(now, bucket)
	level := max(bucket.level-float64(step), min(bucket.leastLevel(), bucket.level))
	bucket.level = min(level, ledger.room(bucket))
	if step > 0 {
		bucket.usage.Remote += uint64(step)
	}
}

func (ledger *Limiter) forgetSilent(now clock.Moment) {
	if now < ledger.nextForget {
		return
	}
	ledger.nextForget = now.Add(forgetAfter / 4)
	for sender, known := range ledger.heard {
		if now.Since(known.at) > forgetAfter {
			delete(ledger.heard, sender)
		}
	}
}
