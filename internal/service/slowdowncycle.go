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
	maxChangeWidth = 40 * clock.Millisecond
	// changesKept is the number of changes kept of each target.
	maxChanges = 32
	// changesPerTarget and changesInAll are needed before a period is looked for.
	minChangesPerTarget = 3
	minChangesTotal     = 40
	// shortestPeriod and longestPeriod bound the search, periodStep is its step. A change told by readings 15 ms apart
	// says no more about shorter ones, and longer ones make hardly a difference to a request.
	minPeriod  = 40 * clock.Millisecond
	maxPeriod  = 600 * clock.Millisecond
	periodStep = 0.5 * clock.Millisecond
	// roundStep is what periods of schedulers are mostly a multiple of. A round period is taken when it fits nearly as
	// well as the best: some dozen changes tell a period to 0.2 ms only, and after ten seconds that is half a spell.
	roundPeriodStep = 5 * clock.Millisecond
	// nearlyAsWell is how well it must fit against the best.
	minRoundAgreement = 0.97
	// agreementLeast is how well the changes must agree with a period: 1 is perfectly, chance brings some 0.45.
	minAgreement = 0.8
	// phaseWeight is the weight of a new change in a known phase.
	phaseWeight = 0.2
	// edge is how near to a possible change a reading says nothing for certain about either side.
	boundaryUncertainty = 8 * clock.Millisecond
	// contradictionsMost is the number of readings against a cadence after which it is dropped; one that agrees makes
	// up for agreedWorth of one. A wrong phase shows in 1 of 8 comparisons. A busy instance notes some readings late, which
	// must not count for that: dropped at every second one, cadences were learnt all the time at 50 probes a second.
	maxContradictions = 4.0
	agreementCredit   = 0.08
	// settledFrom is the number of sharply seen changes, of a weight above sharpEnough, from which a phase counts as
	// settled; then one probe in verifyEvery comes before a boundary.
	minPreciseChanges = 5
	minPreciseWeight  = 0.1
	verifyEvery       = 10
	// edgeMargin is how long before and after a possible change a target is probed. The two readings tell the phase
	// sharply enough to follow a period that is a little off or a clock that drifts.
	boundaryProbeMargin = 8 * clock.Millisecond
)

// change is a moment between two readings that disagree. Its weight is the larger the nearer the two were.
type slowdownChange struct {
	at     clock.Moment
	weight float64
}

// sharpest is the time between two readings at which a change has full weight.
const fullWeightWidth = 8 * clock.Millisecond

// cadence is what is known of the moments at which one target's slowness may change.
type slowdownCycle struct {
	// period is 0 until it is known; boundary is then one such moment.
	period         clock.Milliseconds
	boundary       clock.Moment
	changes        []slowdownChange
	lastReading    LoadReading
	contradictions float64
	// settled counts the changes that were seen sharply since the phase is known, looks the probes asked for.
	preciseChanges, probes int
}

// observe learns from a reading.
func (slowdownCycle *slowdownCycle) observe(reading LoadReading) {
	before := slowdownCycle.lastReading
	if reading.Slowdown <= 0 || before.At > reading.At {
		return
	}
	slowdownCycle.lastReading = reading
	if before.Slowdown <= 0 {
		return
	}
	differs := before.Slowdown != reading.Slowdown
	if differs && reading.At.Since(before.At) <= maxChangeWidth {
		slowdownCycle.addChange(before.At, reading.At)
	}
	slowdownCycle.check(before, reading, differs)
}

func (slowdownCycle *slowdownCycle) addChange(before, after clock.Moment) {
	width := after.Since(before)
	at := before.Add(width / 2)
	weight := float64(min(fullWeightWidth/width, 1))
	weight *= weight
	if len(slowdownCycle.changes) == maxChanges {
		copy(slowdownCycle.changes, slowdownCycle.changes[1:])
		slowdownCycle.changes = slowdownCycle.changes[:maxChanges-1]
	}
	slowdownCycle.changes = append(slowdownCycle.changes, slowdownChange{at: at, weight: weight})
	if slowdownCycle.period > 0 {
		if weight > minPreciseWeight {
			slowdownCycle.preciseChanges++
		}
		slowdownCycle.boundary = slowdownCycle.boundary.Add(phaseWeight * clock.Milliseconds(weight) * slowdownCycle.offset(at))
	}
}

// offset is how far a moment lies from the nearest boundary, negative before it.
func (slowdownCycle *slowdownCycle) offset(at clock.Moment) clock.Milliseconds {
	return clock.Milliseconds(math.Remainder(float64(at.Since(slowdownCycle.boundary)), float64(slowdownCycle.period)))
}

// nearChange reports whether the moment is so near to a possible change that it is not certain on which side of it.
func (slowdownCycle *slowdownCycle) nearBoundary(at clock.Moment) bool {
	offset := slowdownCycle.offset(at)
	return max(offset, -offset) < boundaryUncertainty
}

