package backendserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// maxReportBytes is the maximum size of a load report.
const maxReportBytes = 64 << 10

// reportTimeout is the maximum time for reading a load report.
const reportTimeout = clock.Second

// ErrInvalidReport is returned for a load report that is malformed, too large or has invalid values.
var ErrInvalidReport = errors.New("load report not understood")

// Report is the load report of a backend server. It is always outdated by the time it is read and may be wrong.
type Report struct {
	// StartedMs is the start time of the server's process, in milliseconds of the server's own wall clock. Only a change of
	// it matters: the server has restarted under the same address.
	StartedMs int64 `json:"startedMs"`
	// InFlight is the number of requests that the server is processing, Queued the number that wait in its queue.
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	// Draining reports that the server is shutting down.
	Draining bool `json:"draining"`
}

// ReadReport reads the load report of a target over a connection of its pool. The error is an *Error.
func (servers *Servers) ReadReport(ctx context.Context, target settings.TargetName, path string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: string(target), Path: path},
		Header: http.Header{}, Body: http.NoBody, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	exchange, err := servers.Send(ctx, target, request, false)
	if err != nil {
		return Report{}, err
	}
	defer exchange.Close()
	text, err := io.ReadAll(io.LimitReader(exchange, maxReportBytes+1))
	if err != nil {
		return Report{}, &Error{Step: StepReport, Target: target, Written: true, Cause: err}
	}
	report, err := parseReport(exchange.Response.StatusCode, text)
	if err != nil {
		return Report{}, &Error{Step: StepReport, Target: target, Written: true, Cause: err}
	}
	return report, nil
}

func parseReport(status int, text []byte) (Report, error) {
	var report Report
	if status != http.StatusOK {
		return Report{}, errors.Wrapf(ErrInvalidReport, "status %d", status)
	}
	if len(text) > maxReportBytes {
		return Report{}, errors.Wrapf(ErrInvalidReport, "more than %d bytes", maxReportBytes)
	}
	if err := json.Unmarshal(text, &report); err != nil {
		return Report{}, errors.Wrapf(ErrInvalidReport, "load report: %v", err)
	}
	if report.InFlight < 0 || report.Queued < 0 || report.StartedMs < 0 {
		return Report{}, errors.Wrap(ErrInvalidReport, "inFlight, queued or startedMs is below zero")
	}
	return report, nil
}
