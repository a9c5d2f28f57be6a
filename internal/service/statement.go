package service

import (
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Statement is what a target says of itself in a response, besides its load.
type Statement struct {
	// At is when the response arrived, SentAt when its request was sent, both on the clock of this process; SentAt is 0 if it is not known.
	At, SentAt clock.Moment
	Limit      RateLimitStatement
	// Rest is the time for which the target wants no request from this instance, 0 if it asks for none.
	Rest clock.Milliseconds
	// Leaving reports that the target is about to stop.
	Leaving bool
}

// RateLimitStatement is what a response says of the number of requests that its target accepts.
type RateLimitStatement struct {
	// Named reports that the response names a limit, Invalid that it names one that is not understood.
	Named, Invalid bool
	// Rate is the limit in requests per second over all instances together.
	Rate float64
	// Absent reports that the response would name a limit if the target had one. That of an error may not come from the target's
	// usual handling.
	Absent bool
}

// Source is the kind of response that contains a statement.
type Source string

// Sources of statements.
const (
	FromAnswer Source = "answer"
	FromProbe  Source = "probe"
	FromPeer   Source = "peer"
	// FromCheck is a single probe of a target that another instance probes all the time.
	FromCheck Source = "check"
	// FromCatalog is the word of the target's entry in the catalog.
	FromCatalog Source = "catalog"
)

// StatementChange is a change of what is known of a target from its statements. Its zero value is no change.
type StatementChange struct {
	Target settings.TargetName
	Source Source
	// Limited reports that the target names a limit from now on, Rate is the limit; Unlimited reports that it no longer names it.
	Limited, Unlimited bool
	Rate               float64
	// Rest is the time for which the target gets no request from this instance from now on, 0 if it is as before.
	Rest clock.Milliseconds
	// Leaving reports that the target gets no request from now on, since it is about to stop.
	Leaving bool
}

// Changed reports whether anything has changed.
func (change *StatementChange) Changed() bool {
	return change.Limited || change.Unlimited || change.Rest > 0 || change.Leaving
}

// ObserveStatement adds what a target said of itself in the response to a probe. started is the start time of the target that was
// probed: a statement of an earlier process of the same name is ignored.
func (scheduler *Scheduler) ObserveStatement(name settings.TargetName, started int64, statement Statement) StatementChange {
	return scheduler.observeStatement(name, started, statement, FromProbe)
}

// ObserveStatement adds what the target said of itself in its response to the request of the permit.
func (permit Permit) ObserveStatement(statement Statement) StatementChange {
	if permit.scheduler == nil {
		return StatementChange{}
	}
	statement.SentAt = permit.acquiredAt
	return permit.scheduler.observeStatement(permit.Target.Name, permit.started, statement, FromAnswer)
}

func (scheduler *Scheduler) observeStatement(name settings.TargetName, started int64, statement Statement, source Source) StatementChange {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	candidate, found := scheduler.candidates[name]
	if !found || candidate.config.Started != started {
		return StatementChange{}
	}
	change := StatementChange{Target: name, Source: source}
	now := scheduler.clock.Now()
	scheduler.observeLimit(now, candidate, statement, &change)
	scheduler.observeRest(now, candidate, statement, &change)
	if statement.Leaving {
		scheduler.setLeaving(now, candidate, &change)
	}
	return change
}
