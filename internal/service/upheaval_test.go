package service

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// upheaval does things at random to a scheduler.
type upheaval struct {
	*testing.T

	clock     *clock.Manual
	random    *rand.Rand
	scheduler *Scheduler
	offers    []Offer
	phases    []clock.Milliseconds
	steady    bool
	places    []Permit
	tickets   []*PendingPermit
	// worse is by what part each choice among many costs more than the best one.
	worse []float64
}

func newUpheaval(t *testing.T, targets int, seed uint64) *upheaval {
	manual := clock.NewManual()
	manual.Advance(clock.Minute)
	upheaval := &upheaval{T: t, clock: manual, random: rand.New(rand.NewPCG(seed, 1)), steady: seed%4 != 0}
	upheaval.scheduler = NewScheduler(SchedulerOptions{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(seed, 2))})
	for number := range targets {
		upheaval.offers = append(upheaval.offers, upheaval.offer(number))
		upheaval.phases = append(upheaval.phases, clock.Milliseconds(150*upheaval.random.Float64()))
	}
	upheaval.scheduler.SetOffers(upheaval.offers)
	return upheaval
}

func (upheaval *upheaval) chance(part float64) bool {
	return upheaval.random.Float64() < part
}

func (upheaval *upheaval) offer(number int) Offer {
	return Offer{
		Name: settings.TargetName(fmt.Sprint(number)), Slots: 2 + 2*(number%3), Local: upheaval.chance(0.5), Owned: upheaval.chance(0.4),
		Usable: upheaval.chance(0.95), ColdRate: 10, ColdFor: clock.Milliseconds(upheaval.random.IntN(3)) * clock.Second,
		Started: int64(upheaval.random.IntN(2)),
	}
}

func (upheaval *upheaval) observe() {
	number := upheaval.random.IntN(len(upheaval.offers))
	now := upheaval.clock.Now()
	reading := Reading{
		At: now.Add(-clock.Milliseconds(3 * upheaval.random.Float64())), Running: upheaval.random.IntN(4), Slots: upheaval.offers[number].Slots,
		Slowdown: []float64{1, 1, 1, 1.3, 5}[upheaval.random.IntN(5)], ColdKnown: upheaval.chance(0.9),
	}
	if upheaval.chance(0.15) {
		reading.ColdFor = clock.Second
	}
	if upheaval.steady {
		cadence := cadence{period: 150, boundary: clock.Moment(upheaval.phases[number])}
		reading.Period, reading.SteadyFor = 150, cadence.until(reading.At)
	}
	if number%7 == 0 {
		reading = Reading{At: now, ColdKnown: true}
	}
	upheaval.scheduler.Observe(upheaval.offers[number].Name, reading)
}

func (upheaval *upheaval) demand() PermitRequest {
	now := upheaval.clock.Now()
	demand := PermitRequest{
		Priority:     settings.Priority(upheaval.random.IntN(int(settings.LowestPriority) + 1)),
		Class:        settings.ClassName([]string{"look", "claim"}[upheaval.random.IntN(2)]),
		SoftDeadline: now.Add(clock.Milliseconds(upheaval.random.IntN(600))), Deadline: now.Add(1500),
	}
	if upheaval.chance(0.2) {
		demand.PreviousTarget = upheaval.scheduler.ordered[upheaval.random.IntN(len(upheaval.scheduler.ordered))].Target
	}
	return demand
}

func (upheaval *upheaval) step() {
	scheduler, random := upheaval.scheduler, upheaval.random
	upheaval.clock.Advance(clock.Milliseconds(2 * random.ExpFloat64()))
	switch kind := random.IntN(1000); {
	case kind < 400:
		upheaval.observe()
	case kind < 650:
		place, ticket, err := scheduler.AcquireOrEnqueue(upheaval.demand())
		if ticket != nil {
			upheaval.tickets = append(upheaval.tickets, ticket)
		} else if err == nil {
			upheaval.places = append(upheaval.places, place)
		}
	case kind < 900:
		upheaval.release()
	case kind < 920:
		scheduler.Sweep()
	case kind < 940:
		if place, found := scheduler.TryTake(upheaval.demand()); found {
			upheaval.places = append(upheaval.places, place)
		}
	case kind < 955:
		scheduler.SetDown(upheaval.offers[random.IntN(len(upheaval.offers))].Name, upheaval.chance(0.3))
	case kind < 980:
		scheduler.SetColdShare(float64(random.IntN(5)) / 4)
	case kind < 990:
		number := random.IntN(len(upheaval.offers))
		upheaval.offers[number] = upheaval.offer(number)
		scheduler.SetOffers(upheaval.offers[:len(upheaval.offers)-random.IntN(2)])
	case kind < 992:
		scheduler.Forget()
	case kind < 996:
		scheduler.concurrency.learns = !scheduler.concurrency.learns
	default:
		upheaval.clock.Advance(clock.Milliseconds(2000 * random.Float64()))
	}
	upheaval.collect()
}

func (upheaval *upheaval) release() {
	if len(upheaval.places) == 0 {
		return
	}
	position := upheaval.random.IntN(len(upheaval.places))
	if upheaval.chance(0.05) {
		slotClass := upheaval.places[position].candidate.slotClass
		slotClass.longer[1+upheaval.random.IntN(len(slotClass.longer)-1)] = 1 + 2*upheaval.random.Float64()
		slotClass.setRoom()
	}
	result := []Result{Succeeded, Succeeded, Succeeded, Succeeded, Failed, Cancelled}[upheaval.random.IntN(6)]
	upheaval.places[position].Release(result)
	upheaval.places = slices.Delete(upheaval.places, position, position+1)
}

func (upheaval *upheaval) collect() {
	upheaval.tickets = slices.DeleteFunc(upheaval.tickets, func(ticket *PendingPermit) bool {
		place, found, err := ticket.Poll()
		if !found && upheaval.clock.Now() >= ticket.WaitDeadline() {
			place, err = ticket.Cancel()
			found = true
		}
		if found && err == nil {
			upheaval.places = append(upheaval.places, place)
		}
		return found
	})
}
