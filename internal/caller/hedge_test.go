package caller

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a refusal that is forwarded as a response, and a permit that is released twice, because the hedged request may
// have run.
func TestTwoCopiesWithoutAnswerStayUnanswered(t *testing.T) {
	cut := func(*testing.T) attempt { return attempt{err: errors.New("cut")} }
	refused := func(t *testing.T) attempt {
		address := startBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		fixture := makeFixture(t, fixtureService(), address)
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
			joined := mergeFailures(testCase.one(t), testCase.other(t))
			require.False(t, joined.answered())
			require.Equal(t, testCase.notRun, joined.notRun)
			joined.discard()
		})
	}
}