// check compares two readings with the cadence: within one spell they must agree.
func (slowdownCycle *slowdownCycle) check(before, now LoadReading, differs bool) {
	if slowdownCycle.period == 0 || slowdownCycle.intervalAt(before.At) != slowdownCycle.intervalAt(now.At) {
		return
	}
	if slowdownCycle.nearBoundary(before.At) || slowdownCycle.nearBoundary(now.At) {
		return
	}
	if !differs {
		slowdownCycle.contradictions = max(slowdownCycle.contradictions-agreementCredit, 0)
		return
	}
	slowdownCycle.contradictions++
	if slowdownCycle.contradictions >= maxContradictions {
		slowdownCycle.reset()
	}
}

func (slowdownCycle *slowdownCycle) reset() {
	slowdownCycle.period = 0
	slowdownCycle.contradictions = 0
	slowdownCycle.preciseChanges = 0
	slowdownCycle.changes = nil
}

// spell numbers the time between two boundaries.
func (slowdownCycle *slowdownCycle) intervalAt(at clock.Moment) float64 {
	return math.Floor(float64(at.Since(slowdownCycle.boundary)) / float64(slowdownCycle.period))
}

// until is the time from now to the next boundary.
func (slowdownCycle *slowdownCycle) untilBoundary(now clock.Moment) clock.Milliseconds {
	next := (slowdownCycle.intervalAt(now) + 1) * float64(slowdownCycle.period)
	return slowdownCycle.boundary.Add(clock.Milliseconds(next)).Since(now)
}

// since is the time from the last boundary until now.
func (slowdownCycle *slowdownCycle) sinceBoundary(now clock.Moment) clock.Milliseconds {
	return slowdownCycle.period - slowdownCycle.untilBoundary(now)
}

// learn takes a period that fits the changes of all targets, and finds the own phase.
func (slowdownCycle *slowdownCycle) learnPhase(period clock.Milliseconds) {
	if len(slowdownCycle.changes) < minChangesPerTarget {
		return
	}
	sine, cosine, weight := slowdownCycle.phaseSums(period)
	if math.Hypot(sine, cosine)/weight < minAgreement {
		return
	}
	angle := math.Atan2(sine, cosine)
	slowdownCycle.period = period
	slowdownCycle.boundary = clock.Moment(angle / (2 * math.Pi) * float64(period))
}

// sums adds up the changes as angles around the period, and their weights.
func (slowdownCycle *slowdownCycle) phaseSums(period clock.Milliseconds) (float64, float64, float64) {
	var sine, cosine, weight float64
	for _, change := range slowdownCycle.changes {
		partSine, partCosine := math.Sincos(2 * math.Pi * float64(change.at) / float64(period))
		sine += change.weight * partSine
		cosine += change.weight * partCosine
		weight += change.weight
	}
	return sine, cosine, weight
}

// nextLook is how long from now a reading tells most: just after the next boundary. While the phase is not settled, and
// now and then later, also just before it.
func (slowdownCycle *slowdownCycle) nextProbe(now clock.Moment) clock.Milliseconds {
	until := slowdownCycle.untilBoundary(now)
	if until <= 2*boundaryProbeMargin {
		return until + boundaryProbeMargin
	}
	slowdownCycle.probes++
	if slowdownCycle.preciseChanges < minPreciseChanges || slowdownCycle.probes%verifyEvery == 0 {
		return until - boundaryProbeMargin
	}
	return until + boundaryProbeMargin
}

// set takes over what another instance has learnt.
func (slowdownCycle *slowdownCycle) set(boundary clock.Moment, period clock.Milliseconds) {
	slowdownCycle.boundary = boundary
	slowdownCycle.period = period
}

// findPeriod looks for the period that fits the changes of all targets best. It returns 0 when none fits well.
func findPeriod(slowdownCycles []*slowdownCycle) clock.Milliseconds {
	var observed []*slowdownCycle
	count := 0
	for _, slowdownCycle := range slowdownCycles {
		if len(slowdownCycle.changes) >= minChangesPerTarget {
			observed = append(observed, slowdownCycle)
			count += len(slowdownCycle.changes)
		}
	}
	if count < minChangesTotal {
		return 0
	}
	best, agreement := searchPeriod(observed, minPeriod, maxPeriod, periodStep)
	if agreement < minAgreement {
		return 0
	}
	round := clock.Milliseconds(math.Round(float64(best/roundPeriodStep))) * roundPeriodStep
	if agreementOf(observed, round) >= minRoundAgreement*agreement {
		return round
	}
	return best
}

func searchPeriod(observed []*slowdownCycle, from, to, step clock.Milliseconds) (clock.Milliseconds, float64) {
	var best clock.Milliseconds
	var most float64
	for period := from; period <= to; period += step {
		if agreement := agreementOf(observed, period); agreement > most {
			most, best = agreement, period
		}
	}
	return best, most
}

// agreementWith is how well the changes of all targets fit a period, from 0 to 1.
func agreementOf(observed []*slowdownCycle, period clock.Milliseconds) float64 {
	var length, weights float64
	for _, slowdownCycle := range observed {
		sine, cosine, weight := slowdownCycle.phaseSums(period)
		length += math.Hypot(sine, cosine)
		weights += weight
	}
	return length / weights
}
