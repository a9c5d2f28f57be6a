package caller

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/backendserver"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/routing"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/supervisor"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// guard makes the fixture's instance recover panics.
func (fixture *fixture) guard() {
	fixture.handler.options.Guard = supervisor.NewGuard(supervisor.Options{Log: zerolog.Nop(), Events: &fixture.registry.Events})
}

// panics returns the number of panics that have been recovered.
func (fixture *fixture) panics() int64 {
	return metrics.EventCount(&fixture.registry.Events, supervisor.EventPanic)
}

// Guards against requests whose handling panics: they must not be closed without an answer, promise what is not known, run twice, or keep
// permits, connections or the count of requests in flight.
func TestPanicIsAnswered(t *testing.T) {
	cases := []struct {
		name, method, path string
		fail               func(*Options)
		status             int
		outcome            outcome.Outcome
		// sent is whether a server gets each request.
		sent bool
	}{
		{"table", http.MethodGet, "/look", func(options *Options) {
			options.Table = func() *routing.Table { panic("on purpose") }
		}, http.StatusServiceUnavailable, outcome.NotRun, false},
		{"load of the instance", http.MethodPost, "/payments", func(options *Options) {
			options.Lateness = func() clock.Milliseconds { panic("on purpose") }
		}, http.StatusServiceUnavailable, outcome.NotRun, false},
		{"request to the server", http.MethodPost, "/payments", func(options *Options) {
			options.Dialect.IsReservedHeader = func(string) bool { panic("on purpose") }
		}, http.StatusServiceUnavailable, outcome.NotRun, false},
		{"response of the server", http.MethodPost, "/payments", func(options *Options) {
			options.Dialect.ParseStatement = func(*http.Response) service.Statement { panic("on purpose") }
		}, http.StatusBadGateway, outcome.Unknown, true},
		{"refusal of the server", http.MethodPost, "/payments", func(options *Options) {
			options.Dialect.NotRun = func(*http.Response, *settings.Service) bool { panic("on purpose") }
		}, http.StatusBadGateway, outcome.Unknown, true},
		{"header of the response", http.MethodPost, "/payments", func(options *Options) {
			options.Dialect.IsReservedHeader = func(name string) bool {
				if name == "Signature" {
					panic("on purpose")
				}
				return outcome.IsOwnHeader(name)
			}
		}, http.StatusBadGateway, outcome.Unknown, true},
		{"record", http.MethodPost, "/payments", func(options *Options) {
			options.OnRequestDone = func(*trace.Request) { panic("on purpose") }
		}, http.StatusOK, outcome.Answered, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			const requests = 8
			var run atomic.Int64
			backend := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
				run.Add(1)
				writer.Header().Set("Signature", "of the server")
				_, _ = writer.Write([]byte("body"))
			})
			fixture := newFixture(t, fixtureService(), backend)
			fixture.guard()
			working := fixture.handler.options
			dialect := *working.Dialect
			fixture.handler.options.Dialect = &dialect
			testCase.fail(&fixture.handler.options)
			for range requests {
				got := fixture.send(t, fixture.newRequest(t, testCase.method, testCase.path, strings.NewReader("body")))
				require.Equal(t, testCase.status, got.status)
				require.Equal(t, testCase.outcome, got.outcome)
				if testCase.outcome != outcome.Answered {
					require.Equal(t, outcome.ReasonInternal, reasonOf(got))
					require.Empty(t, got.header.Get("Signature"), "no part of the server's response is passed on")
				}
			}
			require.EqualValues(t, requests, fixture.panics())
			if testCase.sent {
				require.EqualValues(t, requests, run.Load(), "each request runs once")
			} else {
				require.Zero(t, run.Load())
			}
			fixture.handler.options = working
			got := fixture.send(t, fixture.newRequest(t, http.MethodGet, "/look", http.NoBody))
			require.Equal(t, http.StatusOK, got.status, "permits and connections have been released")
			require.Zero(t, fixture.handler.InFlight())
		})
	}
}

// reasonOf returns the reason of a response; that of an attempt without a response stands for the panic that ended it.
func reasonOf(got response) outcome.Reason {
	if got.reason == outcome.ReasonCutBeforeAnswer {
		return outcome.ReasonInternal
	}
	return got.reason
}

// Guards against a response that looks complete although the handling of its rest has panicked.
func TestPanicWithinAResponseAbortsIt(t *testing.T) {
	backend := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Trailer", "Sum")
		_, _ = writer.Write([]byte("body"))
		writer.Header().Set("Sum", "1")
	})
	fixture := newFixture(t, fixtureService(), backend)
	fixture.guard()
	dialect := *fixture.handler.options.Dialect
	dialect.IsReservedHeader = func(name string) bool {
		if name == "Sum" {
			panic("on purpose")
		}
		return false
	}
	fixture.handler.options.Dialect = &dialect
	_, err := sendWhole(fixture.newRequest(t, http.MethodGet, "/look", http.NoBody))
	require.Error(t, err)
	require.EqualValues(t, 1, fixture.panics())
}

