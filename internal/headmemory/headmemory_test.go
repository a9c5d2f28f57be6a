package headmemory

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against ordinary requests that are refused because others hold all memory for heads.
func TestShortHeadsAreNotCounted(t *testing.T) {
	budget := NewBudget(100 << 10)
	budget.Hold(100 << 10)
	share := budget.NewShare()
	require.True(t, share.ReserveHead(800, 20))
	require.False(t, share.ReserveHead(800, 40))
	require.False(t, budget.NewShare().ReserveRequest(800, 20))
	require.Equal(t, settings.Bytes(100<<10), budget.Used())
}

// Guards against memory that stays counted, or is counted twice, as a head grows, is refused, ends or is read on after its end.
func TestShareIsReturned(t *testing.T) {
	budget := NewBudget(100 << 10)
	share := budget.NewShare()
	for lines := range 250 {
		require.True(t, share.ReserveHead(4*lines, lines), lines)
		require.LessOrEqual(t, budget.Used(), settings.Bytes(costOf(4*lines, lines)))
	}
	require.True(t, budget.Scarce())
	other := budget.NewShare()
	require.False(t, other.ReserveHead(400, 100))
	share.Release()
	require.Zero(t, budget.Used())
	require.True(t, share.ReserveHead(400, 100))
	share.Close()
	require.Zero(t, budget.Used())
	require.False(t, share.ReserveHead(400, 100))
	require.True(t, other.ReserveRequest(400, 10))
	other.Close()
	other.Close()
	require.Zero(t, budget.Used())
}

// Guards against a budget without a limit that refuses heads.
func TestNoLimit(t *testing.T) {
	budget := NewBudget(0)
	require.True(t, budget.NewShare().ReserveHead(1<<20, 1<<16))
	require.False(t, budget.Scarce())
}
