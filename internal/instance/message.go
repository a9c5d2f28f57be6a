package instance

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// MaxTargets is the number of backend servers that one heartbeat speaks of; the others take their turn.
const MaxTargets = 12

// ErrInvalidMessage says that a datagram was sealed rightly but makes no sense.
var ErrInvalidMessage = errors.New("message not understood")

// Incarnation tells one run of an instance from the next: the wall clock's milliseconds at its start.
type Incarnation uint64

// Sequence numbers the datagrams of one run.
type Sequence uint64

// Digest stands for the revisions of all settings that an instance has applied.
type Digest uint64

// TargetKey stands for a backend server's name: a hash of it, since names would make up most of a datagram.
type TargetKey uint64

// TargetStatus is what the sender knows of one backend server.
type TargetStatus struct {
	_      struct{} `cbor:",toarray"`
	Target TargetKey
	// Warm says that it bears its full number of requests.
	Warm bool
	// Owned says that the sender answers for it.
	Owned bool
}

// Heartbeat is the one message between instances.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	From        settings.InstanceName
	Incarnation Incarnation
	Sequence    Sequence
	Leaving     bool
	Digest      Digest
	Targets     []TargetStatus
}

// decoding is strict: what doesn't fit the message exactly was not written by an instance of this release.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  16,
		MaxMapPairs:       16,
		MaxNestedLevels:   4,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(heartbeat Heartbeat) ([]byte, error) {
	text, err := cbor.Marshal(heartbeat)
	return text, errors.Wrap(err, "encode heartbeat")
}

func decode(text []byte) (Heartbeat, error) {
	var heartbeat Heartbeat
	if err := decoding.Unmarshal(text, &heartbeat); err != nil {
		return Heartbeat{}, errors.Wrapf(ErrInvalidMessage, "decode heartbeat: %v", err)
	}
	if heartbeat.From == "" || len(heartbeat.Targets) > MaxTargets {
		return Heartbeat{}, errors.Wrap(ErrInvalidMessage, "no sender, or too many targets")
	}
	return heartbeat, nil
}
