package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/control"
	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// runCommandLine runs a command line and returns its exit code and output.
func runCommandLine(arguments ...string) (code int, out, err string) {
	var outBuffer, errBuffer bytes.Buffer
	code = run(arguments, streams{out: &outBuffer, err: &errBuffer})
	return code, outBuffer.String(), errBuffer.String()
}

func TestExitCodes(t *testing.T) {
	invalidPath := filepath.Join(t.TempDir(), "wrong.json")
	require.NoError(t, os.WriteFile(invalidPath, []byte(`{"revision": "one"}`), 0o600))
	base := "../examples/rodopa.base.json"
	cases := []struct {
		name      string
		arguments []string
		code      int
		out, err  string
	}{
		{"help", []string{"--help"}, ExitOK, "Exit codes", ""},
		{"help of a command", []string{"load", "--help"}, ExitOK, "Calls per second", ""},
		{"no command", nil, ExitUsage, "", "serve"},
		{"unknown command", []string{"dance"}, ExitUsage, "", "dance"},
		{"unknown flag", []string{"check", "--louder"}, ExitUsage, "", "louder"},
		{"bare number for a time", []string{"try", "--for", "5"}, ExitUsage, "", "missing unit"},
		{"check", []string{"check", "--base", base, "--overlay", "../examples/rodopa.sofia.json"}, ExitOK, "fleet.answerKept: \"5s\" -> \"3s\"", ""},
		{"check of invalid settings", []string{"check", "--base", invalidPath}, ExitInvalid, "", "revision: got string, want integer"},
		{"check of a missing file", []string{"check", "--base", "none.json"}, ExitFailure, "", "none.json"},
		{"render", []string{"render", "--base", base, "--out", filepath.Join(t.TempDir(), "out")}, ExitOK, "4 of 4 documents changed", ""},
		{"serve with invalid settings", []string{"serve", "--settings", invalidPath}, ExitInvalid, "", "missing propert"},
		{"load without a source", []string{"load"}, ExitUsage, "", "either --site or --ask"},
		{"load without a mix", []string{"load", "--ask", "127.0.0.1:1"}, ExitUsage, "", "--ask needs --mix"},
		{"load with an invalid mix", []string{"load", "--ask", "127.0.0.1:1", "--mix", invalidPath}, ExitInvalid, "", "unknown field"},
		{"status without an instance", []string{"status", "--operator", "127.0.0.1:1"}, ExitFailure, "", "query instance 127.0.0.1:1"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			code, out, err := runCommandLine(testCase.arguments...)
			require.Equal(t, testCase.code, code, "%s%s", out, err)
			require.Contains(t, out, testCase.out)
			require.Contains(t, err, testCase.err)
		})
	}
}

// The first signal makes an instance drain, the second ends it immediately, and an error of serve is returned. Guards against a
// SIGTERM that the platform repeats and that interrupts requests in flight.
func TestSignals(t *testing.T) {
	errServe := errors.New("serving ended")
	cases := []struct {
		name       string
		signals    []os.Signal
		forcesExit func(os.Signal) bool
		drains     bool
		serve      error
		want       error
	}{
		{"one signal", []os.Signal{syscall.SIGTERM}, nil, true, nil, nil},
		{"two signals", []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, nil, false, nil, errSecondSignal},
		{"repeated by the platform", []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, isInterrupt, true, nil, nil},
		{"from a terminal", []os.Signal{syscall.SIGTERM, syscall.SIGINT}, isInterrupt, false, nil, errSecondSignal},
		{"no signal", nil, nil, false, errServe, errServe},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			signals := make(chan os.Signal, 2)
			for _, signal := range testCase.signals {
				signals <- signal
			}
			err := lifecycle{
				serve: func(ctx context.Context) error {
					if testCase.serve != nil {
						return testCase.serve
					}
					<-ctx.Done()
					return nil
				},
				drain: func(ctx context.Context) error {
					if !testCase.drains {
						<-ctx.Done()
					}
					return nil
				},
				forcesExit: testCase.forcesExit,
			}.run(signals, clock.Minute)
			require.ErrorIs(t, err, testCase.want)
		})
	}
}

// Guards against a process that is killed because a part of it does not end after the drain.
func TestPartThatDoesNotStop(t *testing.T) {
	errDrain := errors.New("requests in flight")
	for _, want := range []error{nil, errDrain} {
		synctest.Test(t, func(t *testing.T) {
			signals, release := make(chan os.Signal, 1), make(chan struct{})
			defer close(release)
			signals <- syscall.SIGTERM
			started := time.Now()
			err := lifecycle{
				serve: func(context.Context) error {
					<-release
					return nil
				},
				drain:   func(context.Context) error { return want },
				bounded: true,
			}.run(signals, 0)
			require.ErrorIs(t, err, want)
			require.LessOrEqual(t, clock.Of(time.Since(started)), stopTimeout)
		})
	}
}

