package fleet

import (
	"hash/fnv"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/jaywheel/jaywheel/internal/catalog"
	"github.com/jaywheel/jaywheel/internal/membership"
	"github.com/jaywheel/jaywheel/internal/quarantine"
	"github.com/jaywheel/jaywheel/internal/quota"
	"github.com/jaywheel/jaywheel/internal/service"
	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// maxReadingsPerDatagram is the maximum number of readings in a datagram: at about 14 bytes each they fit into one packet.
const maxReadingsPerDatagram = 80

// ErrInvalidMessage means that a datagram does not contain a valid message.
var ErrInvalidMessage = errors.New("message not understood")

// TargetKey identifies a backend server by a hash of its name, since names would make up most of a datagram.
type TargetKey uint32

func keyOf(name settings.TargetName) TargetKey {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(name))
	return TargetKey(hash.Sum32())
}

// SharedReading is the load reading of a target as its owner sends it to other instances.
type SharedReading struct {
	_       struct{} `cbor:",toarray"`
	Target  TargetKey
	Running uint16
	Waiting uint16
	Slots   uint16
	// SlowdownPercent is 100 when requests take as long as usual.
	SlowdownPercent uint16
	// AgeMs is the age of the reading and ColdMs how long the target stays cold, in milliseconds; ColdMs is -1 when this is not
	// known.
	AgeMs  uint16
	ColdMs int32
	Down   bool
	// SteadyMs is how long the slowdown stays as it is, from the time of the reading, and PeriodMs the period of its changes,
	// in milliseconds; both are 0 when this is not known.
	SteadyMs float32
	PeriodMs float32
}

// slowdownUnit is the percentage of a target without slowdown.
const slowdownUnit = 100

// unknownCold is the ColdMs of a reading without information on how warm the target is.
const unknownCold = -1

func newSharedReading(key TargetKey, own ownReading, steady, period clock.Milliseconds, now clock.Moment) SharedReading {
	reading := own.reading
	sharedReading := SharedReading{
		Target: key, Running: nearestOf[uint16](reading.Running), Waiting: nearestOf[uint16](reading.Waiting), Slots: nearestOf[uint16](reading.Slots),
		SlowdownPercent: nearestOf[uint16](reading.Slowdown * slowdownUnit), AgeMs: nearestOf[uint16](now.Since(reading.At)),
		ColdMs: unknownCold, Down: own.down,
	}
	if period > 0 {
		sharedReading.SteadyMs = float32(steady + clock.Milliseconds(sharedReading.AgeMs))
		sharedReading.PeriodMs = float32(period)
	}
	if reading.ColdKnown {
		sharedReading.ColdMs = int32(nearestOf[uint32](min(reading.ColdFor, catalog.MaxColdFor)))
	}
	return sharedReading
}

// nearestOf converts a number that is not negative to the nearest one of the smaller type, so that a server with 65,536 waiting requests
// does not look idle to other instances.
func nearestOf[Result uint16 | uint32, Number ~int | ~float64](number Number) Result {
	highest := ^Result(0)
	switch value := float64(number); {
	case value >= float64(highest):
		return highest
	case value > 0:
		return Result(value)
	default:
		// NaN as well.
		return 0
	}
}

// Ranges of what a reading of another instance says. Any process may send a datagram.
const (
	// maxSteady is the maximum time for which a slowdown may be reported to stay as it is: far longer than any period that the slowdown
	// model searches for.
	maxSteady = clock.Minute
	// minSharedPeriod is the shortest period, a quarter of the shortest one that the model searches for. Targets are indexed again at each
	// end of their periods.
	minSharedPeriod = 10 * clock.Millisecond
	// maxSharedSlowdown is the highest slowdown: servers that reported a higher one would not be believed either.
	maxSharedSlowdown = 100
)

// slowdownCycle returns for how long the slowdown stays as it is and the period of its changes, or zeros if the received
// values are implausible. Any process may send a datagram, and a NaN period would make every prediction for the target NaN.
func (sharedReading *SharedReading) slowdownCycle() (clock.Milliseconds, clock.Milliseconds) {
	steady, period := clock.Milliseconds(sharedReading.SteadyMs), clock.Milliseconds(sharedReading.PeriodMs)
	if plausible := steady >= 0 && steady <= maxSteady && period >= minSharedPeriod && period <= maxSteady; !plausible {
		return 0, 0
	}
	return steady, period
}

// loadReading converts back to a reading; the transmission time is not known and taken as zero.
func (sharedReading *SharedReading) loadReading(now clock.Moment) service.LoadReading {
	steady, period := sharedReading.slowdownCycle()
	return service.LoadReading{
		At:      now.Add(-clock.Milliseconds(sharedReading.AgeMs)),
		Running: int(sharedReading.Running), Waiting: int(sharedReading.Waiting), Slots: int(sharedReading.Slots),
		Slowdown:  min(float64(sharedReading.SlowdownPercent)/slowdownUnit, maxSharedSlowdown),
		SteadyFor: steady, Period: period,
		ColdKnown: sharedReading.ColdMs != unknownCold, ColdFor: min(clock.Milliseconds(max(sharedReading.ColdMs, 0)), catalog.MaxColdFor),
		Source: service.FromPeer,
	}
}

// Message is the content of a datagram between instances: a heartbeat, readings, or a report of admitted requests of teams.
type Message struct {
	_         struct{} `cbor:",toarray"`
	Heartbeat *membership.Heartbeat
	Readings  []SharedReading
	Quota     *quota.Report
	// Declarations is sent alone, in a datagram of its own form: instances of releases that do not know it ignore just these datagrams.
	Declarations *DeclarationsMessage `cbor:"-"`
	// Each of the following is sent alone as well.
	Load       *membership.LoadReport `cbor:"-"`
	Reach      *ReachReport           `cbor:"-"`
	Loans      *LoansMessage          `cbor:"-"`
	Quarantine *QuarantineMessage     `cbor:"-"`
}

