package fleet

import (
	"fmt"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// What the users hold a fleet to. An instance is in touch when it and the store were undisturbed for contactTime.
const (
	contactTime    = 3 * clock.Second
	configureIn    = 2 * clock.Second
	drainIn        = 2 * clock.Second
	evacuateIn     = 5 * clock.Second
	skewMost       = 5 * clock.Second
	goneFor        = contactTime + 3*clock.Second
	keptByCallers  = answerKept
	leavingNamedIn = listenUntil - keptByCallers
	// settledIn is when a fleet that is left alone is as it should be, and when instances that are left alone serve whatever the
	// others do: as long as the users allow an instance that is gone to be named.
	settledIn = goneFor
)

// violation is a check that a fleet did not pass.
type violation struct {
	check, detail string
	at            clock.Moment
}

// checks look at a fleet after each step.
type checks struct {
	fleet *virtualFleet
	list  []namedCheck
	// sent are the moments of the last second at which a server was sent something.
	sent map[settings.TargetName][]clock.Moment
	over string
	// unserved is since when nobody serves in a data centre, misled since when a machine's answers name nobody who runs.
	unserved map[settings.DataCentreName]clock.Moment
	misled   map[*machine]clock.Moment
	// disturbed is when anything was last disturbed, moved when links or processes were other than by being started or ended.
	disturbed clock.Moment
	moved     clock.Moment
	versions  []acknowledged
	figures   figures
}

type acknowledged struct {
	version catalog.Version
	at      clock.Moment
}

// figures are the worst that was seen: how long nobody served in a data centre, how late a configuration was where an instance was left alone, how many
// served, and what a server was sent in a second.
type figures struct {
	unserved, configured clock.Milliseconds
	serving, sent        int
}

func (worst *figures) add(other figures) {
	worst.unserved = max(worst.unserved, other.unserved)
	worst.configured = max(worst.configured, other.configured)
	worst.serving = max(worst.serving, other.serving)
	worst.sent = max(worst.sent, other.sent)
}

type namedCheck struct {
	name string
	// look returns what is wrong, or nothing.
	look func(now clock.Moment) string
}

func newChecks(fleet *virtualFleet) *checks {
	checks := &checks{
		fleet: fleet, sent: map[settings.TargetName][]clock.Moment{}, unserved: map[settings.DataCentreName]clock.Moment{},
		misled: map[*machine]clock.Moment{},
	}
	checks.list = []namedCheck{
		{"configuration never older", checks.neverOlder},
		{"configuration in time", checks.configuredInTime},
		{"drained in time", checks.drainedInTime},
		{"evacuated in time", checks.evacuatedInTime},
		{"gone ones are not named", checks.goneNotNamed},
		{"leaving ones are not named", checks.leavingNotNamed},
		{"cold servers", func(clock.Moment) string { return checks.over }},
		{"someone serves", checks.someoneServes},
		{"answers name someone", checks.answersNameSomeone},
		{"few serve", checks.fewServe},
		{"settled", checks.settled},
	}
	return checks
}

func (checks *checks) check(now clock.Moment) *violation {
	checks.note(now)
	for _, check := range checks.list {
		if detail := check.look(now); detail != "" {
			return &violation{check: check.name, detail: detail, at: now.Add(-clock.Second)}
		}
	}
	return nil
}

func (checks *checks) note(now clock.Moment) {
	store := checks.fleet.store
	if known := len(checks.versions); known == 0 || checks.versions[known-1].version < store.version {
		checks.versions = append(checks.versions, acknowledged{version: store.version, at: now})
	}
	checks.disturbed = max(checks.disturbed, store.harmed, store.refusing)
	for _, machine := range checks.fleet.machines {
		checks.disturbed = max(checks.disturbed, machine.disturbed)
		if machine.process == nil && machine.startAt < never || machine.process != nil && machine.process.leftAt > 0 {
			checks.disturbed = now
		}
		if machine.process != nil && machine.disturbed == now && machine.process.started < now {
			checks.moved = now
		}
	}
}

// running calls a function for each process that runs.
func (checks *checks) running(now clock.Moment, visit func(*machine, *process) string) string {
	for _, machine := range checks.fleet.machines {
		if process := machine.process; process != nil && !process.frozen(now) {
			if wrong := visit(machine, process); wrong != "" {
				return fmt.Sprintf("%s (%s): %s", machine.identity.Name, process.controller.members.State(), wrong)
			}
		}
	}
	return ""
}

// undisturbed reports whether the machine was left alone for a while.
func (machine *machine) undisturbed(now clock.Moment, length clock.Milliseconds) bool {
	return now.Since(machine.disturbed) >= length
}

// inTouch calls a function for each process that is in touch and has routes in force.
func (checks *checks) inTouch(now clock.Moment, visit func(*machine, *process) string) string {
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

// lateness is for how long there has been a newer version than the given one.
func (checks *checks) lateness(version catalog.Version, now clock.Moment) clock.Milliseconds {
	for _, known := range checks.versions {
		if known.version > version {
			return now.Since(known.at)
		}
	}
	return 0
}

// configuredInTime also holds, with a later bound, while the store only turns some machines away.
func (checks *checks) configuredInTime(now clock.Moment) string {
	store := checks.fleet.store
	if now.Since(store.harmed) < contactTime {
		return ""
	}
	bound := configureIn
	if !store.stable(now) {
		bound += skewMost
	}
	return checks.running(now, func(machine *machine, process *process) string {
		if !machine.undisturbed(now, contactTime) || process.controller.Table() == nil {
			return ""
		}
		version := process.controller.view.Configuration.Version
		late := checks.lateness(version, now)
		checks.figures.configured = max(checks.figures.configured, late)
		if late > bound {
			return fmt.Sprintf("follows version %d; a newer one was acknowledged %s ago", version, late)
		}
		return ""
	})
}

func (checks *checks) drainedInTime(now clock.Moment) string {
	due := map[settings.TargetName]bool{}
	for name, at := range checks.fleet.store.left {
		if now.Since(at) > drainIn {
			due[name] = true
		}
	}
	if len(due) == 0 {
		return ""
	}
	return checks.inTouch(now, func(_ *machine, process *process) string {
		view := process.controller.view
		for index := range view.Servers {
			server := &view.Servers[index]
			if due[server.Name] && server.State == catalog.ServerReady && !view.IsEvacuated(server.DataCentre) {
				left := checks.fleet.store.left[server.Name]
				return fmt.Sprintf("still sends to %s, which left %s ago", server.Name, now.Since(left))
			}
		}
		return ""
	})
}

func (checks *checks) evacuatedInTime(now clock.Moment) string {
	for name, at := range checks.fleet.store.out {
		if now.Since(at) <= evacuateIn {
			continue
		}
		if wrong := checks.inTouch(now, func(_ *machine, process *process) string {
			if !process.controller.view.IsEvacuated(name) {
				return fmt.Sprintf("still sends to %s, which is out since %s", name, now.Since(at))
			}
			return ""
		}); wrong != "" {
			return wrong
		}
	}
	return ""
}

// noteSent counts what servers are sent by all.
func (checks *checks) noteSent(process *process, names []settings.TargetName, now clock.Moment) {
	for _, name := range names {
		recent := slices.DeleteFunc(checks.sent[name], func(at clock.Moment) bool { return now.Since(at) >= clock.Second })
		checks.sent[name] = append(recent, now)
		checks.figures.sent = max(checks.figures.sent, len(checks.sent[name]))
		if most := ownedColdRate*ownedColdOver + ownedColdSlack; float64(len(checks.sent[name])) > most {
			checks.over = fmt.Sprintf("%s was sent %d requests in a second, the last by %s", name, len(checks.sent[name]), process.machine.identity.Name)
		}
	}
}

// places is how many should serve in each data centre.
func (checks *checks) places(now clock.Moment) (map[settings.DataCentreName]int, int) {
	living := map[settings.DataCentreName]int{}
	_ = checks.running(now, func(machine *machine, _ *process) string {
		living[machine.identity.DataCentre]++
		return ""
	})
	const servingLeast = 3
	return living, (servingLeast + len(living) - 1) / max(len(living), 1)
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
