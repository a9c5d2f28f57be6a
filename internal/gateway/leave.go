package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/caller"
	"github.com/jaywheel/jaywheel/internal/metrics"
)

// Points of the drain, as shares of its time limit.
const (
	// New connections are accepted until keepListeningShare, for callers that still use cached addresses.
	keepListeningShare = 0.45
	// Requests whose deadline falls after the drain are accepted until acceptLongRequestsShare.
	acceptLongRequestsShare = 0.38
	// Every request is responded to by respondShare, and every connection is closed by closeConnectionsShare. The time after
	// respondShare makes up for a busy process that handles the signal late.
	respondShare          = 0.86
	closeConnectionsShare = 0.95
)

// Leave drains the instance. It first removes the instance from the addresses given to callers, stops listening after the
// addresses that callers cache have expired, and then waits for the requests in flight. Requests that cannot complete within
// the time limit for the drain get an error response shortly before it ends. Leave returns the context's error if the drain
// takes too long.
func (gateway *Gateway) Leave(ctx context.Context) error {
	maxDrain := gateway.bounds.Load().DrainTimeout
	ctx, cancel := context.WithTimeout(ctx, (closeConnectionsShare * maxDrain).Duration())
	defer cancel()
	listenTimer := time.NewTimer((keepListeningShare * maxDrain).Duration())
	defer listenTimer.Stop()
	started, unhandledRequests := gateway.clock.Now(), gateway.unhandledRequests()
	defer func() {
		gateway.options.Log.Info().Stringer("took", gateway.clock.Now().Since(started)).Int64("requestsCut", gateway.handler.InFlight()).
			Int64("requestsUnhandled", gateway.unhandledRequests()-unhandledRequests).Msg("left")
	}()
	gateway.handler.Drain(acceptLongRequestsShare*maxDrain, respondShare*maxDrain)
	if err := gateway.controller.Leave(ctx); err != nil {
		return errors.Wrap(err, "leave")
	}
	select {
	case <-listenTimer.C:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for cached addresses to expire")
	}
	err := gateway.shutdown(ctx)
	if gateway.handler.InFlight() == 0 {
		// The connections that are still open are idle.
		return nil
	}
	return errors.Wrap(err, "wait for requests in flight")
}

// shutdown stops accepting requests of callers and those that other instances relay, and waits for those in flight.
func (gateway *Gateway) shutdown(ctx context.Context) error {
	peerResult := make(chan error, 1)
	go func() {
		var err error
		if panicError := gateway.guard.Run("shutdown", func() { err = gateway.peerServer.Shutdown(ctx) }); panicError != nil {
			err = panicError
		}
		peerResult <- err
	}()
	return errors.Join(gateway.callerServer.Shutdown(ctx), <-peerResult)
}

// unhandledRequests returns the number of connections so far that were closed within a request that no handler received.
func (gateway *Gateway) unhandledRequests() int64 {
	return metrics.EventCount(&gateway.registry.Events, caller.EventUnfinished)
}
