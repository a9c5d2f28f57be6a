package logoutput

import "golang.org/x/sys/unix"

// UnblockStandardError opens standard error anew if it is a pipe, so that writes to a full one fail instead of blocking. The runtime
// stops all goroutines before it writes the report of a panic there, and a process whose report blocks neither serves nor ends. The
// descriptor that other processes share stays as it is. Nothing changes if the pipe can't be opened.
func UnblockStandardError() {
	var status unix.Stat_t
	if unix.Fstat(unix.Stderr, &status) != nil || status.Mode&unix.S_IFMT != unix.S_IFIFO {
		return
	}
	descriptor, err := unix.Open("/proc/self/fd/2", unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		return
	}
	_ = unix.Dup3(descriptor, unix.Stderr, 0)
	_ = unix.Close(descriptor)
}
