package gateway

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/pkg/clock"
)

// processorTime returns the processor time that this process has used, in user mode and in the kernel.
func processorTime() clock.Milliseconds {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return clock.Of(time.Duration(usage.Utime.Nano() + usage.Stime.Nano()))
}
