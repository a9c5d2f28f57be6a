package platform

import (
	"fmt"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Index is the version of one of the platform's collections: the number of its changes.
type Index uint64

// Paths and query parameters of the platform's HTTP interface.
const (
	KeysPath      = "/v1/keys"
	ValuesPath    = "/v1/values/"
	InstancesPath = "/v1/instances"
	// AfterParameter is the index that the client already has.
	AfterParameter = "after"
	// WaitParameter is the maximum time that a watch waits for a change, in milliseconds.
	WaitParameter = "waitMs"
)

// Maximum sizes of responses that are accepted from the platform, in bytes.
const (
	MaxValueBytes = 1 << 20
	MaxListBytes  = 8 << 20
)

// Keys is the response to a watch of the configuration service: each key with the index of its last change.
type Keys struct {
	Index Index            `json:"index"`
	Keys  map[string]Index `json:"keys"`
}

// Kind is the kind of software that runs on an instance.
type Kind string

// The kinds of instances.
const (
	KindEntry         Kind = "entry"
	KindBackendServer Kind = "backendServer"
)

// State says whether an instance is live or leaving.
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
	// Address is the IP address and port for requests.
	Address string `json:"address"`
	// PeerAddress is the IP address and port on which an entry instance receives datagrams.
	PeerAddress string `json:"peerAddress,omitempty"`
	// Service is the service that a backend server belongs to.
	Service settings.ServiceName `json:"service,omitempty"`
}

// InstanceList is the response to a watch of the list of instances.
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

// Error describes a failed read.
type Error struct {
	Step Step
	// Peer is the address of the platform's service.
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
