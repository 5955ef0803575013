package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/retry"
)

// retrier guards the retry policy with a lock and counts its decisions. It is safe for concurrent use.
type retrier struct {
	metrics *metrics.Set
	mu      sync.Mutex
	policy  *retry.Policy
}

func newRetrier(attempts int, met *metrics.Set) *retrier {
	cfg := retry.DefaultConfig()
	cfg.Attempts = attempts
	for _, d := range retry.Denials() {
		if d != retry.Completed {
			met.Counter(metrics.RetryDeniedPrefix + string(d))
		}
	}
	return &retrier{metrics: met, policy: retry.New(cfg)}
}

// tracker tracks the attempts at one request. It belongs to one goroutine.
type tracker struct {
	retrier *retrier
	req     retry.Request
	// decision is the latest decision; it says where the next attempt may go.
	decision retry.Decision
}

func (r *retrier) tracker(customer string, unrepeatable bool, deadline time.Time) *tracker {
	return &tracker{retrier: r, req: retry.Request{Customer: customer, Unrepeatable: unrepeatable, Deadline: deadline}}
}

// attemptEnded records an ended attempt. It returns the final outcome, or true when there is to be another
// attempt.
func (t *tracker) attemptEnded(ctx context.Context, a retry.Attempt, expected time.Duration, position int) (outcome.Outcome, bool) {
	t.req.Attempts = append(t.req.Attempts, a)
	t.req.Expected, t.req.Position = expected, position
	now := time.Now()
	t.retrier.mu.Lock()
	defer t.retrier.mu.Unlock()
	if ctx.Err() != nil && a.Outcome.Kind != outcome.Completed {
		t.req.Deadline = now.Add(-time.Nanosecond)
	}
	t.decision = t.retrier.policy.Decide(t.req, now)
	return t.count(a, now)
}

// count is called with the lock held.
func (t *tracker) count(a retry.Attempt, now time.Time) (outcome.Outcome, bool) {
	switch {
	case t.decision.Action != retry.Finish:
		t.retrier.metrics.Retried(a.Outcome.Reason)
		return outcome.Outcome{}, true
	case t.decision.Denial == retry.Completed:
		t.retrier.policy.Succeeded(t.req.Customer, now)
	default:
		t.retrier.metrics.RetryDenied(string(t.decision.Denial))
	}
	return t.decision.Outcome, false
}

// conclude returns the final outcome when no further attempt can be placed.
func (t *tracker) conclude(o outcome.Outcome) outcome.Outcome {
	t.req.Attempts = append(t.req.Attempts, retry.Attempt{Outcome: o})
	t.retrier.metrics.RetryDenied(string(retry.NoServer))
	return t.retrier.policy.Conclude(t.req)
}

// retryAttemptAt describes an ended attempt at a server.
func retryAttemptAt(o outcome.Outcome, at *peer, workDone bool) retry.Attempt {
	return retry.Attempt{
		Backends: []string{at.backend.ID},
		Zones:    []string{at.backend.Zone},
		Outcome:  o,
		WorkDone: workDone,
	}
}
