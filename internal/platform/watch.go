package platform

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Names of the event counters of watchers.
const (
	EventReads    = "platform.reads"
	EventFailures = "platform.failures"
)

// The backoff after failed reads starts at initialBackoff and doubles up to maxBackoff, so that not all instances read at
// once from a platform that recovers.
const (
	initialBackoff = 100 * clock.Millisecond
	maxBackoff     = 5 * clock.Second
)

// minWatchInterval is the pause between two successful watches. Without it, a platform that responds to watches immediately,
// without a change, would be polled as fast as it responds.
const minWatchInterval = 20 * clock.Millisecond

// WatchOptions configures a watcher.
type WatchOptions struct {
	Client *Client
	Events *expvar.Map
	Log    zerolog.Logger
	// Jitter returns a random number from 0 to 1. It places each pause between a half and the whole of the backoff.
	Jitter func() float64
}

// pacer pauses between reads and logs the changes between success and failure.
type pacer struct {
	options  WatchOptions
	source   string
	failures int
}

// pause counts and logs the result of a read and waits until the next one is due. It returns the context's error.
func (pacer *pacer) pause(ctx context.Context, err error) error {
	pacer.options.Events.Add(EventReads, 1)
	wait := minWatchInterval
	if err != nil {
		pacer.options.Events.Add(EventFailures, 1)
		if pacer.failures == 0 && ctx.Err() == nil {
			pacer.options.Log.Warn().Err(err).Str("what", pacer.source).Msg("platform read failed, keeping what was read before")
		}
		wait = min(initialBackoff*clock.Milliseconds(int(1)<<min(pacer.failures, 10)), maxBackoff)
		wait = wait/2 + wait/2*clock.Milliseconds(pacer.options.Jitter())
		pacer.failures++
	} else if pacer.failures > 0 {
		pacer.options.Log.Info().Str("what", pacer.source).Int("failures", pacer.failures).Msg("platform read succeeded again")
		pacer.failures = 0
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait.Duration()):
		return nil
	}
}

// ConfigurationWatcher reads each document of the configuration service when it changes.
type ConfigurationWatcher struct {
	pacer     pacer
	deliver   func(ctx context.Context, key string, text []byte) error
	index     Index
	delivered map[string]Index
}

// NewConfigurationWatcher returns a watcher that calls deliver for each new or changed document. A document for which
// deliver returns an error is read and delivered again.
func NewConfigurationWatcher(options WatchOptions, deliver func(ctx context.Context, key string, text []byte) error) *ConfigurationWatcher {
	return &ConfigurationWatcher{
		pacer:     pacer{options: options, source: "configuration"},
		deliver:   deliver,
		delivered: map[string]Index{},
	}
}

// Serve watches until the context is cancelled and returns the context's error.
func (configurationWatcher *ConfigurationWatcher) Serve(ctx context.Context) error {
	for {
		if err := configurationWatcher.pacer.pause(ctx, configurationWatcher.poll(ctx)); err != nil {
			return err
		}
	}
}

// poll waits for a change and delivers the changed documents. Documents that could not be read or delivered are retried in
// the next poll.
func (configurationWatcher *ConfigurationWatcher) poll(ctx context.Context) error {
	keys, err := configurationWatcher.pacer.options.Client.WatchKeys(ctx, configurationWatcher.index)
	if err != nil {
		return err
	}
	for _, key := range slices.SortedFunc(maps.Keys(keys.Keys), siteFirst) {
		if configurationWatcher.delivered[key] == keys.Keys[key] {
			continue
		}
		text, err := configurationWatcher.pacer.options.Client.Value(ctx, key)
		if err != nil {
			return err
		}
		configurationWatcher.pacer.options.Events.Add(EventReads, 1)
		if err := configurationWatcher.deliver(ctx, key, text); err != nil {
			return err
		}
		configurationWatcher.delivered[key] = keys.Keys[key]
	}
	configurationWatcher.index = keys.Index
	return nil
}

// siteFirst compares keys so that the site's document sorts before the documents that depend on it.
func siteFirst(left, right string) int {
	switch {
	case left == right:
		return 0
	case left == settings.SiteKey:
		return -1
	case right == settings.SiteKey:
		return 1
	default:
		return strings.Compare(left, right)
	}
}

// InstanceListWatcher reads the list of instances when it changes.
type InstanceListWatcher struct {
	pacer   pacer
	deliver func(ctx context.Context, list InstanceList) error
	index   Index
}

// NewInstanceListWatcher returns a watcher that calls deliver for each changed list. A list for which deliver returns an
// error is read and delivered again.
func NewInstanceListWatcher(options WatchOptions, deliver func(ctx context.Context, list InstanceList) error) *InstanceListWatcher {
	return &InstanceListWatcher{pacer: pacer{options: options, source: "list of instances"}, deliver: deliver}
}

// Serve watches until the context is cancelled and returns the context's error.
func (instanceListWatcher *InstanceListWatcher) Serve(ctx context.Context) error {
	for {
		if err := instanceListWatcher.pacer.pause(ctx, instanceListWatcher.poll(ctx)); err != nil {
			return err
		}
	}
}

func (instanceListWatcher *InstanceListWatcher) poll(ctx context.Context) error {
	list, err := instanceListWatcher.pacer.options.Client.WatchInstances(ctx, instanceListWatcher.index)
	if err != nil {
		return err
	}
	if list.Index == instanceListWatcher.index {
		return nil
	}
	if err := instanceListWatcher.deliver(ctx, list); err != nil {
		return err
	}
	instanceListWatcher.index = list.Index
	return nil
}
