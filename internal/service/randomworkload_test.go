package service

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// randomWorkload performs random operations on a scheduler.
type randomWorkload struct {
	*testing.T

	clock          *clock.Manual
	random         *rand.Rand
	scheduler      *Scheduler
	configs        []TargetConfig
	phases         []clock.Milliseconds
	steady         bool
	permits        []Permit
	pendingPermits []*PendingPermit
	// excessCosts holds, for each choice among many targets, its cost beyond that of the best target, relative to the
	// latter.
	excessCosts []float64
}

func newRandomWorkload(t *testing.T, targets int, seed uint64) *randomWorkload {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	randomWorkload := &randomWorkload{T: t, clock: manual, random: rand.New(rand.NewPCG(seed, 1)), steady: seed%4 != 0}
	randomWorkload.scheduler = NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(seed, 2))})
	for number := range targets {
		randomWorkload.configs = append(randomWorkload.configs, randomWorkload.randomConfig(number))
		randomWorkload.phases = append(randomWorkload.phases, clock.Milliseconds(150*randomWorkload.random.Float64()))
	}
	randomWorkload.scheduler.SetTargets(randomWorkload.configs)
	return randomWorkload
}

func (randomWorkload *randomWorkload) chance(probability float64) bool {
	return randomWorkload.random.Float64() < probability
}

func (randomWorkload *randomWorkload) randomConfig(number int) TargetConfig {
	return TargetConfig{
		Name: settings.TargetName(fmt.Sprint(number)), Slots: 2 + 2*(number%3), Local: randomWorkload.chance(0.5), Owned: randomWorkload.chance(0.4),
		Usable: randomWorkload.chance(0.95), ColdRate: 10, ColdFor: clock.Milliseconds(randomWorkload.random.IntN(3)) * clock.Second,
		Started: int64(randomWorkload.random.IntN(2)),
	}
}

func (randomWorkload *randomWorkload) observe() {
	number := randomWorkload.random.IntN(len(randomWorkload.configs))
	now := randomWorkload.clock.Now()
	reading := LoadReading{
		At: now.Add(-clock.Milliseconds(3 * randomWorkload.random.Float64())), Running: randomWorkload.random.IntN(4), Slots: randomWorkload.configs[number].Slots,
		Slowdown: []float64{1, 1, 1, 1.3, 5}[randomWorkload.random.IntN(5)], ColdKnown: randomWorkload.chance(0.9),
	}
	if randomWorkload.chance(0.15) {
		reading.ColdFor = clock.Second
	}
	if randomWorkload.steady {
		slowdownCycle := slowdownCycle{period: 150, boundary: clock.Moment(randomWorkload.phases[number])}
		reading.Period, reading.SteadyFor = 150, slowdownCycle.untilBoundary(reading.At)
	}
	if number%7 == 0 {
		reading = LoadReading{At: now, ColdKnown: true}
	}
	randomWorkload.scheduler.Observe(randomWorkload.configs[number].Name, reading)
}

func (randomWorkload *randomWorkload) permitRequest() PermitRequest {
	now := randomWorkload.clock.Now()
	permitRequest := PermitRequest{
		Priority:     settings.Priority(randomWorkload.random.IntN(int(settings.LowestPriority) + 1)),
		Class:        settings.ClassName([]string{"look", "claim"}[randomWorkload.random.IntN(2)]),
		SoftDeadline: now.Add(clock.Milliseconds(randomWorkload.random.IntN(600))), Deadline: now.Add(1500),
	}
	if randomWorkload.chance(0.2) {
		permitRequest.PreviousTarget = randomWorkload.scheduler.ordered[randomWorkload.random.IntN(len(randomWorkload.scheduler.ordered))].Target
	}
	return permitRequest
}

func (randomWorkload *randomWorkload) step() {
	scheduler, random := randomWorkload.scheduler, randomWorkload.random
	randomWorkload.clock.Advance(clock.Milliseconds(2 * random.ExpFloat64()))
	switch kind := random.IntN(1000); {
	case kind < 400:
		randomWorkload.observe()
	case kind < 650:
		permit, pendingPermit, err := scheduler.AcquireOrEnqueue(randomWorkload.permitRequest())
		if pendingPermit != nil {
			randomWorkload.pendingPermits = append(randomWorkload.pendingPermits, pendingPermit)
		} else if err == nil {
			randomWorkload.permits = append(randomWorkload.permits, permit)
		}
	case kind < 900:
		randomWorkload.release()
	case kind < 920:
		scheduler.Sweep()
	case kind < 940:
		if permit, found := scheduler.TryAcquire(randomWorkload.permitRequest()); found {
			randomWorkload.permits = append(randomWorkload.permits, permit)
		}
	case kind < 955:
		scheduler.SetDown(randomWorkload.configs[random.IntN(len(randomWorkload.configs))].Name, randomWorkload.chance(0.3), FromProbe)
	case kind < 980:
		scheduler.SetRateShare(float64(random.IntN(5)) / 4)
	case kind < 990:
		number := random.IntN(len(randomWorkload.configs))
		randomWorkload.configs[number] = randomWorkload.randomConfig(number)
		scheduler.SetTargets(randomWorkload.configs[:len(randomWorkload.configs)-random.IntN(2)])
	case kind < 992:
		scheduler.DiscardReadings()
	case kind < 996:
		scheduler.concurrencyModel.learning = !scheduler.concurrencyModel.learning
	default:
		randomWorkload.clock.Advance(clock.Milliseconds(2000 * random.Float64()))
	}
	randomWorkload.collect()
}

func (randomWorkload *randomWorkload) release() {
	if len(randomWorkload.permits) == 0 {
		return
	}
	position := randomWorkload.random.IntN(len(randomWorkload.permits))
	if randomWorkload.chance(0.05) {
		slotClass := randomWorkload.permits[position].candidate.slotClass
		slotClass.durationFactors[1+randomWorkload.random.IntN(len(slotClass.durationFactors)-1)] = 1 + 2*randomWorkload.random.Float64()
		slotClass.updateLimit()
	}
	result := []Result{Succeeded, Succeeded, Succeeded, Succeeded, Failed, Cancelled}[randomWorkload.random.IntN(6)]
	randomWorkload.permits[position].Release(result)
	randomWorkload.permits = slices.Delete(randomWorkload.permits, position, position+1)
}

func (randomWorkload *randomWorkload) collect() {
	randomWorkload.pendingPermits = slices.DeleteFunc(randomWorkload.pendingPermits, func(pendingPermit *PendingPermit) bool {
		permit, found, err := pendingPermit.Poll()
		if !found && randomWorkload.clock.Now() >= pendingPermit.WaitDeadline() {
			permit, err = pendingPermit.Cancel()
			found = true
		}
		if found && err == nil {
			randomWorkload.permits = append(randomWorkload.permits, permit)
		}
		return found
	})
}
