package forward

import (
	"context"
	"errors"
	"net/http"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// copyKind says where a copy of a run comes from.
type copyKind string

// Kinds of copies.
const copyOfBackup copyKind = "backup"

// mayContinue reports whether a run that ended with outcome o may continue from a copy: its engine was lost, and the
// client still waits for the answer.
func (r *stream) mayContinue(ctx context.Context, o outcome.Outcome) bool {
	return o.Kind != outcome.Completed && o.Reason == outcome.EngineLost && ctx.Err() == nil && !r.j.caller.Gone() &&
		r.continuations < runcopy.MaxContinuations && !r.quarantined()
}

// continueFromBackup continues the run, which was lost with its engine, at the engine that backs it up. It returns
// false if that engine did not run the request: the rules of the route apply to the loss then.
func (a *streamAttempt) continueFromBackup(ctx context.Context) (outcome.Outcome, bool) {
	f, j := a.r.f, a.r.j
	b, from := a.backup, a.lease.server
	a.backup = nil
	a.takeOver(b)
	if !f.takeRetry(j) {
		a.continuationFailed(from, copyOfBackup, outcome.RetryBudgetSpent, nil)
		return outcome.Outcome{}, false
	}
	return a.continueAt(ctx, from, copyOfBackup, Send{KVFrom: f.Codec.CopySource(b.server, j.meta.ID)})
}

// takeOver makes the engine of a copy the engine of the attempt. The memory that the pool counts for the copy becomes
// that of the run.
func (a *streamAttempt) takeOver(c *runCopy) {
	since := a.lease.since
	a.r.f.releaseLease(a.r.j, a.lease)
	a.lease = &lease{server: c.server, run: a.r.run, since: since}
}

// continueAt sends the request to the engine of the lease, to continue the run from a copy. The connection to the
// earlier engine has been closed. It returns false if the engine did not run the request.
func (a *streamAttempt) continueAt(ctx context.Context, from registry.Server, kind copyKind, o Send) (outcome.Outcome, bool) {
	f, j, s := a.r.f, a.r.j, a.lease.server
	a.r.continuations++
	a.backup = a.chooseBackup(j.route.Attempts - j.sends)
	o.Continues, o.LastEventID = true, a.r.lastEvent
	runCtx, end := f.attempts.begin(ctx, s.ID)
	defer end()
	head, res, err := a.open(runCtx, o)
	if err != nil {
		reason := f.reasonFor(ctx, err)
		f.attemptLost(j, s, reason, err)
		a.continuationFailed(from, kind, reason, err)
		notRun := errors.Is(err, errNotRun) || errors.Is(err, upstream.ErrNotSent)
		if !notRun {
			a.r.tried = append(a.r.tried, s.ID)
		}
		return j.unanswered(reason), !notRun || ctx.Err() != nil || blocked(reason)
	}
	defer func() { _ = res.Body.Close() }()
	a.r.tried = append(a.r.tried, s.ID)
	if head.Status != http.StatusOK {
		a.continuationFailed(from, kind, outcome.EngineError, nil)
		return a.keepFailure(head, res), true
	}
	f.Metrics.Counter(metrics.Continuations).Inc(1)
	event.RunContinued.Log(f.Log).Str("request", j.meta.ID).Str("copy", string(kind)).Str("from", from.ID).Str("to", s.ID).
		Str("after", a.r.lastEvent).Int("generated", j.generated).Msg("")
	return a.relay(ctx, head, res), true
}

// continuationFailed records that a run did not continue from a copy at the engine of the lease.
func (a *streamAttempt) continuationFailed(from registry.Server, kind copyKind, reason outcome.Reason, err error) {
	f, j := a.r.f, a.r.j
	f.Metrics.Counter(metrics.ContinuationFailedPrefix + string(reason)).Inc(1)
	e := event.ContinuationFailed.Log(f.Log).Str("request", j.meta.ID).Str("copy", string(kind)).Str("from", from.ID).
		Str("to", a.lease.server.ID).Str("reason", string(reason)).Str("after", a.r.lastEvent)
	if err != nil {
		e = e.Err(err)
	}
	e.Msg("")
}