// useHedging lets the fixture's instance hedge lookups between warm targets at the given addresses. The returned function observes again
// that they are warm.
func (fixture *fixture) useHedging(addresses ...string) (*routing.Service, func()) {
	booking := fixture.useScheduler(addresses[0])
	var targets []service.TargetConfig
	for _, address := range addresses {
		name := settings.TargetName(address)
		targets = append(targets, service.TargetConfig{Name: name, Address: address, Slots: 4, Usable: true, Local: true})
		fixture.handler.options.Servers.Set(name, backendserver.Options{
			Address: address, MaxConnections: backendserver.FixedLimit(4), Connections: booking.Settings.Connections,
		})
	}
	booking.Scheduler.SetTargets(targets)
	observe := func() {
		now := fixture.handler.options.Clock.Now()
		for index := range targets {
			booking.Scheduler.Observe(targets[index].Name, service.LoadReading{At: now, Slots: 4, Slowdown: 1, ColdKnown: true, Source: service.FromPeer})
		}
	}
	observe()
	return booking, observe
}

// Guards against a hedged request of which an attempt panics: the process must live, the request be answered, and the permits and
// connections of both attempts be released once.
func TestPanicInAHedge(t *testing.T) {
	cases := []struct {
		name string
		// fail makes the dialect panic, given the number of responses so far.
		fail func(*Dialect, *atomic.Int64)
	}{
		{"first response", func(dialect *Dialect, responses *atomic.Int64) {
			dialect.ParseStatement = func(*http.Response) service.Statement {
				if responses.Add(1) == 1 {
					panic("on purpose")
				}
				return service.Statement{}
			}
		}},
		{"each response", func(dialect *Dialect, _ *atomic.Int64) {
			dialect.ParseStatement = func(*http.Response) service.Statement { panic("on purpose") }
		}},
		{"request of the second attempt", func(dialect *Dialect, requests *atomic.Int64) {
			dialect.IsReservedHeader = func(name string) bool {
				if name == "Marked" && requests.Add(1) > 1 {
					panic("on purpose")
				}
				return false
			}
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			release := make(chan struct{})
			handler := func(writer http.ResponseWriter, request *http.Request) {
				if request.Header.Get("Marked") != "" {
					select {
					case <-release:
					case <-request.Context().Done():
					}
				}
				_, _ = writer.Write([]byte("body"))
			}
			fixture := newFixture(t, fixtureService())
			fixture.guard()
			booking, observe := fixture.useHedging(startBackend(t, handler), startBackend(t, handler))
			dialect := *fixture.handler.options.Dialect
			var count atomic.Int64
			testCase.fail(&dialect, &count)
			working := fixture.handler.options.Dialect
			fixture.handler.options.Dialect = &dialect
			answered := make(chan response, 1)
			request := fixture.newRequest(t, http.MethodGet, "/look", http.NoBody)
			request.Header.Set("Marked", "1")
			go func() {
				got, _ := sendWhole(request)
				answered <- got
			}()
			require.Eventually(t, func() bool {
				observe()
				return inFlightOf(booking) == 2 || fixture.panics() > 0
			}, maxWait, pollInterval)
			close(release)
			got := <-answered
			require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, got.status)
			require.Positive(t, fixture.panics())
			require.Eventually(t, func() bool { return inFlightOf(booking) == 0 }, maxWait, pollInterval, "all permits are released")
			require.Zero(t, fixture.handler.InFlight())
			fixture.handler.options.Dialect = working
			observe()
			require.Equal(t, http.StatusOK, fixture.send(t, fixture.newRequest(t, http.MethodGet, "/look", http.NoBody)).status)
			require.Eventually(t, func() bool { return inFlightOf(booking) == 0 }, maxWait, pollInterval)
		})
	}
}

// inFlightOf returns the number of permits of a service in use.
func inFlightOf(booking *routing.Service) int {
	targets, _ := booking.Scheduler.State()
	inFlight := 0
	for index := range targets {
		inFlight += targets[index].OwnInFlight
	}
	return inFlight
}

// Guards against a check of a server that panics, and for whose end requests would wait.
func TestEndCheckEndsAfterAPanic(t *testing.T) {
	var ended atomic.Int64
	fixture := newFixture(t, fixtureService(), startEndingBackend(t, &ended))
	fixture.guard()
	fixture.handler.options.Quarantine = quarantine.New(quarantine.Options{Clock: fixture.handler.options.Clock})
	var dials atomic.Int64
	fixture.handler.options.Servers.OnConnect = func(settings.TargetName, error) {
		// The first connection is that of the request.
		if dials.Add(1) > 1 {
			panic("on purpose")
		}
	}
	require.Equal(t, http.StatusBadGateway, fixture.send(t, fixture.newRequest(t, http.MethodPost, "/payments/end", http.NoBody)).status)
	var check *endCheck
	fixture.handler.endChecks.mutex.Lock()
	for _, check = range fixture.handler.endChecks.checks {
	}
	fixture.handler.endChecks.mutex.Unlock()
	require.NotNil(t, check)
	<-check.done
	fixture.handler.endChecks.mutex.Lock()
	defer fixture.handler.endChecks.mutex.Unlock()
	require.Positive(t, check.finishedAt)
	require.EqualValues(t, 1, fixture.panics())
}
