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

	"github.com/jaywheel/jaywheel/internal/gateway"
	"github.com/jaywheel/jaywheel/internal/hangup"
	"github.com/jaywheel/jaywheel/internal/logoutput"
	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
	"github.com/jaywheel/jaywheel/platform"
)

const gatewayLong = `Runs one instance on the users' platform until it receives a signal. It finds the other instances by the seeds
in its settings, and reads routes and backend servers from the platform's store. An address that is in use or not
available yet is waited for. SIGTERM or SIGINT makes it drain without interrupting a request; a SIGINT after that ends
it immediately, with 4. Its settings are reloaded on SIGHUP and whenever the file changes. Log lines are JSON on
standard output.`

// Parameters of the gateway command.
const (
	// filePollInterval is the interval at which the settings file is checked for changes. The file may change without a
	// signal, and file events are not available on the platform.
	filePollInterval = 500 * time.Millisecond
	// settingsTimeout is how long a settings file that is missing or incomplete is waited for at the start, and settingsRetryInterval the
	// interval at which it is read. A file is written in a few milliseconds; one that stays incomplete must be reported.
	settingsTimeout       = 3 * clock.Second
	settingsRetryInterval = 50 * clock.Millisecond
	// addressRetryInterval is the interval at which binding an address that is in use is tried again.
	addressRetryInterval = 100 * clock.Millisecond
	// gcPercent is the growth of the heap between two garbage collections, in percent. It is not higher because memory
	// costs more here than the processor time that fewer collections would save.
	gcPercent = 100
	// runtimeMemoryShare is the part of the process's memory above which garbage is collected at once. The rest is for the program's text and
	// for what the runtime does not count.
	runtimeMemoryShare = 0.75
)

type gatewayCommand struct {
	Settings string `long:"settings" value-name:"FILE" env:"JAYWHEEL_SETTINGS" required:"yes" description:"The instance's own settings"`
	streams  streams
}

// Execute implements flags.Commander.
func (gatewayCommand *gatewayCommand) Execute([]string) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	registry := metrics.NewRegistry()
	output := logoutput.New(gatewayCommand.streams.out, &registry.Events)
	defer output.Close()
	gatewayRun := &gatewayRun{path: gatewayCommand.Settings, registry: registry, output: output, signals: signals}
	if loaded, err := gatewayRun.awaitSettings(gatewayRun.load); err != nil || !loaded {
		return withInvalidCode(err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(gatewayRun.file.MaxMemory)))
	return gatewayRun.run()
}

// gatewayRun is one run of the gateway command.
type gatewayRun struct {
	path     string
	registry *metrics.Registry
	output   *logoutput.Output
	signals  <-chan os.Signal
	// read is the version of the settings file that was read last.
	read fileState
	file *settings.Gateway
	log  zerolog.Logger
}

// awaitSettings loads the settings. It tries again while the file is missing or not a complete document, because the platform may still be
// writing it, until settingsTimeout. It returns false if a signal to end the process arrives first.
func (gatewayRun *gatewayRun) awaitSettings(load func() error) (bool, error) {
	ticker := time.NewTicker(settingsRetryInterval.Duration())
	defer ticker.Stop()
	timeout := time.NewTimer(settingsTimeout.Duration())
	defer timeout.Stop()
	for logged := false; ; logged = true {
		err := load()
		if !settings.IsErrUnfinished(err) {
			return err == nil, err
		}
		if !logged {
			log := zerolog.New(gatewayRun.output).With().Timestamp().Logger()
			log.Warn().Str("problem", err.Error()).Msg("waiting for the settings file")
		}
		select {
		case <-gatewayRun.signals:
			return false, nil
		case <-timeout.C:
			return false, err
		case <-ticker.C:
		}
	}
}

