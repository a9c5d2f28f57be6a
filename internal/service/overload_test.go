package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// priorityOutcomes counts the outcomes of the requests of one priority.
type priorityOutcomes struct {
	sent, served, refusedImmediately, refusedLate int
	maxWait                                       time.Duration
}

// overloadRun sends requests at fixed intervals and counts their outcomes.
type overloadRun struct {
	dispatcher  *Dispatcher
	serviceTime time.Duration
	mutex       sync.Mutex
	outcomes    map[settings.Priority]*priorityOutcomes
	requests    sync.WaitGroup
}

// send sends a request per interval for the given duration. Every fourth request is a payment.
func (run *overloadRun) send(duration, interval time.Duration) {
	start := time.Now()
	for number := 0; time.Since(start) < duration; number++ {
		priority := settings.Priority(2)
		if number%4 == 0 {
			priority = 0
		}
		run.requests.Go(func() { run.request(priority) })
		time.Sleep(interval)
	}
}

func (run *overloadRun) request(priority settings.Priority) {
	started := time.Now()
	permit, err := run.dispatcher.Acquire(context.Background(), PermitRequest{Priority: priority, Deadline: run.dispatcher.clock.Now().Add(2 * clock.Second)})
	waited := time.Since(started)
	if err == nil {
		time.Sleep(run.serviceTime)
		permit.Release(Succeeded)
	}
	run.mutex.Lock()
	defer run.mutex.Unlock()
	outcomes := run.outcomes[priority]
	outcomes.sent++
	switch {
	case err == nil:
		outcomes.served++
		outcomes.maxWait = max(outcomes.maxWait, waited)
	case waited <= 5*time.Millisecond:
		outcomes.refusedImmediately++
	default:
		outcomes.refusedLate++
	}
}

// resetOutcomes returns the outcomes since the last call and starts counting from zero.
func (run *overloadRun) resetOutcomes() map[settings.Priority]*priorityOutcomes {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	outcomes := run.outcomes
	run.outcomes = map[settings.Priority]*priorityOutcomes{0: {}, 2: {}}
	return outcomes
}

// A service runs long exports and short lookups, so that a permit is in use for far longer than a lookup may take in total. No
// request waits ahead of the lookup and a permit may be released at any moment. If the expected wait were the mean duration of
// a request, the lookup would be refused whenever all permits are in use.
func TestShortRequestBesideLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(Options{
			Clock: clock.New(), Rand: rand.New(rand.NewPCG(1, 1)), Limits: Limits{QueueLength: 10, QueueWait: 10 * clock.Second},
		})
		dispatcher.Add("a", "127.0.0.1:1", "sofia-1")
		dispatcher.SetLimit("a", TargetLimit{Limit: 1, MinShare: 1, MaxOwnInFlight: 1}, 0)
		newRequest := func() PermitRequest { return PermitRequest{Deadline: dispatcher.clock.Now().Add(5 * clock.Second)} }
		for range 20 {
			permit, err := dispatcher.Acquire(context.Background(), newRequest())
			require.NoError(t, err)
			time.Sleep(time.Minute)
			permit.Release(Succeeded)
		}
		long, err := dispatcher.Acquire(context.Background(), newRequest())
		require.NoError(t, err)
		time.AfterFunc(time.Second, func() { long.Release(Succeeded) })
		_, err = dispatcher.Acquire(context.Background(), newRequest())
		require.NoError(t, err)
	})
}

// Twice as many requests arrive as all backend servers can run. Every slot stays busy, payments are served first, and requests
// that cannot be served are refused on arrival. If all were admitted, each request would wait for its maximum time, most would
// be refused late, and after the load has fallen the queue would still be served to callers that have left.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := &overloadRun{serviceTime: 10 * time.Millisecond}
		run.dispatcher = NewDispatcher(Options{
			Clock: clock.New(), Rand: rand.New(rand.NewPCG(1, 1)),
			Limits: Limits{QueueLength: 2000, QueueWait: 500, FailurePenalty: 100},
		})
		for number := range 10 {
			name := settings.TargetName(fmt.Sprint(number))
			run.dispatcher.Add(name, "127.0.0.1:1", "sofia-1")
			run.dispatcher.SetLimit(name, TargetLimit{Limit: 2, MinShare: 2, MaxOwnInFlight: 2}, 0)
		}
		run.resetOutcomes()
		const capacityPerSecond = 2000
		run.send(2*time.Second, time.Second/1000)
		run.resetOutcomes()
		run.send(3*time.Second, time.Second/(2*capacityPerSecond))
		during := run.resetOutcomes()
		payments, browses := during[0], during[2]
		require.Equal(t, payments.sent, payments.served, "payments are served first")
		require.Less(t, payments.maxWait, 30*time.Millisecond)
		require.GreaterOrEqual(t, payments.served+browses.served, 3*capacityPerSecond*9/10)
		require.Greater(t, browses.refusedImmediately, 100)
		require.LessOrEqual(t, browses.refusedLate, browses.sent/100)

		run.send(time.Second, time.Second/1000)
		run.resetOutcomes()
		run.send(time.Second, time.Second/1000)
		run.requests.Wait()
		after := run.resetOutcomes()
		require.Equal(t, after[2].sent, after[2].served)
		require.Less(t, after[2].maxWait, 10*time.Millisecond, "the queue is empty a second after the overload")
	})
}
