package caller

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// If one of two hedged attempts was refused as not run and the other may have run, the merged attempt must count neither as not run
// nor as answered. Guards against a refusal that counts as answered: it is forwarded as a response, and its permit is released twice.
func TestTwoCopiesWithoutAnswerStayUnanswered(t *testing.T) {
	cut := func(*testing.T) attempt { return attempt{err: errors.New("cut")} }
	refused := func(t *testing.T) attempt {
		address := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		fixture := newUnservedFixture(t, fixtureService(), address)
		servers := fixture.handler.options.Servers
		request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		require.NoError(t, err)
		exchange, err := servers.Send(t.Context(), settings.TargetName(address), request, false)
		require.NoError(t, err)
		return attempt{exchange: exchange, notRun: true}
	}
	cases := []struct {
		name       string
		one, other func(*testing.T) attempt
		notRun     bool
	}{
		{"cut, then refused", cut, refused, false},
		{"refused, then cut", refused, cut, false},
		{"both refused", refused, refused, true},
		{"both cut", cut, cut, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			merged, other := chooseResult(testCase.one(t), testCase.other(t))
			require.False(t, merged.answered())
			require.Equal(t, testCase.notRun, merged.notRun)
			merged.discard()
			discardLoser(&other)
		})
	}
}
