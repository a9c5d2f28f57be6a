package relay

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against relayed requests whose limits are changed by the transmission, or come from a caller.
func TestRequestsRoundTrip(t *testing.T) {
	request := Request{Origin: "entry-1", Service: "booking", SoftTimeout: 250 * clock.Millisecond, Attempts: 2, Counted: true}
	header := http.Header{"Jaywheel-Relay-Attempts": {"9", "9"}, "Jaywheel-Relay-Other": {"x"}, "Accept": {"*/*"}}
	request.SetHeader(header)
	require.Empty(t, header.Values("Jaywheel-Relay-Other"))
	parsed, err := ParseRequest(header)
	require.NoError(t, err)
	require.Equal(t, request, parsed)
	RemoveHeaders(header)
	require.Equal(t, http.Header{"Accept": {"*/*"}}, header)
}

// Guards against requests that are handled with limits that nobody has set.
func TestInvalidRequestsAreRejected(t *testing.T) {
	cases := []struct{ name, header, value string }{
		{"no origin", headerOrigin, ""},
		{"no service", headerService, ""},
		{"no soft timeout", headerSoftTimeout, ""},
		{"a negative soft timeout", headerSoftTimeout, "-1"},
		{"a soft timeout that is too long", headerSoftTimeout, "99999999999"},
		{"a fraction", headerSoftTimeout, "1.5"},
		{"no attempts left", headerAttempts, "0"},
		{"attempts that are not a number", headerAttempts, "many"},
		{"not known whether it is counted", headerCounted, ""},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			header := http.Header{}
			Request{Origin: "entry-1", Service: "booking", Attempts: 1}.SetHeader(header)
			header.Set(testCase.header, testCase.value)
			_, err := ParseRequest(header)
			require.ErrorIs(t, err, ErrInvalidRequest)
		})
	}
}

// Guards against a response that is taken for a promise that the request has not run.
func TestOutcomes(t *testing.T) {
	for _, result := range outcome.All {
		header := http.Header{}
		SetOutcome(header, result, outcome.ReasonQueueFull)
		parsed, reason := ParseOutcome(header)
		require.Equal(t, result, parsed)
		require.Equal(t, outcome.ReasonQueueFull, reason)
	}
	result, _ := ParseOutcome(http.Header{headerOutcome: {"perhaps"}})
	require.Equal(t, outcome.Unknown, result)
	result, _ = ParseOutcome(http.Header{})
	require.Equal(t, outcome.Unknown, result, "whatever has the address may have run the request")
}

// Guards against requests that are relayed to instances which cannot serve them.
func TestChoiceOfInstances(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(clock.Second)
	client := NewClient(Options{Clock: &manual.Clock, Rand: rand.New(rand.NewPCG(1, 1))})
	defer client.Close()
	_, found := client.Choose("booking", nil)
	require.False(t, found)
	peers := []Peer{
		{Name: "local-cut", Local: true, Serving: true, Unreachable: map[settings.ServiceName]bool{"booking": true}},
		{Name: "local", Local: true, Serving: true},
		{Name: "remote-1", Serving: true},
		{Name: "remote-2", Serving: true},
		{Name: "standby", Local: true},
	}
	client.SetPeers(peers)
	var tried []settings.InstanceName
	for {
		peer, found := client.Choose("booking", tried)
		if !found {
			break
		}
		tried = append(tried, peer.Name)
	}
	require.Len(t, tried, 4)
	require.Equal(t, settings.InstanceName("local"), tried[0])
	require.ElementsMatch(t, []settings.InstanceName{"remote-1", "remote-2"}, tried[1:3])
	require.Equal(t, settings.InstanceName("standby"), tried[3])

	client.recordConnect("local", ErrInvalidRequest)
	chosen, _ := client.Choose("booking", nil)
	require.NotEqual(t, settings.InstanceName("local"), chosen.Name)
	manual.Advance(avoidDuration)
	chosen, _ = client.Choose("booking", nil)
	require.Equal(t, settings.InstanceName("local"), chosen.Name)
	client.SetPeers(nil)
	_, found = client.Choose("booking", nil)
	require.False(t, found)
}
