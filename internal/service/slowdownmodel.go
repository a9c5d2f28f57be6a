package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// durationForecast is the predicted duration of a request on a target under two assumptions: that the request keeps the
// slowdown at which it starts (fixed), and that its slowdown varies with the slowdown of the target (varying). Servers
// differ in this: when neighbours use the CPU of a server, all its running requests slow down; when its caches or locks are
// contended, the work of a request itself becomes longer, regardless of what follows.
type durationForecast struct {
	fixed, varying clock.Milliseconds
}

// slowdownModel learns from the durations of requests which of the two assumptions holds for a service. The duration of a
// request on a slow target depends on it: several times the usual duration, or hardly more than the rest of the slow
// interval.
//
// When a request has ended, the slowdowns that it met are known, and so is the duration that each assumption predicts. The
// model is a regression of the actual duration beyond the varying forecast on the difference between the two forecasts. A
// request for which they differ much has a large weight, and variation between requests averages out.
type slowdownModel struct {
	// product and square are sums over requests, in units of the usual service time, in which older requests decay.
	product, square float64
	// total is the sum of squares of the actual durations beyond the varying forecast, count the number of requests; both
	// decay in the same way.
	total, count float64
}

const (
	// initialFixedWeight is the weight of the fixed assumption before any request has ended, and initialEvidence the amount
	// of evidence for it, in requests.
	initialFixedWeight = 0.75
	initialEvidence    = 1.0
	// minEvidence is the sum of squares from which the weight counts as known: some dozen requests that met a slow interval.
	minEvidence = 8.0
	// maxModelError is the mean error, in units of the usual service time, above which initialFixedWeight is used unless the
	// model explains half of the variation: the slowdowns that the requests met are then not known well enough.
	maxModelError = 0.8
	// evidenceDecay is the factor applied to the sums with each request.
	evidenceDecay = 0.98
	// maxDurationFactor limits the duration of a request relative to the longer forecast. Longer durations have another
	// cause.
	maxDurationFactor = 1.5
)

// fixedWeight returns the weight of the fixed assumption, from 0 to 1.
func (slowdownModel *slowdownModel) fixedWeight() float64 {
	weight := min(max((slowdownModel.product+initialFixedWeight*initialEvidence)/(slowdownModel.square+initialEvidence), 0), 1)
	residual := slowdownModel.total - 2*weight*slowdownModel.product + weight*weight*slowdownModel.square
	if residual > maxModelError*maxModelError*slowdownModel.count && residual > slowdownModel.total/2 {
		return initialFixedWeight
	}
	return weight
}

// weighted returns the average of both assumptions by their weights.
func (slowdownModel *slowdownModel) weighted(durationForecast durationForecast) clock.Milliseconds {
	return durationForecast.weighted(clock.Milliseconds(slowdownModel.fixedWeight()))
}

// hasEvidence reports whether enough requests have been observed.
func (slowdownModel *slowdownModel) hasEvidence() bool {
	return slowdownModel.square >= minEvidence
}

// learn adds the duration of a request with the given usual service time. A request that was cancelled only shows that it
// would have taken longer.
func (slowdownModel *slowdownModel) learn(durationForecast durationForecast, serviceTime, duration clock.Milliseconds, finished bool) {
	if !finished && duration < durationForecast.varying {
		return
	}
	difference := float64((durationForecast.fixed - durationForecast.varying) / serviceTime)
	duration = min(duration, maxDurationFactor*max(durationForecast.fixed, durationForecast.varying))
	excess := float64((duration - durationForecast.varying) / serviceTime)
	slowdownModel.product = evidenceDecay*slowdownModel.product + difference*excess
	slowdownModel.square = evidenceDecay*slowdownModel.square + difference*difference
	slowdownModel.total = evidenceDecay*slowdownModel.total + excess*excess
	slowdownModel.count = evidenceDecay*slowdownModel.count + 1
}
