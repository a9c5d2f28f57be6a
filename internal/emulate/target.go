package emulate

import (
	"math"
	"math/rand/v2"

	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// target is one backend server. Its pace changes when a spell ends or when the number of running requests passes the knee; what each
// has done is brought up to date at every such moment. Requests follow it, or keep the pace at which they started.
type target struct {
	name    settings.TargetName
	service *Service
	engine  *engine
	phase   clock.Milliseconds
	seed    uint64
	owner   int
	out     bool

	running []*job
	waiting []*job
	updated clock.Moment
	// planned tells the event that is to bring it up to date next from those that have become void.
	planned int
}

// job is one request at a target.
type job struct {
	// left is the work that remains, in time on a calm target.
	left clock.Milliseconds
	// pace is the one at which it started.
	pace float64
	// deadline is when the target gives it up.
	deadline clock.Moment
	done     func(finished bool)
}

// slowdown is how many times longer work takes because of neighbours: drawn anew for each spell.
func (target *target) slowdown(now clock.Moment) float64 {
	spell := uint64((clock.Milliseconds(now) + target.phase) / target.service.Noise.Every)
	if rand.New(rand.NewPCG(target.seed, spell)).Float64() < target.service.Noise.Share {
		return target.service.Noise.Times
	}
	return 1
}

// pace is the time that a unit of work takes.
func (target *target) pace(now clock.Moment) float64 {
	pace := target.slowdown(now)
	if float64(len(target.running)) > target.service.Knee*float64(target.service.Slots) {
		pace *= target.service.KneeTimes
	}
	return pace
}

// reading is what it would tell of itself.
func (target *target) reading() service.LoadReading {
	now := target.engine.now()
	return service.LoadReading{
		At: now, Running: len(target.running), Waiting: len(target.waiting), Slots: target.service.Slots, Slowdown: target.slowdown(now),
		ColdKnown: true,
	}
}

// start takes a request. One that finds the queue full is never answered, as on the users' platform.
func (target *target) start(job *job) {
	target.update()
	switch {
	case len(target.running) < target.service.Slots:
		target.begin(job)
	case len(target.waiting) < target.service.Queue:
		target.waiting = append(target.waiting, job)
	default:
		target.engine.at(job.deadline, func() { job.done(false) })
	}
	target.plan()
}

// begin runs a request.
func (target *target) begin(job *job) {
	target.running = append(target.running, job)
	job.pace = target.pace(target.engine.now())
}

// paceOf is the time that a unit of a request's work takes.
func (target *target) paceOf(job *job, now clock.Moment) clock.Milliseconds {
	if target.service.Noise.Kept {
		return clock.Milliseconds(job.pace)
	}
	return clock.Milliseconds(target.pace(now))
}

// update brings what has been done up to now.
func (target *target) update() {
	now := target.engine.now()
	elapsed := now.Since(target.updated)
	for _, job := range target.running {
		job.left -= elapsed / target.paceOf(job, target.updated)
	}
	target.updated = now
}

// plan asks to be looked at when a request ends or the pace may change.
func (target *target) plan() {
	now := target.engine.now()
	next := target.spellEnds(now)
	for _, job := range target.running {
		next = min(next, now.Add(max(job.left, 0)*target.paceOf(job, now)), job.deadline)
	}
	if len(target.running) == 0 {
		return
	}
	target.planned++
	planned := target.planned
	target.engine.at(max(next, now.Add(shortestStep)), func() {
		if planned == target.planned {
			target.look()
		}
	})
}

// shortestStep keeps rounding from planning a moment that is now.
const shortestStep = 0.001 * clock.Millisecond

func (target *target) spellEnds(now clock.Moment) clock.Moment {
	every := float64(target.service.Noise.Every)
	spell := math.Floor((float64(now) + float64(target.phase)) / every)
	return clock.Moment((spell+1)*every - float64(target.phase))
}

// look ends what is done or given up, and starts what waits.
func (target *target) look() {
	target.update()
	now := target.engine.now()
	var ended []*job
	kept := target.running[:0]
	for _, job := range target.running {
		if job.left <= nothing || now >= job.deadline {
			ended = append(ended, job)
			continue
		}
		kept = append(kept, job)
	}
	target.running = kept
	for len(target.waiting) > 0 && len(target.running) < target.service.Slots {
		target.begin(target.waiting[0])
		target.waiting = target.waiting[1:]
	}
	target.plan()
	for _, job := range ended {
		job.done(job.left <= nothing)
	}
}

// nothing is the work that counts as none.
const nothing = 0.002 * clock.Millisecond
