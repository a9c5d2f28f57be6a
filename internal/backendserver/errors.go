package backendserver

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Step is the point at which an exchange with a backend server failed.
type Step string

// The steps of an exchange.
const (
	StepConnect  Step = "connect"
	StepWrite    Step = "write"
	StepResponse Step = "answer"
	StepReport   Step = "report"
)

// ErrConnectionLimitReached is returned when this instance's share of the connections to the target is in use.
var ErrConnectionLimitReached = errors.New("connection limit reached: all connections are in use")

// ErrUnknownTarget is returned for a target that has not been added or has been removed.
var ErrUnknownTarget = errors.New("unknown target")

// Error describes a failed exchange with a backend server.
type Error struct {
	Step   Step
	Target settings.TargetName
	// Written reports whether any byte of the request may have left this process.
	Written bool
	// Reused reports whether the connection had carried a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s step at backend server %s: %v", err.Step, err.Target, err.Cause)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error {
	return err.Cause
}

// IsErrNotWritten reports whether err is an *Error for a request of which no byte left this process, so that the request
// did not run.
func IsErrNotWritten(err error) bool {
	var exchangeError *Error
	return errors.As(err, &exchangeError) && !exchangeError.Written
}
