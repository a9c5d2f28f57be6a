package fleet

import (
	"fmt"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Requirements of a fleet. An instance is in contact when it and the store were undisturbed for contactTime.
const (
	contactTime          = 3 * clock.Second
	maxConfigureDelay    = 2 * clock.Second
	maxDrainDelay        = 2 * clock.Second
	maxEvacuateDelay     = 5 * clock.Second
	maxSkew              = 5 * clock.Second
	maxStoppedAdvertised = contactTime + 3*clock.Second
	callerTTL            = addressTTL
	maxLeavingAdvertised = listenUntil - callerTTL
	// settleTime is the time after which an undisturbed fleet is in its intended state, and after which undisturbed instances
	// serve whatever the others do. It is as long as an instance that is gone may be advertised.
	settleTime = maxStoppedAdvertised
)

// violation is a check that a fleet did not pass.
type violation struct {
	check, detail string
	at            clock.Moment
}

// checks are evaluated on a fleet after each step.
type checks struct {
	// servingSum is the number of serving instances and of those that should serve in the views of all, which last changed at
	// servingChangedAt.
	servingSum       int
	servingChangedAt clock.Moment
	fleet            *virtualFleet
	list             []namedCheck
	// sent are the times within the last second at which a server was sent requests.
	sent     map[settings.TargetName][]clock.Moment
	overload string
	// unservedSince is since when no instance serves in a data centre, misdirectedSince since when the address answers of a
	// machine contain no running instance.
	unservedSince    map[settings.DataCentreName]clock.Moment
	misdirectedSince map[*machine]clock.Moment
	// disturbed is when anything was last disturbed, faultedAt when links or processes were last disturbed other than by a
	// start or an end.
	disturbed  clock.Moment
	faultedAt  clock.Moment
	versions   []acknowledged
	worstCase  worstCase
	statements *statementChecks
	reach      *reachChecks
}

type acknowledged struct {
	version catalog.Version
	at      clock.Moment
}

// worstCase is the worst of what was seen: how long no instance served in a data centre, how late a configuration was at an
// undisturbed instance, how many instances served, and how many requests a server was sent in a second.
type worstCase struct {
	unserved, configured clock.Milliseconds
	serving, sent        int
}

func (worstCase *worstCase) add(other worstCase) {
	worstCase.unserved = max(worstCase.unserved, other.unserved)
	worstCase.configured = max(worstCase.configured, other.configured)
	worstCase.serving = max(worstCase.serving, other.serving)
	worstCase.sent = max(worstCase.sent, other.sent)
}

type namedCheck struct {
	name string
	// evaluate returns a description of the violation, or an empty string.
	evaluate func(now clock.Moment) string
}

func newChecks(fleet *virtualFleet) *checks {
	checks := &checks{
		fleet: fleet, sent: map[settings.TargetName][]clock.Moment{}, unservedSince: map[settings.DataCentreName]clock.Moment{},
		misdirectedSince: map[*machine]clock.Moment{}, statements: newStatementChecks(&fleet.options),
		reach: newReachChecks(fleet),
	}
	checks.list = []namedCheck{
		{"configuration never older", checks.neverOlder},
		{"configuration in time", checks.configuredInTime},
		{"drained in time", checks.drainedInTime},
		{"evacuated in time", checks.evacuatedInTime},
		{"stopped instances are not advertised", checks.stoppedNotAdvertised},
		{"leaving instances are not advertised", checks.leavingNotAdvertised},
		{"cold servers", func(clock.Moment) string { return checks.overload }},
		{"an instance serves in each data centre", checks.eachDataCentreServes},
		{"answers contain a running instance", checks.answersNameRunningInstance},
		{"few instances serve", checks.fewServe},
		{"settled", checks.settled},
		{"callers are sent to instances that reach servers", checks.reach.advertised},
		{"servers are owned by instances that reach them", checks.reach.owned},
		{"limits of servers", func(clock.Moment) string { return checks.statements.exceeded }},
		{"servers that said that they leave", func(clock.Moment) string { return checks.statements.leavingBroken }},
		{"rests of servers", func(clock.Moment) string { return checks.statements.restBroken }},
	}
	return checks
}

func (checks *checks) check(now clock.Moment) *violation {
	checks.record(now)
	for _, check := range checks.list {
		if detail := check.evaluate(now); detail != "" {
			return &violation{check: check.name, detail: detail, at: now.Add(-clock.Second)}
		}
	}
	return nil
}

func (checks *checks) record(now clock.Moment) {
	checks.reach.record(now)
	store := checks.fleet.store
	if known := len(checks.versions); known == 0 || checks.versions[known-1].version < store.version {
		checks.versions = append(checks.versions, acknowledged{version: store.version, at: now})
	}
	checks.disturbed = max(checks.disturbed, store.degradedAt, store.refusingAt)
	for _, machine := range checks.fleet.machines {
		checks.disturbed = max(checks.disturbed, machine.disturbed)
		if machine.process == nil && machine.startAt < never || machine.process != nil && machine.process.leftAt > 0 {
			checks.disturbed = now
		}
		if machine.process != nil && machine.disturbed == now && machine.process.started < now {
			checks.faultedAt = now
		}
	}
}

// running calls a function for each process that runs, until one returns a violation.
func (checks *checks) running(now clock.Moment, visit func(*machine, *process) string) string {
	for _, machine := range checks.fleet.machines {
		if process := machine.process; process != nil && !process.frozen(now) {
			if detail := visit(machine, process); detail != "" {
				return fmt.Sprintf("%s (%s): %s", machine.identity.Name, process.controller.members.State(), detail)
			}
		}
	}
	return ""
}

// undisturbed reports whether the machine was not disturbed for the given time.
func (machine *machine) undisturbed(now clock.Moment, length clock.Milliseconds) bool {
	return now.Since(machine.disturbed) >= length
}

// inContact calls a function for each process that is in contact and has routes in force.
func (checks *checks) inContact(now clock.Moment, visit func(*machine, *process) string) string {
	if !checks.fleet.store.stable(now) {
		return ""
	}
	return checks.running(now, func(machine *machine, process *process) string {
		if !machine.undisturbed(now, contactTime) || process.controller.Table() == nil {
			return ""
		}
		return visit(machine, process)
	})
}

func (checks *checks) neverOlder(now clock.Moment) string {
	return checks.running(now, func(_ *machine, process *process) string {
		view := process.controller.view
		if view == nil || view.Configuration == nil {
			return ""
		}
		version, revision := view.Configuration.Version, view.Revision
		if version < process.version || revision < process.revision {
			return fmt.Sprintf("version %d after %d, revision %d after %d", version, process.version, revision, process.revision)
		}
		if table := process.controller.Table(); table != nil && catalog.Version(table.Site.Revision) < process.version {
			return fmt.Sprintf("routes of version %d after %d", table.Site.Revision, process.version)
		}
		process.version, process.revision = version, revision
		return ""
	})
}

// lateness returns for how long a version newer than the given one has existed.
func (checks *checks) lateness(version catalog.Version, now clock.Moment) clock.Milliseconds {
	for _, known := range checks.versions {
		if known.version > version {
			return now.Since(known.at)
		}
	}
	return 0
}

// configuredInTime checks how late configurations are applied, with a later bound while the store refuses the calls of some machines.
func (checks *checks) configuredInTime(now clock.Moment) string {
	store := checks.fleet.store
	if now.Since(store.degradedAt) < contactTime {
		return ""
	}
	bound := maxConfigureDelay
	if !store.stable(now) {
		bound += maxSkew
	}
	return checks.running(now, func(machine *machine, process *process) string {
		if !machine.undisturbed(now, contactTime) || process.controller.Table() == nil {
			return ""
		}
		version := process.controller.view.Configuration.Version
		late := checks.lateness(version, now)
		checks.worstCase.configured = max(checks.worstCase.configured, late)
		if late > bound {
			return fmt.Sprintf("has version %d in force; a newer one was acknowledged %s ago", version, late)
		}
		return ""
	})
}

func (checks *checks) drainedInTime(now clock.Moment) string {
	var due []settings.TargetName
	for name, at := range checks.fleet.store.left {
		if now.Since(at) > maxDrainDelay {
			due = append(due, name)
		}
	}
	if len(due) == 0 {
		return ""
	}
	slices.Sort(due)
	return checks.inContact(now, func(_ *machine, process *process) string {
		view := process.controller.view
		for _, name := range due {
			if server := view.Servers.Find(name); server != nil && server.State == catalog.ServerReady && !view.IsEvacuated(server.DataCentre) {
				return fmt.Sprintf("still sends to %s, which left %s ago", name, now.Since(checks.fleet.store.left[name]))
			}
		}
		return ""
	})
}

func (checks *checks) evacuatedInTime(now clock.Moment) string {
	for name, at := range checks.fleet.store.evacuated {
		if now.Since(at) <= maxEvacuateDelay {
			continue
		}
		if detail := checks.inContact(now, func(_ *machine, process *process) string {
			if !process.controller.view.IsEvacuated(name) {
				return fmt.Sprintf("still sends to %s, which was evacuated %s ago", name, now.Since(at))
			}
			return ""
		}); detail != "" {
			return detail
		}
	}
	return ""
}

// recordSent counts the requests that all instances send to servers.
func (checks *checks) recordSent(process *process, names []settings.TargetName, now clock.Moment) {
	for _, name := range names {
		recent := slices.DeleteFunc(checks.sent[name], func(at clock.Moment) bool { return now.Since(at) >= clock.Second })
		checks.sent[name] = append(recent, now)
		checks.worstCase.sent = max(checks.worstCase.sent, len(checks.sent[name]))
		if limit := ownedColdRate*ownedColdFactor + ownedColdSlack; float64(len(checks.sent[name])) > limit {
			checks.overload = fmt.Sprintf("%s was sent %d requests in a second, the last by %s", name, len(checks.sent[name]), process.machine.identity.Name)
		}
	}
}

// wantedServing returns the number of running instances in each data centre, and how many of them should serve.
func (checks *checks) wantedServing(now clock.Moment) (map[settings.DataCentreName]int, int) {
	running := map[settings.DataCentreName]int{}
	_ = checks.running(now, func(machine *machine, _ *process) string {
		running[machine.identity.DataCentre]++
		return ""
	})
	const minServingTotal = 3
	return running, (minServingTotal + len(running) - 1) / max(len(running), 1)
}

func (checks *checks) serving(now clock.Moment) map[settings.DataCentreName]int {
	serving := map[settings.DataCentreName]int{}
	_ = checks.running(now, func(machine *machine, process *process) string {
		if process.controller.members.State() == membership.Serving {
			serving[machine.identity.DataCentre]++
		}
		return ""
	})
	return serving
}
