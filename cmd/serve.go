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
	Settings  string             `long:"settings" value-name:"FILE" required:"yes" description:"The instance's own settings"`
	Overlay   string             `long:"overlay" value-name:"FILE" description:"Overlay for the instance's settings"`
	LeaveMost clock.Milliseconds `long:"leave-most" value-name:"TIME" default:"10m" description:"Longest time for leaving, with its unit; the rest is cut off"`
	streams   streams
}

var errSecondSignal = errors.New("ended at once by a second signal")

// Execute implements flags.Commander.
func (serveCommand *serveCommand) Execute([]string) error {
	process, err := settings.LoadProcess(serveCommand.Settings, serveCommand.Overlay)
	if err != nil {
		return invalidCode(err)
	}
	level, err := zerolog.ParseLevel(process.LogLevel)
	if err != nil {
		return withCode(ExitInvalid, err)
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
	return serveUntil(started, signals, serveCommand.LeaveMost)
}

// leaver is the part of an instance that serveUntil needs.
type leaver struct {
	serve func(context.Context) error
	leave func(context.Context) error
	// forces reports whether a second signal ends the process at once; nil stands for any.
	forces func(os.Signal) bool
	// bounded says that leave ends in time by itself.
	bounded bool
}

func serveUntil(started *entry.Entry, signals <-chan os.Signal, leaveMost clock.Milliseconds) error {
	return leaver{serve: started.Serve, leave: started.Leave}.run(signals, leaveMost)
}

// run serves until the first signal, leaves, and ends at once on the second.
func (leaver leaver) run(signals <-chan os.Signal, leaveMost clock.Milliseconds) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- leaver.serve(ctx) }()
	select {
	case err := <-served:
		return err
	case <-signals:
	}
	left := make(chan error, 1)
	leaving, giveUp := ctx, func() {}
	if !leaver.bounded {
		leaving, giveUp = context.WithTimeout(ctx, leaveMost.Duration())
	}
	defer giveUp()
	go func() { left <- leaver.leave(leaving) }()
	for {
		select {
		case err := <-left:
			cancel()
			return errors.CombineErrors(err, <-served)
		case second := <-signals:
			if leaver.forces == nil || leaver.forces(second) {
				return withCode(ExitForced, errSecondSignal)
			}
		}
	}
}
