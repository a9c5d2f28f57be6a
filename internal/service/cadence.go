package service

import (
	"math"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// A target's slowness does not change at just any moment: whatever shares its machine is scheduled anew at a steady
// pace, so that changes come at a fixed phase of a fixed period. Once both are known, one reading just after a possible
// change holds until the next one, and a request can be placed where the calm lasts as long as its work. The period is
// the same for the targets of a service; each has a phase of its own.

// Learning a cadence.
const (
	// sharpWithin is the longest time between two readings that disagree for the change between them to tell a phase.
	sharpWithin = 40 * clock.Millisecond
	// changesKept is the number of changes kept of each target.
	changesKept = 32
	// changesPerTarget and changesInAll are needed before a period is looked for.
	changesPerTarget = 3
	changesInAll     = 40
	// shortestPeriod and longestPeriod bound the search, periodStep is its step. A change told by readings 15 ms apart
	// says no more about shorter ones, and longer ones make hardly a difference to a request.
	shortestPeriod = 40 * clock.Millisecond
	longestPeriod  = 600 * clock.Millisecond
	periodStep     = 0.5 * clock.Millisecond
	// roundStep is what periods of schedulers are mostly a multiple of. A round period is taken when it fits nearly as
	// well as the best: some dozen changes tell a period to 0.2 ms only, and after ten seconds that is half a spell.
	roundStep = 5 * clock.Millisecond
	// nearlyAsWell is how well it must fit against the best.
	nearlyAsWell = 0.97
	// agreementLeast is how well the changes must agree with a period: 1 is perfectly, chance brings some 0.45.
	agreementLeast = 0.8
	// phaseWeight is the weight of a new change in a known phase.
	phaseWeight = 0.2
	// edge is how near to a possible change a reading says nothing for certain about either side.
	edge = 8 * clock.Millisecond
	// contradictionsMost is the number of readings against a cadence after which it is dropped; one that agrees makes
	// up for agreedWorth of one. A wrong phase shows in 1 of 8 comparisons. A busy instance notes some readings late, which
	// must not count for that: dropped at every second one, cadences were learnt all the time at 50 probes a second.
	contradictionsMost = 4.0
	agreedWorth        = 0.08
	// settledFrom is the number of sharply seen changes, of a weight above sharpEnough, from which a phase counts as
	// settled; then one probe in verifyEvery comes before a boundary.
	settledFrom = 5
	sharpEnough = 0.1
	verifyEvery = 10
	// edgeMargin is how long before and after a possible change a target is probed. The two readings tell the phase
	// sharply enough to follow a period that is a little off or a clock that drifts.
	edgeMargin = 8 * clock.Millisecond
)

// change is a moment between two readings that disagree. Its weight is the larger the nearer the two were.
type change struct {
	at     clock.Moment
	weight float64
}

// sharpest is the time between two readings at which a change has full weight.
const sharpest = 8 * clock.Millisecond

// cadence is what is known of the moments at which one target's slowness may change.
type cadence struct {
	// period is 0 until it is known; boundary is then one such moment.
	period   clock.Milliseconds
	boundary clock.Moment
	changes  []change
	last     LoadReading
	against  float64
	// settled counts the changes that were seen sharply since the phase is known, looks the probes asked for.
	settled, looks int
}

// observe learns from a reading.
func (cadence *cadence) observe(reading LoadReading) {
	before := cadence.last
	if reading.Slowdown <= 0 || before.At > reading.At {
		return
	}
	cadence.last = reading
	if before.Slowdown <= 0 {
		return
	}
	differs := before.Slowdown != reading.Slowdown
	if differs && reading.At.Since(before.At) <= sharpWithin {
		cadence.addChange(before.At, reading.At)
	}
	cadence.check(before, reading, differs)
}

func (cadence *cadence) addChange(before, after clock.Moment) {
	width := after.Since(before)
	at := before.Add(width / 2)
	weight := float64(min(sharpest/width, 1))
	weight *= weight
	if len(cadence.changes) == changesKept {
		copy(cadence.changes, cadence.changes[1:])
		cadence.changes = cadence.changes[:changesKept-1]
	}
	cadence.changes = append(cadence.changes, change{at: at, weight: weight})
	if cadence.period > 0 {
		if weight > sharpEnough {
			cadence.settled++
		}
		cadence.boundary = cadence.boundary.Add(phaseWeight * clock.Milliseconds(weight) * cadence.offset(at))
	}
}

// offset is how far a moment lies from the nearest boundary, negative before it.
func (cadence *cadence) offset(at clock.Moment) clock.Milliseconds {
	return clock.Milliseconds(math.Remainder(float64(at.Since(cadence.boundary)), float64(cadence.period)))
}

// nearChange reports whether the moment is so near to a possible change that it is not certain on which side of it.
func (cadence *cadence) nearChange(at clock.Moment) bool {
	offset := cadence.offset(at)
	return max(offset, -offset) < edge
}

// check compares two readings with the cadence: within one spell they must agree.
func (cadence *cadence) check(before, now LoadReading, differs bool) {
	if cadence.period == 0 || cadence.spell(before.At) != cadence.spell(now.At) {
		return
	}
	if cadence.nearChange(before.At) || cadence.nearChange(now.At) {
		return
	}
	if !differs {
		cadence.against = max(cadence.against-agreedWorth, 0)
		return
	}
	cadence.against++
	if cadence.against >= contradictionsMost {
		cadence.forget()
	}
}

func (cadence *cadence) forget() {
	cadence.period = 0
	cadence.against = 0
	cadence.settled = 0
	cadence.changes = nil
}

// spell numbers the time between two boundaries.
func (cadence *cadence) spell(at clock.Moment) float64 {
	return math.Floor(float64(at.Since(cadence.boundary)) / float64(cadence.period))
}

// until is the time from now to the next boundary.
func (cadence *cadence) until(now clock.Moment) clock.Milliseconds {
	next := (cadence.spell(now) + 1) * float64(cadence.period)
	return cadence.boundary.Add(clock.Milliseconds(next)).Since(now)
}

// since is the time from the last boundary until now.
func (cadence *cadence) since(now clock.Moment) clock.Milliseconds {
	return cadence.period - cadence.until(now)
}

// learn takes a period that fits the changes of all targets, and finds the own phase.
func (cadence *cadence) learn(period clock.Milliseconds) {
	if len(cadence.changes) < changesPerTarget {
		return
	}
	sine, cosine, weight := cadence.sums(period)
	if math.Hypot(sine, cosine)/weight < agreementLeast {
		return
	}
	angle := math.Atan2(sine, cosine)
	cadence.period = period
	cadence.boundary = clock.Moment(angle / (2 * math.Pi) * float64(period))
}

// sums adds up the changes as angles around the period, and their weights.
func (cadence *cadence) sums(period clock.Milliseconds) (float64, float64, float64) {
	var sine, cosine, weight float64
	for _, change := range cadence.changes {
		partSine, partCosine := math.Sincos(2 * math.Pi * float64(change.at) / float64(period))
		sine += change.weight * partSine
		cosine += change.weight * partCosine
		weight += change.weight
	}
	return sine, cosine, weight
}

// nextLook is how long from now a reading tells most: just after the next boundary. While the phase is not settled, and
// now and then later, also just before it.
func (cadence *cadence) nextLook(now clock.Moment) clock.Milliseconds {
	until := cadence.until(now)
	if until <= 2*edgeMargin {
		return until + edgeMargin
	}
	cadence.looks++
	if cadence.settled < settledFrom || cadence.looks%verifyEvery == 0 {
		return until - edgeMargin
	}
	return until + edgeMargin
}

// set takes over what another instance has learnt.
func (cadence *cadence) set(boundary clock.Moment, period clock.Milliseconds) {
	cadence.boundary = boundary
	cadence.period = period
}

// findPeriod looks for the period that fits the changes of all targets best. It returns 0 when none fits well.
func findPeriod(cadences []*cadence) clock.Milliseconds {
	var known []*cadence
	count := 0
	for _, cadence := range cadences {
		if len(cadence.changes) >= changesPerTarget {
			known = append(known, cadence)
			count += len(cadence.changes)
		}
	}
	if count < changesInAll {
		return 0
	}
	best, agreement := searchPeriod(known, shortestPeriod, longestPeriod, periodStep)
	if agreement < agreementLeast {
		return 0
	}
	round := clock.Milliseconds(math.Round(float64(best/roundStep))) * roundStep
	if agreementWith(known, round) >= nearlyAsWell*agreement {
		return round
	}
	return best
}

func searchPeriod(known []*cadence, from, to, step clock.Milliseconds) (clock.Milliseconds, float64) {
	var best clock.Milliseconds
	var most float64
	for period := from; period <= to; period += step {
		if agreement := agreementWith(known, period); agreement > most {
			most, best = agreement, period
		}
	}
	return best, most
}

// agreementWith is how well the changes of all targets fit a period, from 0 to 1.
func agreementWith(known []*cadence, period clock.Milliseconds) float64 {
	var length, weights float64
	for _, cadence := range known {
		sine, cosine, weight := cadence.sums(period)
		length += math.Hypot(sine, cosine)
		weights += weight
	}
	return length / weights
}
