package service

// Statement is what a target says of itself in a response, besides its load.
type Statement struct {
	Limit RateLimitStatement
}

// RateLimitStatement is what a response says of the number of requests that its target accepts.
type RateLimitStatement struct {
	// Named reports that the response names a limit, Invalid that it names one that is not understood.
	Named, Invalid bool
	// Rate is the limit in requests per second over all instances together.
	Rate float64
}
