package service

import "github.com/jaywheel/jaywheel/pkg/settings"

// Policy is the method by which a Dispatcher chooses among targets. All but PolicyLeastUtilized are baselines for measurements.
// Those other than PolicyDoubleShare bind a request immediately, whatever is in flight on the target.
type Policy string

// The policies.
const (
	// PolicyLeastUtilized chooses the target with the smallest share of permits in use as counted by this instance, and queues
	// requests in the instance when all permits are in use.
	PolicyLeastUtilized Policy = "leastTaken"
	// PolicyDoubleShare is PolicyLeastUtilized with twice as many permits at each serving instance.
	PolicyDoubleShare Policy = "doubleShare"
	// PolicyRandom chooses a random target.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin chooses the targets in turn.
	PolicyRoundRobin Policy = "roundRobin"
	// PolicyTwoChoices chooses the less loaded of two random targets by their last load reports.
	PolicyTwoChoices Policy = "twoChoices"
	// PolicyTwoChoicesOwn chooses the one of two random targets with fewer requests in flight from this instance.
	PolicyTwoChoicesOwn Policy = "twoChoicesOwn"
)

// Policies lists every policy.
var Policies = []Policy{PolicyLeastUtilized, PolicyDoubleShare, PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyTwoChoicesOwn}

// shareFactor is the number of even shares of a warm target's slots that a serving instance may use.
func (policy Policy) shareFactor() int {
	if policy == PolicyDoubleShare {
		return 2
	}
	return 1
}

// NeedsLoadReports reports whether the policy requires every instance to read every target's load report.
func (policy Policy) NeedsLoadReports() bool {
	return policy == PolicyTwoChoices
}

// choose returns a target by the policy in force, or nil when none accepts another request.
func (dispatcher *Dispatcher) choose(request PermitRequest) *Target {
	if dispatcher.policy == PolicyLeastUtilized || dispatcher.policy == PolicyDoubleShare {
		if request.PreviousTarget == nil {
			return dispatcher.index.pickLowest(dispatcher.random, nil)
		}
		return dispatcher.index.pickLowest(dispatcher.random, &request.PreviousTarget.bucketEntry)
	}
	available := dispatcher.availableBaselineTargets(request.PreviousTarget)
	if len(available) == 0 {
		return nil
	}
	first := available[dispatcher.random.IntN(len(available))]
	second := available[dispatcher.random.IntN(len(available))]
	switch dispatcher.policy {
	case PolicyRoundRobin:
		dispatcher.roundRobinIndex++
		return available[dispatcher.roundRobinIndex%len(available)]
	case PolicyTwoChoices:
		return lessLoaded(first, second, first.reportedLoad, second.reportedLoad)
	case PolicyTwoChoicesOwn:
		return lessLoaded(first, second, first.ownInFlight, second.ownInFlight)
	case PolicyRandom, PolicyLeastUtilized, PolicyDoubleShare:
	}
	return first
}

func lessLoaded(first, second *Target, firstLoad, secondLoad int) *Target {
	if secondLoad < firstLoad {
		return second
	}
	return first
}

// availableBaselineTargets returns the targets that a baseline may choose: all that have a limit above 0 and a connection left,
// except the previous one.
func (dispatcher *Dispatcher) availableBaselineTargets(previous *Target) []*Target {
	available := dispatcher.availableBuffer[:0]
	for _, target := range dispatcher.ordered {
		if target.limit > 0 && target.ownInFlight < target.maxOwnInFlight && target != previous {
			available = append(available, target)
		}
	}
	dispatcher.availableBuffer = available
	return available
}

// SetReportedLoad records the load that a target reported.
func (dispatcher *Dispatcher) SetReportedLoad(name settings.TargetName, load int) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if target, known := dispatcher.targets[name]; known {
		target.reportedLoad = load
	}
}
