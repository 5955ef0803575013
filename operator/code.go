// Package operator implements the operator commands: reading contracts and backend
// records from files, showing the difference to the stored ones, committing it as
// one transaction, and reading back the configuration in force.
package operator

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
)

// Code is the exit code of an operator command.
type Code int

// Exit codes. They are documented in docs/CONTRACTS.md.
const (
	// CodeOK means success, also when there was nothing to do.
	CodeOK Code = 0
	// CodeInput means wrong usage or bad input; nothing was written.
	CodeInput Code = 1
	// CodeConflict means that another operator changed the configuration first;
	// nothing was written.
	CodeConflict Code = 2
	// CodeUnavailable means that the platform could not be reached; nothing was
	// written, except for the completed steps of a compaction.
	CodeUnavailable Code = 3
	// CodeUnknown means that the change may or may not have been committed.
	CodeUnknown Code = 4
	// CodeUnconfirmed means that the change is committed, but some processes did not
	// confirm it in time.
	CodeUnconfirmed Code = 5
)

// Errors of the commands that mean bad input.
var (
	// ErrInput marks wrong usage and bad input.
	ErrInput = merry.Sentinel("bad input")
	// ErrNoSuchRecord means that no contract or backend record has that name.
	ErrNoSuchRecord = merry.Sentinel("no such record")
	// ErrDeclined means that the operator did not confirm the change.
	ErrDeclined = merry.Sentinel("not confirmed; nothing was written")
)

// CodeOf returns the exit code for the error of a command.
func CodeOf(err error) Code {
	var conflict *dissemination.ConflictError
	var unknown *dissemination.UnknownOutcomeError
	var platform *PlatformError
	var partial *PartialError
	var unconfirmed *UnconfirmedError
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &unconfirmed):
		return CodeUnconfirmed
	case errors.As(err, &partial):
		return CodeUnavailable
	case errors.As(err, &conflict):
		return CodeConflict
	case errors.As(err, &unknown):
		return CodeUnknown
	case errors.As(err, &platform):
		return CodeUnavailable
	default:
		return CodeInput
	}
}

// PlatformError is a failed call to the platform that wrote nothing.
type PlatformError struct {
	Cause error
}

// Error implements error.
func (e *PlatformError) Error() string {
	return "platform unavailable, nothing was written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error {
	return e.Cause
}

// PartialError is the failure of a command of several steps. The completed steps
// remain in effect, and the command may be run again.
type PartialError struct {
	Cause error
}

// Error implements error.
func (e *PartialError) Error() string {
	return "stopped part-way; completed steps remain in effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PartialError) Unwrap() error {
	return e.Cause
}

// partial wraps the error of one step of several.
func partial(err error) error {
	var platform *PlatformError
	if errors.As(err, &platform) {
		err = platform.Cause // drops the text "nothing was written", which does not hold here
	}
	return &PartialError{Cause: err}
}

// classify wraps platform errors in a PlatformError and returns all others unchanged.
func classify(err error) error {
	var conflict *dissemination.ConflictError
	var unknown *dissemination.UnknownOutcomeError
	if err == nil || errors.Is(err, ErrInput) || errors.As(err, &conflict) || errors.As(err, &unknown) {
		return err
	}
	return &PlatformError{Cause: err}
}

// badInput returns an error that means bad input.
func badInput(format string, args ...any) error {
	return merry.Appendf(ErrInput, format, args...)
}
