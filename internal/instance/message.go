package instance

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// MaxTargets is the maximum number of backend servers in one heartbeat. The others follow in later heartbeats.
const MaxTargets = 12

// ErrInvalidMessage is returned for a datagram that was sealed with a known key but does not hold a valid heartbeat.
var ErrInvalidMessage = errors.New("message not understood")

// Incarnation identifies one run of an instance: the wall clock time of its start, in milliseconds.
type Incarnation uint64

// Sequence is the number of a datagram within one run of its sender.
type Sequence uint64

// Digest is a hash of the revisions of all settings that an instance has applied.
type Digest uint64

// TargetKey is a hash of a backend server's name. Heartbeats hold hashes, since names would make up most of a datagram.
type TargetKey uint64

// TargetStatus is the sender's view of one backend server.
type TargetStatus struct {
	_      struct{} `cbor:",toarray"`
	Target TargetKey
	// Warm reports that the target has warmed up and accepts its full number of requests.
	Warm bool
	// Owned reports that the sender owns the target: the owner warms it up and reads its load reports.
	Owned bool
}

// Heartbeat is the message that instances exchange.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	From        settings.InstanceName
	Incarnation Incarnation
	Sequence    Sequence
	Leaving     bool
	Digest      Digest
	Targets     []TargetStatus
}

// decodeMode is strict: data that does not match the message exactly was not encoded by an instance of this release.
var decodeMode = func() cbor.DecMode {
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
	encoded, err := cbor.Marshal(heartbeat)
	return encoded, errors.Wrap(err, "encode heartbeat")
}

func decode(encoded []byte) (Heartbeat, error) {
	var heartbeat Heartbeat
	if err := decodeMode.Unmarshal(encoded, &heartbeat); err != nil {
		return Heartbeat{}, errors.Wrapf(ErrInvalidMessage, "decode heartbeat: %v", err)
	}
	if heartbeat.From == "" || len(heartbeat.Targets) > MaxTargets {
		return Heartbeat{}, errors.Wrap(ErrInvalidMessage, "heartbeat without a sender or with too many targets")
	}
	return heartbeat, nil
}
