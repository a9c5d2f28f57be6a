package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// levels is how finely the share of taken places is told apart; one bit of a word stands for each.
const levels = 64

// unlisted is the level of a target that can take no further request.
const unlisted = -1

// Target is one backend server as this instance sees it. All fields below its identity are guarded by the
// Dispatcher's mutex.
type Target struct {
	Name       settings.TargetName
	Address    string
	DataCentre settings.DataCentreName

	// own counts the places that requests of this instance have taken.
	own int
	// held counts places kept taken for a while after a failure.
	held int
	// others counts the places that other instances said they have taken.
	others int
	// limit is the number of places that all instances together should take.
	limit int
	// shareLeast is the number of places that this instance may take whatever others said, since what they said is
	// always a little old. It is 0 on a target that is not safe to overrun.
	shareLeast int
	// ownMost is the number of places that this instance may never exceed.
	ownMost int
	// failures counts failed requests since the last success.
	failures int
	// removed says that no new request may go to it; the record stays until the last one in flight has ended.
	removed bool

	// reported is the load that it told of itself, for the baselines that go by it.
	reported int

	// listing is where it stands among the targets by the share of places taken.
	listing levelEntry[Target]
}

// TargetLimit is what the control goroutine decides about a target.
type TargetLimit struct {
	// Limit is the number of places that all instances together should take.
	Limit int
	// MinShare is the number of places this instance may take whatever others take.
	MinShare int
	// MaxOwnInFlight is the number of places this instance never exceeds.
	MaxOwnInFlight int
}

// taken is the number of places in use as far as this instance knows.
func (target *Target) taken() int {
	return target.own + target.held + target.others
}

// limitNow returns the limit in force: a target that keeps failing is tried by one request at a time.
func (target *Target) limitNow(failing bool) int {
	if failing {
		return min(target.limit, 1)
	}
	return target.limit
}

// computeLevel returns the level at which target is to be listed.
func (target *Target) computeLevel(failing bool) int {
	mine := target.own + target.held
	limit := target.limitNow(failing)
	if mine >= target.ownMost || limit == 0 {
		return unlisted
	}
	if taken := target.taken(); taken < limit {
		return taken * levels / limit
	}
	if !failing && mine < target.shareLeast {
		return levels - 1
	}
	return unlisted
}

// penalty is a place kept taken until a moment.
type penalty struct {
	target *Target
	until  clock.Moment
}
