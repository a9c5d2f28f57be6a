package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// forecast is how long a request takes on a target by two assumptions: that it keeps the pace at which it starts, and that it
// follows its target's. Servers differ in that: one whose neighbours take its processor slows down all that it runs, while one
// that finds its caches or locks taken makes the work itself longer, whatever comes afterwards.
type forecast struct {
	kept, followed clock.Milliseconds
}

// pace learns from the times of requests which of the two holds for a service. What a request takes on a slow target depends on it:
// several times the usual time, or hardly more than what is left of the slow spell.
//
// Once a request has ended it is known what it met, and what either assumption says of it. It is a regression of what requests took
// beyond the second one on how far the two lie apart: one that tells much counts for much, and what requests differ by themselves
// evens out.
type pace struct {
	// product and square are sums over requests, in units of the usual work, of which older ones have faded.
	product, square float64
	// total is the sum of squares of what requests took beyond the second forecast, count their number, faded alike.
	total, count float64
}

const (
	// paceUnknown is the weight of the first assumption before any request has told, and paceDoubt how many requests it counts for.
	paceUnknown = 0.75
	paceDoubt   = 1.0
	// paceKnown is the sum of squares from which the weight counts as known: some dozen requests that met a slow spell.
	paceKnown = 8.0
	// paceUnfit is the mean error, in units of the usual work, beyond which neither assumption is worth anything if it doesn't
	// explain half of what requests took: what they met is not known well enough then.
	paceUnfit = 0.8
	// paceFade is what is left of the sums after each request.
	paceFade = 0.98
	// paceOutlying bounds what a request took, in forecasts: what goes beyond has another reason.
	paceOutlying = 1.5
)

// keeping is the weight of the first assumption, from 0 to 1.
func (pace *pace) keeping() float64 {
	told := min(max((pace.product+paceUnknown*paceDoubt)/(pace.square+paceDoubt), 0), 1)
	left := pace.total - 2*told*pace.product + told*told*pace.square
	if left > paceUnfit*paceUnfit*pace.count && left > pace.total/2 {
		return paceUnknown
	}
	return told
}

// expected weighs the assumptions.
func (pace *pace) expected(forecast forecast) clock.Milliseconds {
	return forecast.expected(clock.Milliseconds(pace.keeping()))
}

// known reports whether enough requests have told.
func (pace *pace) known() bool {
	return pace.square >= paceKnown
}

// learn takes the time for which a request of the given usual work was held. One that was given up tells only that it takes longer.
func (pace *pace) learn(forecast forecast, work, held clock.Milliseconds, finished bool) {
	if !finished && held < forecast.followed {
		return
	}
	apart := float64((forecast.kept - forecast.followed) / work)
	held = min(held, paceOutlying*max(forecast.kept, forecast.followed))
	beyond := float64((held - forecast.followed) / work)
	pace.product = paceFade*pace.product + apart*beyond
	pace.square = paceFade*pace.square + apart*apart
	pace.total = paceFade*pace.total + beyond*beyond
	pace.count = paceFade*pace.count + 1
}
