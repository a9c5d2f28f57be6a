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

// ErrConnectionLimitReached says that every connection agreed for the target is in use.
var ErrConnectionLimitReached = errors.New("every agreed connection is in use")

// ErrUnknownTarget says that the target is not, or no longer, known.
var ErrUnknownTarget = errors.New("unknown target")

// Error is a failed exchange with one backend server.
type Error struct {
	Step   Step
	Target settings.TargetName
	// Written tells whether any byte of the request may have left this process.
	Written bool
	// Reused tells whether the connection had carried a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s to backend server %s: %v", err.Step, err.Target, err.Cause)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error {
	return err.Cause
}

// IsErrNotWritten reports whether err says that no byte of the request left this process, so that it did not run.
func IsErrNotWritten(err error) bool {
	var exchangeError *Error
	return errors.As(err, &exchangeError) && !exchangeError.Written
}
