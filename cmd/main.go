// Package cmd implements the command line, with one file for each subcommand.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed for a reason other than an invalid command line or input file.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitInvalid means that the settings or another input file are invalid.
	ExitInvalid = 3
	// ExitForced means that a second signal ended the program immediately, with requests still in flight.
	ExitForced = 4
)

// exitError is an error with the exit code of the program.
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

// withExitCode returns an error that ends the program with code, or nil if cause is nil.
func withExitCode(code int, cause error) error {
	if cause == nil {
		return nil
	}
	return &exitError{code: code, cause: cause}
}

// streams holds the outputs to which a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// command is the definition of a subcommand.
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
		{"check", "Check settings and show the effective result", checkLong, &checkCommand{streams: streams}},
		{"render", "Write the documents to publish", renderLong, &renderCommand{streams: streams}},
		{"addresses", "List the addresses that callers of a service should use", addressesLong, &addressesCommand{streams: streams}},
		{"status", "Show an instance's state", statusLong, &statusCommand{streams: streams}},
		{"explain", "Show the trace of one request", explainLong, &explainCommand{streams: streams}},
		{"try", "Run complete sites with embedded fake backend servers", tryLong, &tryCommand{streams: streams}},
		{"load", "Send an open-loop load and measure latencies", loadLong, &loadCommand{streams: streams}},
		{"compare", "Compare policies under noisy neighbours", compareLong, &compareCommand{streams: streams}},
		{"fleet", "Show all instances on the users' platform", fleetLong, &fleetCommand{streams: streams}},
		{"emulate", "Run an experiment in virtual time", emulateLong, &emulateCommand{streams: streams}},
	}
}

const programLong = `jaywheel balances the requests of callers over backend servers whose load shifts in milliseconds.

Exit codes: 0 success; 1 failure; 2 invalid command line; 3 invalid settings or input; 4 ended immediately by a second signal.`

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	streams := streams{out: os.Stdout, err: os.Stderr}
	if isLongRunning(arguments) {
		streams = withoutBlocking(streams)
	}
	return run(arguments, streams)
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
