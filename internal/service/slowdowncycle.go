package service

import (
	"math"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// The slowdown of a target does not change at arbitrary moments: the schedulers of the machine that it shares run at a
// constant period, so that changes come at a fixed phase of that period. Once period and phase are known, one reading just
// after a possible change is valid until the next one, and a request can be sent to a target that stays fast for as long as
// the request takes. The targets of a service share one period; each target has its own phase.

// Learning of a slowdown cycle.
const (
	// maxChangeWidth is the longest time between two differing readings for which the moment of the change is learned.
	maxChangeWidth = 40 * clock.Millisecond
	// maxChanges is the number of changes stored for each target.
	maxChanges = 32
	// minChangesPerTarget and minChangesTotal are the numbers of changes needed before the period is searched.
	minChangesPerTarget = 3
	minChangesTotal     = 40
	// enoughChanges is the number of changes that are compared with each period. More of them make the search longer, which locks the
	// scheduler, and the period hardly more accurate.
	enoughChanges = 512
	// minPeriod and maxPeriod bound the search, periodStep is its step. Changes between readings 15 ms apart do not resolve
	// shorter periods, and longer ones make little difference to a request.
	minPeriod  = 40 * clock.Millisecond
	maxPeriod  = 600 * clock.Millisecond
	periodStep = 0.5 * clock.Millisecond
	// roundPeriodStep divides the usual periods of schedulers. A round period is chosen if it fits nearly as well as the
	// best one: some dozen changes determine a period only to 0.2 ms, which adds up to half an interval within ten seconds.
	roundPeriodStep = 5 * clock.Millisecond
	// minRoundAgreement is the least agreement of a round period relative to the best one.
	minRoundAgreement = 0.97
	// minAgreement is the least agreement of the changes with a period: 1 is perfect, random changes reach about 0.45.
	minAgreement = 0.8
	// phaseWeight is the weight of a new change in a known phase.
	phaseWeight = 0.2
	// boundaryUncertainty is the distance from a possible change below which a reading cannot be assigned to either side of
	// it.
	boundaryUncertainty = 8 * clock.Millisecond
	// maxContradictions is the number of contradicting readings at which a cycle is dropped; a reading that agrees offsets
	// agreementCredit of one. With a wrong phase, 1 of 8 comparisons contradicts. A busy instance processes some readings
	// late, and these must not drop a valid cycle: when every second contradicting reading dropped it, cycles were relearned
	// all the time at 50 probes per second.
	maxContradictions = 4.0
	agreementCredit   = 0.08
	// minPreciseChanges is the number of changes with a weight above minPreciseWeight from which a phase counts as settled.
	// After that, one probe in probesPerVerification is sent before a boundary.
	minPreciseChanges     = 5
	minPreciseWeight      = 0.1
	probesPerVerification = 10
	// boundaryProbeMargin is the time before and after a possible change at which a target is probed. The two readings
	// determine the phase precisely enough to follow a period that is slightly wrong or a clock that drifts.
	boundaryProbeMargin = 8 * clock.Millisecond
)

// slowdownChange is the midpoint between two differing readings. The closer they are, the larger is its weight.
type slowdownChange struct {
	at     clock.Moment
	weight float64
}

// fullWeightWidth is the time between two readings up to which a change has full weight.
const fullWeightWidth = 8 * clock.Millisecond

// slowdownCycle is the period and phase at which the slowdown of one target may change.
type slowdownCycle struct {
	// period is 0 until it is known; boundary is then one moment at which the slowdown may change.
	period         clock.Milliseconds
	boundary       clock.Moment
	changes        []slowdownChange
	lastReading    LoadReading
	contradictions float64
	// preciseChanges counts the precise changes since the phase is known, probes the calls of nextProbe.
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

// offset returns the distance of a moment from the nearest boundary, negative before it.
func (slowdownCycle *slowdownCycle) offset(at clock.Moment) clock.Milliseconds {
	return clock.Milliseconds(math.Remainder(float64(at.Since(slowdownCycle.boundary)), float64(slowdownCycle.period)))
}

// nearBoundary reports whether a moment is too close to a boundary to be assigned to either side of it.
func (slowdownCycle *slowdownCycle) nearBoundary(at clock.Moment) bool {
	offset := slowdownCycle.offset(at)
	return max(offset, -offset) < boundaryUncertainty
}

// check compares two readings with the cycle: readings of the same interval must agree.
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

// intervalAt returns the number of the interval between two boundaries that contains the moment.
func (slowdownCycle *slowdownCycle) intervalAt(at clock.Moment) float64 {
	return math.Floor(float64(at.Since(slowdownCycle.boundary)) / float64(slowdownCycle.period))
}

// untilBoundary returns the time from now to the next boundary.
func (slowdownCycle *slowdownCycle) untilBoundary(now clock.Moment) clock.Milliseconds {
	next := (slowdownCycle.intervalAt(now) + 1) * float64(slowdownCycle.period)
	return slowdownCycle.boundary.Add(clock.Milliseconds(next)).Since(now)
}

// sinceBoundary returns the time from the last boundary to now.
func (slowdownCycle *slowdownCycle) sinceBoundary(now clock.Moment) clock.Milliseconds {
	return slowdownCycle.period - slowdownCycle.untilBoundary(now)
}

// learnPhase adopts a period that fits the changes of all targets, and determines the phase of this target. It does nothing
// if the changes of this target do not agree with the period.
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

// phaseSums returns the weighted sums of the sines and cosines of the changes as angles of the period, and the sum of the
// weights.
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

// nextProbe returns the time from now at which a reading is most informative: just after the next boundary. While the phase
// is not settled, and occasionally later, it is just before the boundary.
func (slowdownCycle *slowdownCycle) nextProbe(now clock.Moment) clock.Milliseconds {
	until := slowdownCycle.untilBoundary(now)
	if until <= 2*boundaryProbeMargin {
		return until + boundaryProbeMargin
	}
	slowdownCycle.probes++
	if slowdownCycle.preciseChanges < minPreciseChanges || slowdownCycle.probes%probesPerVerification == 0 {
		return until - boundaryProbeMargin
	}
	return until + boundaryProbeMargin
}

// set adopts a cycle learned by another instance.
func (slowdownCycle *slowdownCycle) set(boundary clock.Moment, period clock.Milliseconds) {
	slowdownCycle.boundary = boundary
	slowdownCycle.period = period
}

// searchedCycles returns the cycles with enough changes to show a period. If they have more than enoughChanges, it returns only some of
// them, from the one with the given index on.
func searchedCycles(slowdownCycles []*slowdownCycle, first int) []*slowdownCycle {
	var observed []*slowdownCycle
	count := 0
	for _, slowdownCycle := range slowdownCycles {
		if len(slowdownCycle.changes) >= minChangesPerTarget {
			observed = append(observed, slowdownCycle)
			count += len(slowdownCycle.changes)
		}
	}
	switch {
	case count < minChangesTotal:
		return nil
	case count <= enoughChanges:
		return observed
	}
	first %= len(observed)
	searched := slices.Concat(observed[first:], observed[:first])
	count = 0
	for index, slowdownCycle := range searched {
		count += len(slowdownCycle.changes)
		if count >= enoughChanges {
			return searched[:index+1]
		}
	}
	return searched
}

// findPeriod returns the period that fits the changes of the targets best, 0 if none fits well enough. If there are more
// changes than enough, the search begins with the observed target of the given index, which should be another one each time.
func findPeriod(slowdownCycles []*slowdownCycle, first int) clock.Milliseconds {
	searched := searchedCycles(slowdownCycles, first)
	if searched == nil {
		return 0
	}
	best, agreement := searchPeriod(searched, minPeriod, maxPeriod, periodStep)
	if agreement < minAgreement {
		return 0
	}
	round := clock.Milliseconds(math.Round(float64(best/roundPeriodStep))) * roundPeriodStep
	if agreementOf(searched, round) >= minRoundAgreement*agreement {
		return round
	}
	return best
}

func searchPeriod(observed []*slowdownCycle, from, to, step clock.Milliseconds) (clock.Milliseconds, float64) {
	var best clock.Milliseconds
	var bestAgreement float64
	for period := from; period <= to; period += step {
		if agreement := agreementOf(observed, period); agreement > bestAgreement {
			bestAgreement, best = agreement, period
		}
	}
	return best, bestAgreement
}

// agreementOf returns how well the changes of all targets fit a period, from 0 to 1.
func agreementOf(observed []*slowdownCycle, period clock.Milliseconds) float64 {
	var length, weights float64
	for _, slowdownCycle := range observed {
		sine, cosine, weight := slowdownCycle.phaseSums(period)
		length += math.Hypot(sine, cosine)
		weights += weight
	}
	return length / weights
}
