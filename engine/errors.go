package engine

import "errors"

// Errors of engines. Drivers wrap them with the cause.
var (
	// ErrUnavailable means that the engine did not accept the request.
	ErrUnavailable = errors.New("engine unavailable")
	// ErrFull means that the engine has no free capacity for the request.
	ErrFull = errors.New("engine full")
	// ErrNotFound means that the run or KV handle does not exist any more.
	ErrNotFound = errors.New("not found in engine")
	// ErrFenced means that the order had an old fencing number.
	ErrFenced = errors.New("order fenced off")
	// ErrInvalid means that the engine rejected the request as invalid.
	ErrInvalid = errors.New("engine refused the request as invalid")
	// ErrExists means that a run with this id exists or existed.
	ErrExists = errors.New("run exists already")
	// ErrIndeterminate means that it is unknown whether the engine accepted the request.
	ErrIndeterminate = errors.New("engine may have taken the request")
)
