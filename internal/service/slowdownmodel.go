package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// forecast is how long a request takes on a target by two assumptions: that it keeps the pace at which it starts, and that it
// follows its target's. Servers differ in that: one whose neighbours take its processor slows down all that it runs, while one
// that finds its caches or locks taken makes the work itself longer, whatever comes afterwards.
type durationForecast struct {
	fixed, varying clock.Milliseconds
}

// pace learns from the times of requests which of the two holds for a service. What a request takes on a slow target depends on it:
// several times the usual time, or hardly more than what is left of the slow spell.
//
// Once a request has ended it is known what it met, and what either assumption says of it. It is a regression of what requests took
// beyond the second one on how far the two lie apart: one that tells much counts for much, and what requests differ by themselves
// evens out.
type slowdownModel struct {
	// product and square are sums over requests, in units of the usual work, of which older ones have faded.
	product, square float64
	// total is the sum of squares of what requests took beyond the second forecast, count their number, faded alike.
	total, count float64
}

const (
	// paceUnknown is the weight of the first assumption before any request has told, and paceDoubt how many requests it counts for.
	initialFixedWeight = 0.75
	initialEvidence    = 1.0
	// paceKnown is the sum of squares from which the weight counts as known: some dozen requests that met a slow spell.
	minEvidence = 8.0
	// paceUnfit is the mean error, in units of the usual work, beyond which neither assumption is worth anything if it doesn't
	// explain half of what requests took: what they met is not known well enough then.
	maxModelError = 0.8
	// paceFade is what is left of the sums after each request.
	evidenceDecay = 0.98
	// paceOutlying bounds what a request took, in forecasts: what goes beyond has another reason.
	maxDurationFactor = 1.5
)

// keeping is the weight of the first assumption, from 0 to 1.
func (slowdownModel *slowdownModel) fixedWeight() float64 {
	weight := min(max((slowdownModel.product+initialFixedWeight*initialEvidence)/(slowdownModel.square+initialEvidence), 0), 1)
	residual := slowdownModel.total - 2*weight*slowdownModel.product + weight*weight*slowdownModel.square
	if residual > maxModelError*maxModelError*slowdownModel.count && residual > slowdownModel.total/2 {
		return initialFixedWeight
	}
	return weight
}

// expected weighs the assumptions.
func (slowdownModel *slowdownModel) weighted(durationForecast durationForecast) clock.Milliseconds {
	return durationForecast.weighted(clock.Milliseconds(slowdownModel.fixedWeight()))
}

// known reports whether enough requests have told.
func (slowdownModel *slowdownModel) hasEvidence() bool {
	return slowdownModel.square >= minEvidence
}

// learn takes the time for which a request of the given usual work was held. One that was given up tells only that it takes longer.
func (slowdownModel *slowdownModel) learn(durationForecast durationForecast, serviceTime, held clock.Milliseconds, finished bool) {
	if !finished && held < durationForecast.varying {
		return
	}
	difference := float64((durationForecast.fixed - durationForecast.varying) / serviceTime)
	held = min(held, maxDurationFactor*max(durationForecast.fixed, durationForecast.varying))
	excess := float64((held - durationForecast.varying) / serviceTime)
	slowdownModel.product = evidenceDecay*slowdownModel.product + difference*excess
	slowdownModel.square = evidenceDecay*slowdownModel.square + difference*difference
	slowdownModel.total = evidenceDecay*slowdownModel.total + excess*excess
	slowdownModel.count = evidenceDecay*slowdownModel.count + 1
}
