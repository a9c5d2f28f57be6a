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

const gatewayLong = `Runs one instance on the users' platform until it receives a signal. It finds the other instances by the seeds
in its settings, and reads routes and backend servers from the platform's store. SIGTERM or SIGINT makes it drain without
interrupting a request; a SIGINT after that ends it immediately, with 4. Its settings are reloaded on SIGHUP and whenever the
file changes. Log lines are JSON on standard output.`

// Parameters of the gateway command.
const (
	// logBufferLines is the number of log lines that are buffered until they are written. Further lines are dropped and
	// counted, so that a slow reader of the log never blocks a request.
	logBufferLines = 2048
	// logFlushInterval is the interval at which buffered lines are written.
	logFlushInterval = 20 * time.Millisecond
	// filePollInterval is the interval at which the settings file is checked for changes. The file may change without a
	// signal, and file events are not available on the platform.
	filePollInterval = 500 * time.Millisecond
	// gcPercent is the growth of the heap between two garbage collections, in percent. It is not higher because memory
	// costs more here than the processor time that fewer collections would save.
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
		// Close writes the buffered lines. A failure can't be logged any more.
		_ = writer.Close()
	}()
	log := zerolog.New(writer).Level(level).With().Timestamp().Str("instance", string(file.Instance)).Logger()
	store := platform.NewStore(file.StoreAddress)
	instance, err := gateway.New(gateway.Options{
		Settings: file, Log: log,
		Platform: gateway.Platform{
			Source: store.Source(), SetStoreAddress: store.SetAddress, Dialect: platform.NewDialect(), ReadProbe: platform.ParseProbeResponse,
			Directory: platform.NewDirectory, Readiness: platform.NewReadiness,
		},
	})
	if err != nil {
		return err
	}
	for _, warning := range file.Warnings {
		log.Warn().Str("field", warning.Path).Str("problem", warning.Reason).Msg("field of the settings not understood")
	}
	log.Info().Str("callers", file.CallerAddress).Str("dataCentre", string(file.DataCentre)).Msg("started")
	defer func() { log.Info().Int("linesDropped", droppedLines).Msg("stopped") }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go gatewayCommand.watchFile(ctx, instance, log)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return lifecycle{serve: instance.Serve, drain: instance.Leave, forcesExit: isInterrupt, bounded: true}.run(signals, 0)
}

// isInterrupt reports whether the signal is SIGINT, which a person sends from a terminal. The platform may repeat SIGTERM while
// an instance drains, for example when two restarts overlap, and it kills instances that take too long. Ending immediately on a
// repeated SIGTERM would interrupt requests that have seconds left.
func isInterrupt(signal os.Signal) bool {
	return signal == syscall.SIGINT
}

// watchFile reloads the settings on SIGHUP and when the file has changed. If they are invalid or can't be applied, it logs that and
// the previous settings stay in force.
func (gatewayCommand *gatewayCommand) watchFile(ctx context.Context, instance *gateway.Gateway, log zerolog.Logger) {
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
		var err error
		if panicError := instance.Guard().Run("settings", func() { err = gatewayCommand.reload(ctx, instance) }); panicError != nil {
			err = panicError
		}
		if err != nil {
			log.Error().Str("problem", err.Error()).Str("why", why).Msg("settings rejected, keeping the previous settings")
			continue
		}
		log.Info().Str("why", why).Msg("settings read anew")
	}
}

func (gatewayCommand *gatewayCommand) reload(ctx context.Context, instance *gateway.Gateway) error {
	file, err := settings.LoadGateway(gatewayCommand.Settings)
	if err != nil {
		return err
	}
	return instance.Reload(ctx, file)
}

// fileState identifies a version of a file by its modification time and size.
type fileState struct {
	modified time.Time
	size     int64
}

func statFile(path string) fileState {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) || info == nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}
