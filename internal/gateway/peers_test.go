package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against an instance that encodes the whole list again for each instance that starts: followers request changes in between, and
// hundreds of instances may start at once.
func TestUpdatesAreEncodedOnce(t *testing.T) {
	configuration := &catalog.Configuration{Version: 1}
	update := func(revision, since catalog.Revision, slots int) *catalog.Update {
		servers := []catalog.Server{{Name: "one", Slots: slots}}
		return &catalog.Update{Revision: revision, Since: since, Configuration: configuration, Servers: servers, Digest: catalog.NewServerList(servers...).Digest()}
	}
	var cache updateCache
	encode := func(update *catalog.Update) *byte {
		encoded, err := cache.encode(update)
		require.NoError(t, err)
		return &encoded[0]
	}
	whole, changes := encode(update(9, 0, 1)), encode(update(9, 7, 1))
	require.Same(t, whole, encode(update(9, 0, 1)))
	require.Same(t, changes, encode(update(9, 7, 1)))
	require.NotSame(t, whole, changes)
	require.NotSame(t, whole, encode(update(9, 0, 2)), "a server that is no longer retained changes the list without a new revision")
	require.NotSame(t, whole, encode(update(10, 0, 1)))
	require.Len(t, cache.encoded, 1, "updates to earlier states are dropped")
	retaining := update(10, 0, 1)
	retaining.RetainedFor = 700 * clock.Millisecond
	first, second := encode(retaining), encode(retaining)
	require.NotSame(t, first, second, "the time until a server is dropped passes")
}
