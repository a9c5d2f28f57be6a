package service

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// targetCounts is what a Scheduler keeps of its configured targets.
type targetCounts struct {
	usable, local int
	limited       []settings.TargetName
	configs       map[settings.TargetName]TargetConfig
}

func countsOf(scheduler *Scheduler, configured map[settings.TargetName]TargetConfig) targetCounts {
	counts := targetCounts{usable: scheduler.usableCount, local: scheduler.usableLocal, configs: map[settings.TargetName]TargetConfig{}}
	for _, candidate := range scheduler.limitedTargets {
		counts.limited = append(counts.limited, candidate.Name)
	}
	slices.Sort(counts.limited)
	for _, candidate := range scheduler.ordered {
		if _, known := configured[candidate.Name]; known {
			counts.configs[candidate.Name] = candidate.config
		}
	}
	return counts
}

// Guards against a scheduler that, after single targets were changed, counts or offers other targets than one that was given all of them: it
// would refuse requests while targets are free, or wait for targets that are gone.
func TestChangedTargetsEqualReplacedOnes(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		manual := clock.NewManual()
		manual.Advance(clock.Second)
		schedulers := [2]*Scheduler{}
		for index := range schedulers {
			schedulers[index] = NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(seed, 1))})
		}
		configs := map[settings.TargetName]TargetConfig{}
		permits := [2][]Permit{}
		for range 80 {
			manual.Advance(20)
			var changed []TargetConfig
			var removed []settings.TargetName
			for range 1 + random.IntN(4) {
				name := settings.TargetName(fmt.Sprintf("target-%d", random.IntN(30)))
				if slices.Contains(removed, name) || slices.ContainsFunc(changed, func(config TargetConfig) bool { return config.Name == name }) {
					continue
				}
				if _, known := configs[name]; known && random.IntN(3) == 0 {
					delete(configs, name)
					removed = append(removed, name)
					continue
				}
				configs[name] = TargetConfig{
					Name: name, Address: "10.0.0.1:80", Slots: 1 + random.IntN(4), Local: random.IntN(2) == 0, Owned: random.IntN(2) == 0,
					Usable: random.IntN(4) > 0, Started: int64(random.IntN(2)),
				}
				changed = append(changed, configs[name])
			}
			schedulers[0].ChangeTargets(changed, removed)
			schedulers[1].SetTargets(slices.Collect(maps.Values(configs)))
			require.Equal(t, configs, countsOf(schedulers[0], configs).configs)
			require.Equal(t, countsOf(schedulers[1], configs), countsOf(schedulers[0], configs))
			for _, scheduler := range schedulers {
				requireModelsAttached(t, scheduler)
			}
			name := settings.TargetName(fmt.Sprintf("target-%d", random.IntN(30)))
			limit := RateLimitStatement{Named: random.IntN(2) == 0, Rate: 5}
			for index, scheduler := range schedulers {
				scheduler.ObserveStatement(name, configs[name].Started, Statement{At: manual.Now(), Limit: limit})
				if permit, found := scheduler.TryAcquire(PermitRequest{Class: "lookups", SoftDeadline: manual.Now().Add(clock.Second)}); found {
					permits[index] = append(permits[index], permit)
				}
				if len(permits[index]) > 3 {
					permits[index][0].Release(Succeeded)
					permits[index] = permits[index][1:]
				}
			}
			require.Len(t, permits[0], len(permits[1]))
		}
	}
}

// requireModelsAttached checks that each target has the model for its slots, and each model counts its targets.
func requireModelsAttached(t *testing.T, scheduler *Scheduler) {
	attached := map[*slotClass]int{}
	for _, candidate := range scheduler.candidates {
		require.Same(t, scheduler.concurrencyModel.bySlots[candidate.config.Slots], candidate.slotClass)
		attached[candidate.slotClass]++
	}
	for _, class := range scheduler.concurrencyModel.slotClasses {
		require.Equal(t, attached[class], class.attached)
	}
}

// Guards against records that are kept for ever of targets that were removed while requests were in flight on them: a list that turns over
// would fill the memory of a serving instance.
func TestRecordOfRemovedTargetIsDropped(t *testing.T) {
	scheduler := NewScheduler(SchedulerOptions{Clock: clock.New(), Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetTargets([]TargetConfig{{Name: "one", Slots: 4, Usable: true}})
	now := scheduler.clock.Now()
	scheduler.Observe("one", LoadReading{At: now, Slots: 4, Slowdown: 1, ColdKnown: true})
	permit, found := scheduler.TryAcquire(PermitRequest{Class: "lookups", SoftDeadline: now.Add(clock.Second)})
	require.True(t, found)
	scheduler.ChangeTargets([]TargetConfig{{Name: "two", Slots: 4, Usable: true}}, []settings.TargetName{"one"})
	require.Contains(t, scheduler.candidates, settings.TargetName("one"), "a request is in flight")
	permit.Release(Succeeded)
	scheduler.ChangeTargets(nil, []settings.TargetName{"two"})
	require.Empty(t, scheduler.candidates)
	require.Empty(t, scheduler.ordered)
}
