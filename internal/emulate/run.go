package emulate

import (
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Delays and intervals of requests and probes, as on the users' platform.
const (
	// requestDelay is the time from a caller's start of a request to its arrival at the instance, including the set-up of a new
	// connection. responseDelay is the time of a response from the instance to the caller. The one-way network delay is 8 ms.
	requestDelay  = 24 * clock.Millisecond
	responseDelay = 8 * clock.Millisecond
	// targetDelay is the one-way network delay between an instance and a target.
	targetDelay = 1 * clock.Millisecond
	// sweepInterval is the time between two sweeps of the requests that wait in a scheduler.
	sweepInterval = 10 * clock.Millisecond
	// probeIntervalLearning is the time between probes of a target while its slowdown cycle is being learned,
	// probeIntervalUnknown the time if the target has no known cycle.
	probeIntervalLearning = 30 * clock.Millisecond
	probeIntervalUnknown  = 45 * clock.Millisecond
	// probeNotDuePause is the time after which a probe that was not due is considered again.
	probeNotDuePause = 100 * clock.Millisecond
	// continuousProbeInterval is the time between probes of a variant with ContinuousProbes.
	continuousProbeInterval = 5 * clock.Millisecond
	// timeoutSpread is the range of callers' timeouts within a class: from (1 - timeoutSpread) * Timeout to Timeout.
	timeoutSpread = 0.17
	// minServiceTimeFactor is the shortest service time as a fraction of the mean.
	minServiceTimeFactor = 0.2
	// coldRate is needed by the scheduler but has no effect, because no target is cold.
	coldRate = 19
)

// simulation is one run of a variant.
type simulation struct {
	experiment    *Experiment
	variant       *Variant
	engine        *engine
	random        *rand.Rand
	targets       []*target
	targetsByName map[settings.TargetName]*target
	instances     []*instance
	tally         *Tally
}

// instance is a simulated instance: its scheduler, and the requests that wait in it.
type instance struct {
	number          int
	simulation      *simulation
	scheduler       *service.Scheduler
	pendingRequests []*pendingRequest
}

// pendingRequest is a request that waits for a permit. onDecision is called once, with the permit or the error.
type pendingRequest struct {
	*service.PendingPermit

	onDecision func(service.Permit, error)
	done       bool
}

// simulate runs a variant once.
func simulate(experiment *Experiment, variant *Variant, seed uint64) *Tally {
	simulation := &simulation{
		experiment: experiment, variant: variant, engine: newEngine(), random: rand.New(rand.NewPCG(seed, 7)),
		targetsByName: map[settings.TargetName]*target{}, tally: newTally(),
	}
	simulation.addTargets(seed)
	for number := range variant.Instances {
		scheduler := service.NewScheduler(service.SchedulerOptions{
			Clock: &simulation.engine.clock.Clock, Rand: rand.New(rand.NewPCG(seed, uint64(100+number))),
		})
		simulation.instances = append(simulation.instances, &instance{number: number, simulation: simulation, scheduler: scheduler})
	}
	simulation.updateTargets()
	simulation.startPeriodicTasks()
	for _, outage := range experiment.Outages {
		simulation.scheduleOutage(outage)
	}
	for index := range experiment.RateLimits {
		simulation.scheduleRateLimit(&experiment.RateLimits[index])
	}
	longest := clock.Milliseconds(0)
	for index := range experiment.Classes {
		class := &experiment.Classes[index]
		longest = max(longest, class.Timeout)
		simulation.startArrivals(class, rand.New(rand.NewPCG(seed, uint64(1000+index))))
	}
	simulation.engine.run(clock.Moment(experiment.Duration + longest))
	return simulation.tally
}

func (simulation *simulation) addTargets(seed uint64) {
	for number := range simulation.experiment.Service.Targets {
		target := &target{
			name: settings.TargetName(fmt.Sprintf("target-%d", number)), service: &simulation.experiment.Service, engine: simulation.engine,
			phase: clock.Milliseconds(simulation.random.Float64()) * simulation.experiment.Service.Noise.Interval, seed: seed*1000 + uint64(number),
			owner: number % simulation.variant.Instances,
		}
		simulation.targets = append(simulation.targets, target)
		simulation.targetsByName[target.name] = target
	}
}

// updateTargets sends the current list of targets to all schedulers.
func (simulation *simulation) updateTargets() {
	for _, instance := range simulation.instances {
		targetConfigs := make([]service.TargetConfig, 0, len(simulation.targets))
		for _, target := range simulation.targets {
			owned := target.owner == instance.number
			targetConfigs = append(targetConfigs, service.TargetConfig{
				Name: target.name, Slots: target.service.Slots, Local: owned, Owned: owned, Usable: !target.unavailable, ColdRate: coldRate,
				// Emulated targets are never cold. Only their owners need a probe to tell.
				Unprobed: !owned,
			})
		}
		instance.scheduler.SetTargets(targetConfigs)
		instance.deliverDecisions()
	}
}

// scheduleOutage schedules the start and the end of an outage.
func (simulation *simulation) scheduleOutage(outage Outage) {
	setUnavailable := func(unavailable bool) func() {
		return func() {
			for number, target := range simulation.targets {
				if float64(number) < outage.TargetShare*float64(len(simulation.targets)) {
					target.unavailable = unavailable
				}
			}
			simulation.updateTargets()
		}
	}
	simulation.engine.at(clock.Moment(outage.Start), setUnavailable(true))
	simulation.engine.at(clock.Moment(outage.Start+outage.Duration), setUnavailable(false))
}

// scheduleRateLimit schedules the start and the end of a rate limit.
func (simulation *simulation) scheduleRateLimit(rateLimit *RateLimit) {
	set := func(limit *RateLimit) func() {
		return func() {
			for number, target := range simulation.targets {
				if float64(number) < rateLimit.TargetShare*float64(len(simulation.targets)) {
					target.rateLimit = limit
				}
			}
		}
	}
	simulation.engine.at(clock.Moment(rateLimit.Start), set(rateLimit))
	simulation.engine.at(clock.Moment(rateLimit.Start+rateLimit.Duration), set(nil))
}

// reportDeclarations sends what has changed of the limits of targets to the other instances.
func (instance *instance) reportDeclarations() {
	for _, report := range instance.scheduler.DeclarationReports(instance.simulation.engine.now()) {
		for _, other := range instance.simulation.instances {
			if other != instance {
				instance.simulation.engine.after(instance.simulation.variant.ReadingDelay, func() {
					other.scheduler.ReceiveDeclaration(service.PeerKey(instance.number), report)
				})
			}
		}
	}
}

// startPeriodicTasks starts the probes of all targets, unless the variant has none, and the sweeps of all schedulers.
func (simulation *simulation) startPeriodicTasks() {
	for index, target := range simulation.targets {
		if !simulation.variant.ProbesDisabled || simulation.variant.ContinuousProbes {
			first := probeIntervalUnknown * clock.Milliseconds(index) / clock.Milliseconds(len(simulation.targets))
			simulation.engine.after(first, func() { simulation.probe(target) })
		}
	}
	var sweep func()
	sweep = func() {
		for _, instance := range simulation.instances {
			instance.scheduler.Sweep()
			instance.deliverDecisions()
			instance.reportDeclarations()
		}
		simulation.engine.after(sweepInterval, sweep)
	}
	sweep()
}

// probe takes a load reading of a target. The owner receives it at once, the other instances after ReadingDelay.
func (simulation *simulation) probe(target *target) {
	owner := simulation.instances[target.owner]
	if !owner.scheduler.ProbeDue(target.name) {
		simulation.engine.after(probeNotDuePause, func() { simulation.probe(target) })
		return
	}
	target.update()
	loadReading := target.loadReading()
	owner.observe(target.name, loadReading)
	owner.scheduler.ObserveStatement(target.name, 0, target.statement(true))
	for _, other := range simulation.instances {
		if other != owner {
			simulation.engine.after(simulation.variant.ReadingDelay, func() { other.observe(target.name, loadReading) })
		}
	}
	interval := max(owner.scheduler.NextProbe(target.name, probeIntervalLearning, probeIntervalUnknown), owner.scheduler.MinProbeInterval(target.name))
	if simulation.variant.ContinuousProbes {
		interval = continuousProbeInterval
	}
	simulation.engine.after(interval, func() { simulation.probe(target) })
}

func (instance *instance) observe(name settings.TargetName, loadReading service.LoadReading) {
	instance.scheduler.Observe(name, loadReading)
	instance.deliverDecisions()
}

// deliverDecisions calls onDecision of the pending requests that the scheduler has decided.
func (instance *instance) deliverDecisions() {
	stillPending := instance.pendingRequests[:0]
	var deliveries []func()
	for _, pendingRequest := range instance.pendingRequests {
		if pendingRequest.done {
			continue
		}
		if permit, found, err := pendingRequest.Poll(); found {
			pendingRequest.done = true
			deliveries = append(deliveries, func() { pendingRequest.onDecision(permit, err) })
			continue
		}
		stillPending = append(stillPending, pendingRequest)
	}
	instance.pendingRequests = stillPending
	for _, deliver := range deliveries {
		deliver()
	}
}

// acquire requests a permit. onDecision is called once, immediately or later.
func (instance *instance) acquire(permitRequest service.PermitRequest, onDecision func(service.Permit, error)) {
	permit, pendingPermit, err := instance.scheduler.AcquireOrEnqueue(permitRequest)
	if pendingPermit == nil {
		onDecision(permit, err)
		return
	}
	pendingRequest := &pendingRequest{PendingPermit: pendingPermit, onDecision: onDecision}
	instance.pendingRequests = append(instance.pendingRequests, pendingRequest)
	instance.simulation.engine.at(pendingPermit.WaitDeadline(), func() {
		if pendingRequest.done {
			return
		}
		pendingRequest.done = true
		onDecision(pendingPermit.Cancel())
	})
}

// startArrivals starts the arrivals of a class: a Poisson process whose rate follows the bursts.
func (simulation *simulation) startArrivals(class *Class, random *rand.Rand) {
	var next func()
	next = func() {
		if simulation.engine.now() >= clock.Moment(simulation.experiment.Duration) {
			return
		}
		(&call{simulation: simulation, class: class, random: rand.New(rand.NewPCG(random.Uint64(), 2))}).begin()
		rate := class.Rate * simulation.burstFactor()
		simulation.engine.after(clock.Milliseconds(random.ExpFloat64()/rate)*clock.Second, next)
	}
	simulation.engine.after(clock.Milliseconds(random.ExpFloat64()/class.Rate)*clock.Second, next)
}

// burstFactor returns the factor by which arrival rates are multiplied now.
func (simulation *simulation) burstFactor() float64 {
	factor := 1.0
	for _, burst := range simulation.experiment.Bursts {
		if now := clock.Milliseconds(simulation.engine.now()); now >= burst.Start && now < burst.Start+burst.Duration {
			factor *= burst.Factor
		}
	}
	return factor
}

// call is one request of a caller, including its retries.
type call struct {
	simulation  *simulation
	class       *Class
	random      *rand.Rand
	startedAt   clock.Moment
	deadline    clock.Moment
	serviceTime clock.Milliseconds
	retries     int
}

func (call *call) begin() {
	call.startedAt = call.simulation.engine.now()
	timeout := call.class.Timeout * clock.Milliseconds(1-timeoutSpread*call.random.Float64())
	call.deadline = call.startedAt.Add(timeout)
	call.serviceTime = call.class.MeanServiceTime *
		clock.Milliseconds(max(1+call.class.Deviation*call.random.NormFloat64(), minServiceTimeFactor))
	call.simulation.engine.after(requestDelay, call.arriveAtInstance)
}

// arriveAtInstance requests a permit from a random instance.
func (call *call) arriveAtInstance() {
	simulation := call.simulation
	now := simulation.engine.now()
	instance := simulation.instances[call.random.IntN(len(simulation.instances))]
	timeLeft := call.deadline.Since(now)
	if timeLeft <= 0 {
		call.finish(resultExpired)
		return
	}
	permitRequest := service.PermitRequest{
		Priority: call.class.Priority, Class: call.class.Name, Deadline: call.deadline,
		SoftDeadline: instance.scheduler.SoftDeadline(call.class.Name, now, call.class.SoftTimeout, timeLeft),
	}
	instance.acquire(permitRequest, func(permit service.Permit, err error) {
		if err != nil {
			simulation.tally.recordRefusalDelay(simulation.engine.now().Since(now))
			call.handleRefusal(err)
			return
		}
		call.sendToTarget(instance, permit)
	})
}

func (call *call) handleRefusal(err error) {
	var refused *service.RefusedError
	if !errors.As(err, &refused) || call.retries >= call.class.MaxRetries {
		call.finish(resultRefused)
		return
	}
	call.retries++
	timeLeft := call.deadline.Since(call.simulation.engine.now())
	// Callers wait at most a third of their remaining time before a retry.
	call.simulation.engine.after(responseDelay+min(refused.RetryAfter, timeLeft/3)+requestDelay, call.arriveAtInstance)
}

// sendToTarget sends the request to the target of its permit. The load reading of the response goes to the scheduler.
func (call *call) sendToTarget(instance *instance, permit service.Permit) {
	simulation := call.simulation
	target := simulation.targetsByName[permit.Target.Name]
	simulation.engine.after(targetDelay, func() {
		target.submit(&job{remaining: call.serviceTime, deadline: call.deadline, done: func(finished bool) {
			loadReading, statement := target.loadReading(), target.statement(false)
			simulation.engine.after(targetDelay, func() {
				if !finished {
					permit.Release(service.Failed)
					instance.deliverDecisions()
					call.finish(resultExpired)
					return
				}
				permit.Observe(loadReading)
				permit.ObserveStatement(statement)
				permit.Release(service.Succeeded)
				instance.deliverDecisions()
				call.handleResponse()
			})
		}})
	})
}

func (call *call) handleResponse() {
	result := resultLate
	if call.latency() <= call.class.SoftTimeout {
		result = resultInTime
	}
	call.finish(result)
}

// latency returns the time from the start of the call to the arrival of a response at the caller, if it is sent now.
func (call *call) latency() clock.Milliseconds {
	return call.simulation.engine.now().Add(responseDelay).Since(call.startedAt)
}

func (call *call) finish(result requestResult) {
	if call.measured() {
		call.simulation.tally.count(call.class.Name, result, call.latency())
	}
}

func (call *call) measured() bool {
	return call.startedAt >= clock.Moment(call.simulation.experiment.MeasureFrom)
}
