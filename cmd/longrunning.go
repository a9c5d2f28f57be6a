package cmd

import (
	"slices"

	"github.com/jaywheel/jaywheel/internal/logoutput"
)

// longRunningCommands are the commands that do not wait for the readers of their output.
var longRunningCommands = []string{"serve", "gateway"}

func isLongRunning(arguments []string) bool {
	return len(arguments) > 0 && slices.Contains(longRunningCommands, arguments[0])
}

// withoutBlocking returns the streams of a long-running command, which a stuck reader does not keep from serving or ending.
func withoutBlocking(original streams) streams {
	logoutput.UnblockStandardError()
	return streams{out: original.out, err: logoutput.NewBounded(original.err)}
}
