package cmd

import (
	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/internal/emulate"
)

const emulateLong = `Plays an experiment in virtual time against the schedulers that place requests: backend servers that slow down in spells,
callers that come back, instances that know each other's requests by readings only. Every variant gets the same seeds. A table of how
requests ended goes to standard output; with --out, latencies are written as text, JSON and a plot as well.`

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
