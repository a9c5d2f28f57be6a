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
	// listenOn is how much of it the instance still takes connections. Callers with an answer from before come for as long as
	// they keep it, 1.5 s; some keep it three times as long and then find nobody here, which costs them an attempt. A request that
	// is taken must still have the time to end: where routes allow some seconds, one taken at 0.7 was cut off at its server.
	listenOn = 0.45
	// finishIn is how much of it may have passed when the last request must have ended.
	finishIn = 0.95
)

// Leave takes the instance out of service without cutting off any request: first out of address answers, then, when
// the answers that callers keep have lapsed, closed to new connections, and at last it waits until the requests under
// way have ended. The error is the context's when that took too long.
func (gateway *Gateway) Leave(ctx context.Context) error {
	if err := gateway.controller.Leave(ctx); err != nil {
		return errors.Wrap(err, "leave")
	}
	started, unfinished := gateway.clock.Now(), gateway.unfinished()
	defer func() {
		gateway.options.Log.Info().Stringer("took", gateway.clock.Now().Since(started)).Int64("requestsCut", gateway.handler.InFlight()).
			Int64("requestsUnhandled", gateway.unfinished()-unfinished).Msg("left")
	}()
	most := gateway.options.Settings.Bounds.LeaveMost
	ctx, cancel := context.WithTimeout(ctx, (finishIn * most).Duration())
	defer cancel()
	select {
	case <-time.After((listenOn * most).Duration()):
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for address answers to lapse")
	}
	return errors.Wrap(gateway.callers.Shutdown(ctx), "wait for requests under way")
}

// unfinished is the number of connections so far that ended within a request that was never handled.
func (gateway *Gateway) unfinished() int64 {
	count, counted := gateway.registry.Events.Get(caller.EventUnfinished).(*expvar.Int)
	if !counted {
		return 0
	}
	return count.Value()
}
