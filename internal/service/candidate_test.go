package service

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Guards against instances on standby that run out of memory in a fleet with thousands of servers: they keep a record of each, and get
// no readings of any.
func TestTargetWithoutReadingsNeedsLittleMemory(t *testing.T) {
	const targets, maxBytes = 6000, 1200
	configs := make([]TargetConfig, 0, targets)
	for number := range targets {
		configs = append(configs, TargetConfig{Name: settings.TargetName(fmt.Sprintf("target-%d", number)), Address: "10.0.0.1:80", Slots: 6, Usable: true})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	scheduler := NewScheduler(SchedulerOptions{Clock: clock.New(), Rand: rand.New(rand.NewPCG(1, 1))})
	scheduler.SetTargets(configs)
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d bytes a target", bytes/targets)
	require.Less(t, bytes/targets, int64(maxBytes))
	runtime.KeepAlive(scheduler)
	runtime.KeepAlive(configs)
}
