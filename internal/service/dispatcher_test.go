package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// referenceTarget is a target of the referenceModel.
type referenceTarget struct {
	ownInFlight, consecutiveFailures int
	penaltiesUntil                   []clock.Moment
	othersInFlight                   int
	limit                            TargetLimit
	present                          bool
}

// referenceModel is a naive implementation that examines every target for each decision. It is slow and simple, and the
// Dispatcher must agree with it.
type referenceModel struct {
	targets map[settings.TargetName]*referenceTarget
}

func (referenceModel *referenceModel) penaltyPermits() int {
	withheld := 0
	for _, target := range referenceModel.targets {
		withheld += len(target.penaltiesUntil)
	}
	return withheld
}

func (referenceModel *referenceModel) totalLimit() int {
	totalLimit := 0
	for _, target := range referenceModel.targets {
		if target.present {
			totalLimit += target.limit.Limit
		}
	}
	return totalLimit
}

// utilization returns the share of permits in use, and whether the target accepts another request.
func (target *referenceTarget) utilization() (float64, bool) {
	own := target.ownInFlight + len(target.penaltiesUntil)
	if !target.present || target.limit.Limit == 0 || own >= target.limit.MaxOwnInFlight {
		return 0, false
	}
	if inFlight := own + target.othersInFlight; inFlight < target.limit.Limit {
		return float64(inFlight) / float64(target.limit.Limit), true
	}
	return 1, own < target.limit.MinShare
}

// minUtilization returns the smallest utilization among the targets that accept another request, and whether there is any.
func (referenceModel *referenceModel) minUtilization() (float64, bool) {
	minimum, found := 2.0, false
	for _, target := range referenceModel.targets {
		if utilization, available := target.utilization(); available {
			minimum, found = min(minimum, utilization), true
		}
	}
	return minimum, found
}

// For any sequence of changes to targets and requests, the Dispatcher grants a permit exactly when the reference model has a
// free one, on a target whose utilization is the smallest to within one bucket, and it never exceeds a maximum.
func TestDispatcherAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manual := clock.NewManual()
		dispatcher := NewDispatcher(Options{
			Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			Limits: Limits{QueueLength: 4, QueueWait: clock.Second, FailurePenalty: 100},
		})
		model := &referenceModel{targets: map[settings.TargetName]*referenceTarget{}}
		var permits []Permit
		names := rapid.SampledFrom([]settings.TargetName{"a", "b", "c", "d", "e"})
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				name := names.Draw(t, "target")
				dispatcher.Add(name, "127.0.0.1:1", "sofia-1")
				if model.targets[name] == nil {
					model.targets[name] = &referenceTarget{}
				}
				model.targets[name].present = true
			},
			"remove": func(t *rapid.T) {
				name := names.Draw(t, "target")
				dispatcher.Remove(name)
				if target := model.targets[name]; target != nil && target.present {
					target.present, target.limit, target.othersInFlight, target.consecutiveFailures = false, TargetLimit{}, 0, 0
				}
			},
			"limit": func(t *rapid.T) {
				name := names.Draw(t, "target")
				slots := rapid.IntRange(0, 6).Draw(t, "slots")
				limit := TargetLimit{Limit: slots, MinShare: rapid.IntRange(0, 2).Draw(t, "minShare"), MaxOwnInFlight: rapid.IntRange(0, 8).Draw(t, "maxOwnInFlight")}
				others := rapid.IntRange(0, 3).Draw(t, "others")
				dispatcher.SetLimit(name, limit, others)
				if target := model.targets[name]; target != nil && target.present {
					target.limit, target.othersInFlight = limit, others
				}
			},
			"acquire": func(t *rapid.T) {
				cancelled, cancel := context.WithCancel(context.Background())
				cancel()
				minimum, available := model.minUtilization()
				permit, err := dispatcher.Acquire(cancelled, PermitRequest{Deadline: manual.Now().Add(clock.Second)})
				require.Equal(t, available, err == nil, "%v", err)
				if err != nil {
					return
				}
				target := model.targets[permit.Target.Name]
				utilization, accepts := target.utilization()
				require.True(t, accepts)
				require.LessOrEqual(t, utilization, minimum+1.0/bucketCount)
				target.ownInFlight++
				require.LessOrEqual(t, target.ownInFlight, target.limit.MaxOwnInFlight)
				permits = append(permits, permit)
			},
			"release": func(t *rapid.T) {
				if len(permits) == 0 {
					t.Skip("no request in flight")
				}
				index := rapid.IntRange(0, len(permits)-1).Draw(t, "which")
				result := rapid.SampledFrom([]Result{Succeeded, Failed, Cancelled}).Draw(t, "result")
				permit := permits[index]
				permits = append(permits[:index], permits[index+1:]...)
				target := model.targets[permit.Target.Name]
				target.ownInFlight--
				// At most two consecutive failures, so that no target is throttled. TestFastFailingTargetGetsFewRequests and
				// TestMostTargetsFailing cover throttling.
				if result == Failed && target.consecutiveFailures >= failuresUntilThrottled-1 {
					result = Succeeded
				}
				switch result {
				case Succeeded:
					target.consecutiveFailures = 0
				case Failed:
					target.consecutiveFailures++
					if 2*(model.penaltyPermits()+1) <= model.totalLimit() && target.present {
						until := manual.Now().Add(100 * clock.Milliseconds(int(1)<<(target.consecutiveFailures-1)))
						target.penaltiesUntil = append(target.penaltiesUntil, until)
					}
				case Cancelled:
				}
				permit.Release(result)
				if !target.present && target.ownInFlight+len(target.penaltiesUntil) == 0 {
					target.consecutiveFailures = 0
				}
			},
			"wait": func(t *rapid.T) {
				manual.Advance(clock.Milliseconds(rapid.IntRange(1, 300).Draw(t, "ms")))
				dispatcher.ReleaseExpiredPenalties()
				for _, target := range model.targets {
					target.penaltiesUntil = unexpired(target.penaltiesUntil, manual.Now())
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, model.totalLimit(), dispatcher.totalLimit)
				require.Equal(t, model.penaltyPermits(), dispatcher.penaltyPermits)
				require.Zero(t, dispatcher.waiting.length)
			},
		})
	})
}

