package fleet

import (
	"fmt"
	"maps"
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

// limitChecks sends requests to servers of which some name a limit, and counts them over all instances.
type limitChecks struct {
	// firstNamed is when a process of a server first named its limit, counted are the requests within the last window.
	firstNamed map[serverProcess]clock.Moment
	counted    map[serverProcess][]clock.Moment
	exceeded   string
	// most is the largest number of requests in a window, total the number of all that count.
	most, total int
}

type serverProcess struct {
	name    settings.TargetName
	started int64
}

func newLimitChecks() *limitChecks {
	return &limitChecks{firstNamed: map[serverProcess]clock.Moment{}, counted: map[serverProcess][]clock.Moment{}}
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

// startedOf returns the start time of the server's process by the view of an instance.
func startedOf(controller *Controller, name settings.TargetName) int64 {
	return controller.knownServers[name].Started
}

// probe reports warm servers. Responses to probes name limits at every second instance only, since not all platforms do so.
func (limits *limitChecks) probe(process *process, now clock.Moment) {
	for _, job := range process.jobs {
		health := sensing.Health{Healthy: true, LoadReading: service.LoadReading{At: now, Slots: 2, Slowdown: 1, ColdKnown: true}}
		if process.machine.number%2 == 0 {
			health.Statement = statementOf(job.Target, now)
		}
		process.controller.RecordProbe(sensing.Result{Service: job.Service, Target: job.Target, Started: job.Started, Health: health})
	}
}

// send ends the requests of a process that are due, and sends up to one more to each service.
func (limits *limitChecks) send(machine *machine, processTime, now clock.Moment) {
	process := machine.process
	process.permits = slices.DeleteFunc(process.permits, func(held heldPermit) bool {
		if processTime < held.until {
			return false
		}
		limits.answer(machine, held.permit, processTime, now)
		return true
	})
	for _, name := range slices.Sorted(maps.Keys(process.controller.services)) {
		permit, pending, err := process.controller.services[name].scheduler.AcquireOrEnqueue(service.PermitRequest{
			Class: "class-0", SoftDeadline: processTime.Add(clock.Second), Deadline: processTime.Add(clock.Second),
		})
		if pending != nil {
			permit, err = pending.Cancel()
		}
		if err == nil {
			limits.count(machine, permit.Target.Name, now)
			process.permits = append(process.permits, heldPermit{permit: permit, until: processTime.Add(ownedInterval)})
		}
	}
}

func (limits *limitChecks) answer(machine *machine, permit service.Permit, processTime, now clock.Moment) {
	name := permit.Target.Name
	permit.ObserveStatement(statementOf(name, processTime))
	permit.Release(service.Succeeded)
	if !limited(name) {
		return
	}
	server := serverProcess{name: name, started: startedOf(machine.process.controller, name)}
	if _, named := limits.firstNamed[server]; !named {
		limits.firstNamed[server] = now
	}
	if _, told := machine.process.toldLimit[server]; !told {
		machine.process.toldLimit[server] = now
	}
}

// count counts a request if it is one of those that a limit allows.
func (limits *limitChecks) count(machine *machine, name settings.TargetName, now clock.Moment) {
	server := serverProcess{name: name, started: startedOf(machine.process.controller, name)}
	told, wasTold := machine.process.toldLimit[server]
	if !wasTold || now.Since(told) < limitKnownTime || now.Since(limits.firstNamed[server]) < contactTime || !machine.undisturbed(now, contactTime) {
		return
	}
	recent := slices.DeleteFunc(limits.counted[server], func(at clock.Moment) bool { return now.Since(at) >= limitWindow })
	limits.counted[server] = append(recent, now)
	limits.total++
	limits.most = max(limits.most, len(limits.counted[server]))
	if allowed := limitFactor*limitRate*float64(limitWindow/clock.Second) + limitSlack; float64(len(limits.counted[server])) > allowed {
		limits.exceeded = fmt.Sprintf("%s got %d requests in %s, the last from %s", name, len(limits.counted[server]), limitWindow, machine.identity.Name)
	}
}

// Guards against a server that names a limit and gets more from the whole fleet, whatever happens to instances and links.
func TestVirtualFleetKeepsLimits(t *testing.T) {
	for seed := *virtualSeed; seed < *virtualSeed+uint64(*virtualSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			options := optionsForSeed(seed)
			options.limits = true
			schedule := newSchedule(options)
			result := playVirtual(t, options, schedule)
			t.Logf("%d instances: at most %d requests to a server in a window, %d in all", options.instances, result.mostLimited, result.totalLimited)
			if result.violation != nil {
				failVirtual(t, options, schedule, result.violation)
			}
		})
	}
}

// Guards against a limit that is not used by a fleet without faults.
func TestVirtualFleetUsesLimits(t *testing.T) {
	for _, instances := range []int{5, 13, 30} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			result := playVirtual(t, virtualOptions{seed: 1, instances: instances, dataCentres: 3, servers: 6, length: 20 * clock.Second, limits: true}, nil)
			require.Nil(t, result.violation)
			const limitedServers, seconds = 3, 10
			require.GreaterOrEqual(t, result.totalLimited, limitedServers*seconds/2)
		})
	}
}
