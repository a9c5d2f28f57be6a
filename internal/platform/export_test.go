package platform

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// NewClientForTest returns a client over the given transport.
func NewClientForTest(platformSettings settings.Platform, transport http.RoundTripper) *Client {
	return &Client{settings: platformSettings, http: &http.Client{Transport: transport}}
}

func FuzzParseList(f *testing.F) {
	f.Add([]byte(`{"index": 1, "instances": [{"name": "a", "kind": "entry", "state": "live", "address": "1.2.3.4:5", "peerAddress": "1.2.3.4:6"}]}`))
	f.Add([]byte(`{"instances": [{}]}`))
	f.Add([]byte(`[1`))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := parseList(text)
		if err != nil {
			require.True(t, errors.Is(err, ErrInvalidResponse), "%v", err)
			return
		}
		require.NotEmpty(t, list.Instances)
	})
}
