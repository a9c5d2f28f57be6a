package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/sensing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// What a limited server allows, from contactTime after it first named its limit: in each limitWindow, limitFactor times what the
// limit allows, and limitSlack requests. Requests of an instance count from limitKnownTime after it was told.
const (
	limitRate      = 1.0
	limitFactor    = 1.5
	limitSlack     = 5
	limitWindow    = 4 * clock.Second
	limitKnownTime = 500 * clock.Millisecond
)

// Limited servers whose limit is unsteady leave it out in each unnamedInterval-th answer. Callers that send in bursts do so for burstLength
// of each burstInterval.
const (
	unnamedInterval = 4
	burstLength     = 200 * clock.Millisecond
	burstInterval   = 2500 * clock.Millisecond
)

// statementChecks sends requests to servers of which some name a limit, and counts them over all instances.
type statementChecks struct {
	options *virtualOptions
	// answers counts the answers of each limited server.
	answers map[settings.TargetName]int
	// firstNamed is when a process of a server first named its limit, counted are the requests within the last window.
	firstNamed map[serverProcess]clock.Moment
	counted    map[serverProcess][]clock.Moment
	exceeded   string
	// shedding counts the requests to servers that turn some away, restBroken describes a rest that was not given.
	shedding   map[settings.TargetName]int
	restBroken string
	// leavingBroken describes a request to a server that had said that it leaves.
	leavingBroken string
	// most is the largest number of requests in a window, total the number of all that count.
	most, total int
}

// Rests that a server asks for: it turns away every shedInterval-th request and wants none for restLength. From restNoticeTime after
// a refusal to the end of the rest, it gets maxRequestsInRest at most from the instance.
const (
	shedInterval      = 4
	restLength        = 3 * clock.Second
	restNoticeTime    = 500 * clock.Millisecond
	maxRequestsInRest = 2
)

// Every fourth server says in its answers that it leaves, leavesAt after the start of the fleet. From leavingNoticeTime after the
// first such answer it gets no request of the instance that received it.
const (
	leavesAt          = 12 * clock.Second
	leavingNoticeTime = 2 * clock.Second
)

// restState is what a server with a rest has got from a process since it last asked it for rest.
type restState struct {
	askedAt  clock.Moment
	requests int
}

type serverProcess struct {
	name    settings.TargetName
	started int64
}

func newStatementChecks(options *virtualOptions) *statementChecks {
	return &statementChecks{
		options: options, firstNamed: map[serverProcess]clock.Moment{}, counted: map[serverProcess][]clock.Moment{},
		shedding: map[settings.TargetName]int{}, answers: map[settings.TargetName]int{},
	}
}

// limited reports whether the server names a limit: every second one does.
func limited(name settings.TargetName) bool {
	return strings.HasSuffix(string(name), "0") || strings.HasSuffix(string(name), "2") || strings.HasSuffix(string(name), "4")
}

func statementOf(name settings.TargetName, now clock.Moment) service.Statement {
	if !limited(name) {
		return service.Statement{At: now, Limit: service.RateLimitStatement{Absent: true}}
	}
	return service.Statement{At: now, Limit: service.RateLimitStatement{Named: true, Rate: limitRate}}
}

// sheds reports whether the server turns some requests away and asks for rest.
func sheds(name settings.TargetName) bool {
	return strings.HasSuffix(string(name), "1")
}

// leaves reports whether the server says that it leaves. A process that started later does not.
func leaves(server serverProcess, now clock.Moment) bool {
	return strings.HasSuffix(string(server.name), "3") && server.started == 0 && now >= clock.Moment(leavesAt)
}

// startedOf returns the start time of the server's process by the view of an instance.
func startedOf(controller *Controller, name settings.TargetName) int64 {
	return controller.knownServers[name].Started
}

// warmReading is the reading of an idle, warm server.
func warmReading(now clock.Moment) service.LoadReading {
	return service.LoadReading{At: now, Slots: 2, Slowdown: 1, ColdKnown: true}
}

// probe reports warm servers. Responses to probes name limits at every second instance only, since not all platforms do so.
func (statements *statementChecks) probe(process *process, now clock.Moment) {
	for _, job := range process.jobs {
		health := sensing.Health{Healthy: true, LoadReading: warmReading(now)}
		if process.machine.number%2 == 0 {
			health.Statement = statementOf(job.Target, now)
		}
		process.controller.RecordProbe(sensing.Result{Service: job.Service, Target: job.Target, Started: job.Started, Health: health})
	}
}

