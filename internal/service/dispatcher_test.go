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

// referenceTarget is a target as a balancer without any index would keep it.
type referenceTarget struct {
	ownInFlight, consecutiveFailures int
	penaltiesUntil                   []clock.Moment
	othersInFlight                   int
	limit                            TargetLimit
	present                          bool
}

// referenceModel decides by looking at every target each time. It is slow and plainly right, and the Dispatcher must agree.
type referenceModel struct {
	targets map[settings.TargetName]*referenceTarget
}

func (naive *referenceModel) penaltyPermits() int {
	held := 0
	for _, target := range naive.targets {
		held += len(target.penaltiesUntil)
	}
	return held
}

func (naive *referenceModel) totalLimit() int {
	capacity := 0
	for _, target := range naive.targets {
		if target.present {
			capacity += target.limit.Limit
		}
	}
	return capacity
}

// utilization returns the utilization of places taken, or false when the target takes no more.
func (target *referenceTarget) utilization() (float64, bool) {
	mine := target.ownInFlight + len(target.penaltiesUntil)
	if !target.present || target.limit.Limit == 0 || mine >= target.limit.MaxOwnInFlight {
		return 0, false
	}
	if taken := mine + target.othersInFlight; taken < target.limit.Limit {
		return float64(taken) / float64(target.limit.Limit), true
	}
	return 1, mine < target.limit.MinShare
}

// minUtilization returns the smallest share taken among targets that take more.
func (naive *referenceModel) minUtilization() (float64, bool) {
	least, found := 2.0, false
	for _, target := range naive.targets {
		if share, free := target.utilization(); free {
			least, found = min(least, share), true
		}
	}
	return least, found
}

// Whatever happens to targets and requests, in whatever order, the Dispatcher gives a place exactly when the naive
// version knows a free one, on a target whose share of taken places is the smallest to within one level, and never
// exceeds a limit that is not to be exceeded.
func TestDispatcherAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manual := clock.NewManual()
		dispatcher := NewDispatcher(Options{
			Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			Limits: Limits{QueueLength: 4, QueueWait: clock.Second, FailurePenalty: 100},
		})
		model := &referenceModel{targets: map[settings.TargetName]*referenceTarget{}}
		var places []Permit
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
				limit := TargetLimit{Limit: slots, MinShare: rapid.IntRange(0, 2).Draw(t, "least"), MaxOwnInFlight: rapid.IntRange(0, 8).Draw(t, "most")}
				others := rapid.IntRange(0, 3).Draw(t, "others")
				dispatcher.SetLimit(name, limit, others)
				if target := model.targets[name]; target != nil && target.present {
					target.limit, target.othersInFlight = limit, others
				}
			},
			"take": func(t *rapid.T) {
				gone, cancel := context.WithCancel(context.Background())
				cancel()
				least, free := model.minUtilization()
				place, err := dispatcher.Acquire(gone, PermitRequest{Deadline: manual.Now().Add(clock.Second)})
				require.Equal(t, free, err == nil, "%v", err)
				if err != nil {
					return
				}
				target := model.targets[place.Target.Name]
				share, takes := target.utilization()
				require.True(t, takes)
				require.LessOrEqual(t, share, least+1.0/bucketCount)
				target.ownInFlight++
				require.LessOrEqual(t, target.ownInFlight, target.limit.MaxOwnInFlight)
				places = append(places, place)
			},
			"release": func(t *rapid.T) {
				if len(places) == 0 {
					t.Skip("nothing in flight")
				}
				index := rapid.IntRange(0, len(places)-1).Draw(t, "which")
				result := rapid.SampledFrom([]Result{Succeeded, Failed, Cancelled}).Draw(t, "result")
				place := places[index]
				places = append(places[:index], places[index+1:]...)
				target := model.targets[place.Target.Name]
				target.ownInFlight--
				// At most two failures in a row, so that no target is set aside; TestFailingTargets is about those.
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
				place.Release(result)
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

func unexpired(moments []clock.Moment, now clock.Moment) []clock.Moment {
	var kept []clock.Moment
	for _, moment := range moments {
		if now < moment {
			kept = append(kept, moment)
		}
	}
	return kept
}

// runRequests runs requests one after another, of which those on the first failing targets runRequests, and returns how many did.
func runRequests(t *testing.T, dispatcher *Dispatcher, manual *clock.Manual, requests, failing int) int {
	failed := 0
	for range requests {
		manual.Advance(1)
		dispatcher.ReleaseExpiredPenalties()
		place, err := dispatcher.Acquire(context.Background(), PermitRequest{Deadline: manual.Now().Add(clock.Second)})
		require.NoError(t, err)
		var number int
		_, err = fmt.Sscan(string(place.Target.Name), &number)
		require.NoError(t, err)
		if number < failing {
			failed++
			place.Release(Failed)
			continue
		}
		place.Release(Succeeded)
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

// A backend server fails fast. With nothing in flight it looks like the best choice, and without a penalty it would
// draw its even share or more; callers would see a tenth of all requests fail while good servers idle.
func TestFastFailingTargetGetsFewRequests(t *testing.T) {
	manual := clock.NewManual()
	dispatcher := newTenTargets(manual)
	failed := runRequests(t, dispatcher, manual, 10000, 1)
	require.Less(t, failed, 100)
	require.Positive(t, failed, "it is tried again now and then")
	require.Zero(t, runRequests(t, dispatcher, manual, 10000, 0), "it is well again")
	states, _ := dispatcher.State()
	for _, state := range states {
		require.Zero(t, state.Failures, "%s has been tried and taken back", state.Name)
	}
}

// Most backend servers fail at once, from a cause that lies elsewhere. Were all of them set aside, the few that are left
// would get the whole load and topple; half of all places stay in use.
func TestMostTargetsFailing(t *testing.T) {
	manual := clock.NewManual()
	dispatcher := newTenTargets(manual)
	runRequests(t, dispatcher, manual, 10000, 9)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	taken := 0
	for {
		if _, err := dispatcher.Acquire(gone, PermitRequest{Deadline: manual.Now().Add(clock.Second)}); err != nil {
			break
		}
		taken++
	}
	require.GreaterOrEqual(t, taken, 30)
}

// While all places are taken, requests wait and are served by urgency; each wait ends by a place, its limit, its
// deadline or its caller, whichever comes first.
func TestWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(Options{
			Clock: clock.New(), Rand: rand.New(rand.NewPCG(1, 1)),
			Limits: Limits{QueueLength: 8, QueueWait: 500, FailurePenalty: 100},
		})
		dispatcher.Add("a", "127.0.0.1:1", "sofia-1")
		dispatcher.SetLimit("a", TargetLimit{Limit: 1, MinShare: 1, MaxOwnInFlight: 1}, 0)
		now := dispatcher.clock.Now
		held, err := dispatcher.Acquire(context.Background(), PermitRequest{Deadline: now().Add(clock.Minute)})
		require.NoError(t, err)

		ended := make(chan string, 8)
		begin := func(name string, priority settings.Priority, deadline clock.Milliseconds, ctx context.Context) {
			go func() {
				place, err := dispatcher.Acquire(ctx, PermitRequest{Priority: priority, Deadline: now().Add(deadline)})
				if err != nil {
					ended <- name + ": " + err.Error()
					return
				}
				ended <- name
				place.Release(Succeeded)
			}()
			synctest.Wait()
		}
		leaving, leave := context.WithCancel(context.Background())
		begin("browse", 2, clock.Minute, context.Background())
		begin("payment", 0, clock.Minute, context.Background())
		begin("hurried", 1, 100, context.Background())
		begin("gone", 0, clock.Minute, leaving)
		leave()
		require.Equal(t, "gone: context canceled", <-ended)
		require.Equal(t, "hurried: "+ErrDeadline.Error(), <-ended)
		held.Release(Succeeded)
		require.Equal(t, "payment", <-ended)
		require.Equal(t, "browse", <-ended)

		held, err = dispatcher.Acquire(context.Background(), PermitRequest{Deadline: now().Add(clock.Minute)})
		require.NoError(t, err)
		begin("late", 2, clock.Minute, context.Background())
		require.Equal(t, "late: "+ErrQueueWait.Error(), <-ended)
		begin("orphan", 2, clock.Minute, context.Background())
		dispatcher.Remove("a")
		require.Equal(t, "orphan: "+ErrNoTarget.Error(), <-ended)
		held.Release(Succeeded)
		_, err = dispatcher.Acquire(context.Background(), PermitRequest{})
		require.ErrorIs(t, err, ErrNoTarget)
	})
}

