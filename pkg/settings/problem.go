package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Problem is one thing wrong in a file.
type Problem struct {
	// File is the file, or the document's key at the configuration service.
	File string `json:"file"`
	// Path is the field, such as "services.fees.queue.wait"; it is empty for the file as a whole.
	Path string `json:"path"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
}

// String writes the problem on one line.
func (problem Problem) String() string {
	if problem.Path == "" {
		return fmt.Sprintf("%s: %s", problem.File, problem.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", problem.File, problem.Path, problem.Reason)
}

// InvalidError carries every problem of a set of settings.
type InvalidError struct {
	Problems []Problem
}

// Error implements error, with one problem a line.
func (invalidError *InvalidError) Error() string {
	lines := make([]string, 0, len(invalidError.Problems))
	for _, problem := range invalidError.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether err says that settings are wrong, as opposed to unreadable.
func IsErrInvalid(err error) bool {
	var invalidError *InvalidError
	return errors.As(err, &invalidError)
}

// ProblemsOf returns the problems that err carries, or none.
func ProblemsOf(err error) []Problem {
	var invalidError *InvalidError
	if errors.As(err, &invalidError) {
		return invalidError.Problems
	}
	return nil
}

func invalid(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
