// Package cmd is the command line: one file for each subcommand.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:]))
package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means that something went wrong that is not the command line's or a file's fault.
	ExitFailure = 1
	// ExitUsage means that the command line makes no sense.
	ExitUsage = 2
	// ExitInvalid means that settings or another input file were refused.
	ExitInvalid = 3
	// ExitForced means that a second signal ended the program at once, with requests under way.
	ExitForced = 4
)

// exitError ends the program with a code of its own.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (exitError *exitError) Error() string {
	return exitError.cause.Error()
}

// Unwrap returns the cause.
func (exitError *exitError) Unwrap() error {
	return exitError.cause
}

// withExitCode makes the program end with code.
func withExitCode(code int, cause error) error {
	if cause == nil {
		return nil
	}
	return &exitError{code: code, cause: cause}
}

// streams are where a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// command is a subcommand's registration.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func commands(streams streams) []command {
	return []command{
		{"serve", "Run one entry instance", serveLong, &serveCommand{streams: streams}},
		{"gateway", "Run one instance on the users' platform", gatewayLong, &gatewayCommand{streams: streams}},
		{"check", "Check settings and show what is in force", checkLong, &checkCommand{streams: streams}},
		{"render", "Write the documents to publish", renderLong, &renderCommand{streams: streams}},
		{"addresses", "Ask an instance which addresses callers should use", addressesLong, &addressesCommand{streams: streams}},
		{"status", "Show an instance's state", statusLong, &statusCommand{streams: streams}},
		{"explain", "Tell the story of one request", explainLong, &explainCommand{streams: streams}},
		{"try", "Run a whole site on embedded stand-ins", tryLong, &tryCommand{streams: streams}},
		{"load", "Send an open-loop load and measure it", loadLong, &loadCommand{streams: streams}},
		{"compare", "Compare policies under noisy neighbours", compareLong, &compareCommand{streams: streams}},
		{"fleet", "Show all instances on the users' platform", fleetLong, &fleetCommand{streams: streams}},
		{"emulate", "Play an experiment in virtual time", emulateLong, &emulateCommand{streams: streams}},
	}
}

const programLong = `jaywheel balances the requests of callers over backend servers whose load shifts in milliseconds.

Exit codes: 0 done; 1 failed; 2 wrong command line; 3 settings or input refused; 4 ended at once by a second signal.`

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	return run(arguments, streams{out: os.Stdout, err: os.Stderr})
}

func run(arguments []string, streams streams) int {
	parser := flags.NewNamedParser("jaywheel", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = programLong
	for _, entry := range commands(streams) {
		if _, err := parser.AddCommand(entry.name, entry.short, entry.long, entry.data); err != nil {
			fmt.Fprintln(streams.err, err)
			return ExitFailure
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err, streams)
}

func exitCode(err error, streams streams) int {
	var usageError *flags.Error
	var ownError *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageError) && usageError.Type == flags.ErrHelp:
		fmt.Fprintln(streams.out, usageError.Message)
		return ExitOK
	case errors.As(err, &usageError):
		fmt.Fprintln(streams.err, "jaywheel:", usageError.Message)
		return ExitUsage
	case errors.As(err, &ownError):
		fmt.Fprintln(streams.err, ownError.Error())
		return ownError.code
	default:
		fmt.Fprintln(streams.err, "jaywheel:", err)
		return ExitFailure
	}
}
