// Package hangup receives SIGHUP from the start of the process, for the commands that reload their settings on it.
//
// SIGHUP ends a process that has not yet registered for it. A signal to reload settings could thus kill an instance that is
// starting: on a small share of a core, initialising the libraries alone takes about 50 ms before main begins. This package
// depends on nothing that is slow to initialise, so that it is initialised before the libraries.
//
// # Usage
//
//	for range hangup.Signals() { ... reload the settings ... }
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// reloadingCommands are the commands that reload their settings on SIGHUP. All others end on it, as usual for programs whose
// terminal is closed.
var reloadingCommands = []string{"gateway"}

var signals = listen()

func listen() chan os.Signal {
	signals := make(chan os.Signal, 1)
	if len(os.Args) > 1 && slices.Contains(reloadingCommands, os.Args[1]) {
		signal.Notify(signals, syscall.SIGHUP)
	}
	return signals
}

// Signals returns the channel on which SIGHUP is delivered. Signals that arrive before the channel is read are merged into
// one.
func Signals() <-chan os.Signal {
	return signals
}
