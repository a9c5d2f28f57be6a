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

// Guards against metrics of a route that start anew while the route stays in use, or when it is removed and added again.
func TestClassesInUseAreKept(t *testing.T) {
	registry := NewRegistry()
	keyOf := func(number int) ClassKey { return ClassKey{Class: settings.ClassName(fmt.Sprintf("route-%d", number))} }
	kept, back := registry.Class(keyOf(0)), registry.Class(keyOf(1))
	for number := 2; number < 10*maxRetired; number++ {
		registry.Class(keyOf(number))
		registry.SetInUse(map[ClassKey]bool{keyOf(0): true, keyOf(number): true})
		if number%maxRetired == 0 {
			require.Same(t, back, registry.Class(keyOf(1)))
			registry.SetInUse(map[ClassKey]bool{keyOf(0): true, keyOf(1): true})
		}
		count := len(registry.classes)
		require.LessOrEqual(t, count, maxRetired+2)
	}
	require.Same(t, kept, registry.Class(keyOf(0)))
}
