package operator

import (
	"context"
	"fmt"
	"time"
)

// waitPoll is the pause between two readings of the confirmations.
const waitPoll = time.Second

// WaitResult says how far a revision came while it was waited for.
type WaitResult struct {
	Revision  uint64 `json:"revision"`
	Confirmed int    `json:"confirmed"`
	// Missing are the processes heard of lately that have not confirmed.
	Missing []Process `json:"missing"`
	// Silent are processes that were not waited for, see ConfirmMaxAge.
	Silent []Process `json:"silent"`
	// Seconds is the time from the commit to the reading that showed the last confirmation.
	Seconds float64 `json:"seconds"`
}

// UnconfirmedError means that a change is committed but that not every process was
// seen to have it in force in time.
type UnconfirmedError struct {
	Revision uint64
	// Result is nil when no confirmation could be read.
	Result *WaitResult
	// Cause is the error of the last reading, if it failed.
	Cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	if e.Result == nil {
		return fmt.Sprintf("committed as revision %d, but the confirmations could not be read: %v", e.Revision, e.Cause)
	}
	return fmt.Sprintf("committed as revision %d, but %d processes have not confirmed it in time, %d have",
		e.Revision, len(e.Result.Missing), e.Result.Confirmed)
}

// Unwrap returns the error of the last reading.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

// Wait waits until every process heard of within ConfirmMaxAge has confirmed
// revision. When ctx ends before, the error is an *UnconfirmedError. Processes that
// fall silent meanwhile are no longer waited for.
func (o *Operator) Wait(ctx context.Context, revision uint64) (*WaitResult, error) {
	start := o.now()
	unconfirmed := &UnconfirmedError{Revision: revision}
	for {
		s, err := o.statusOf(ctx, revision)
		if err == nil {
			unconfirmed.Result = &WaitResult{
				Revision: revision, Confirmed: s.Confirmed, Missing: s.Behind, Silent: s.Silent,
				Seconds: o.now().Sub(start).Seconds(),
			}
			if len(s.Behind) == 0 {
				return unconfirmed.Result, nil
			}
		}
		if ctx.Err() == nil {
			unconfirmed.Cause = err
		}
		if rest(ctx, waitPoll) != nil {
			return nil, unconfirmed
		}
	}
}
