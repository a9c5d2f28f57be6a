package cmd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/fleet"
	"github.com/jaywheel/jaywheel/internal/operator"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// statusServer starts a server that responds with the status of an instance at the given address.
func statusServer(t *testing.T, address string, status func() fleet.Status) string {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc(operator.StatusPath, func(writer http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(writer).Encode(status()) })
	server := httptest.NewUnstartedServer(mux)
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// Guards against inconsistencies of the fleet that the command does not report: an instance that does not answer, one with an
// outdated configuration, and two of which one considers the other lost. Each must be named, and the exit code must be 1.
func TestFleetShowsInconsistencies(t *testing.T) {
	cases := []struct {
		name     string
		second   fleet.Status
		third    string
		code     int
		expected []string
	}{
		{
			"no problems",
			fleet.Status{Instance: "entry-2", State: "serving", Ready: true, Version: 7},
			"", ExitOK,
			[]string{"entry-1   sofia-a      serving  true", "entry-2"},
		},
		{
			"an old configuration",
			fleet.Status{Instance: "entry-2", State: "standingBy", Version: 6},
			"", ExitFailure,
			[]string{"entry-2 has configuration 6 in force, others 7"},
		},
		{
			"an instance that answers is lost to another", fleet.Status{
				Instance: "entry-2", State: "serving", Version: 7, Peers: []fleet.PeerStatus{{Name: "entry-1", State: "lost"}},
			}, "", ExitFailure, []string{"entry-2 has lost sight of entry-1, which answers"},
		},
		{
			"an instance that cannot reach servers",
			fleet.Status{Instance: "entry-2", State: "serving", Version: 7, Unreachable: []settings.ServiceName{"browsing", "payments"}},
			"", ExitFailure,
			[]string{"entry-2 cannot reach the servers of [browsing payments]"},
		},
		{
			"one does not answer",
			fleet.Status{Instance: "entry-2", State: "serving", Version: 7},
			"127.7.7.3:9", ExitFailure,
			[]string{"entry-3 does not answer"},
		},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			first := fleet.Status{
				Instance: "entry-1", DataCentre: "sofia-a", State: "serving", Ready: true, Version: 7,
				Peers:    []fleet.PeerStatus{{Name: "entry-2", Address: "127.7.7.2:1", State: "serving", Version: 7}},
				Services: []fleet.ServiceStatus{{Name: "browsing", Targets: []service.TargetState{{OwnInFlight: 3}}}},
			}
			if testCase.third != "" {
				first.Peers = append(first.Peers, fleet.PeerStatus{Name: "entry-3", Address: testCase.third, State: "serving", Version: 7})
			}
			address := statusServer(t, "127.7.7.1:0", func() fleet.Status { return first })
			port := netip.MustParseAddrPort(address).Port()
			statusServer(t, fmt.Sprintf("127.7.7.2:%d", port), func() fleet.Status { return testCase.second })
			code, out, _ := runCommandLine("fleet", "--operator", address)
			require.Equal(t, testCase.code, code, out)
			for _, expected := range testCase.expected {
				require.Contains(t, out, expected)
			}
		})
	}
	code, _, err := runCommandLine("fleet", "--operator", "127.7.7.9:1")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, err, "127.7.7.9:1")
}

// Guards against a list of hundreds of instances in which the instance with a problem can't be found.
func TestFleetShowsProblemsFirst(t *testing.T) {
	first := fleet.Status{Instance: "entry-1", DataCentre: "sofia-a", State: "standingBy", Version: 7}
	states := map[string]fleet.Status{
		"127.7.8.2": {Instance: "entry-2", DataCentre: "sofia-b", State: "serving", Version: 7},
		"127.7.8.3": {Instance: "entry-3", DataCentre: "sofia-b", State: "standingBy", Version: 6},
	}
	for _, host := range []string{"127.7.8.2", "127.7.8.3"} {
		first.Peers = append(first.Peers, fleet.PeerStatus{Name: states[host].Instance, Address: host + ":1"})
	}
	address := statusServer(t, "127.7.8.1:0", func() fleet.Status { return first })
	for host, status := range states {
		statusServer(t, fmt.Sprintf("%s:%d", host, netip.MustParseAddrPort(address).Port()), func() fleet.Status { return status })
	}
	cases := []struct {
		name    string
		options []string
		shown   []string
	}{
		{"all", nil, []string{"entry-3", "entry-2", "entry-1"}},
		{"one data centre", []string{"--data-centre", "sofia-b"}, []string{"entry-3", "entry-2"}},
		{"one state", []string{"--state", "serving"}, []string{"entry-2"}},
		{"with a problem", []string{"--problems"}, []string{"entry-3"}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			code, out, _ := runCommandLine(append([]string{"fleet", "--operator", address}, testCase.options...)...)
			require.Equal(t, ExitFailure, code)
			lines := strings.Split(out, "\n")
			var shown []string
			for _, line := range lines[1 : len(testCase.shown)+1] {
				shown = append(shown, strings.Fields(line)[0])
			}
			require.Equal(t, testCase.shown, shown)
			require.Equal(t, "3 instances: 1 serving, 2 standingBy", lines[len(testCase.shown)+1])
			require.Equal(t, "entry-3 has configuration 6 in force, others 7", lines[len(testCase.shown)+2])
		})
	}
}
