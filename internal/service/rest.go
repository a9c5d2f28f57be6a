package service

import "github.com/jaywheel/jaywheel/pkg/clock"

// observeRest applies the time for which a target wants no request from this instance. A shorter time than was asked for before,
// and a response without one, change nothing: they may have been sent earlier.
func (scheduler *Scheduler) observeRest(now clock.Moment, candidate *candidate, statement Statement, change *StatementChange) {
	until := statement.At.Add(statement.Rest)
	if statement.Rest <= 0 || until <= now {
		return
	}
	declaration := scheduler.declarationOf(now, candidate)
	if until <= declaration.restUntil {
		return
	}
	if now >= declaration.restUntil {
		change.Rest = statement.Rest
	}
	declaration.restUntil = until
	scheduler.reindex(now, candidate)
}

// restUntil returns when the target accepts requests of this instance again; the moment may have passed.
func (candidate *candidate) restUntil() clock.Moment {
	if candidate.declaration == nil {
		return 0
	}
	return candidate.declaration.restUntil
}

// restWait returns the time until the first usable target accepts requests again, 0 if one does already.
func (scheduler *Scheduler) restWait(now clock.Moment) clock.Milliseconds {
	wait := clock.Milliseconds(0)
	for _, candidate := range scheduler.ordered {
		if !candidate.usable() {
			continue
		}
		rest := candidate.restUntil().Since(now)
		if rest <= 0 {
			return 0
		}
		if wait == 0 || rest < wait {
			wait = rest
		}
	}
	return wait
}
