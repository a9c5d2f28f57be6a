package cmd

import (
	"os/signal"
	"slices"
	"syscall"

	"github.com/jaywheel/jaywheel/internal/logoutput"
)

// longRunningCommands are the commands that outlive the readers of their output. All others end on SIGPIPE, as usual in a pipeline.
var longRunningCommands = []string{"serve", "gateway"}

func isLongRunning(arguments []string) bool {
	return len(arguments) > 0 && slices.Contains(longRunningCommands, arguments[0])
}

// withoutBlocking returns the streams of a long-running command, which neither a lost nor a stuck reader ends or keeps from ending.
func withoutBlocking(original streams) streams {
	signal.Ignore(syscall.SIGPIPE)
	logoutput.UnblockStandardError()
	return streams{out: original.out, err: logoutput.NewBounded(original.err)}
}
