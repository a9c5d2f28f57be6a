package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Problem is an error in one field of a settings file or document.
type Problem struct {
	// File is the path of the file, or the key of the document in the configuration service.
	File string `json:"file"`
	// Path is the field, such as "services.fees.queue.wait"; it is empty if the problem concerns the whole file.
	Path string `json:"path"`
	// Reason describes the error.
	Reason string `json:"reason"`
}

// String returns the problem on one line: file, path and reason.
func (problem Problem) String() string {
	if problem.Path == "" {
		return fmt.Sprintf("%s: %s", problem.File, problem.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", problem.File, problem.Path, problem.Reason)
}

// InvalidError is returned for invalid settings and carries all their problems.
type InvalidError struct {
	Problems []Problem
	// unfinished states that the text is not a complete document.
	unfinished bool
}

// Error implements error, with one problem per line.
func (invalidError *InvalidError) Error() string {
	lines := make([]string, 0, len(invalidError.Problems))
	for _, problem := range invalidError.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether err is an InvalidError, as opposed to, for example, a failure to read a file.
func IsErrInvalid(err error) bool {
	var invalidError *InvalidError
	return errors.As(err, &invalidError)
}

// IsErrUnfinished reports whether err says that a settings file can't be read or is not a complete document. Either may be so only for
// a moment, while another process writes the file.
func IsErrUnfinished(err error) bool {
	var invalidError *InvalidError
	return err != nil && (!errors.As(err, &invalidError) || invalidError.unfinished)
}

// ProblemsOf returns the problems that err carries, or nil if it is not an InvalidError.
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
