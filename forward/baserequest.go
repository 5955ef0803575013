package forward

import (
	"context"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// baseRequest is the state that calls and streams share over their attempts: which servers were tried, whether another
// attempt is allowed, and what to answer when no attempt succeeds.
type baseRequest struct {
	f *Forwarder
	j *job
	// tried are the servers of earlier attempts.
	tried []string
	// version is the software version of the server that began the stream, at which alone it may go on; empty until then,
	// and if it is not known.
	version string
	// last is the outcome of the last attempt.
	last outcome.Outcome
	// failure is a server's error answer, passed on if no later attempt does better.
	failure *answer
}

// noServerLeft is the outcome of a request for which no server is left: the reason of the last attempt, or reason if
// there was none.
func (b *baseRequest) noServerLeft(reason outcome.Reason) outcome.Outcome {
	if b.last.Reason != "" {
		reason = b.last.Reason
	}
	return b.j.unanswered(reason)
}

// afterAttempt decides whether there is another attempt after one with outcome o.
func (b *baseRequest) afterAttempt(ctx context.Context, o outcome.Outcome) (outcome.Outcome, bool) {
	b.last = o
	if o.Kind == outcome.Completed || ctx.Err() != nil || b.j.caller.Gone() || !b.retryable(o.Reason) {
		return o, false
	}
	if _, held := b.f.quarantined(b.j); held {
		b.f.Metrics.RetryDenied("held")
		return b.j.unanswered(outcome.Quarantined), false
	}
	if !b.f.takeRetry(b.j) {
		return b.j.unanswered(outcome.RetryBudgetSpent), false
	}
	b.f.Metrics.Retried(o.Reason)
	return outcome.Outcome{}, true
}

// retryable reports whether the request may be sent to another server after an attempt that ended for the reason.
func (b *baseRequest) retryable(reason outcome.Reason) bool {
	j := b.j
	switch {
	case reason == outcome.CallerGone || reason == outcome.DeadlineExceeded || reason == outcome.RetryBudgetSpent || blocked(reason):
		return false
	case j.ran && !j.route.Repeatable():
		return false
	case j.sends >= j.route.Attempts:
		b.f.Metrics.RetryDenied("attempts")
		return false
	default:
		return true
	}
}

// unanswered is the outcome of an attempt without a whole answer. Whether the request may have run depends on what was
// sent.
func (j *job) unanswered(reason outcome.Reason) outcome.Outcome {
	if j.ran {
		return outcome.Fail(reason, "")
	}
	return outcome.Refuse(reason, 0)
}

// finish answers the client if no attempt has done so, and records the outcome of the request.
func (b *baseRequest) finish(o outcome.Outcome) {
	f, j := b.f, b.j
	switch {
	case o.Kind == outcome.Completed:
	case j.started:
		httpserver.Abort(j.w)
	case b.failure != nil:
		o = f.passOn(j, b.failure)
	case o.Kind == outcome.NotRun:
		f.refuse(j, o.Reason, f.retryAfter(j, o.Reason))
		return
	default:
		f.fail(j, o.Reason)
		return
	}
	f.conclude(j, o.Kind, o.Reason)
}
