package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/entry"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const serveLong = `Runs one entry instance until it is told to leave. SIGTERM or SIGINT makes it leave without cutting off a
request: it goes out of address answers, serves until the answers that callers keep have lapsed, finishes what is under
way, and exits with 0. A second signal ends it at once, with 4. Log lines are JSON on standard error.`

type serveCommand struct {
	Settings     string             `long:"settings" value-name:"FILE" required:"yes" description:"The instance's own settings"`
	Overlay      string             `long:"overlay" value-name:"FILE" description:"Overlay for the instance's settings"`
	DrainTimeout clock.Milliseconds `long:"leave-most" value-name:"TIME" default:"10m" description:"Longest time for leaving, with its unit; the rest is cut off"`
	streams      streams
}

var errSecondSignal = errors.New("ended at once by a second signal")

// Execute implements flags.Commander.
func (serveCommand *serveCommand) Execute([]string) error {
	process, err := settings.LoadProcess(serveCommand.Settings, serveCommand.Overlay)
	if err != nil {
		return withInvalidCode(err)
	}
	level, err := zerolog.ParseLevel(process.LogLevel)
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	log := zerolog.New(serveCommand.streams.err).Level(level).With().Timestamp().Str("instance", string(process.Instance)).Logger()
	started, err := entry.New(entry.Options{Settings: process, Log: log})
	if err != nil {
		return err
	}
	log.Info().Str("callers", started.CallerAddress()).Str("operators", started.OperatorAddress()).Msg("started")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return serveUntilSignal(started, signals, serveCommand.DrainTimeout)
}

// lifecycle is the part of an instance that serveUntil needs.
type lifecycle struct {
	serve func(context.Context) error
	drain func(context.Context) error
	// forcesExit reports whether a second signal ends the process at once; nil stands for any.
	forcesExit func(os.Signal) bool
	// bounded says that leave ends in time by itself.
	bounded bool
}

func serveUntilSignal(started *entry.Entry, signals <-chan os.Signal, drainTimeout clock.Milliseconds) error {
	return lifecycle{serve: started.Serve, drain: started.Leave}.run(signals, drainTimeout)
}

// run serves until the first signal, leaves, and ends at once on the second.
func (leaver lifecycle) run(signals <-chan os.Signal, drainTimeout clock.Milliseconds) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- leaver.serve(ctx) }()
	select {
	case err := <-served:
		return err
	case <-signals:
	}
	drained := make(chan error, 1)
	drainCtx, cancelDrain := ctx, func() {}
	if !leaver.bounded {
		drainCtx, cancelDrain = context.WithTimeout(ctx, drainTimeout.Duration())
	}
	defer cancelDrain()
	go func() { drained <- leaver.drain(drainCtx) }()
	for {
		select {
		case err := <-drained:
			cancel()
			return errors.CombineErrors(err, <-served)
		case second := <-signals:
			if leaver.forcesExit == nil || leaver.forcesExit(second) {
				return withExitCode(ExitForced, errSecondSignal)
			}
		}
	}
}
