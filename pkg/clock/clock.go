// Package clock has the one notion of time that jaywheel uses: milliseconds on a monotonic clock.
//
// Wall clocks of different instances disagree and jump, so no decision rests on them. A Moment is only ever compared
// with another Moment of the same process.
//
// # Usage
//
//	c := clock.New()
//	start := c.Now()
//	...
//	spent := c.Now().Since(start)     // Milliseconds
//
// Tests of pure code use NewManual, whose time moves only when told to. Tests of code that waits run inside a
// testing/synctest bubble, where New follows the bubble's time.
package clock

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Milliseconds is a length of time. Fractions are kept: 0.15 is 150 microseconds.
type Milliseconds float64

// Common lengths.
const (
	Millisecond Milliseconds = 1
	Second      Milliseconds = 1000
	Minute      Milliseconds = 60 * Second
)

// ErrNegative is returned for a length of time below zero.
var ErrNegative = errors.New("a length of time is never negative")

// Of converts a standard duration.
func Of(duration time.Duration) Milliseconds {
	return Milliseconds(float64(duration) / float64(time.Millisecond))
}

// Duration converts to a standard duration, rounded down to a nanosecond.
func (milliseconds Milliseconds) Duration() time.Duration {
	return time.Duration(float64(milliseconds) * float64(time.Millisecond))
}

// String writes the length as settings do, for example "0.5ms", "250ms" or "1m30s". It never uses a unit below the
// millisecond, which settings don't take.
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

// UnmarshalText implements encoding.TextUnmarshaler. It takes a number with its unit, such as "250ms"; a bare number
// is refused because nobody can tell what it counts.
func (milliseconds *Milliseconds) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "length of time %s", strconv.Quote(string(text)))
	}
	if duration < 0 {
		return errors.Wrapf(ErrNegative, "length of time %s", strconv.Quote(string(text)))
	}
	*milliseconds = Of(duration)
	return nil
}

// UnmarshalFlag reads the length from a command line, by the same rules.
func (milliseconds *Milliseconds) UnmarshalFlag(value string) error {
	return milliseconds.UnmarshalText([]byte(value))
}

// Moment is a point on one process's monotonic clock, in milliseconds since that clock was made.
type Moment float64

// Add returns the moment that lies the given length later.
func (moment Moment) Add(length Milliseconds) Moment {
	return moment + Moment(length)
}

// Since returns the time from earlier to moment; it is negative when earlier is the later one.
func (moment Moment) Since(earlier Moment) Milliseconds {
	return Milliseconds(moment - earlier)
}

// Clock tells the time. Now is a field so that tests can put another source in its place.
type Clock struct {
	Now func() Moment
}

// New returns a clock that starts at zero and follows the process's monotonic time.
func New() *Clock {
	origin := time.Now()
	return &Clock{Now: func() Moment { return Moment(Of(time.Since(origin))) }}
}

// NewBootTime returns a clock that also counts the time for which the machine is suspended, which New's does not.
func NewBootTime() *Clock {
	return &Clock{Now: func() Moment {
		var since unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
			// Every kernel since 2.6.39 has this clock.
			panic(err)
		}
		return Moment(Of(time.Duration(since.Nano())))
	}}
}

// Manual is a clock whose time stands still until Advance moves it. It is not safe for concurrent use.
type Manual struct {
	Clock
	now Moment
}

// NewManual returns a clock that stands at zero.
func NewManual() *Manual {
	manual := &Manual{}
	manual.Now = func() Moment { return manual.now }
	return manual
}

// Advance moves the clock forward.
func (manual *Manual) Advance(length Milliseconds) {
	manual.now = manual.now.Add(length)
}
