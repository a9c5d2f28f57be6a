package fleet

import (
	"fmt"
	"maps"
	"slices"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// goneNotNamed is what the users judge: an instance that ended long ago is not named to callers, unless nobody else is.
func (checks *checks) goneNotNamed(now clock.Moment) string {
	return checks.inTouch(now, func(_ *machine, process *process) string {
		book := process.controller.book.Load()
		if book == nil || len(book.all) < 2 {
			return ""
		}
		for _, machine := range checks.fleet.machines {
			if machine.process == nil && now.Since(machine.gone) > goneFor && slices.Contains(book.all, machine.identity.Caller) {
				return fmt.Sprintf("names %s, which ended %s ago", machine.identity.Name, now.Since(machine.gone))
			}
		}
		return ""
	})
}

// leavingNotNamed is what a shutdown rests on: whoever holds an address answer from before comes while it still listens.
func (checks *checks) leavingNotNamed(now clock.Moment) string {
	for _, leaving := range checks.fleet.machines {
		if leaving.process == nil || leaving.process.leftAt == 0 || now.Since(leaving.process.leftAt) <= leavingNamedIn ||
			leaving.process.leftAt.Since(leaving.disturbed) < contactTime {
			continue
		}
		if wrong := checks.inTouch(now, func(machine *machine, process *process) string {
			if book := process.controller.book.Load(); book != nil && slices.Contains(book.all, leaving.identity.Caller) {
				return fmt.Sprintf("names %s, which leaves since %s", leaving.identity.Name, now.Since(leaving.process.leftAt))
			}
			return ""
		}); wrong != "" {
			return wrong
		}
	}
	return ""
}

// someoneServes holds in each data centre of an instance that was left alone for settledIn.
func (checks *checks) someoneServes(now clock.Moment) string {
	able := map[settings.DataCentreName]settings.InstanceName{}
	_ = checks.running(now, func(machine *machine, process *process) string {
		if machine.undisturbed(now, settledIn) && process.leftAt == 0 && process.controller.Table() != nil {
			able[machine.identity.DataCentre] = machine.identity.Name
		}
		return ""
	})
	serving := checks.serving(now)
	for number := range checks.fleet.options.dataCentres {
		name := checks.fleet.dataCentre(number)
		if serving[name] > 0 || able[name] == "" {
			delete(checks.unserved, name)
			continue
		}
		if _, noted := checks.unserved[name]; !noted {
			checks.unserved[name] = now
		}
		gap := now.Since(checks.unserved[name])
		checks.figures.unserved = max(checks.figures.unserved, gap)
		if gap > settledIn {
			return fmt.Sprintf("nobody serves in %s for %s, though %s could", name, gap, able[name])
		}
	}
	return ""
}

// answersNameSomeone holds for an instance that was left alone for settledIn.
func (checks *checks) answersNameSomeone(now clock.Moment) string {
	running := map[string]bool{}
	_ = checks.running(now, func(machine *machine, _ *process) string {
		running[machine.identity.Caller] = true
		return ""
	})
	return checks.running(now, func(machine *machine, process *process) string {
		book := process.controller.book.Load()
		named := book != nil && slices.ContainsFunc(book.all, func(address string) bool { return running[address] })
		if named || !machine.undisturbed(now, settledIn) || process.leftAt > 0 {
			delete(checks.misled, machine)
			return ""
		}
		if _, noted := checks.misled[machine]; !noted {
			checks.misled[machine] = now
		}
		if since := now.Since(checks.misled[machine]); since > settledIn {
			return fmt.Sprintf("has named nobody who runs for %s", since)
		}
		return ""
	})
}

// fewServe bounds how many serve while processes come and go and nothing else is disturbed: for a moment two for each place.
func (checks *checks) fewServe(now clock.Moment) string {
	serving, sum := checks.serving(now), 0
	for _, count := range serving {
		sum += count
	}
	checks.figures.serving = max(checks.figures.serving, sum)
	if now.Since(checks.moved) < settledIn || checks.fleet.store.harmed > 0 && now.Since(checks.fleet.store.harmed) < settledIn {
		return ""
	}
	dataCentres := min(checks.fleet.options.dataCentres, checks.fleet.options.instances)
	most := 2 * dataCentres * ((3 + dataCentres - 1) / dataCentres)
	if sum > most {
		return fmt.Sprintf("%d serve, %d at most: %v", sum, most, serving)
	}
	return ""
}

// settled says how a fleet is that was left alone for settledIn.
func (checks *checks) settled(now clock.Moment) string {
	if now.Since(checks.disturbed) < settledIn {
		return ""
	}
	living, places := checks.places(now)
	serving := checks.serving(now)
	for name, count := range living {
		if wanted := min(count, places); serving[name] != wanted {
			return fmt.Sprintf("%d serve in %s, not %d of %d", serving[name], name, wanted, count)
		}
	}
	owners := checks.ownersOfAny(now)
	states := checks.fleet.store.states
	unchanged := now.Since(states[len(states)-1].at) >= settledIn
	return checks.running(now, func(machine *machine, process *process) string {
		controller := process.controller
		serves := controller.members.State() == membership.Serving
		switch {
		case controller.Table() == nil:
			return "has no routes"
		case serves != (controller.role != catalog.RoleFollower):
			return "reads the store if and only if it does not serve"
		case unchanged && !maps.Equal(owners, controller.owners):
			return fmt.Sprintf("takes others for the owners: %v, not %v", controller.owners, owners)
		case serves && checks.complete() && controller.members.VisibleFraction() < 1:
			return fmt.Sprintf("sees %.2f of a fleet that is complete", controller.members.VisibleFraction())
		}
		return checks.named(controller)
	})
}

// complete reports whether no machine has ended for good.
func (checks *checks) complete() bool {
	return !slices.ContainsFunc(checks.fleet.machines, func(machine *machine) bool { return machine.process == nil || machine.generation > 0 })
}

func (checks *checks) ownersOfAny(now clock.Moment) map[settings.TargetName]settings.InstanceName {
	var owners map[settings.TargetName]settings.InstanceName
	_ = checks.running(now, func(_ *machine, process *process) string {
		if owners == nil && process.controller.members.State() == membership.Serving {
			owners = process.controller.owners
		}
		return ""
	})
	return owners
}

// named says whether addresses are those of instances that serve.
func (checks *checks) named(controller *Controller) string {
	for _, address := range controller.book.Load().all {
		serves := slices.ContainsFunc(checks.fleet.machines, func(machine *machine) bool {
			return machine.process != nil && machine.identity.Caller == address && machine.process.controller.members.State() == membership.Serving
		})
		if !serves {
			return fmt.Sprintf("names %s, which does not serve", address)
		}
	}
	return ""
}
