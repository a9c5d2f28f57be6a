package gateway

import (
	"expvar"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Lines a second. A request that took an unusual way is told of more often than a plain one; what is left out is counted,
// and the latest requests can be asked for one by one.
const (
	unusualPerSecond = 100
	plainPerSecond   = 10
)

// EventLogLinesDropped counts requests without a line.
const EventLogLinesDropped = "log.linesLeftOut"

// decisionLog writes a line for each request that ends, within bounds.
type decisionLog struct {
	log    zerolog.Logger
	clock  *clock.Clock
	events *expvar.Map

	mutex          sync.Mutex
	second         clock.Moment
	unusual, plain int
}

func newDecisionLog(log zerolog.Logger, clock *clock.Clock, events *expvar.Map) *decisionLog {
	return &decisionLog{log: log, clock: clock, events: events, unusual: unusualPerSecond, plain: plainPerSecond}
}

// write writes the request's line if there is one left for this second.
func (decisionLog *decisionLog) write(story *trace.Request) {
	unusual := story.Outcome != outcome.Answered || len(story.Attempts) > 1
	if !decisionLog.spend(unusual) {
		decisionLog.events.Add(EventLogLinesDropped, 1)
		return
	}
	line := decisionLog.log.Info()
	if !line.Enabled() {
		return
	}
	line.Str("id", string(story.ID)).Str("service", string(story.Service)).Str("class", string(story.Class)).Str("team", story.Tenant).
		Uint64("version", uint64(story.Revision)).Str("outcome", string(story.Outcome)).Str("reason", string(story.Reason)).
		Int("status", story.Status).Float64("wholeMs", float64(story.Duration)).Float64("timeoutMs", float64(story.Timeout))
	attempts := zerolog.Arr()
	for index := range story.Attempts {
		attempts.Object(attemptLine{&story.Attempts[index]})
	}
	line.Array("attempts", attempts)
	if story.Error != "" {
		line.Str("problem", story.Error)
	}
	line.Msg("request")
}

// attemptLine writes one attempt.
type attemptLine struct {
	*trace.Attempt
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (attemptLine attemptLine) MarshalZerologObject(event *zerolog.Event) {
	event.Str("target", string(attemptLine.Target)).Str("dataCentre", string(attemptLine.DataCentre)).
		Str("result", string(attemptLine.Result)).Int("status", attemptLine.Status).
		Int("considered", attemptLine.Considered).Int("taken", attemptLine.InFlight).Float64("slowdown", attemptLine.Slowdown).
		Float64("readingAgeMs", float64(attemptLine.LoadReadingAge)).Float64("waitedMs", float64(attemptLine.QueueWait)).
		Float64("tookMs", float64(attemptLine.Duration))
	if attemptLine.Error != "" {
		event.Str("problem", attemptLine.Error)
	}
}

// spend takes one line of this second's.
func (decisionLog *decisionLog) spend(unusual bool) bool {
	now := decisionLog.clock.Now()
	decisionLog.mutex.Lock()
	defer decisionLog.mutex.Unlock()
	if now.Since(decisionLog.second) >= clock.Second {
		decisionLog.second = now
		decisionLog.unusual = unusualPerSecond
		decisionLog.plain = plainPerSecond
	}
	left := &decisionLog.plain
	if unusual {
		left = &decisionLog.unusual
	}
	if *left == 0 {
		return false
	}
	*left--
	return true
}
