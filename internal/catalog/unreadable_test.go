package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Guards against a watch whose response is too long or cannot be decoded, and that is repeated for ever: no later change would be followed.
func TestChangesThatCannotBeReadAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.reader.SetRole(RoleLeader)
		time.Sleep(5 * time.Second)
		require.Equal(t, Version(7), fixture.last().Configuration.Version)
		fixture.source.setUnreadable(true)
		for version := Version(8); version < 12; version++ {
			reads := fixture.source.readCount()
			fixture.source.set(configurationItem(version))
			time.Sleep(time.Second)
			require.Equal(t, version, fixture.last().Configuration.Version)
			require.LessOrEqual(t, fixture.source.readCount()-reads, int(clock.Second/initialBackoff))
		}
		// Without further changes, nothing is read again.
		reads := fixture.source.readCount()
		time.Sleep(10 * time.Second)
		require.Equal(t, reads, fixture.source.readCount())
	})
}