// A backend server is taken out and comes back while requests are still in flight on it. It is cold now and bears one;
// those still in flight count, or it would be given one too many.
func TestReturningTargetKeepsItsCount(t *testing.T) {
	manual := clock.NewManual()
	dispatcher := NewDispatcher(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1)), Limits: Limits{QueueLength: 1, QueueWait: 1}})
	limit := TargetLimit{Limit: 1, MaxOwnInFlight: 1}
	dispatcher.Add("a", "127.0.0.1:1", "sofia-1")
	dispatcher.SetLimit("a", limit, 0)
	place, err := dispatcher.Acquire(context.Background(), PermitRequest{Deadline: 1000})
	require.NoError(t, err)
	dispatcher.Remove("a")
	dispatcher.Add("a", "127.0.0.1:2", "sofia-1")
	dispatcher.SetLimit("a", limit, 0)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = dispatcher.Acquire(gone, PermitRequest{Deadline: 1000})
	require.Error(t, err)
	place.Release(Succeeded)
	again, err := dispatcher.Acquire(gone, PermitRequest{Deadline: 1000})
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:2", again.Target.Address)
}

// Retries are a share of live requests, however many fail.
func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget(0.1)
	spent := 0
	for range 1000 {
		budget.Deposit()
		if budget.TryWithdraw() {
			spent++
		}
	}
	require.InDelta(t, 110, spent, 1, "a tenth of the requests, and the ten saved up at first")
}

// The limit of a server that warms up only grows, from its first places to all its slots.
func TestWarmup(t *testing.T) {
	warmup := Warmup{InitialLimit: 1, FullLimit: 6, RampDuration: 10 * clock.Second}
	require.Equal(t, 1, warmup.LimitAt(-1))
	require.Equal(t, 1, warmup.LimitAt(0))
	require.Equal(t, 3, warmup.LimitAt(5*clock.Second))
	require.Equal(t, 5, warmup.LimitAt(9999))
	require.Equal(t, 6, warmup.LimitAt(10*clock.Second))
}