// ServiceKey identifies a service by a hash of its name.
type ServiceKey uint32

func serviceKeyOf(name settings.ServiceName) ServiceKey {
	return ServiceKey(keyOf(settings.TargetName(name)))
}

// ReachReport announces which services its sender cannot reach although their backend servers may be sound.
type ReachReport struct {
	_           struct{} `cbor:",toarray"`
	Sender      settings.InstanceName
	Incarnation membership.Incarnation
	// Sequence increases with each report of the sender.
	Sequence uint64
	// Isolated is whether the sender reaches no service at all, Services the number of services that it knows.
	Isolated    bool
	Services    int
	Unreachable []ServiceKey
}

// reachReportStart is the first byte of a ReachReport, an array of six elements in CBOR.
const reachReportStart = 0x86

// DeclarationsMessage contains what backend servers have said of themselves, and how many requests its sender has sent to them.
type DeclarationsMessage struct {
	_       struct{} `cbor:",toarray"`
	Sender  membership.Incarnation
	Reports []SharedDeclaration
}

// declarationsMessageStart is the first byte of a DeclarationsMessage, an array of two elements in CBOR.
const declarationsMessageStart = 0x82

// QuarantineMessage tells of requests under which backend servers have ended.
type QuarantineMessage struct {
	_      struct{} `cbor:",toarray"`
	Sender membership.Incarnation
	Ends   []quarantine.End
	Blocks []quarantine.Block
	Sound  []quarantine.Digest
}

// quarantineMessageStart is the first byte of a QuarantineMessage, an array of four elements in CBOR.
const quarantineMessageStart = 0x84

// LoansMessage requests tokens of fleet-wide limits from an instance that serves, or answers such a request.
type LoansMessage struct {
	_           struct{} `cbor:",toarray"`
	Sender      settings.InstanceName
	Incarnation membership.Incarnation
	// Recipient is the process for which the message is meant. Another one may have taken its address.
	Recipient membership.Incarnation
	// Sequence increases with each message of the sender: a loan that is received twice counts once.
	Sequence uint64
	// Answer is whether the message answers a request.
	Answer  bool
	Servers []SharedServerLoan
	Teams   []SharedTeamLoan
}

// SharedTeamLoan is a request for a loan of a team's rate limit, or the answer.
type SharedTeamLoan struct {
	_    struct{} `cbor:",toarray"`
	Team quota.TeamKey
	// Tokens and Returned are as in SharedServerLoan. Used is the number of requests that were admitted without a token, negative if more
	// did not run.
	Tokens, Returned uint16
	Used             int16
	// WaitMs is the time after which the lender expects to have tokens, in milliseconds.
	WaitMs uint16
}

// SharedServerLoan is a request for a loan of a backend server's limit, or the answer.
type SharedServerLoan struct {
	_       struct{} `cbor:",toarray"`
	Target  TargetKey
	Started int64
	// Tokens is the number of requests that may be sent, or that the sender wants to send; Returned is the number of those that were
	// lent before and not sent.
	Tokens, Returned uint16
	// Unknown means that the lender does not know of a limit.
	Unknown bool
}

// loansMessageStart is the first byte of a LoansMessage, an array of seven elements in CBOR.
const loansMessageStart = 0x87

// loadReportStart is the first byte of a LoadReport, an array of five elements in CBOR.
const loadReportStart = 0x85

// decoding is strict: a datagram that does not fit the message exactly was not written by an instance of this release.
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

// Encode returns the CBOR encoding of a message.
func Encode(message *Message) ([]byte, error) {
	var content any = message
	switch {
	case message.Declarations != nil:
		content = message.Declarations
	case message.Load != nil:
		content = message.Load
	case message.Reach != nil:
		content = message.Reach
	case message.Loans != nil:
		content = message.Loans
	case message.Quarantine != nil:
		content = message.Quarantine
	}
	text, err := cbor.Marshal(content)
	return text, errors.Wrap(err, "encode message to a peer")
}

// Decode parses a message. The error is ErrInvalidMessage.
func Decode(text []byte) (*Message, error) {
	var message Message
	if err := decoding.Unmarshal(text, message.contentOf(text)); err != nil {
		return nil, errors.Wrapf(ErrInvalidMessage, "%v", err)
	}
	if message.empty() {
		return nil, errors.Wrap(ErrInvalidMessage, "no content")
	}
	return &message, nil
}

// contentOf returns the part of the message into which a datagram is decoded, by its first byte.
func (message *Message) contentOf(text []byte) any {
	if len(text) == 0 {
		return message
	}
	switch text[0] {
	case declarationsMessageStart:
		message.Declarations = &DeclarationsMessage{}
		return message.Declarations
	case loansMessageStart:
		message.Loans = &LoansMessage{}
		return message.Loans
	case quarantineMessageStart:
		message.Quarantine = &QuarantineMessage{}
		return message.Quarantine
	case loadReportStart:
		message.Load = &membership.LoadReport{}
		return message.Load
	case reachReportStart:
		message.Reach = &ReachReport{}
		return message.Reach
	default:
		return message
	}
}

// empty reports whether the message has neither a heartbeat nor anything else.
func (message *Message) empty() bool {
	if message.Declarations != nil {
		return len(message.Declarations.Reports) == 0
	}
	other := message.Quarantine != nil || message.Loans != nil || message.Load != nil || message.Reach != nil
	return !other && message.Heartbeat == nil && len(message.Readings) == 0 && message.Quota == nil
}
