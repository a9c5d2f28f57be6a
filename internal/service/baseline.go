package service

import "github.com/jaywheel/jaywheel/pkg/settings"

// Policy is how a Dispatcher chooses among targets. All but PolicyLeastTaken are kept as baselines to measure against:
// they bind a request at once, whatever is in flight on the target.
type Policy string

// The policies.
const (
	// PolicyLeastUtilized takes the smallest share of places taken as this instance counts them, and lets requests wait in
	// the instance when all places are taken.
	PolicyLeastUtilized Policy = "leastTaken"
	// PolicyDoubleShare does the same with twice the places at each serving instance.
	PolicyDoubleShare Policy = "doubleShare"
	// PolicyRandom takes any target.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes each target in turn.
	PolicyRoundRobin Policy = "roundRobin"
	// PolicyTwoChoices takes the less loaded of two random targets, by their last load reports.
	PolicyTwoChoices Policy = "twoChoices"
	// PolicyTwoChoicesOwn does the same with its own requests in flight in place of reports.
	PolicyTwoChoicesOwn Policy = "twoChoicesOwn"
)

// Policies lists every policy.
var Policies = []Policy{PolicyLeastUtilized, PolicyDoubleShare, PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyTwoChoicesOwn}

// shareFactor is how many even shares of a warm target's slots a serving instance may take.
func (policy Policy) shareFactor() int {
	if policy == PolicyDoubleShare {
		return 2
	}
	return 1
}

// NeedsLoadReports reports whether the policy needs every instance to read every target's load report.
func (policy Policy) NeedsLoadReports() bool {
	return policy == PolicyTwoChoices
}

// choose picks a target by the policy in force, or returns nil when none takes a request.
func (dispatcher *Dispatcher) choose(demand PermitRequest) *Target {
	if dispatcher.policy == PolicyLeastUtilized || dispatcher.policy == PolicyDoubleShare {
		if demand.PreviousTarget == nil {
			return dispatcher.index.least(dispatcher.random, nil)
		}
		return dispatcher.index.least(dispatcher.random, &demand.PreviousTarget.bucketEntry)
	}
	open := dispatcher.availableBaselineTargets(demand.PreviousTarget)
	if len(open) == 0 {
		return nil
	}
	first := open[dispatcher.random.IntN(len(open))]
	second := open[dispatcher.random.IntN(len(open))]
	switch dispatcher.policy {
	case PolicyRoundRobin:
		dispatcher.roundRobinIndex++
		return open[dispatcher.roundRobinIndex%len(open)]
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

// availableBaselineTargets lists the targets that a baseline may use: any that are warm and have a connection left.
func (dispatcher *Dispatcher) availableBaselineTargets(tried *Target) []*Target {
	open := dispatcher.availableBuffer[:0]
	for _, target := range dispatcher.ordered {
		if target.limit > 0 && target.ownInFlight < target.maxOwnInFlight && target != tried {
			open = append(open, target)
		}
	}
	dispatcher.availableBuffer = open
	return open
}

// SetReportedLoad notes the load that a target told of itself.
func (dispatcher *Dispatcher) SetReportedLoad(name settings.TargetName, load int) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if target, known := dispatcher.targets[name]; known {
		target.reportedLoad = load
	}
}
