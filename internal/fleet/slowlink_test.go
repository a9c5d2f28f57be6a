package fleet

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// peerReadTimeout is the time that the catalog reader gives a read of peers.
const peerReadTimeout = clock.Second

// Guards against an instance whose link is full and that gives up every request to a peer shortly before its answer comes, and so
// follows an old configuration for seconds.
func TestUpdateOverASlowLink(t *testing.T) {
	silentPeer := netip.MustParseAddrPort(identity(1).Peer)
	cases := []struct {
		name string
		// answersAfter returns when a peer answers.
		answersAfter func(netip.AddrPort) clock.Milliseconds
		within       clock.Milliseconds
	}{
		{"all answers are slow", func(netip.AddrPort) clock.Milliseconds { return 700 * clock.Millisecond }, 700 * clock.Millisecond},
		{"a peer is silent", func(address netip.AddrPort) clock.Milliseconds {
			if address == silentPeer {
				return clock.Minute
			}
			return 20 * clock.Millisecond
		}, 420 * clock.Millisecond},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(0, 1, 2)
				fixture.receiveHeartbeat(1, membership.Serving, 20)
				fixture.receiveHeartbeat(2, membership.Serving, 19)
				ctx, cancel := context.WithTimeout(t.Context(), peerReadTimeout.Duration())
				defer cancel()
				go func() { _ = fixture.controller.Serve(ctx) }()
				start := time.Now()
				update, err := fixture.controller.FetchFromPeer(ctx, 10, func(ctx context.Context, address netip.AddrPort, _ catalog.Revision) (catalog.Update, error) {
					err := sleep(ctx, testCase.answersAfter(address))
					return catalog.Update{Revision: 20}, err
				})
				require.NoError(t, err)
				require.Equal(t, catalog.Revision(20), update.Revision)
				require.LessOrEqual(t, time.Since(start), testCase.within.Duration())
				synctest.Wait()
			})
		})
	}
}
