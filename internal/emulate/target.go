package emulate

import (
	"math"
	"math/rand/v2"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// target is one backend server. Its slowdown changes when a noise interval ends or when the number of running requests passes
// the knee; the remaining work of all running requests is updated at each such moment. Requests follow the slowdown of the
// target or, with FixedAtStart, keep the slowdown with which they started.
type target struct {
	name        settings.TargetName
	service     *Service
	engine      *engine
	phase       clock.Milliseconds
	seed        uint64
	owner       int
	unavailable bool
	// rateLimit is the limit that the target names, nil if it names none.
	rateLimit *RateLimit

	running   []*job
	waiting   []*job
	updatedAt clock.Moment
	// updateNumber identifies the next scheduled update. Events with an older number are obsolete and ignored.
	updateNumber int
}

// job is one request at a target.
type job struct {
	// remaining is the remaining work, as time on a target without slowdown.
	remaining clock.Milliseconds
	// startSlowdown is the slowdown of the target when the request started.
	startSlowdown float64
	// deadline is when the target aborts the request.
	deadline clock.Moment
	done     func(finished bool)
}

// noiseSlowdown returns the factor by which noise slows the target down. It is drawn for each noise interval.
func (target *target) noiseSlowdown(now clock.Moment) float64 {
	interval := uint64((clock.Milliseconds(now) + target.phase) / target.service.Noise.Interval)
	if rand.New(rand.NewPCG(target.seed, interval)).Float64() < target.service.Noise.SlowProbability {
		return target.service.Noise.Slowdown
	}
	return 1
}

// totalSlowdown returns the slowdown by noise and by the knee.
func (target *target) totalSlowdown(now clock.Moment) float64 {
	slowdown := target.noiseSlowdown(now)
	if float64(len(target.running)) > target.service.Knee*float64(target.service.Slots) {
		slowdown *= target.service.KneeSlowdown
	}
	return slowdown
}

// loadReading returns the current load of the target.
func (target *target) loadReading() service.LoadReading {
	now := target.engine.now()
	return service.LoadReading{
		At: now, Running: len(target.running), Waiting: len(target.waiting), Slots: target.service.Slots, Slowdown: target.noiseSlowdown(now),
		ColdKnown: true,
	}
}

// statement returns what the target says of itself in a response.
func (target *target) statement(toProbe bool) service.Statement {
	statement := service.Statement{At: target.engine.now()}
	if target.rateLimit == nil || toProbe && !target.rateLimit.ProbesName {
		statement.Limit.Absent = true
	} else {
		statement.Limit = service.RateLimitStatement{Named: true, Rate: target.rateLimit.Rate}
	}
	return statement
}

// submit runs or queues a request. If the queue is full, the request gets no response, as on the users' platform.
func (target *target) submit(job *job) {
	target.update()
	switch {
	case len(target.running) < target.service.Slots:
		target.runJob(job)
	case len(target.waiting) < target.service.Queue:
		target.waiting = append(target.waiting, job)
	default:
		target.engine.at(job.deadline, func() { job.done(false) })
	}
	target.scheduleUpdate()
}

func (target *target) runJob(job *job) {
	target.running = append(target.running, job)
	job.startSlowdown = target.totalSlowdown(target.engine.now())
}

// jobSlowdown returns the factor by which a request is slowed down.
func (target *target) jobSlowdown(job *job, now clock.Moment) clock.Milliseconds {
	if target.service.Noise.FixedAtStart {
		return clock.Milliseconds(job.startSlowdown)
	}
	return clock.Milliseconds(target.totalSlowdown(now))
}

// update subtracts the work done since the last update from the remaining work of all running requests.
func (target *target) update() {
	now := target.engine.now()
	elapsed := now.Since(target.updatedAt)
	for _, job := range target.running {
		job.remaining -= elapsed / target.jobSlowdown(job, target.updatedAt)
	}
	target.updatedAt = now
}

// scheduleUpdate schedules the next update: when a request ends or the slowdown may change.
func (target *target) scheduleUpdate() {
	now := target.engine.now()
	next := target.noiseIntervalEnd(now)
	for _, job := range target.running {
		next = min(next, now.Add(max(job.remaining, 0)*target.jobSlowdown(job, now)), job.deadline)
	}
	if len(target.running) == 0 {
		return
	}
	target.updateNumber++
	updateNumber := target.updateNumber
	target.engine.at(max(next, now.Add(minUpdateDelay)), func() {
		if updateNumber == target.updateNumber {
			target.processJobs()
		}
	})
}

// minUpdateDelay prevents an update that is scheduled for the current moment because of rounding.
const minUpdateDelay = 0.001 * clock.Millisecond

func (target *target) noiseIntervalEnd(now clock.Moment) clock.Moment {
	length := float64(target.service.Noise.Interval)
	interval := math.Floor((float64(now) + float64(target.phase)) / length)
	return clock.Moment((interval+1)*length - float64(target.phase))
}

// processJobs ends the requests that have finished or passed their deadline, and starts waiting ones in the free slots.
func (target *target) processJobs() {
	target.update()
	now := target.engine.now()
	var ended []*job
	stillRunning := target.running[:0]
	for _, job := range target.running {
		if job.remaining <= workTolerance || now >= job.deadline {
			ended = append(ended, job)
			continue
		}
		stillRunning = append(stillRunning, job)
	}
	target.running = stillRunning
	for len(target.waiting) > 0 && len(target.running) < target.service.Slots {
		target.runJob(target.waiting[0])
		target.waiting = target.waiting[1:]
	}
	target.scheduleUpdate()
	for _, job := range ended {
		job.done(job.remaining <= workTolerance)
	}
}

// workTolerance is the remaining work below which a request counts as finished.
const workTolerance = 0.002 * clock.Millisecond
