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

// stoppedNotAdvertised checks that an instance that ended long ago is not in address answers, unless there is no other
// instance.
func (checks *checks) stoppedNotAdvertised(now clock.Moment) string {
	return checks.inContact(now, func(_ *machine, process *process) string {
		book := process.controller.book.Load()
		if book == nil || len(book.addresses) < 2 {
			return ""
		}
		for _, machine := range checks.fleet.machines {
			if machine.process == nil && now.Since(machine.stoppedAt) > maxStoppedAdvertised && slices.Contains(book.addresses, machine.identity.Caller) {
				return fmt.Sprintf("advertises %s, which ended %s ago", machine.identity.Name, now.Since(machine.stoppedAt))
			}
		}
		return ""
	})
}

// leavingNotAdvertised checks what a shutdown relies on: a caller with an earlier address answer arrives while the instance
// still listens.
func (checks *checks) leavingNotAdvertised(now clock.Moment) string {
	for _, leaving := range checks.fleet.machines {
		if leaving.process == nil || leaving.process.leftAt == 0 || now.Since(leaving.process.leftAt) <= maxLeavingAdvertised ||
			leaving.process.leftAt.Since(leaving.disturbed) < contactTime {
			continue
		}
		if detail := checks.inContact(now, func(machine *machine, process *process) string {
			if book := process.controller.book.Load(); book != nil && slices.Contains(book.addresses, leaving.identity.Caller) {
				return fmt.Sprintf("advertises %s, which has been leaving for %s", leaving.identity.Name, now.Since(leaving.process.leftAt))
			}
			return ""
		}); detail != "" {
			return detail
		}
	}
	return ""
}

// eachDataCentreServes checks that an instance serves in each data centre with an instance that was undisturbed for
// settleTime.
func (checks *checks) eachDataCentreServes(now clock.Moment) string {
	eligible := map[settings.DataCentreName]settings.InstanceName{}
	_ = checks.running(now, func(machine *machine, process *process) string {
		if machine.undisturbed(now, settleTime) && process.leftAt == 0 && process.controller.Table() != nil {
			eligible[machine.identity.DataCentre] = machine.identity.Name
		}
		return ""
	})
	serving := checks.serving(now)
	for number := range checks.fleet.options.dataCentres {
		name := checks.fleet.dataCentre(number)
		if serving[name] > 0 || eligible[name] == "" {
			delete(checks.unservedSince, name)
			continue
		}
		if _, noted := checks.unservedSince[name]; !noted {
			checks.unservedSince[name] = now
		}
		gap := now.Since(checks.unservedSince[name])
		checks.worstCase.unserved = max(checks.worstCase.unserved, gap)
		if gap > settleTime {
			return fmt.Sprintf("no instance has served in %s for %s, though %s could", name, gap, eligible[name])
		}
	}
	return ""
}

// answersNameRunningInstance checks the answers of each instance that was undisturbed for settleTime.
func (checks *checks) answersNameRunningInstance(now clock.Moment) string {
	running := map[string]bool{}
	_ = checks.running(now, func(machine *machine, _ *process) string {
		running[machine.identity.Caller] = true
		return ""
	})
	return checks.running(now, func(machine *machine, process *process) string {
		book := process.controller.book.Load()
		advertised := book != nil && slices.ContainsFunc(book.addresses, func(address string) bool { return running[address] })
		if advertised || !machine.undisturbed(now, settleTime) || process.leftAt > 0 {
			delete(checks.misdirectedSince, machine)
			return ""
		}
		if _, noted := checks.misdirectedSince[machine]; !noted {
			checks.misdirectedSince[machine] = now
		}
		if since := now.Since(checks.misdirectedSince[machine]); since > settleTime {
			return fmt.Sprintf("has advertised no running instance for %s", since)
		}
		return ""
	})
}

// fewServe bounds how many instances serve while processes come and go and nothing else is disturbed: for a moment twice as
// many as wanted.
func (checks *checks) fewServe(now clock.Moment) string {
	serving, sum := checks.serving(now), 0
	for _, count := range serving {
		sum += count
	}
	checks.worstCase.serving = max(checks.worstCase.serving, sum)
	wanted := sum
	_ = checks.running(now, func(_ *machine, process *process) string {
		wanted += process.controller.members.WantedServing()
		return ""
	})
	if wanted != checks.servingSum {
		checks.servingSum, checks.servingChangedAt = wanted, now
	}
	if now.Since(checks.faultedAt) < settleTime || checks.fleet.store.degradedAt > 0 && now.Since(checks.fleet.store.degradedAt) < settleTime {
		return ""
	}
	dataCentres := min(checks.fleet.options.dataCentres, checks.fleet.options.instances)
	limit := 2 * dataCentres * ((3 + dataCentres - 1) / dataCentres)
	if checks.fleet.options.load == nil && !checks.reach.unsettled(now) && sum > limit {
		return fmt.Sprintf("%d instances serve, at most %d may: %v", sum, limit, serving)
	}
	return ""
}

// settled checks the state of a fleet that was undisturbed for settleTime.
func (checks *checks) settled(now clock.Moment) string {
	if now.Since(checks.disturbed) < settleTime || checks.reach.unsettled(now) || checks.fleet.options.load != nil && now.Since(checks.servingChangedAt) < settleTime {
		return ""
	}
	running, wanted := checks.wantedServing(now)
	serving := checks.serving(now)
	for name, count := range running {
		if checks.fleet.options.load != nil || checks.fleet.options.unreachable != nil {
			// The number follows the load, or who reaches servers; TestVirtualFleetFollowsTheLoad and TestVirtualFleetFollowsReach check it.
			break
		}
		if expected := min(count, wanted); serving[name] != expected {
			return fmt.Sprintf("%d instances serve in %s, not %d of %d", serving[name], name, expected, count)
		}
	}
	owners := checks.ownersOfAny(now)
	states := checks.fleet.store.states
	unchanged := now.Since(states[len(states)-1].at) >= settleTime
	return checks.running(now, func(machine *machine, process *process) string {
		controller := process.controller
		serves := controller.members.State() == membership.Serving
		switch {
		case controller.Table() == nil:
			return "has no routes"
		case serves != (controller.role != catalog.RoleFollower):
			return "reads the store if and only if it does not serve"
		case unchanged && !maps.Equal(owners, ownersOf(controller)):
			return fmt.Sprintf("has wrong owners: %v, not %v", ownersOf(controller), owners)
		case serves && checks.complete() && controller.members.VisibleFraction() < 1:
			return fmt.Sprintf("sees a fraction of %.2f of a complete fleet", controller.members.VisibleFraction())
		}
		return checks.advertisedServe(controller)
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
			owners = ownersOf(process.controller)
		}
		return ""
	})
	return owners
}

// advertisedServe checks that all advertised addresses belong to serving instances.
func (checks *checks) advertisedServe(controller *Controller) string {
	for _, address := range controller.book.Load().addresses {
		serves := slices.ContainsFunc(checks.fleet.machines, func(machine *machine) bool {
			return machine.process != nil && machine.identity.Caller == address && machine.process.controller.members.State() == membership.Serving
		})
		if !serves {
			return fmt.Sprintf("advertises %s, which does not serve", address)
		}
	}
	return ""
}
