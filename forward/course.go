package forward

import (
	"context"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// course is what calls and streams have in common over their attempts: what was tried, what
// may be tried again, and what is left for the client if nothing better comes.
type course struct {
	f *Forwarder
	j *job
	// tried are the servers that were asked.
	tried []string
	// last is how the last attempt ended.
	last outcome.Outcome
	// failure is a failed answer of a server, passed on when nothing better comes.
	failure *answer
}

// noServer is the end of a request for which no server is left: the reason of the last
// attempt, or reason if there was none.
func (c *course) noServer(reason outcome.Reason) outcome.Outcome {
	if c.last.Reason != "" {
		reason = c.last.Reason
	}
	return c.j.unanswered(reason)
}

// ended decides whether there is another attempt after one that ended with o.
func (c *course) ended(ctx context.Context, o outcome.Outcome) (outcome.Outcome, bool) {
	c.last = o
	if o.Kind == outcome.Completed || ctx.Err() != nil || c.j.caller.Gone() || !c.repeatable(o.Reason) {
		return o, false
	}
	if _, held := c.f.held(c.j); held {
		c.f.Metrics.RetryDenied("held")
		return c.j.unanswered(outcome.Quarantined), false
	}
	if !c.f.mayRepeat(c.j) {
		return c.j.unanswered(outcome.RetryBudgetSpent), false
	}
	c.f.Metrics.Retried(o.Reason)
	return outcome.Outcome{}, true
}

// repeatable reports whether the request may be sent to one more server after an attempt
// that ended for the reason.
func (c *course) repeatable(reason outcome.Reason) bool {
	j := c.j
	switch {
	case reason == outcome.CallerGone || reason == outcome.RetryBudgetSpent || barred(reason):
		return false
	case j.ran && !j.route.Repeatable():
		return false
	case j.sends >= j.route.Attempts:
		c.f.Metrics.RetryDenied("attempts")
		return false
	default:
		return true
	}
}

// unanswered is the end of an attempt without a whole answer. Whether the request has run
// is known from what was sent.
func (j *job) unanswered(reason outcome.Reason) outcome.Outcome {
	if j.ran {
		return outcome.Fail(reason, "")
	}
	return outcome.Refuse(reason, 0)
}

// finish gives the client what no attempt has given it, and notes the end of the request.
func (c *course) finish(o outcome.Outcome) {
	f, j := c.f, c.j
	switch {
	case o.Kind == outcome.Completed:
	case j.started:
		httpserver.Abort(j.w)
	case c.failure != nil:
		o = f.pass(j, c.failure)
	case o.Kind == outcome.NotRun:
		f.refuse(j, o.Reason, f.comeBack(j, o.Reason))
		return
	default:
		f.fail(j, o.Reason)
		return
	}
	f.ended(j, o.Kind, o.Reason)
}