// send ends the requests of a process that are due, and sends up to one more to each service.
func (statements *statementChecks) send(machine *machine, processTime, now clock.Moment) {
	process := machine.process
	process.permits = slices.DeleteFunc(process.permits, func(held heldPermit) bool {
		if processTime < held.until {
			return false
		}
		statements.answer(machine, held.permit, processTime, now)
		return true
	})
	if statements.options.bursts && math.Mod(float64(now), float64(burstInterval)) >= float64(burstLength) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(process.controller.services)) {
		if permit, granted := process.acquire(name, processTime); granted {
			statements.count(machine, permit.Target.Name, now)
			statements.countInRest(machine, permit.Target.Name, now)
			statements.checkLeaving(machine, permit.Target.Name, now)
			process.permits = append(process.permits, heldPermit{permit: permit, until: processTime.Add(ownedInterval)})
		}
	}
}

// acquire returns a permit for a request to the service, which waits for one at most a second.
func (process *process) acquire(name settings.ServiceName, now clock.Moment) (service.Permit, bool) {
	if waiting, waits := process.waiting[name]; waits {
		permit, ended, err := waiting.Poll()
		if !ended && now < waiting.WaitDeadline() {
			return service.Permit{}, false
		}
		if !ended {
			permit, err = waiting.Cancel()
		}
		delete(process.waiting, name)
		return permit, err == nil
	}
	permit, pending, err := process.controller.services[name].scheduler.AcquireOrEnqueue(service.PermitRequest{
		Class: "class-0", SoftDeadline: now.Add(clock.Second), Deadline: now.Add(clock.Second),
	})
	if pending != nil {
		process.waiting[name] = pending
		return service.Permit{}, false
	}
	return permit, err == nil
}

func (statements *statementChecks) answer(machine *machine, permit service.Permit, processTime, now clock.Moment) {
	name := permit.Target.Name
	if statements.shed(machine, permit, processTime, now) {
		return
	}
	if server := (serverProcess{name: name, started: startedOf(machine.process.controller, name)}); leaves(server, now) {
		if _, told := machine.process.toldLeaving[server]; !told {
			machine.process.toldLeaving[server] = now
		}
		permit.ObserveStatement(service.Statement{At: processTime, Leaving: true})
		permit.Release(service.Succeeded)
		return
	}
	statements.answers[name]++
	if statements.options.unsteadyLimits && statements.answers[name]%unnamedInterval == 0 {
		permit.ObserveStatement(service.Statement{At: processTime, Limit: service.RateLimitStatement{Absent: true}})
		permit.Release(service.Succeeded)
		return
	}
	permit.ObserveStatement(statementOf(name, processTime))
	permit.Release(service.Succeeded)
	if !limited(name) {
		return
	}
	server := serverProcess{name: name, started: startedOf(machine.process.controller, name)}
	if _, named := statements.firstNamed[server]; !named {
		statements.firstNamed[server] = now
	}
	if _, told := machine.process.toldLimit[server]; !told {
		machine.process.toldLimit[server] = now
	}
}

// shed turns a request away and asks for rest, if it is the server's turn.
func (statements *statementChecks) shed(machine *machine, permit service.Permit, processTime, now clock.Moment) bool {
	name := permit.Target.Name
	if !sheds(name) {
		return false
	}
	statements.shedding[name]++
	if statements.shedding[name]%shedInterval > 0 {
		return false
	}
	machine.process.rests[serverProcess{name: name, started: startedOf(machine.process.controller, name)}] = &restState{askedAt: now}
	permit.ObserveStatement(service.Statement{At: processTime, Rest: restLength})
	permit.Release(service.Failed)
	return true
}

// countInRest counts a request to a server that has asked the process for rest.
func (statements *statementChecks) countInRest(machine *machine, name settings.TargetName, now clock.Moment) {
	state, asked := machine.process.rests[serverProcess{name: name, started: startedOf(machine.process.controller, name)}]
	if since := now.Since(state.since()); !asked || since <= restNoticeTime || since >= restLength || !machine.undisturbed(now, restLength) {
		return
	}
	state.requests++
	if state.requests > maxRequestsInRest {
		statements.restBroken = fmt.Sprintf("%s got %d requests of %s while it rests", name, state.requests, machine.identity.Name)
	}
}

// checkLeaving checks a request against what its server has said to the process.
func (statements *statementChecks) checkLeaving(machine *machine, name settings.TargetName, now clock.Moment) {
	server := serverProcess{name: name, started: startedOf(machine.process.controller, name)}
	if told, wasTold := machine.process.toldLeaving[server]; wasTold && now.Since(told) > leavingNoticeTime {
		statements.leavingBroken = fmt.Sprintf("%s got a request of %s %s after it said that it leaves", name, machine.identity.Name, now.Since(told))
	}
}

