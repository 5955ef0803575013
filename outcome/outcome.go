// Package outcome defines how a request ends, and every reason for which one is
// rejected or retried. Outcomes are values that callers switch on, never panics.
package outcome

import (
	"fmt"
	"time"
)

// Kind is the known state of the run of a request.
type Kind uint8

const (
	// Completed means that the whole response was delivered.
	Completed Kind = iota + 1
	// NotRun means that it is certain that no run began.
	NotRun
	// Failed means that a run began and did not complete.
	Failed
	// Unknown means that a run may or may not have begun.
	Unknown
)

// String returns the name of k as used in error bodies and metrics.
func (k Kind) String() string {
	switch k {
	case Completed:
		return "completed"
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	case Unknown:
		return "unknown"
	default:
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
}

// Outcome is the result of one attempt or of one request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is the delay after which the caller may retry; zero means not stated.
	RetryAfter time.Duration
	// Detail is for the log only and never sent to a caller.
	Detail string
}

// Refuse returns a NotRun outcome.
func Refuse(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Fail returns a Failed outcome.
func Fail(reason Reason, detail string) Outcome {
	return Outcome{Kind: Failed, Reason: reason, Detail: detail}
}

// Indeterminate returns an Unknown outcome.
func Indeterminate(reason Reason, detail string) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Detail: detail}
}

// String returns the form used in logs.
func (o Outcome) String() string {
	if o.Detail == "" {
		return o.Kind.String() + ":" + string(o.Reason)
	}
	return o.Kind.String() + ":" + string(o.Reason) + " (" + o.Detail + ")"
}
