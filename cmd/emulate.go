package cmd

import (
	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/emulate"
)

const emulateLong = `Runs an experiment in virtual time against the schedulers that assign requests to backend servers. It models backend
servers with temporary slowdowns, callers that retry, and instances that know of each other's requests only from load readings.
All variants use the same seeds. Prints a table of the outcomes of requests; with --out, latencies are also written as text, JSON
and a plot.`

type emulateCommand struct {
	Out  string `long:"out" value-name:"DIRECTORY" description:"Also write report.txt, report.json and report.svg there"`
	Args struct {
		Experiment string `positional-arg-name:"FILE" description:"The experiment, JSON; see examples/statements.experiment.json"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// Execute implements flags.Commander.
func (emulateCommand *emulateCommand) Execute([]string) error {
	experiment, err := emulate.LoadExperiment(emulateCommand.Args.Experiment)
	if errors.Is(err, emulate.ErrExperiment) {
		return withExitCode(ExitInvalid, err)
	}
	if err != nil {
		return err
	}
	result := emulate.Run(experiment)
	if err := result.WriteText(emulateCommand.streams.out); err != nil {
		return err
	}
	if emulateCommand.Out == "" {
		return nil
	}
	return result.WriteFiles(emulateCommand.Out)
}
