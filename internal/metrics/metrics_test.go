package metrics

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against a configuration with hundreds of routes that makes an instance exceed its memory.
func TestUnusedClassesTakeLittleMemory(t *testing.T) {
	registry := NewRegistry()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for number := range 1400 {
		registry.Class(ClassKey{Class: settings.ClassName(fmt.Sprintf("route-%d", number))})
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4<<20))
	class := registry.Class(ClassKey{Class: "route-7"})
	require.Zero(t, class.Duration.Quantiles())
	class.Duration.Record(12)
	require.EqualValues(t, 1, class.Duration.Quantiles().Count)
	require.InDelta(t, 12, class.Duration.Quantiles().P50, 0.2)
}