// unexpired returns the moments after now.
func unexpired(moments []clock.Moment, now clock.Moment) []clock.Moment {
	var kept []clock.Moment
	for _, moment := range moments {
		if now < moment {
			kept = append(kept, moment)
		}
	}
	return kept
}

// runRequests runs requests one after another. Those on the first failing targets fail; it returns their number.
func runRequests(t *testing.T, dispatcher *Dispatcher, manual *clock.Manual, requests, failing int) int {
	failed := 0
	for range requests {
		manual.Advance(1)
		dispatcher.ReleaseExpiredPenalties()
		permit, err := dispatcher.Acquire(context.Background(), PermitRequest{Deadline: manual.Now().Add(clock.Second)})
		require.NoError(t, err)
		var number int
		_, err = fmt.Sscan(string(permit.Target.Name), &number)
		require.NoError(t, err)
		if number < failing {
			failed++
			permit.Release(Failed)
			continue
		}
		permit.Release(Succeeded)
	}
	return failed
}

func newTenTargets(manual *clock.Manual) *Dispatcher {
	dispatcher := NewDispatcher(Options{
		Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1)),
		Limits: Limits{QueueLength: 4, QueueWait: clock.Second, FailurePenalty: 100},
	})
	for number := range 10 {
		name := settings.TargetName(fmt.Sprint(number))
		dispatcher.Add(name, "127.0.0.1:1", "sofia-1")
		dispatcher.SetLimit(name, TargetLimit{Limit: 6, MinShare: 6, MaxOwnInFlight: 6}, 0)
	}
	return dispatcher
}

// A backend server fails fast. With nothing in flight it looks like the best choice, and without a penalty it would get its
// even share of requests or more; a tenth of all requests would fail while healthy servers are idle.
func TestFastFailingTargetGetsFewRequests(t *testing.T) {
	manual := clock.NewManual()
	dispatcher := newTenTargets(manual)
	failed := runRequests(t, dispatcher, manual, 10000, 1)
	require.Less(t, failed, 100)
	require.Positive(t, failed, "the failing target is still tried occasionally")
	require.Zero(t, runRequests(t, dispatcher, manual, 10000, 0), "the target has recovered")
	states, _ := dispatcher.State()
	for _, state := range states {
		require.Zero(t, state.Failures, "%s has been tried and is back in use", state.Name)
	}
}

// Most backend servers fail at once, from an external cause. If all of them were throttled, the few remaining servers would get
// the whole load and be overloaded. At least half of all permits stay in use.
func TestMostTargetsFailing(t *testing.T) {
	manual := clock.NewManual()
	dispatcher := newTenTargets(manual)
	runRequests(t, dispatcher, manual, 10000, 9)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	acquired := 0
	for {
		if _, err := dispatcher.Acquire(cancelled, PermitRequest{Deadline: manual.Now().Add(clock.Second)}); err != nil {
			break
		}
		acquired++
	}
	require.GreaterOrEqual(t, acquired, 30)
}

