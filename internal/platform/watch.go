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

// Events that watchers count.
const (
	EventReads    = "platform.reads"
	EventFailures = "platform.failures"
)

// Waits between reads that fail: doubled from the first to the last, so that a platform which comes back is not met by
// everyone at once.
const (
	firstBackoff = 100 * clock.Millisecond
	lastBackoff  = 5 * clock.Second
)

// leastBetween is the time between two watches that succeed. A platform that answers watches at once, without a change,
// would otherwise be asked as fast as it can answer.
const leastBetween = 20 * clock.Millisecond

// WatchOptions are what a watcher is made from.
type WatchOptions struct {
	Client *Client
	Events *expvar.Map
	Log    zerolog.Logger
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
}

// pacer spaces reads and tells of changes between success and failure.
type pacer struct {
	options  WatchOptions
	what     string
	failures int
}

// after notes how a read went and waits before the next one. The error is the context's.
func (pacer *pacer) after(ctx context.Context, err error) error {
	pacer.options.Events.Add(EventReads, 1)
	wait := leastBetween
	if err != nil {
		pacer.options.Events.Add(EventFailures, 1)
		if pacer.failures == 0 && ctx.Err() == nil {
			pacer.options.Log.Warn().Err(err).Str("what", pacer.what).Msg("platform does not answer, what was read before stays")
		}
		wait = min(firstBackoff*clock.Milliseconds(int(1)<<min(pacer.failures, 10)), lastBackoff)
		wait = wait/2 + wait/2*clock.Milliseconds(pacer.options.Jitter())
		pacer.failures++
	} else if pacer.failures > 0 {
		pacer.options.Log.Info().Str("what", pacer.what).Int("failures", pacer.failures).Msg("platform answers again")
		pacer.failures = 0
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait.Duration()):
		return nil
	}
}

// ConfigurationWatcher reads every document when it changes.
type ConfigurationWatcher struct {
	pacer   pacer
	deliver func(ctx context.Context, key string, text []byte) error
	index   Index
	seen    map[string]Index
}

// NewConfigurationWatcher returns a watcher that gives each new document to deliver.
func NewConfigurationWatcher(options WatchOptions, deliver func(ctx context.Context, key string, text []byte) error) *ConfigurationWatcher {
	return &ConfigurationWatcher{
		pacer:   pacer{options: options, what: "configuration"},
		deliver: deliver,
		seen:    map[string]Index{},
	}
}

// Serve watches until the context ends.
func (watcher *ConfigurationWatcher) Serve(ctx context.Context) error {
	for {
		if err := watcher.pacer.after(ctx, watcher.round(ctx)); err != nil {
			return err
		}
	}
}

// round waits for a change and reads what changed. What could not be read is tried again in the next round.
func (watcher *ConfigurationWatcher) round(ctx context.Context) error {
	keys, err := watcher.pacer.options.Client.WatchKeys(ctx, watcher.index)
	if err != nil {
		return err
	}
	for _, key := range slices.SortedFunc(maps.Keys(keys.Keys), siteFirst) {
		if watcher.seen[key] == keys.Keys[key] {
			continue
		}
		text, err := watcher.pacer.options.Client.Value(ctx, key)
		if err != nil {
			return err
		}
		watcher.pacer.options.Events.Add(EventReads, 1)
		if err := watcher.deliver(ctx, key, text); err != nil {
			return err
		}
		watcher.seen[key] = keys.Keys[key]
	}
	watcher.index = keys.Index
	return nil
}

// siteFirst orders keys so that the site's document comes before those that rest on it.
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

// NewInstanceListWatcher returns a watcher that gives each new list to deliver.
func NewInstanceListWatcher(options WatchOptions, deliver func(ctx context.Context, list InstanceList) error) *InstanceListWatcher {
	return &InstanceListWatcher{pacer: pacer{options: options, what: "list of instances"}, deliver: deliver}
}

// Serve watches until the context ends.
func (watcher *InstanceListWatcher) Serve(ctx context.Context) error {
	for {
		if err := watcher.pacer.after(ctx, watcher.round(ctx)); err != nil {
			return err
		}
	}
}

func (watcher *InstanceListWatcher) round(ctx context.Context) error {
	list, err := watcher.pacer.options.Client.WatchInstances(ctx, watcher.index)
	if err != nil {
		return err
	}
	if list.Index == watcher.index {
		return nil
	}
	if err := watcher.deliver(ctx, list); err != nil {
		return err
	}
	watcher.index = list.Index
	return nil
}
