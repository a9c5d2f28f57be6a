package gateway

import (
	"expvar"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// Log lines per second. Requests that failed or were retried have a higher limit than others. Dropped lines are counted, and
// the traces of recent requests are available one by one on the explain path.
const (
	unusualPerSecond  = 100
	ordinaryPerSecond = 10
)

// EventLogLinesDropped counts requests that were not logged because of the limits.
const EventLogLinesDropped = "log.linesLeftOut"

// requestLog logs completed requests at a limited rate.
type requestLog struct {
	log    zerolog.Logger
	clock  *clock.Clock
	events *expvar.Map

	mutex sync.Mutex
	// windowStart is the start of the current second, in which unusual and ordinary more lines may be logged.
	windowStart       clock.Moment
	unusual, ordinary int
}

func newRequestLog(log zerolog.Logger, clock *clock.Clock, events *expvar.Map) *requestLog {
	return &requestLog{log: log, clock: clock, events: events, unusual: unusualPerSecond, ordinary: ordinaryPerSecond}
}

// write logs the request unless the limit for the current second is reached.
func (requestLog *requestLog) write(requestTrace *trace.Request) {
	unusual := requestTrace.Outcome != outcome.Answered || len(requestTrace.Attempts) > 1
	if !requestLog.allow(unusual) {
		requestLog.events.Add(EventLogLinesDropped, 1)
		return
	}
	line := requestLog.log.Info()
	if !line.Enabled() {
		return
	}
	line.Str("id", string(requestTrace.ID)).Str("service", string(requestTrace.Service)).Str("class", string(requestTrace.Class)).Str("team", requestTrace.Tenant).
		Uint64("version", uint64(requestTrace.Revision)).Str("outcome", string(requestTrace.Outcome)).Str("reason", string(requestTrace.Reason)).
		Int("status", requestTrace.Status).Float64("wholeMs", float64(requestTrace.Duration)).Float64("timeoutMs", float64(requestTrace.Timeout))
	attempts := zerolog.Arr()
	for index := range requestTrace.Attempts {
		attempts.Object(attemptFields{&requestTrace.Attempts[index]})
	}
	line.Array("attempts", attempts)
	if requestTrace.RetryDenied {
		line.Bool("retryDenied", true)
	}
	if requestTrace.Behind > 0 {
		line.Int("behind", requestTrace.Behind)
	}
	if requestTrace.Origin != "" {
		line.Str("origin", string(requestTrace.Origin))
	}
	if requestTrace.Error != "" {
		line.Str("problem", requestTrace.Error)
	}
	line.Msg("request")
}

// attemptFields logs one attempt of a request.
type attemptFields struct {
	*trace.Attempt
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (attemptFields attemptFields) MarshalZerologObject(event *zerolog.Event) {
	event.Str("target", string(attemptFields.Target)).Str("dataCentre", string(attemptFields.DataCentre)).
		Str("result", string(attemptFields.Result)).Int("status", attemptFields.Status).
		Int("considered", attemptFields.Considered).Int("taken", attemptFields.InFlight).Float64("slowdown", attemptFields.Slowdown).
		Float64("readingAgeMs", float64(attemptFields.LoadReadingAge)).Float64("waitedMs", float64(attemptFields.QueueWait)).
		Float64("tookMs", float64(attemptFields.Duration))
	if attemptFields.Relay != "" {
		event.Str("relay", string(attemptFields.Relay))
	}
	if attemptFields.ServerLimit != nil {
		event.Float64("serverLimit", *attemptFields.ServerLimit)
	}
	if attemptFields.ServerRest > 0 {
		event.Float64("serverRestMs", float64(attemptFields.ServerRest))
	}
	if attemptFields.ServerLeaving {
		event.Bool("serverLeaving", true)
	}
	if attemptFields.Error != "" {
		event.Str("problem", attemptFields.Error)
	}
}

// allow counts one line against the limit for the current second, and reports whether it is within the limit.
func (requestLog *requestLog) allow(unusual bool) bool {
	now := requestLog.clock.Now()
	requestLog.mutex.Lock()
	defer requestLog.mutex.Unlock()
	if now.Since(requestLog.windowStart) >= clock.Second {
		requestLog.windowStart = now
		requestLog.unusual = unusualPerSecond
		requestLog.ordinary = ordinaryPerSecond
	}
	left := &requestLog.ordinary
	if unusual {
		left = &requestLog.unusual
	}
	if *left == 0 {
		return false
	}
	*left--
	return true
}
