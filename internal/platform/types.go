package platform

import (
	"fmt"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Index counts the changes of one of the platform's collections.
type Index uint64

// Paths of the platform's interface.
const (
	KeysPath      = "/v1/keys"
	ValuesPath    = "/v1/values/"
	InstancesPath = "/v1/instances"
	// AfterParameter names the index that the reader has seen.
	AfterParameter = "after"
	// WaitParameter names how long a watch waits, in milliseconds.
	WaitParameter = "waitMs"
)

// Bounds of what is accepted from the platform, in bytes.
const (
	MaxValueBytes = 1 << 20
	MaxListBytes  = 8 << 20
)

// Keys is the answer to a watch of the configuration service: each key with the index of its last change.
type Keys struct {
	Index Index            `json:"index"`
	Keys  map[string]Index `json:"keys"`
}

// Kind tells what runs on an instance.
type Kind string

// The kinds of instances.
const (
	KindEntry         Kind = "entry"
	KindBackendServer Kind = "backendServer"
)

// State tells whether an instance takes part.
type State string

// The states of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an entry of the list of instances.
type Instance struct {
	Name       string                  `json:"name"`
	Kind       Kind                    `json:"kind"`
	State      State                   `json:"state"`
	DataCentre settings.DataCentreName `json:"dataCentre"`
	// Address is where requests are sent, IP and port.
	Address string `json:"address"`
	// PeerAddress is where an entry instance takes datagrams.
	PeerAddress string `json:"peerAddress,omitempty"`
	// Service is the one that a backend server belongs to.
	Service settings.ServiceName `json:"service,omitempty"`
}

// InstanceList is the answer to a watch of the list of instances.
type InstanceList struct {
	Index     Index      `json:"index"`
	Instances []Instance `json:"instances"`
}

// Step is the point at which a read failed.
type Step string

// The steps of a read.
const (
	StepKeys      Step = "watch keys"
	StepValue     Step = "read value"
	StepInstances Step = "watch instances"
)

// Error is a failed read.
type Error struct {
	Step Step
	// Peer is the address that was read from.
	Peer  string
	Cause error
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s at platform %s: %v", err.Step, err.Peer, err.Cause)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error {
	return err.Cause
}