// startJSONServer starts a server with one JSON value at a path, like the operator address of an instance.
func startJSONServer(t *testing.T, path string, value any) string {
	text, err := json.Marshal(value)
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(text) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestStatusIsReadable(t *testing.T) {
	address := startJSONServer(t, operator.StatusPath, control.Status{
		Instance: "entry-1", Ready: true, Problems: map[string]string{"site": "wrong"},
		Peers: []control.PeerStatus{{Name: "entry-2", Suspected: true}},
		Services: []control.ServiceStatus{{Name: "browsing", Targets: []control.TargetStatus{
			{TargetState: service.TargetState{Name: "browsing-1", OwnInFlight: 3, Limit: 6}, Phase: "warm", Owned: true},
		}}},
	})
	code, out, _ := runCommandLine("status", "--operator", address)
	require.Equal(t, ExitOK, code)
	for _, part := range []string{"instance entry-1", "REFUSED site: wrong", "entry-2", "browsing-1", "warm"} {
		require.Contains(t, out, part)
	}
	code, out, _ = runCommandLine("status", "--json", "--operator", address)
	require.Equal(t, ExitOK, code)
	require.True(t, json.Valid([]byte(out)))
}

func TestExplainIsReadable(t *testing.T) {
	address := startJSONServer(t, operator.ExplainPath, trace.Request{
		ID: "r-1", Outcome: "answered", Behind: 3, Held: 250, Attempts: []trace.Attempt{
			{Target: "browsing-1", Considered: 20, InFlight: 2, Result: trace.ResultNoResponse, Error: "connection reset"},
			{Target: "browsing-2", QueueWait: 12, Reused: true, Status: 200, Result: trace.ResultAnswered},
		},
	})
	code, out, _ := runCommandLine("explain", "--operator", address, "r-1")
	require.Equal(t, ExitOK, code)
	for _, part := range []string{
		"of 20 targets with a free permit, browsing-1", "connection reset", "waited 12.00ms until browsing-2", "a reused connection", "outcome answered",
		"3 earlier requests of its connection", "held for 250.00ms",
	} {
		require.Contains(t, out, part)
	}
}

// cancelingWriter cancels a context once the text that was written to it contains until.
type cancelingWriter struct {
	mutex  sync.Mutex
	text   strings.Builder
	until  string
	cancel context.CancelFunc
}

// Write implements io.Writer.
func (cancelingWriter *cancelingWriter) Write(text []byte) (int, error) {
	cancelingWriter.mutex.Lock()
	defer cancelingWriter.mutex.Unlock()
	cancelingWriter.text.Write(text)
	if strings.Contains(cancelingWriter.text.String(), cancelingWriter.until) {
		cancelingWriter.cancel()
	}
	return len(text), nil
}

// Guards against a first example of the README that does not start, print the commands to call it, or show its progress.
func TestTry(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &cancelingWriter{until: "malabon      ", cancel: cancel}
	try := tryCommand{Instances: 3, Rate: 20, streams: streams{out: out, err: io.Discard}}
	require.NoError(t, try.run(ctx))
	for _, part := range []string{"Kalinga Gateway", "curl -i -H 'Host: slots.rodopa.example'", "jaywheel status --operator", "rodopa "} {
		require.Contains(t, out.text.String(), part)
	}
}

func TestAddressesCommand(t *testing.T) {
	address := startJSONServer(t, "/jaywheel/v1/addresses", json.RawMessage(
		`{"service": "browsing", "keep": "5s", "revision": 3, "addresses": [{"instance": "entry-1", "address": "10.0.0.1:80", "dataCentre": "sofia-1"}]}`))
	code, out, _ := runCommandLine("addresses", "--instance", address, "--service", "browsing")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "settings revision 3, keep for 5s")
	require.Contains(t, out, "10.0.0.1:80")
}

func TestLoadOnExampleSite(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "report")
	code, out, err := runCommandLine("load", "--site", "malabon", "--instances", "2", "--rate", "100", "--slice", "100ms", "--rounds", "1",
		"--service-time", "0ms", "--out", directory)
	require.Equal(t, ExitOK, code, err)
	require.Contains(t, out, "through against direct")
	require.FileExists(t, filepath.Join(directory, "report.svg"))
}
