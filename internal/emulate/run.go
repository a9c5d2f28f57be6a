package emulate

import (
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Ways of a request and of control, as they are on the users' platform.
const (
	// reach is the time from a caller's decision to ask until its request is at the instance, on a new connection, and back the time
	// of an answer. Callers are 8 ms away.
	reach = 24 * clock.Millisecond
	back  = 8 * clock.Millisecond
	// hop is the time from an instance to a target.
	hop = 1 * clock.Millisecond
	// sweepEvery is how often waiting requests are looked after.
	sweepEvery = 10 * clock.Millisecond
	// probeLearning and probeUnknown are the pauses between probes while a cadence is learnt and where there is none to be learnt.
	probeLearning = 30 * clock.Millisecond
	probeUnknown  = 45 * clock.Millisecond
	// knowingEvery is the pause of instances that read everything anew all the time.
	knowingEvery = 5 * clock.Millisecond
	// patienceSpread is how much callers of a class differ in patience.
	patienceSpread = 0.17
	// leastWork is the least part of the usual work that a request takes.
	leastWork = 0.2
	// coldRate plays no part as long as no target is cold; a scheduler needs one.
	coldRate = 19
)

// world is one play of a variant.
type world struct {
	experiment *Experiment
	variant    *Variant
	engine     *engine
	random     *rand.Rand
	targets    []*target
	byName     map[settings.TargetName]*target
	instances  []*instance
	tally      *Tally
}

// instance is one that serves: its scheduler, and the requests that wait in it.
type instance struct {
	number    int
	world     *world
	scheduler *service.Scheduler
	tickets   []*ticket
}

// ticket is a waiting request.
type ticket struct {
	*service.PendingPermit

	decided func(service.Permit, error)
	over    bool
}

// play plays a variant once.
func play(experiment *Experiment, variant *Variant, seed uint64) *Tally {
	world := &world{
		experiment: experiment, variant: variant, engine: newEngine(), random: rand.New(rand.NewPCG(seed, 7)),
		byName: map[settings.TargetName]*target{}, tally: newTally(),
	}
	world.makeTargets(seed)
	for number := range variant.Instances {
		scheduler := service.NewScheduler(service.SchedulerOptions{
			Clock: &world.engine.clock.Clock, Rand: rand.New(rand.NewPCG(seed, uint64(100+number))),
		})
		world.instances = append(world.instances, &instance{number: number, world: world, scheduler: scheduler})
	}
	world.offer()
	world.tend()
	for _, outage := range experiment.Outages {
		world.plan(outage)
	}
	longest := clock.Milliseconds(0)
	for index := range experiment.Classes {
		class := &experiment.Classes[index]
		longest = max(longest, class.Deadline)
		world.arrive(class, rand.New(rand.NewPCG(seed, uint64(1000+index))))
	}
	world.engine.run(clock.Moment(experiment.Length + longest))
	return world.tally
}

func (world *world) makeTargets(seed uint64) {
	for number := range world.experiment.Service.Targets {
		target := &target{
			name: settings.TargetName(fmt.Sprintf("target-%d", number)), service: &world.experiment.Service, engine: world.engine,
			phase: clock.Milliseconds(world.random.Float64()) * world.experiment.Service.Noise.Every, seed: seed*1000 + uint64(number),
			owner: number % world.variant.Instances,
		}
		world.targets = append(world.targets, target)
		world.byName[target.name] = target
	}
}

// offer tells the schedulers which targets there are.
func (world *world) offer() {
	for _, instance := range world.instances {
		offers := make([]service.TargetConfig, 0, len(world.targets))
		for _, target := range world.targets {
			own := target.owner == instance.number
			offers = append(offers, service.TargetConfig{
				Name: target.name, Slots: target.service.Slots, Local: own, Owned: own, Usable: !target.out, ColdRate: coldRate,
			})
		}
		instance.scheduler.SetTargets(offers)
		instance.settle()
	}
}

// plan takes targets away for a while.
func (world *world) plan(outage Outage) {
	change := func(out bool) func() {
		return func() {
			for number, target := range world.targets {
				if float64(number) < outage.Share*float64(len(world.targets)) {
					target.out = out
				}
			}
			world.offer()
		}
	}
	world.engine.at(clock.Moment(outage.At), change(true))
	world.engine.at(clock.Moment(outage.At+outage.For), change(false))
}

// tend probes the targets and looks after what waits.
func (world *world) tend() {
	for index, target := range world.targets {
		if !world.variant.Blind || world.variant.Knowing {
			first := probeUnknown * clock.Milliseconds(index) / clock.Milliseconds(len(world.targets))
			world.engine.after(first, func() { world.probe(target) })
		}
	}
	var sweep func()
	sweep = func() {
		for _, instance := range world.instances {
			instance.scheduler.Sweep()
			instance.settle()
		}
		world.engine.after(sweepEvery, sweep)
	}
	sweep()
}

// probe reads a target and tells its owner at once, and the others a little later.
func (world *world) probe(target *target) {
	target.update()
	reading := target.reading()
	owner := world.instances[target.owner]
	owner.observe(target.name, reading)
	for _, other := range world.instances {
		if other != owner {
			world.engine.after(world.variant.TellAfter, func() { other.observe(target.name, reading) })
		}
	}
	pause := owner.scheduler.NextProbe(target.name, probeLearning, probeUnknown)
	if world.variant.Knowing {
		pause = knowingEvery
	}
	world.engine.after(pause, func() { world.probe(target) })
}

func (instance *instance) observe(name settings.TargetName, reading service.LoadReading) {
	instance.scheduler.Observe(name, reading)
	instance.settle()
}

// settle hands out what the scheduler has decided for waiting requests.
func (instance *instance) settle() {
	kept := instance.tickets[:0]
	var decided []func()
	for _, ticket := range instance.tickets {
		if ticket.over {
			continue
		}
		if place, found, err := ticket.Poll(); found {
			ticket.over = true
			decided = append(decided, func() { ticket.decided(place, err) })
			continue
		}
		kept = append(kept, ticket)
	}
	instance.tickets = kept
	for _, act := range decided {
		act()
	}
}

// take asks for a place; decided is called once, now or later.
func (instance *instance) take(demand service.PermitRequest, decided func(service.Permit, error)) {
	place, waiting, err := instance.scheduler.AcquireOrEnqueue(demand)
	if waiting == nil {
		decided(place, err)
		return
	}
	ticket := &ticket{PendingPermit: waiting, decided: decided}
	instance.tickets = append(instance.tickets, ticket)
	instance.world.engine.at(waiting.WaitDeadline(), func() {
		if ticket.over {
			return
		}
		ticket.over = true
		decided(waiting.Cancel())
	})
}

// arrive lets callers of a class come at random.
func (world *world) arrive(class *Class, random *rand.Rand) {
	var next func()
	next = func() {
		if world.engine.now() >= clock.Moment(world.experiment.Length) {
			return
		}
		(&visit{world: world, class: class, random: rand.New(rand.NewPCG(random.Uint64(), 2))}).begin()
		rate := class.PerSecond * world.burst()
		world.engine.after(clock.Milliseconds(random.ExpFloat64()/rate)*clock.Second, next)
	}
	world.engine.after(clock.Milliseconds(random.ExpFloat64()/class.PerSecond)*clock.Second, next)
}

// burst is how many times as many callers as usual come now.
func (world *world) burst() float64 {
	times := 1.0
	for _, burst := range world.experiment.Bursts {
		if now := clock.Milliseconds(world.engine.now()); now >= burst.At && now < burst.At+burst.For {
			times *= burst.Times
		}
	}
	return times
}

// visit is one caller with one request.
type visit struct {
	world   *world
	class   *Class
	random  *rand.Rand
	began   clock.Moment
	until   clock.Moment
	work    clock.Milliseconds
	returns int
}

func (visit *visit) begin() {
	visit.began = visit.world.engine.now()
	patience := visit.class.Deadline * clock.Milliseconds(1-patienceSpread*visit.random.Float64())
	visit.until = visit.began.Add(patience)
	visit.work = visit.class.Work * clock.Milliseconds(max(1+visit.class.Spread*visit.random.NormFloat64(), leastWork))
	visit.world.engine.after(reach, visit.ask)
}

// ask is the request's arrival at an instance.
func (visit *visit) ask() {
	world := visit.world
	now := world.engine.now()
	instance := world.instances[visit.random.IntN(len(world.instances))]
	left := visit.until.Since(now)
	if left <= 0 {
		visit.end(endedExpired)
		return
	}
	demand := service.PermitRequest{
		Priority: visit.class.Priority, Class: visit.class.Name, Deadline: visit.until,
		SoftDeadline: instance.scheduler.SoftDeadline(visit.class.Name, now, visit.class.Aim, left),
	}
	instance.take(demand, func(place service.Permit, err error) {
		if err != nil {
			world.tally.held(world.engine.now().Since(now))
			visit.refused(err)
			return
		}
		visit.serve(instance, place)
	})
}

func (visit *visit) refused(err error) {
	var refused *service.RefusedError
	if !errors.As(err, &refused) || visit.returns >= visit.class.Returns {
		visit.end(endedRefused)
		return
	}
	visit.returns++
	left := visit.until.Since(visit.world.engine.now())
	// Callers stay away for a third of the time that they have left, at the most.
	visit.world.engine.after(back+min(refused.RetryAfter, left/3)+reach, visit.ask)
}

// serve sends the request to its target, and learns from the answer.
func (visit *visit) serve(instance *instance, place service.Permit) {
	world := visit.world
	target := world.byName[place.Target.Name]
	world.engine.after(hop, func() {
		target.start(&job{left: visit.work, deadline: visit.until, done: func(finished bool) {
			reading := target.reading()
			world.engine.after(hop, func() {
				if !finished {
					place.Release(service.Failed)
					instance.settle()
					visit.end(endedExpired)
					return
				}
				place.Observe(reading)
				place.Release(service.Succeeded)
				instance.settle()
				visit.answered()
			})
		}})
	})
}

func (visit *visit) answered() {
	ended := endedLate
	if visit.latency() <= visit.class.Aim {
		ended = endedInTime
	}
	visit.end(ended)
}

// latency counts until the answer is with the caller.
func (visit *visit) latency() clock.Milliseconds {
	return visit.world.engine.now().Add(back).Since(visit.began)
}

func (visit *visit) end(ended ending) {
	if visit.counts() {
		visit.world.tally.count(visit.class.Name, ended, visit.latency())
	}
}

func (visit *visit) counts() bool {
	return visit.began >= clock.Moment(visit.world.experiment.Settle)
}
