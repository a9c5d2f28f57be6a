package catalog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/team"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// largeUpdate returns a complete update for the given numbers of backend servers and routes.
func largeUpdate(servers, routes int) Update {
	random := rand.New(rand.NewPCG(uint64(servers), uint64(routes)))
	update := Update{Revision: 900, Configuration: &Configuration{
		Version: 12, Services: map[settings.ServiceName]ServiceLimits{"lookups": {ProbePath: "/health", MaxConnections: 40, ColdRate: 2.7}},
	}}
	for number := range routes {
		update.Configuration.Routes = append(update.Configuration.Routes, Route{
			Name: settings.ClassName(fmt.Sprintf("route-%d", number)), Host: "bookings.example", Prefix: fmt.Sprintf("/%x/", random.Uint64()),
			Idempotent: true, Timeout: 5 * clock.Second, SoftDeadline: 1500, Attempts: 2, Priority: 2, Split: []Share{{Service: "lookups", Weight: 1}},
		})
	}
	for number := range servers {
		update.Servers = append(update.Servers, Server{
			Name: settings.TargetName(fmt.Sprintf("i-%016x", random.Uint64())), Service: "lookups", Address: fmt.Sprintf("10.%d.%d.7:8080", number/200, number%200),
			DataCentre: "sofia-a", Slots: 6, State: ServerReady, Started: 1764755000000 + random.Int64N(10000),
		})
	}
	update.Digest = NewServerList(update.Servers...).Digest()
	return update
}

func TestUpdateIsDecodedAsEncoded(t *testing.T) {
	cases := []Update{
		{Revision: 7, Since: 6, Removed: []settings.TargetName{"one"}, Evacuated: []settings.DataCentreName{"sofia-1"}, Digest: 3, RetainedFor: 700.5},
		largeUpdate(540, 20), largeUpdate(3, 1400),
	}
	for _, update := range cases {
		encoded, err := update.Encode()
		require.NoError(t, err)
		decoded, err := DecodeUpdate(bytes.NewReader(encoded))
		require.NoError(t, err)
		require.Equal(t, update, decoded)
	}
}

// Guards against views so large that the link of a small instance takes seconds to send them to the standby instances.
func TestWholeViewIsSmall(t *testing.T) {
	cases := []struct {
		servers, routes, maxLength int
	}{
		{540, 20, 30 << 10},
		{920, 60, 50 << 10},
		{540, 1400, 70 << 10},
	}
	for _, testCase := range cases {
		update := largeUpdate(testCase.servers, testCase.routes)
		encoded, err := update.Encode()
		require.NoError(t, err)
		t.Logf("%d servers, %d routes: %d bytes", testCase.servers, testCase.routes, len(encoded))
		require.Less(t, len(encoded), testCase.maxLength)
	}
}

// Guards against API keys of teams that make up most of the data sent to standby instances.
func TestViewWithTeamsIsSmall(t *testing.T) {
	lengths := map[int]int{}
	for _, count := range []int{0, 100, 10_000} {
		update := largeUpdate(540, 20)
		update.Configuration.NeedsKeys = count > 0
		for number := range count {
			name := fmt.Sprintf("team%d", number)
			update.Configuration.Teams = append(update.Configuration.Teams, team.Team{
				Name: team.Name(name), Keys: []team.KeyDigest{team.DigestOf(name + "a"), team.DigestOf(name + "b")}, Rate: 50, Burst: 50,
			})
		}
		encoded, err := update.Encode()
		require.NoError(t, err)
		lengths[count] = len(encoded)
	}
	t.Logf("540 servers with 0, 100, 10,000 teams of two keys: %d, %d, %d bytes", lengths[0], lengths[100], lengths[10_000])
	require.LessOrEqual(t, float64(lengths[100]), 1.5*float64(lengths[0]))
}

func FuzzDecodeUpdate(f *testing.F) {
	for _, update := range []Update{{Revision: 7}, largeUpdate(2, 1), largeUpdate(60, 2)} {
		encoded, err := update.Encode()
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		update, err := DecodeUpdate(bytes.NewReader(text))
		if err != nil {
			return
		}
		encoded, err := update.Encode()
		require.NoError(t, err)
		again, err := DecodeUpdate(bytes.NewReader(encoded))
		require.NoError(t, err)
		require.Equal(t, update.Revision, again.Revision)
	})
}

func BenchmarkDecodeUpdate(b *testing.B) {
	update := largeUpdate(540, 20)
	encoded, err := update.Encode()
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeUpdate(bytes.NewReader(encoded)); err != nil {
			b.Fatal(err)
		}
	}
}
