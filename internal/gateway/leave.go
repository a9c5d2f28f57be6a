package gateway

import (
	"context"
	"expvar"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/caller"
)

// Parts of the time for leaving.
const (
	// listenOn is how much of it the instance still takes connections, for callers with an address answer from before.
	listenOn = 0.45
	// takeIn is how much of it may have passed when a request is taken that may last longer than what is left.
	takeIn = 0.38
	// answerIn is how much of it may have passed when the last request is answered, finishIn when the last connection is closed. What
	// is left after the answers makes up for a signal that a busy process notices late.
	answerIn = 0.86
	finishIn = 0.95
)

// Leave takes the instance out of service: first out of address answers, then, when the answers that callers keep have lapsed, closed to
// new connections, and at last it waits until the requests under way have ended. What can't end within the time for leaving is answered
// shortly before it is over. The error is the context's when that took too long.
func (gateway *Gateway) Leave(ctx context.Context) error {
	most := gateway.bounds.Load().DrainTimeout
	ctx, cancel := context.WithTimeout(ctx, (finishIn * most).Duration())
	defer cancel()
	listen := time.NewTimer((listenOn * most).Duration())
	defer listen.Stop()
	started, unfinished := gateway.clock.Now(), gateway.unfinished()
	defer func() {
		gateway.options.Log.Info().Stringer("took", gateway.clock.Now().Since(started)).Int64("requestsCut", gateway.handler.InFlight()).
			Int64("requestsUnhandled", gateway.unfinished()-unfinished).Msg("left")
	}()
	gateway.handler.Drain(takeIn*most, answerIn*most)
	if err := gateway.controller.Leave(ctx); err != nil {
		return errors.Wrap(err, "leave")
	}
	select {
	case <-listen.C:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for address answers to lapse")
	}
	err := gateway.callers.Shutdown(ctx)
	if gateway.handler.InFlight() == 0 {
		// Connections that are still open have nothing more to bring.
		return nil
	}
	return errors.Wrap(err, "wait for requests under way")
}

// unfinished is the number of connections so far that ended within a request that was never handled.
func (gateway *Gateway) unfinished() int64 {
	count, counted := gateway.registry.Events.Get(caller.EventUnfinished).(*expvar.Int)
	if !counted {
		return 0
	}
	return count.Value()
}
