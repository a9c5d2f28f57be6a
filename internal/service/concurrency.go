package service

import (
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// concurrencyModel learns how much longer requests take on targets that run many others. Some targets slow down before their
// last slots are in use, so that a full target has less throughput than one with a slot or two free; on other targets, slots
// left free are wasted. Targets are grouped by their number of slots.
//
// The model holds a duration factor for a request that starts as the first, the second and so on of those on a target. Up to
// half of the slots the factor is taken to be 1. A request during which others start is not used: whether these slowed it
// down is not known.
type concurrencyModel struct {
	bySlots     map[int]*slotClass
	slotClasses []*slotClass
	// learning is true while the durations of requests show the effect of the other requests in flight when they started.
	learning bool
}

// slotClass is the model for targets with one number of slots.
type slotClass struct {
	model *concurrencyModel
	// durationFactors holds, by the number of requests in flight including the new one, the duration of the new request
	// relative to the usual one; samples counts the requests that each factor was learned from.
	durationFactors []float64
	samples         []int
	// concurrencyLimit is the number of requests in flight with the highest throughput.
	concurrencyLimit int
	// explorations is the number of requests in flight beyond that limit.
	explorations int

	// attached is the number of targets, in use or not, whose model this is.
	attached int
	// targetCounts counts the targets in use by their number of requests in flight; the last element also counts those with
	// more. targets is their number, withinLimit the sum of their requests in flight, of each target up to the concurrency limit, and
	// beyondLimit the number of targets with more requests than that.
	targetCounts                      []int
	targets, withinLimit, beyondLimit int
	// availableBeyondLimit lists targets that are available only for one request beyond the limit; indexedLimit is the limit
	// by which targets are indexed.
	availableBeyondLimit availableTargets
	indexedLimit         int
}

// activeRequest records the load of the target during a request in flight.
type activeRequest struct {
	// inFlightAtStart is the number of requests on the target when the request started, including itself; peakInFlight is
	// the highest number since.
	inFlightAtStart, peakInFlight int
}

const (
	// contentionShare is the share of the slots above which targets are assumed to slow down until it is measured, and
	// contentionFactor the assumed duration factor.
	contentionShare  = 0.8
	contentionFactor = 1.7
	// minContendedSlots is the least number of slots with which targets are assumed to slow down at all.
	minContendedSlots = 3
	// minThroughputGain is the factor by which throughput must increase for the limit to change.
	minThroughputGain = 1.1
	// factorWeight is the weight of one request in a duration factor.
	factorWeight = 0.1
	// minFactorSamples is the number of requests from which a duration factor counts as known. Until then, up to
	// maxExplorations requests at a time explore it.
	minFactorSamples = 12
	maxExplorations  = 2
	// maxModelledSlots is the number of slots as which larger ones are modelled, because memory and the time of learning are in proportion
	// to it. Each request needs a connection, and a server accepts some hundred of them from all instances.
	maxModelledSlots = 512
	// keptSlotClasses is the number of classes up to which those without targets are kept: when all servers of a class restart, what was
	// learned of them still holds.
	keptSlotClasses = 16
)

// slotClassOf returns the model for targets with the given number of slots.
func (concurrencyModel *concurrencyModel) slotClassOf(slots int) *slotClass {
	slots = min(max(slots, 1), maxModelledSlots)
	if class, found := concurrencyModel.bySlots[slots]; found {
		return class
	}
	concurrencyModel.dropUnused()
	fresh := &slotClass{model: concurrencyModel, durationFactors: make([]float64, slots+1), samples: make([]int, slots+1), targetCounts: make([]int, slots+2)}
	for count := range fresh.durationFactors {
		fresh.durationFactors[count] = 1
		if float64(count) > contentionShare*float64(slots) && !fresh.uncontended(count) {
			fresh.durationFactors[count] = contentionFactor
		}
	}
	fresh.updateLimit()
	fresh.indexedLimit = fresh.concurrencyLimit
	concurrencyModel.slotClasses = append(concurrencyModel.slotClasses, fresh)
	if concurrencyModel.bySlots == nil {
		concurrencyModel.bySlots = map[int]*slotClass{}
	}
	concurrencyModel.bySlots[slots] = fresh
	return fresh
}

// dropUnused drops the classes without targets if there are many classes.
func (concurrencyModel *concurrencyModel) dropUnused() {
	if len(concurrencyModel.slotClasses) < keptSlotClasses {
		return
	}
	unused := func(class *slotClass) bool { return class.attached == 0 }
	concurrencyModel.slotClasses = slices.DeleteFunc(concurrencyModel.slotClasses, unused)
	maps.DeleteFunc(concurrencyModel.bySlots, func(_ int, class *slotClass) bool { return unused(class) })
}

// attach makes the model for the given number of slots that of the target.
func (concurrencyModel *concurrencyModel) attach(candidate *candidate, slots int) {
	class := concurrencyModel.slotClassOf(slots)
	if class == candidate.slotClass {
		return
	}
	class.attached++
	if candidate.slotClass != nil {
		candidate.slotClass.attached--
	}
	candidate.slotClass = class
}

// uncontended reports whether the given number of requests is assumed not to slow each other down.
func (slotClass *slotClass) uncontended(count int) bool {
	slots := len(slotClass.durationFactors) - 1
	return slots < minContendedSlots || count <= (slots+1)/2
}

// updateLimit finds the number of requests in flight with the highest throughput, which is their number divided by their
// duration by Little's law. It changes the limit only for a clear gain.
func (slotClass *slotClass) updateLimit() {
	best := slotClass.concurrencyLimit
	for count := 1; count < len(slotClass.durationFactors); count++ {
		if slotClass.throughput(count) > slotClass.throughput(best) {
			best = count
		}
	}
	if slotClass.concurrencyLimit == 0 || slotClass.throughput(best) > minThroughputGain*slotClass.throughput(slotClass.concurrencyLimit) {
		slotClass.concurrencyLimit = best
		slotClass.recount()
	}
}

// recount computes the sums over the targets in use after a change of the limit.
func (slotClass *slotClass) recount() {
	counts := slotClass.targetCounts
	slotClass.targets, slotClass.withinLimit, slotClass.beyondLimit = 0, 0, 0
	for count, targets := range counts {
		counts[count] = 0
		slotClass.addTargets(count, targets)
	}
}

// addTargets counts more targets in use with the given number of requests in flight, or less if the number of targets is negative.
func (slotClass *slotClass) addTargets(inFlight, targets int) {
	slotClass.targetCounts[inFlight] += targets
	slotClass.targets += targets
	slotClass.withinLimit += targets * min(inFlight, slotClass.concurrencyLimit)
	if inFlight > slotClass.concurrencyLimit {
		slotClass.beyondLimit += targets
	}
}

// inFlight returns the number of requests in flight on the targets in use, counting each target up to the current limit, and the sum of
// these limits.
func (slotClass *slotClass) inFlight() (int, int) {
	limit := slotClass.currentLimit()
	return slotClass.withinLimit + slotClass.beyondLimit*(limit-slotClass.concurrencyLimit), slotClass.targets * limit
}

// throughput is the relative throughput of a target with the given number of requests in flight.
func (slotClass *slotClass) throughput(count int) float64 {
	return float64(count) / slotClass.durationFactors[count]
}

// currentLimit is the number of requests that may be in flight at once: one beyond the best number while the effect of that
// one is not known.
func (slotClass *slotClass) currentLimit() int {
	if slotClass.exploring() {
		return slotClass.nextLimit()
	}
	return slotClass.concurrencyLimit
}

// exploring reports whether one request beyond the limit may be in flight to learn its effect.
func (slotClass *slotClass) exploring() bool {
	nextLimit := slotClass.nextLimit()
	return slotClass.model.learning && nextLimit > slotClass.concurrencyLimit && slotClass.samples[nextLimit] < minFactorSamples && slotClass.explorations < maxExplorations
}

// nextLimit is the limit plus one, at most the number of slots.
func (slotClass *slotClass) nextLimit() int {
	return min(slotClass.concurrencyLimit+1, len(slotClass.durationFactors)-1)
}

// durationFactor returns the duration, relative to the usual one, of a request that starts as the given one on a target.
func (slotClass *slotClass) durationFactor(count int) clock.Milliseconds {
	return clock.Milliseconds(slotClass.durationFactors[min(max(count, 0), len(slotClass.durationFactors)-1)])
}

// learn adds the duration of a request that started on a fast target.
func (slotClass *slotClass) learn(activeRequest *activeRequest, serviceTime, duration clock.Milliseconds) {
	count := min(activeRequest.inFlightAtStart, len(slotClass.durationFactors)-1)
	if !slotClass.model.learning || slotClass.uncontended(count) || activeRequest.peakInFlight > activeRequest.inFlightAtStart {
		return
	}
	slotClass.samples[count]++
	slotClass.durationFactors[count] += factorWeight * (min(float64(duration/serviceTime), maxOutlierFactor) - slotClass.durationFactors[count])
	slotClass.updateLimit()
}
