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

// reportMost bounds a load report, in bytes.
const reportMost = 64 << 10

// reportTimeout bounds the reading of a load report.
const reportTimeout = clock.Second

// ErrInvalidReport says that a load report makes no sense.
var ErrInvalidReport = errors.New("load report not understood")

// Report is what a backend server tells of itself. It is always late and may be wrong.
type Report struct {
	// StartedMs is when the server's process started, in milliseconds of its own wall clock. Only whether it changed
	// counts: then the server has started anew under the same address.
	StartedMs int64 `json:"startedMs"`
	// InFlight and Queued are the requests that run and wait there.
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	// Draining says that it is on its way out.
	Draining bool `json:"draining"`
}

// ReadReport reads a target's load report over one of its agreed connections. The error is an *Error.
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
	text, err := io.ReadAll(io.LimitReader(exchange, reportMost+1))
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
	if len(text) > reportMost {
		return Report{}, errors.Wrapf(ErrInvalidReport, "more than %d bytes", reportMost)
	}
	if err := json.Unmarshal(text, &report); err != nil {
		return Report{}, errors.Wrapf(ErrInvalidReport, "load report: %v", err)
	}
	if report.InFlight < 0 || report.Queued < 0 || report.StartedMs < 0 {
		return Report{}, errors.Wrap(ErrInvalidReport, "a number below zero")
	}
	return report, nil
}
