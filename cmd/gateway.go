package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/jaywheel/jaywheel/internal/gateway"
	"github.com/jaywheel/jaywheel/internal/hangup"
	"github.com/jaywheel/jaywheel/pkg/settings"
	"github.com/jaywheel/jaywheel/platform"
)

const gatewayLong = `Runs one instance on the users' platform until it is told to leave: it finds the other instances by the
seeds of its settings, and reads routes and backend servers from the platform's store. SIGTERM or SIGINT makes it leave without
cutting off a request; SIGINT after that ends it at once, with 4. Its settings are read anew on SIGHUP and whenever the file
changes. Log lines are JSON on standard output.`

// Running a gateway.
const (
	// logBufferLines is the number of log lines that may wait to be written; more are dropped and counted, so that a slow
	// reader of the log never holds up a request.
	logBufferLines = 2048
	// logFlushInterval is how often waiting lines are written.
	logFlushInterval = 20 * time.Millisecond
	// filePollInterval is how often the settings file is looked at: it may change without a signal, and file events are
	// not to be had on the platform.
	filePollInterval = 500 * time.Millisecond
	// gcPercent is the growth of the heap between two collections, in percent: memory costs more here than the processor
	// time that fewer collections would save.
	gcPercent = 100
)

type gatewayCommand struct {
	Settings string `long:"settings" value-name:"FILE" env:"JAYWHEEL_SETTINGS" required:"yes" description:"The instance's own settings"`
	streams  streams
}

// Execute implements flags.Commander.
func (gatewayCommand *gatewayCommand) Execute([]string) error {
	file, err := settings.LoadGateway(gatewayCommand.Settings)
	if err != nil {
		return withInvalidCode(err)
	}
	level, err := zerolog.ParseLevel(file.LogLevel)
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	debug.SetGCPercent(gcPercent)
	var droppedLines int
	writer := diode.NewWriter(gatewayCommand.streams.out, logBufferLines, logFlushInterval, func(count int) { droppedLines += count })
	defer func() {
		// What was still to be written is on its way out; nobody is left to be told of a failure.
		_ = writer.Close()
	}()
	log := zerolog.New(writer).Level(level).With().Timestamp().Str("instance", string(file.Instance)).Logger()
	store := platform.NewStore(file.StoreAddress)
	started, err := gateway.New(gateway.Options{
		Settings: file, Log: log,
		Platform: gateway.Platform{
			Source: store.Source(), SetStore: store.SetAddress, Dialect: platform.NewDialect(), ReadProbe: platform.ReadProbe,
			Directory: platform.NewDirectory, Readiness: platform.NewReadiness,
		},
	})
	if err != nil {
		return err
	}
	for _, warning := range file.Warnings {
		log.Warn().Str("field", warning.Path).Str("problem", warning.Reason).Msg("settings not understood in part")
	}
	log.Info().Str("callers", file.CallerAddress).Str("dataCentre", string(file.DataCentre)).Msg("started")
	defer func() { log.Info().Int("linesDropped", droppedLines).Msg("stopped") }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go gatewayCommand.watchFile(ctx, started, log)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return lifecycle{serve: started.Serve, drain: started.Leave, forcesExit: isInterrupt, bounded: true}.run(signals, 0)
}

// isInterrupt reports whether a person has asked for the end. The platform may repeat SIGTERM while an instance leaves, as when two
// restarts overlap; it kills what takes too long by itself. Ending at once would cut off requests that have seconds left.
func isInterrupt(signal os.Signal) bool {
	return signal == syscall.SIGINT
}

// watchFile reads the settings anew when they have changed. A file that can't be right changes nothing.
func (gatewayCommand *gatewayCommand) watchFile(ctx context.Context, started *gateway.Gateway, log zerolog.Logger) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	before := statFile(gatewayCommand.Settings)
	for {
		why := "the file has changed"
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
			why = "signal"
		case <-ticker.C:
			if statFile(gatewayCommand.Settings) == before {
				continue
			}
		}
		before = statFile(gatewayCommand.Settings)
		file, err := settings.LoadGateway(gatewayCommand.Settings)
		if err == nil {
			err = started.Reload(ctx, file)
		}
		if err != nil {
			log.Error().Str("problem", err.Error()).Str("why", why).Msg("settings refused, the last good ones stay")
			continue
		}
		log.Info().Str("why", why).Msg("settings read anew")
	}
}

// fileState tells one state of a file from another.
type fileState struct {
	at   time.Time
	size int64
}

func statFile(path string) fileState {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) || info == nil {
		return fileState{}
	}
	return fileState{at: info.ModTime(), size: info.Size()}
}
