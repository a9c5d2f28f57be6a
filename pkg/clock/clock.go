// Package clock provides the time types that jaywheel uses: milliseconds on a monotonic clock.
//
// Wall clocks of different instances disagree and jump, so no decision depends on them. A Moment is only compared with
// another Moment of the same process.
//
// # Usage
//
//	c := clock.New()
//	start := c.Now()
//	...
//	spent := c.Now().Since(start)     // Milliseconds
//
// Tests of code that does not wait use NewManual, whose time changes only by Advance. Tests of code that waits run inside
// a testing/synctest bubble, where New uses the bubble's time.
package clock

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Milliseconds is a duration in milliseconds, which may be a fraction: 0.15 is 150 microseconds.
type Milliseconds float64

// Common durations.
const (
	Millisecond Milliseconds = 1
	Second      Milliseconds = 1000
	Minute      Milliseconds = 60 * Second
)

// ErrNegative is returned for a negative duration.
var ErrNegative = errors.New("a duration must not be negative")

// Of converts a standard duration to milliseconds.
func Of(duration time.Duration) Milliseconds {
	return Milliseconds(float64(duration) / float64(time.Millisecond))
}

// maxDuration is the longest standard duration that Duration returns: a hundred years, so that sums of two do not overflow.
const maxDuration = 100 * 365 * 24 * time.Hour

// Duration converts to a standard duration, truncated to whole nanoseconds and limited to a hundred years in either direction. NaN becomes 0.
// Go leaves it to the machine what the conversion of a number out of range results in: on x86-64 the longest negative duration.
func (milliseconds Milliseconds) Duration() time.Duration {
	nanoseconds := float64(milliseconds) * float64(time.Millisecond)
	switch {
	case nanoseconds >= float64(maxDuration):
		return maxDuration
	case nanoseconds <= -float64(maxDuration):
		return -maxDuration
	case math.IsNaN(nanoseconds):
		return 0
	default:
		return time.Duration(nanoseconds)
	}
}

// String formats the duration as in settings, for example "0.5ms", "250ms" or "1m30s". It uses no unit below the
// millisecond, because settings don't accept one.
func (milliseconds Milliseconds) String() string {
	if milliseconds < Second {
		return strconv.FormatFloat(float64(milliseconds), 'f', -1, 64) + "ms"
	}
	return milliseconds.Duration().Round(time.Millisecond).String()
}

// MarshalText implements encoding.TextMarshaler.
func (milliseconds Milliseconds) MarshalText() ([]byte, error) {
	return []byte(milliseconds.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a number with its unit, such as "250ms"; a number without
// a unit is rejected, because its unit would be ambiguous. For a negative duration the error is ErrNegative.
func (milliseconds *Milliseconds) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "duration %s", strconv.Quote(string(text)))
	}
	if duration < 0 {
		return errors.Wrapf(ErrNegative, "duration %s", strconv.Quote(string(text)))
	}
	*milliseconds = Of(duration)
	return nil
}

// UnmarshalFlag parses the duration in a command-line flag in the same way as UnmarshalText.
func (milliseconds *Milliseconds) UnmarshalFlag(value string) error {
	return milliseconds.UnmarshalText([]byte(value))
}

// Moment is a point in time on the monotonic clock of one process, in milliseconds since the clock's origin.
type Moment float64

// Add returns the moment plus the given duration.
func (moment Moment) Add(length Milliseconds) Moment {
	return moment + Moment(length)
}

// Since returns the time from earlier to moment. It is negative if earlier is after moment.
func (moment Moment) Since(earlier Moment) Milliseconds {
	return Milliseconds(moment - earlier)
}

// Clock is a source of the current time. Now is a field so that tests can replace it.
type Clock struct {
	Now func() Moment
}

// New returns a clock that starts at 0 and uses the monotonic time of the process.
func New() *Clock {
	origin := time.Now()
	return &Clock{Now: func() Moment { return Moment(Of(time.Since(origin))) }}
}

// NewBootTime returns a clock that counts from the start of the machine and, unlike that of New, includes the time for
// which the machine is suspended. Its source is CLOCK_BOOTTIME.
func NewBootTime() *Clock {
	return &Clock{Now: func() Moment {
		var since unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
			// All kernels since 2.6.39 have this clock.
			panic(err)
		}
		return Moment(Of(time.Duration(since.Nano())))
	}}
}

// Manual is a clock for tests whose time changes only by Advance. It is not safe for concurrent use.
type Manual struct {
	Clock
	now Moment
}

// NewManual returns a clock at time 0.
func NewManual() *Manual {
	manual := &Manual{}
	manual.Now = func() Moment { return manual.now }
	return manual
}

// Advance moves the clock forward by the given duration.
func (manual *Manual) Advance(length Milliseconds) {
	manual.now = manual.now.Add(length)
}
