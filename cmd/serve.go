package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/internal/entry"
	"github.com/jaywheel/jaywheel/internal/logoutput"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

const serveLong = `Runs one entry instance until it receives a signal. SIGTERM or SIGINT makes it drain without interrupting a
request: it is removed from addresses responses, serves until the responses that callers have cached are expired, finishes
the requests in flight, and exits with 0. A second signal ends it immediately, with 4. Log lines are JSON on standard error.`

type serveCommand struct {
	Settings     string             `long:"settings" value-name:"FILE" required:"yes" description:"The instance's own settings"`
	Overlay      string             `long:"overlay" value-name:"FILE" description:"Overlay for the instance's settings"`
	DrainTimeout clock.Milliseconds `long:"leave-most" value-name:"TIME" default:"10m" description:"Longest time for draining, with unit; then requests are interrupted"`
	streams      streams
}

var errSecondSignal = errors.New("ended immediately by a second signal")

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
	registry := metrics.NewRegistry()
	output := logoutput.New(serveCommand.streams.err, &registry.Events)
	defer output.Close()
	log := zerolog.New(output).Level(level).With().Timestamp().Str("instance", string(process.Instance)).Logger()
	instance, err := entry.New(entry.Options{Settings: process, Log: log, Registry: registry})
	if err != nil {
		return err
	}
	log.Info().Str("callers", instance.CallerAddress()).Str("operators", instance.OperatorAddress()).Msg("started")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return serveUntilSignal(instance, signals, serveCommand.DrainTimeout)
}

// stopTimeout is how long the parts of an instance may take to end after the drain. All requests have been answered by then. A gateway has
// 0.3 s left when its connections are closed, and its log takes up to 0.1 s of them.
const stopTimeout = 150 * clock.Millisecond

// lifecycle holds the functions of an instance that run until it has drained.
type lifecycle struct {
	serve func(context.Context) error
	drain func(context.Context) error
	// forcesExit reports whether a second signal ends the process immediately; nil means that every signal does.
	forcesExit func(os.Signal) bool
	// bounded states that drain limits its own duration.
	bounded bool
}

func serveUntilSignal(instance *entry.Entry, signals <-chan os.Signal, drainTimeout clock.Milliseconds) error {
	return lifecycle{serve: instance.Serve, drain: instance.Leave}.run(signals, drainTimeout)
}

// run serves until the first signal, then drains. It returns immediately on a second signal that forces the exit.
func (lifecycle lifecycle) run(signals <-chan os.Signal, drainTimeout clock.Milliseconds) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- lifecycle.serve(ctx) }()
	select {
	case err := <-served:
		return err
	case <-signals:
	}
	drained := make(chan error, 1)
	drainCtx, cancelDrain := ctx, func() {}
	if !lifecycle.bounded {
		drainCtx, cancelDrain = context.WithTimeout(ctx, drainTimeout.Duration())
	}
	defer cancelDrain()
	go func() { drained <- lifecycle.drain(drainCtx) }()
	for {
		select {
		case err := <-drained:
			cancel()
			return errors.CombineErrors(err, awaitStop(served))
		case second := <-signals:
			if lifecycle.forcesExit == nil || lifecycle.forcesExit(second) {
				return withExitCode(ExitForced, errSecondSignal)
			}
		}
	}
}

// awaitStop returns the error of an instance that ends within stopTimeout, and nil otherwise: the end of the process ends what is left.
func awaitStop(served <-chan error) error {
	timer := time.NewTimer(stopTimeout.Duration())
	defer timer.Stop()
	select {
	case err := <-served:
		return err
	case <-timer.C:
		return nil
	}
}