// load reads the settings file.
func (gatewayRun *gatewayRun) load() error {
	// A change during the read is noticed as one after it.
	gatewayRun.read = statFile(gatewayRun.path)
	file, err := settings.LoadGateway(gatewayRun.path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(file.LogLevel)
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	gatewayRun.file = file
	gatewayRun.log = zerolog.New(gatewayRun.output).Level(level).With().Timestamp().Str("instance", string(file.Instance)).Logger()
	for _, warning := range file.Warnings {
		gatewayRun.log.Warn().Str("field", warning.Path).Str("problem", warning.Reason).Msg("field of the settings not understood")
	}
	if limitDescriptors(file) {
		gatewayRun.log.Warn().Int("descriptors", file.MaxDescriptors).Msg("fewer file descriptors than configured, accepting fewer connections")
	}
	return nil
}

// run serves until a signal arrives.
func (gatewayRun *gatewayRun) run() error {
	defer func() {
		dropped := metrics.EventCount(&gatewayRun.registry.Events, logoutput.EventLineDropped)
		gatewayRun.log.Info().Int64("linesDropped", dropped).Msg("stopped")
	}()
	instance, err := gatewayRun.awaitInstance()
	if err != nil || instance == nil {
		return err
	}
	gatewayRun.log.Info().Str("callers", gatewayRun.file.CallerAddress).Str("dataCentre", string(gatewayRun.file.DataCentre)).Msg("started")
	logoutput.CountLibraryLines(&gatewayRun.registry.Events, gatewayRun.log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchFile(ctx, gatewayRun.path, gatewayRun.read, instance, gatewayRun.log)
	return lifecycle{serve: instance.Serve, drain: instance.Leave, forcesExit: isInterrupt, bounded: true}.run(gatewayRun.signals, 0)
}

// awaitInstance creates the instance as soon as all its addresses can be bound. It waits for as long as that takes: the process that has
// an address may be a predecessor that drains, and a process that ended instead would be started again and find the same. Changed
// settings apply meanwhile. It returns nil if a signal to end the process arrives first.
func (gatewayRun *gatewayRun) awaitInstance() (*gateway.Gateway, error) {
	ticker := time.NewTicker(addressRetryInterval.Duration())
	defer ticker.Stop()
	problem := ""
	for {
		instance, err := gatewayRun.newInstance()
		if err == nil && problem != "" {
			gatewayRun.log.Info().Msg("all addresses are bound")
		}
		if !gateway.IsErrAddressUnavailable(err) {
			return instance, err
		}
		if err.Error() != problem {
			problem = err.Error()
			gatewayRun.log.Warn().Str("problem", problem).Msg("waiting for an address that can't be bound yet")
		}
		select {
		case <-gatewayRun.signals:
			return nil, nil
		case <-hangup.Signals():
			gatewayRun.reloadWhileWaiting()
		case <-ticker.C:
			if statFile(gatewayRun.path) != gatewayRun.read {
				gatewayRun.reloadWhileWaiting()
			}
		}
	}
}

func (gatewayRun *gatewayRun) reloadWhileWaiting() {
	if err := gatewayRun.load(); err != nil {
		gatewayRun.log.Error().Str("problem", err.Error()).Msg("settings rejected, keeping the previous settings")
	}
}

// newInstance binds the addresses and creates the instance. IsErrAddressUnavailable of package gateway reports whether to try again.
func (gatewayRun *gatewayRun) newInstance() (*gateway.Gateway, error) {
	if err := gateway.CheckAddresses(gatewayRun.file); err != nil {
		return nil, err
	}
	store := platform.NewStore(gatewayRun.file.StoreAddress)
	return gateway.New(gateway.Options{
		Settings: gatewayRun.file, Log: gatewayRun.log, Registry: gatewayRun.registry,
		Platform: gateway.Platform{
			Source: store.Source(), SetStoreAddress: store.SetAddress, Dialect: platform.NewDialect(), ReadProbe: platform.ParseProbeResponse,
			Directory: platform.NewDirectory, Readiness: platform.NewReadiness,
		},
	})
}

// isInterrupt reports whether the signal is SIGINT, which a person sends from a terminal. The platform may repeat SIGTERM while
// an instance drains, for example when two restarts overlap, and it kills instances that take too long. Ending immediately on a
// repeated SIGTERM would interrupt requests that have seconds left.
func isInterrupt(signal os.Signal) bool {
	return signal == syscall.SIGINT
}

// watchFile reloads the settings on SIGHUP and when the file has changed. If they are invalid or can't be applied, it logs that and
// the previous settings stay in force. before is the version of the file that has been read.
func watchFile(ctx context.Context, path string, before fileState, instance *gateway.Gateway, log zerolog.Logger) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		why := "the file has changed"
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
			why = "signal"
		case <-ticker.C:
			if statFile(path) == before {
				continue
			}
		}
		before = statFile(path)
		var err error
		if panicError := instance.Guard().Run("settings", func() { err = reload(ctx, path, instance) }); panicError != nil {
			err = panicError
		}
		if err != nil {
			log.Error().Str("problem", err.Error()).Str("why", why).Msg("settings rejected, keeping the previous settings")
			continue
		}
		log.Info().Str("why", why).Msg("settings read anew")
	}
}

func reload(ctx context.Context, path string, instance *gateway.Gateway) error {
	file, err := settings.LoadGateway(path)
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
