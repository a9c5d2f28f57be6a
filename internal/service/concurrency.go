package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// concurrency learns how much longer requests take on targets that run many others. Some targets slow down before their last slots are
// taken, so that a full one gets less done than one with a slot or two left; others don't, and what is left free there is lost.
// Targets are told apart by their number of slots.
//
// What is learnt is how many times longer a request takes that starts as the first, the second and so on of those that a target
// runs. Up to half of the slots that is taken to be once. A request that sees more of them later tells nothing: whether what came later
// held it up is not known.
type concurrencyModel struct {
	bySlots     map[int]*slotClass
	slotClasses []*slotClass
	// learns says that what requests take tells of how many others there were when they started.
	learning bool
}

// slotClass is what is known of targets with one number of slots.
type slotClass struct {
	model *concurrencyModel
	// longer holds, for each number of requests under way with the new one, how many times longer that one takes; told counts the
	// requests that have told so.
	durationFactors []float64
	samples         []int
	// room is the number of requests at once with which the most gets done.
	concurrencyLimit int
	// trials is the number of requests under way beyond that room.
	explorations int

	// targets counts the targets in use by the number of requests there, the last count stands for more as well.
	targetCounts []int
	// open lists those that are open only for one request beyond the room, filedRoom is the room by which targets are filed.
	availableBeyondLimit availableTargets
	indexedLimit         int
}

// flight is what a request under way sees of its target.
type activeRequest struct {
	// first is the number of requests there when it started, itself included, peak the largest since.
	inFlightAtStart, peakInFlight int
}

const (
	// nearlyFull is the share of the slots above which targets are taken to slow down until requests have told, and
	// nearlyFullLonger by how much.
	contentionShare  = 0.8
	contentionFactor = 1.7
	// leastSlowedSlots is the least number of slots with which a target is thought to slow down at all.
	minContendedSlots = 3
	// clearGain is how many times more must get done for the room to change.
	minThroughputGain = 1.1
	// concurrencyWeight is the weight of one request.
	factorWeight = 0.1
	// concurrencyKnown is the number of requests from which a figure counts as known. Until then concurrencyTrials at a time find out.
	minFactorSamples = 12
	maxExplorations  = 2
)

// of returns what is known of targets with the given number of slots.
func (concurrencyModel *concurrencyModel) classOf(slots int) *slotClass {
	slots = max(slots, 1)
	if class, found := concurrencyModel.bySlots[slots]; found {
		return class
	}
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

// unhindered reports whether so few requests are taken not to hold each other up.
func (slotClass *slotClass) uncontended(count int) bool {
	slots := len(slotClass.durationFactors) - 1
	return slots < minContendedSlots || count <= (slots+1)/2
}

// setRoom finds the number of requests at once with which the most gets done, by Little's law their number by the time of each. It
// changes only for a clear gain.
func (slotClass *slotClass) updateLimit() {
	best := slotClass.concurrencyLimit
	for count := 1; count < len(slotClass.durationFactors); count++ {
		if slotClass.throughput(count) > slotClass.throughput(best) {
			best = count
		}
	}
	if slotClass.concurrencyLimit == 0 || slotClass.throughput(best) > minThroughputGain*slotClass.throughput(slotClass.concurrencyLimit) {
		slotClass.concurrencyLimit = best
	}
}

// done is how much the target gets done with the given number of requests at once.
func (slotClass *slotClass) throughput(count int) float64 {
	return float64(count) / slotClass.durationFactors[count]
}

// roomNow is the number of requests that may be under way at once: one more than the best as long as it isn't known what that does.
func (slotClass *slotClass) currentLimit() int {
	if slotClass.exploring() {
		return slotClass.nextLimit()
	}
	return slotClass.concurrencyLimit
}

// trying reports whether one request more than the best number may be under way to find out.
func (slotClass *slotClass) exploring() bool {
	nextLimit := slotClass.nextLimit()
	return slotClass.model.learning && nextLimit > slotClass.concurrencyLimit && slotClass.samples[nextLimit] < minFactorSamples && slotClass.explorations < maxExplorations
}

// next is one request more than the best number, as far as there are slots.
func (slotClass *slotClass) nextLimit() int {
	return min(slotClass.concurrencyLimit+1, len(slotClass.durationFactors)-1)
}

// times is how many times longer a request takes that starts as the given one.
func (slotClass *slotClass) durationFactor(count int) clock.Milliseconds {
	return clock.Milliseconds(slotClass.durationFactors[min(max(count, 0), len(slotClass.durationFactors)-1)])
}

// learn takes the time of a request that started on a fast target.
func (slotClass *slotClass) learn(activeRequest *activeRequest, serviceTime, held clock.Milliseconds) {
	count := min(activeRequest.inFlightAtStart, len(slotClass.durationFactors)-1)
	if !slotClass.model.learning || slotClass.uncontended(count) || activeRequest.peakInFlight > activeRequest.inFlightAtStart {
		return
	}
	slotClass.samples[count]++
	slotClass.durationFactors[count] += factorWeight * (min(float64(held/serviceTime), maxOutlierFactor) - slotClass.durationFactors[count])
	slotClass.updateLimit()
}