// since returns when the rest was asked for, 0 without one.
func (state *restState) since() clock.Moment {
	if state == nil {
		return 0
	}
	return state.askedAt
}

// count counts a request if it is one of those that a limit allows.
func (statements *statementChecks) count(machine *machine, name settings.TargetName, now clock.Moment) {
	server := serverProcess{name: name, started: startedOf(machine.process.controller, name)}
	told, wasTold := machine.process.toldLimit[server]
	if !wasTold || now.Since(told) < limitKnownTime || now.Since(statements.firstNamed[server]) < contactTime || !machine.undisturbed(now, contactTime) {
		return
	}
	recent := slices.DeleteFunc(statements.counted[server], func(at clock.Moment) bool { return now.Since(at) >= limitWindow })
	statements.counted[server] = append(recent, now)
	statements.total++
	statements.most = max(statements.most, len(statements.counted[server]))
	if allowed := limitFactor*limitRate*float64(limitWindow/clock.Second) + limitSlack; float64(len(statements.counted[server])) > allowed {
		statements.exceeded = fmt.Sprintf("%s got %d requests in %s, the last from %s", name, len(statements.counted[server]), limitWindow, machine.identity.Name)
	}
}

// Guards against a server that names a limit and gets more from the whole fleet, or asks an instance for rest and gets its
// requests, whatever happens to instances and links.
func TestVirtualFleetKeepsStatements(t *testing.T) {
	for seed := *virtualSeed; seed < *virtualSeed+uint64(*virtualSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			options := optionsForSeed(seed)
			options.statements = true
			schedule := newSchedule(options)
			result := playVirtual(t, options, schedule)
			t.Logf("%d instances: at most %d requests to a server in a window, %d in all", options.instances, result.mostLimited, result.totalLimited)
			if result.violation != nil {
				failVirtual(t, options, schedule, result.violation)
			}
		})
	}
}

// Guards against a limit that is exceeded because some answers do not name it, or because all instances send at once after a pause,
// whatever happens to instances and links.
func TestVirtualFleetKeepsUnsteadyLimits(t *testing.T) {
	cases := []struct {
		name            string
		unsteady        bool
		bursts, standby bool
	}{
		{"answers without the limit", true, false, false},
		{"bursts", false, true, false},
		{"both, callers at standby instances", true, true, true},
	}
	for _, testCase := range cases {
		for seed := *virtualSeed; seed < *virtualSeed+uint64(*virtualSeeds)/5; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", testCase.name, seed), func(t *testing.T) {
				t.Parallel()
				options := optionsForSeed(seed)
				options.statements, options.standbyCallers = true, testCase.standby
				options.unsteadyLimits, options.bursts = testCase.unsteady, testCase.bursts
				schedule := newSchedule(options)
				result := playVirtual(t, options, schedule)
				t.Logf("%d instances: at most %d requests to a server in a window, %d in all", options.instances, result.mostLimited, result.totalLimited)
				if result.violation != nil {
					failVirtual(t, options, schedule, result.violation)
				}
			})
		}
	}
}

// Guards against a limit that is not used by a fleet without faults.
func TestVirtualFleetUsesLimits(t *testing.T) {
	for _, instances := range []int{5, 13, 30} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			result := playVirtual(t, virtualOptions{seed: 1, instances: instances, dataCentres: 3, servers: 6, length: 20 * clock.Second, statements: true}, nil)
			require.Nil(t, result.violation)
			const limitedServers, seconds = 3, 10
			require.GreaterOrEqual(t, result.totalLimited, limitedServers*seconds/2)
		})
	}
}

// Guards against a limit that is exceeded because instances on standby, which callers with old addresses reach, do not know of each
// other's requests.
func TestVirtualFleetKeepsLimitsAtStandbyInstances(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{24, 100} {
		for seed := *virtualSeed; seed < *virtualSeed+uint64(*virtualSeeds)/5; seed++ {
			t.Run(fmt.Sprintf("%d instances, seed %d", instances, seed), func(t *testing.T) {
				t.Parallel()
				options := virtualOptions{
					seed: seed, instances: instances, dataCentres: 3, servers: 6, length: 30 * clock.Second, statements: true, standbyCallers: true,
				}
				var schedule []change
				if seed%2 == 0 {
					schedule = newSchedule(options)
				}
				result := playVirtual(t, options, schedule)
				t.Logf("at most %d requests to a server in a window, %d in all", result.mostLimited, result.totalLimited)
				if result.violation != nil {
					failVirtual(t, options, schedule, result.violation)
				}
			})
		}
	}
}
