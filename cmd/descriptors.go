package cmd

import (
	"golang.org/x/sys/unix"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// limitDescriptors reduces the number of file descriptors in the settings to the process's own limit, and reports whether it did. The
// limits of connections follow from that number: without descriptors left, an instance reads no request on a new connection and does not
// answer readiness checks. The runtime has raised the soft limit to the hard one before.
func limitDescriptors(file *settings.Gateway) bool {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= uint64(file.MaxDescriptors) {
		return false
	}
	file.MaxDescriptors = int(limit.Cur)
	return true
}
