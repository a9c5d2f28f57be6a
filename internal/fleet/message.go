package fleet

import (
	"hash/fnv"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// readingsMost is the number of readings in one datagram: with some 14 bytes each they fit into one packet.
const readingsMost = 80

// ErrMessage says that a datagram makes no sense.
var ErrMessage = errors.New("message not understood")

// TargetKey stands for a backend server's name: a hash of it, since names would make up most of a datagram.
type TargetKey uint32

func keyOf(name settings.TargetName) TargetKey {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(name))
	return TargetKey(hash.Sum32())
}

// SharedReading is an owner's reading of a target on its way to another instance.
type SharedReading struct {
	_       struct{} `cbor:",toarray"`
	Target  TargetKey
	Running uint16
	Waiting uint16
	Slots   uint16
	// SlowdownPercent is 100 when work takes as long as usual.
	SlowdownPercent uint16
	// AgeMs and ColdMs are in milliseconds; ColdMs is -1 when nothing is known.
	AgeMs  uint16
	ColdMs int32
	Down   bool
	// SteadyMs and PeriodMs tell when the slowdown may change, in milliseconds from when the reading was taken; 0 when
	// it is not known.
	SteadyMs float32
	PeriodMs float32
}

// slowdownUnit is the percentage that stands for work as usual.
const slowdownUnit = 100

// unknownCold stands for a reading that does not tell how warm the target is.
const unknownCold = -1

func share(key TargetKey, own ownReading, steady, period clock.Milliseconds, now clock.Moment) SharedReading {
	reading := own.reading
	shared := SharedReading{
		Target: key, Running: uint16(reading.Running), Waiting: uint16(reading.Waiting), Slots: uint16(reading.Slots),
		SlowdownPercent: uint16(reading.Slowdown * slowdownUnit), AgeMs: uint16(max(now.Since(reading.At), 0)), ColdMs: unknownCold, Down: own.down,
	}
	if period > 0 {
		shared.SteadyMs = float32(steady + clock.Milliseconds(shared.AgeMs))
		shared.PeriodMs = float32(period)
	}
	if reading.ColdKnown {
		shared.ColdMs = int32(reading.ColdFor)
	}
	return shared
}

// steadyMost is the longest time for which a slowdown may be said to stay as it is: far beyond any period that is looked for.
const steadyMost = clock.Minute

// steady returns when the slowdown may change, if what was told of it can be meant. Any process may send a datagram, and a period that
// is no number would make every prediction for the target one.
func (shared *SharedReading) steady() (clock.Milliseconds, clock.Milliseconds) {
	steady, period := clock.Milliseconds(shared.SteadyMs), clock.Milliseconds(shared.PeriodMs)
	if believable := steady >= 0 && steady <= steadyMost && period > 0 && period <= steadyMost; !believable {
		return 0, 0
	}
	return steady, period
}

// reading translates back; the time on the way is not known and taken as none.
func (shared *SharedReading) reading(now clock.Moment) service.LoadReading {
	steady, period := shared.steady()
	return service.LoadReading{
		At:      now.Add(-clock.Milliseconds(shared.AgeMs)),
		Running: int(shared.Running), Waiting: int(shared.Waiting), Slots: int(shared.Slots),
		Slowdown:  float64(shared.SlowdownPercent) / slowdownUnit,
		SteadyFor: steady, Period: period,
		ColdKnown: shared.ColdMs != unknownCold, ColdFor: clock.Milliseconds(max(shared.ColdMs, 0)),
	}
}

// Message is the one datagram between instances: a beat, readings, or requests of teams that were let in.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Beat     *membership.Beat
	Readings []SharedReading
	Quota    *quota.Report
}

// decoding is strict: what doesn't fit the message exactly was not written by an instance of this release.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 128, MaxMapPairs: 16, MaxNestedLevels: 6,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode writes a message.
func Encode(message *Message) ([]byte, error) {
	text, err := cbor.Marshal(message)
	return text, errors.Wrap(err, "encode message to a peer")
}

// Decode reads a message.
func Decode(text []byte) (*Message, error) {
	var message Message
	if err := decoding.Unmarshal(text, &message); err != nil {
		return nil, errors.Wrapf(ErrMessage, "%v", err)
	}
	if message.Beat == nil && len(message.Readings) == 0 && message.Quota == nil {
		return nil, errors.Wrap(ErrMessage, "neither a beat nor readings nor a report")
	}
	return &message, nil
}
