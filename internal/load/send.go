package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/jaywheelclient"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// maxIdleConnections limits the idle connections kept to one address. It is higher than the number of calls in flight to one
// address, so that the load does not measure the set-up of connections.
const maxIdleConnections = 1024

// callTimeout is the timeout of one call.
const callTimeout = 30 * clock.Second

// Sender sends one call and returns its outcome. number is unique among all calls.
type Sender func(ctx context.Context, call *Call, number uint64) outcome.Outcome

// ThroughInstances returns a Sender that sends through the instances of a site, as callers do.
func ThroughInstances(seeds []string) Sender {
	client := jaywheelclient.New(jaywheelclient.Options{Seeds: seeds, MaxIdleConnections: maxIdleConnections})
	return func(ctx context.Context, call *Call, number uint64) outcome.Outcome {
		request, err := newRequest(ctx, call, call.Host, number)
		if err != nil {
			return outcome.NotRun
		}
		response, err := client.Do(call.Service, request)
		if err != nil {
			return outcome.Unknown
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return outcome.Unknown
		}
		result, _ := outcome.FromHeader(response.Header)
		return result
	}
}

// Direct returns a Sender that sends directly to the backend servers of a service, in round-robin order.
func Direct(addresses map[settings.ServiceName][]string) Sender {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}}
	var next atomic.Uint64
	return func(ctx context.Context, call *Call, number uint64) outcome.Outcome {
		candidates := addresses[call.Service]
		address := candidates[next.Add(1)%uint64(len(candidates))]
		request, err := newRequest(ctx, call, address, number)
		if err != nil {
			return outcome.NotRun
		}
		response, err := client.Do(request)
		if err != nil {
			return outcome.Unknown
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode >= http.StatusInternalServerError {
			return outcome.Unknown
		}
		return outcome.Answered
	}
}

func newRequest(ctx context.Context, call *Call, host string, number uint64) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if call.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, call.BodyBytes))
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+host+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.Host = call.Host
	if call.Method == http.MethodPost {
		request.Header.Set("Idempotency-Key", strconv.FormatUint(number, 36))
	}
	return request, nil
}
