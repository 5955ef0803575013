package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
)

// waitInterval is the interval at which Wait reads the confirmations.
const waitInterval = time.Second

// WaitResult lists which processes confirmed a revision during a wait.
type WaitResult struct {
	Revision  uint64 `json:"revision"`
	Confirmed int    `json:"confirmed"`
	// Missing are the recently reported processes that have not confirmed.
	Missing []Process `json:"missing"`
	// Unresponsive are the processes that were not waited for, see ConfirmMaxAge.
	Unresponsive []Process `json:"silent"`
	// Seconds is the time from the commit to the read that showed the last confirmation.
	Seconds float64 `json:"seconds"`
}

// UnconfirmedError means that a change is committed, but some processes did not confirm
// in time that it is in force.
type UnconfirmedError struct {
	Revision uint64
	// Result is nil when no confirmation could be read.
	Result *WaitResult
	// Cause is the error of the last read, if it failed.
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

// Unwrap returns the error of the last read.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

// Wait waits until every process reported within ConfirmMaxAge has confirmed
// revision. If ctx ends first, the error is an *UnconfirmedError. Processes that
// become unresponsive meanwhile are no longer waited for.
func (o *Operator) Wait(ctx context.Context, revision uint64) (*WaitResult, error) {
	start := o.now()
	unconfirmed := &UnconfirmedError{Revision: revision}
	for {
		s, err := o.statusOf(ctx, revision)
		if err == nil {
			unconfirmed.Result = &WaitResult{
				Revision: revision, Confirmed: s.Confirmed, Missing: s.Behind, Unresponsive: s.Unresponsive,
				Seconds: o.now().Sub(start).Seconds(),
			}
			if len(s.Behind) == 0 {
				return unconfirmed.Result, nil
			}
		}
		if ctx.Err() == nil {
			unconfirmed.Cause = err
		}
		if !sleep.For(ctx, waitInterval) {
			return nil, unconfirmed
		}
	}
}
