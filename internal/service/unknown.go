package service

import (
	"slices"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// An instance whose requests wait for targets of unknown state asks these targets themselves, by a probe. Most instances never do: they
// hear from the owners of all targets many times a second.
const (
	// unknownCheckInterval is the shortest interval between two requests for probes.
	unknownCheckInterval = 10 * clock.Millisecond
	// unknownProbeTime is how long the result of such a probe is expected to take, and maxUnknownProbeTime the time without a result
	// after which requests no longer wait for it.
	unknownProbeTime    = 50 * clock.Millisecond
	maxUnknownProbeTime = 150 * clock.Millisecond
	// unknownProbeInterval is the shortest interval between two such probes of one target. Probes are limited over the whole fleet.
	unknownProbeInterval = 400 * clock.Millisecond
	// maxUnknownProbes is the maximum number of targets of a service that are probed at once.
	maxUnknownProbes = 8
)

// unknownTargets is the state of a scheduler whose requests wait for targets of unknown state.
type unknownTargets struct {
	requestProbes func()
	nextCheck     clock.Moment
	// askable is whether there are targets of unknown state that can be probed at once, determined anew at nextAskableCheck.
	askable          bool
	nextAskableCheck clock.Moment
	// requestedAt is when probes were last requested while most targets were of unknown state, 0 if they never were.
	requestedAt clock.Moment
}

// pending reports whether probes are expected to show soon whether targets are warm of which nothing else is known.
func (unknown *unknownTargets) pending(now clock.Moment) bool {
	return unknown.requestedAt > 0 && now.Since(unknown.requestedAt) < maxUnknownProbeTime
}

// unknown reports whether only a probe is missing for the target to get requests. Probes of a limited target count against its resources
// as well.
func (candidate *candidate) unknown(now clock.Moment) bool {
	mayGetRequests := candidate.usable() && !candidate.down && now >= candidate.coldUntil && candidate.limitAllows(now)
	return mayGetRequests && !candidate.config.Unprobed && !candidate.warmthKnown(now)
}

// requestProbes requests probes if requests that wait could be sent to targets of unknown state.
func (scheduler *Scheduler) requestProbes(now clock.Moment) {
	unknown := &scheduler.unknown
	if now < unknown.nextCheck {
		return
	}
	unknown.nextCheck = now.Add(unknownCheckInterval)
	count, due := 0, false
	for _, candidate := range scheduler.ordered {
		if candidate.unknown(now) {
			count++
			due = due || now >= candidate.nextProbeRequest
		}
	}
	if !due {
		return
	}
	if 2*count >= scheduler.usableCount {
		unknown.requestedAt = now
	}
	if unknown.requestProbes != nil {
		unknown.requestProbes()
	}
}

// mayAskOthers reports whether targets of unknown state can be probed at once, one of which may be better than those that are known.
func (scheduler *Scheduler) mayAskOthers(now clock.Moment) bool {
	unknown := &scheduler.unknown
	if now >= unknown.nextAskableCheck {
		unknown.nextAskableCheck = now.Add(unknownCheckInterval)
		unknown.askable = slices.ContainsFunc(scheduler.ordered, func(candidate *candidate) bool {
			return now >= candidate.nextProbeRequest && candidate.unknown(now)
		})
	}
	return unknown.askable
}

// TakeUnknown returns targets of unknown state that requests wait for, those of the local data centre first. They are not returned
// again for a while.
func (scheduler *Scheduler) TakeUnknown() []settings.TargetName {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.waiting.length == 0 {
		return nil
	}
	now := scheduler.clock.Now()
	wanted := min(scheduler.waiting.length+1, maxUnknownProbes)
	var names []settings.TargetName
	first := scheduler.random.IntN(max(len(scheduler.ordered), 1))
	for _, local := range []bool{true, false} {
		for index := range scheduler.ordered {
			candidate := scheduler.ordered[(first+index)%len(scheduler.ordered)]
			if len(names) < wanted && candidate.config.Local == local && candidate.unknown(now) && now >= candidate.nextProbeRequest {
				candidate.nextProbeRequest = now.Add(unknownProbeInterval)
				names = append(names, candidate.Name)
			}
		}
	}
	return names
}