// While all permits are in use, requests wait and are served by priority. Each wait ends with a permit, or at the maximum wait,
// the deadline or the caller's cancellation, whichever comes first.
func TestWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(Options{
			Clock: clock.New(), Rand: rand.New(rand.NewPCG(1, 1)),
			Limits: Limits{QueueLength: 8, QueueWait: 500, FailurePenalty: 100},
		})
		dispatcher.Add("a", "127.0.0.1:1", "sofia-1")
		dispatcher.SetLimit("a", TargetLimit{Limit: 1, MinShare: 1, MaxOwnInFlight: 1}, 0)
		now := dispatcher.clock.Now
		first, err := dispatcher.Acquire(context.Background(), PermitRequest{Deadline: now().Add(clock.Minute)})
		require.NoError(t, err)

		ended := make(chan string, 8)
		acquire := func(name string, priority settings.Priority, deadline clock.Milliseconds, ctx context.Context) {
			go func() {
				permit, err := dispatcher.Acquire(ctx, PermitRequest{Priority: priority, Deadline: now().Add(deadline)})
				if err != nil {
					ended <- name + ": " + err.Error()
					return
				}
				ended <- name
				permit.Release(Succeeded)
			}()
			synctest.Wait()
		}
		cancelContext, cancel := context.WithCancel(context.Background())
		acquire("browse", 2, clock.Minute, context.Background())
		acquire("payment", 0, clock.Minute, context.Background())
		acquire("hurried", 1, 100, context.Background())
		acquire("gone", 0, clock.Minute, cancelContext)
		cancel()
		require.Equal(t, "gone: context canceled", <-ended)
		require.Equal(t, "hurried: "+ErrDeadline.Error(), <-ended)
		first.Release(Succeeded)
		require.Equal(t, "payment", <-ended)
		require.Equal(t, "browse", <-ended)

		first, err = dispatcher.Acquire(context.Background(), PermitRequest{Deadline: now().Add(clock.Minute)})
		require.NoError(t, err)
		acquire("late", 2, clock.Minute, context.Background())
		require.Equal(t, "late: "+ErrQueueWait.Error(), <-ended)
		acquire("orphan", 2, clock.Minute, context.Background())
		dispatcher.Remove("a")
		require.Equal(t, "orphan: "+ErrNoTarget.Error(), <-ended)
		first.Release(Succeeded)
		_, err = dispatcher.Acquire(context.Background(), PermitRequest{})
		require.ErrorIs(t, err, ErrNoTarget)
	})
}

// A backend server is removed and added again while requests are still in flight on it. It is cold now and its limit is one.
// The requests in flight must be counted, or it would get one request too many.
func TestReturningTargetKeepsItsCount(t *testing.T) {
	manual := clock.NewManual()
	dispatcher := NewDispatcher(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1)), Limits: Limits{QueueLength: 1, QueueWait: 1}})
	limit := TargetLimit{Limit: 1, MaxOwnInFlight: 1}
	dispatcher.Add("a", "127.0.0.1:1", "sofia-1")
	dispatcher.SetLimit("a", limit, 0)
	permit, err := dispatcher.Acquire(context.Background(), PermitRequest{Deadline: 1000})
	require.NoError(t, err)
	dispatcher.Remove("a")
	dispatcher.Add("a", "127.0.0.1:2", "sofia-1")
	dispatcher.SetLimit("a", limit, 0)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = dispatcher.Acquire(cancelled, PermitRequest{Deadline: 1000})
	require.Error(t, err)
	permit.Release(Succeeded)
	again, err := dispatcher.Acquire(cancelled, PermitRequest{Deadline: 1000})
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:2", again.Target.Address)
}

// Retries are limited to a share of the requests of callers, however many fail.
func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget(0.1)
	spent := 0
	for range 1000 {
		budget.Deposit(0)
		if budget.TryWithdraw(Retry{}) {
			spent++
		}
	}
	require.InDelta(t, 110, spent, 1, "a tenth of the requests, and the initial balance of ten")
}

// The limit of a server that warms up only grows, from its initial limit to all its slots.
func TestWarmup(t *testing.T) {
	warmup := Warmup{InitialLimit: 1, FullLimit: 6, RampDuration: 10 * clock.Second}
	require.Equal(t, 1, warmup.LimitAt(-1))
	require.Equal(t, 1, warmup.LimitAt(0))
	require.Equal(t, 3, warmup.LimitAt(5*clock.Second))
	require.Equal(t, 5, warmup.LimitAt(9999))
	require.Equal(t, 6, warmup.LimitAt(10*clock.Second))
}
