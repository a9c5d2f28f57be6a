package catalog

import (
	"bytes"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a configuration that an instance of another release passes on with values that this one would not have accepted.
func TestConfigurationOfPeerIsNormalized(t *testing.T) {
	notNumber := math.NaN()
	odd := Configuration{
		Version: 7,
		Routes: []Route{{
			Name: "odd", Host: "h", Prefix: "/", Timeout: clock.Milliseconds(math.Inf(1)), SoftDeadline: clock.Milliseconds(notNumber), Attempts: math.MaxInt,
			Priority: math.MinInt, Split: []Share{{Service: "a", Weight: math.MaxInt}, {Service: "b", Weight: math.MinInt}, {Service: "", Weight: 1}},
		}},
		Services: map[settings.ServiceName]ServiceLimits{"a": {MaxConnections: math.MaxInt, ColdRate: notNumber}, "b": {MaxConnections: -1, ColdRate: math.Inf(1)}},
		Teams:    []team.Team{{Name: "one", Rate: math.Inf(1), Burst: notNumber, Priority: math.MaxInt}, {Name: "two", Priority: team.NoPriority}},
	}
	expected := Configuration{
		Version: 7,
		Routes: []Route{{
			Name: "odd", Host: "h", Prefix: "/", Timeout: MaxTimeout, Attempts: MaxAttempts, Split: []Share{{Service: "a", Weight: MaxWeight}},
		}},
		Services: map[settings.ServiceName]ServiceLimits{"a": {MaxConnections: MaxServerConnections}, "b": {ColdRate: MaxColdRate}},
		Teams:    []team.Team{{Name: "one", Rate: MaxTeamRate, Priority: settings.LowestPriority}, {Name: "two", Priority: team.NoPriority}},
	}
	encoded, err := (&Update{Revision: 3, Configuration: &odd}).Encode()
	require.NoError(t, err)
	update, err := DecodeUpdate(bytes.NewReader(encoded))
	require.NoError(t, err)
	require.Equal(t, &expected, update.Configuration)
}

// Guards against a version after which no later configuration would be put in force.
func TestVersionOfPeerOutOfRange(t *testing.T) {
	encoded, err := (&Update{Revision: 3, Configuration: &Configuration{Version: MaxVersion + 1}}).Encode()
	require.NoError(t, err)
	_, err = DecodeUpdate(bytes.NewReader(encoded))
	require.ErrorIs(t, err, ErrEncoding)
}

// Guards against a time until servers are dropped that never ends or is no number, with which the next change would be read late.
func TestRetentionOfPeerIsLimited(t *testing.T) {
	cases := []struct{ given, want float64 }{{0, 0}, {700.5, 700.5}, {-1, 0}, {math.NaN(), 0}, {1e18, float64(maxRetention)}, {math.Inf(1), float64(maxRetention)}}
	for _, testCase := range cases {
		encoded, err := (&Update{Revision: 3, RetainedFor: clock.Milliseconds(testCase.given)}).Encode()
		require.NoError(t, err)
		update, err := DecodeUpdate(bytes.NewReader(encoded))
		require.NoError(t, err)
		require.InDelta(t, testCase.want, float64(update.RetainedFor), 0)
	}
}

// Guards against a server that an instance of another release passes on although it cannot be used, and against following that instance no
// longer: the digests count all servers that it has.
func TestServersOfPeerOutOfRange(t *testing.T) {
	usual := Server{Name: "usual", Service: "a", Address: "10.0.0.1:80", DataCentre: "one", Slots: 6, State: ServerReady}
	change := func(name settings.TargetName, change func(*Server)) Server {
		server := usual
		server.Name = name
		change(&server)
		return server
	}
	odd := []Server{
		change("slots", func(server *Server) { server.Slots = math.MaxInt }), change("cold", func(server *Server) { server.ColdFor = 1e18 }),
		change("endless", func(server *Server) { server.ColdFor = clock.Milliseconds(math.Inf(1)) }),
		change("not a number", func(server *Server) { server.ColdFor = clock.Milliseconds(math.NaN()) }),
		change("address", func(server *Server) { server.Address = "0.0.0.0:0" }), change("state", func(server *Server) { server.State = "odd" }),
	}
	base := View{}
	history := NewHistory()
	apply := func(view *View, after Revision) ServerList {
		history.Record(view)
		update := history.UpdateSince(after)
		encoded, err := update.Encode()
		require.NoError(t, err)
		decoded, err := DecodeUpdate(bytes.NewReader(encoded))
		require.NoError(t, err)
		base, err = decoded.Apply(&base)
		require.NoError(t, err)
		return base.Servers.Valid()
	}
	configuration := &Configuration{Version: 7}
	first := View{Revision: 3, Configuration: configuration, Servers: NewServerList(append(odd, usual)...)}
	require.Equal(t, []Server{usual}, collect(apply(&first, 0)))
	second := View{Revision: 4, Configuration: configuration, Servers: first.Servers.Edit(ServerEdits{
		"other": {Name: "other", Service: "a", Address: "10.0.0.2:80", DataCentre: "one", Slots: 2, State: ServerReady}, "slots": nil,
	})}
	require.Len(t, collect(apply(&second, 3)), 2)
	third := View{Revision: 5, Configuration: configuration, Servers: NewServerList(usual)}
	require.Equal(t, []Server{usual}, collect(apply(&third, 4)))
	require.Zero(t, base.Servers.invalid)
}
