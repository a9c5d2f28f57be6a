package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
)

// record stores the request's trace and updates the metrics. A panic in it does not change the response, which has been written.
func (call *call) record(status int, result outcome.Outcome, reason outcome.Reason, cause error) {
	_ = call.handler.options.Guard.Run("record of a request", func() { call.recordResult(status, result, reason, cause) })
}

func (call *call) recordResult(status int, result outcome.Outcome, reason outcome.Reason, cause error) {
	elapsed := call.now().Since(call.started)
	requestTrace := trace.Request{
		ID: call.id, Started: time.Now().Add(-elapsed.Duration()), Method: shortMethod(call.request.Method),
		Attempts: call.attempts, Outcome: result, Reason: reason, Status: status, Duration: elapsed, Behind: call.behind, RetryDenied: call.retryDenied,
	}
	if cause != nil {
		requestTrace.Error = cause.Error()
	}
	if call.table != nil {
		requestTrace.Tenant = call.table.Site.Tenant
	}
	if call.identity.team != nil {
		requestTrace.Tenant = string(call.identity.team.Name)
	}
	if call.route.Class == nil {
		call.handler.options.Registry.Events.Add("refused."+string(reason), 1)
		call.storeTrace(&requestTrace)
		return
	}
	if call.relayed != nil {
		requestTrace.Origin = call.relayed.Origin
	}
	requestTrace.Service = call.route.Service.Name
	requestTrace.Class = call.route.Class.Name
	requestTrace.Revision = call.route.Service.Settings.Revision
	requestTrace.Timeout = call.deadline.Since(call.started)
	call.storeTrace(&requestTrace)
	call.recordMetrics(elapsed, result, reason)
}

// maxMethodLength is the length in bytes of the longest method that a trace keeps.
const maxMethodLength = 32

// shortMethod returns a copy of the start of a method. The method itself is a part of the request line, all of which it would keep.
func shortMethod(method string) string {
	switch method {
	case http.MethodGet:
		return http.MethodGet
	case http.MethodPost:
		return http.MethodPost
	default:
		return strings.Clone(method[:min(len(method), maxMethodLength)])
	}
}

// storeTrace adds the trace to the ring and passes it to OnRequestDone.
func (call *call) storeTrace(requestTrace *trace.Request) {
	traces := call.handler.options.Traces
	traces.Add(*requestTrace)
	if call.behind > 0 {
		call.position.onHeld(func(held clock.Milliseconds) { traces.SetHeld(call.id, held) })
	}
	if onRequestDone := call.handler.options.OnRequestDone; onRequestDone != nil {
		onRequestDone(requestTrace)
	}
}

func (call *call) recordMetrics(elapsed clock.Milliseconds, result outcome.Outcome, reason outcome.Reason) {
	classMetrics := call.route.Class.Metrics
	classMetrics.Count(result, reason)
	classMetrics.Duration.Record(elapsed)
	if call.queueTime > 0 {
		classMetrics.QueueWait.Record(call.queueTime)
	}
}
