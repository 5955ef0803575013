package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"

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
const (
	copyOfBackup copyKind = "backup"
	copyOfMove   copyKind = "move"
)

// continuation is a copy of a run and the engine that continues the run from it.
type continuation struct {
	kind copyKind
	// to is the engine; nil if the engine of the lease itself has stopped the run and takes it back.
	to *runCopy
	// source names the copy.
	source string
	// returns is set if the engine has stopped the run and may take it back although it is leaving.
	returns bool
}

// continueAt sends the request to an engine to continue the run from a copy. The connection to the earlier engine has
// been closed. It returns the outcome, and false if the engine did not run the request.
func (a *streamAttempt) continueAt(ctx context.Context, c continuation) (outcome.Outcome, bool) {
	f, j, old := a.r.f, a.r.j, a.lease
	if c.to != nil {
		a.lease = &lease{server: c.to.server, run: a.r.run, since: old.since}
	}
	o := Send{KVFrom: c.source, LastEventID: a.r.lastEvent, Continues: true, Returns: c.returns}
	runCtx, end := f.attempts.begin(ctx, a.lease.server.ID)
	defer end()
	head, res, reason, err := a.openContinuation(runCtx, ctx, o)
	if err != nil {
		a.continuationFailed(old.server, c.kind, reason, err)
	}
	if errors.Is(err, errNotRun) || errors.Is(err, upstream.ErrNotSent) {
		a.notContinued(c, old)
		return outcome.Outcome{}, false
	}
	a.accepted(c, old)
	if err != nil {
		a.next = a.streamEnded(ctx, err)
		return j.unanswered(reason), true
	}
	defer func() { _ = res.Body.Close() }()
	if head.Status != http.StatusOK {
		a.continuationFailed(old.server, c.kind, outcome.EngineError, nil)
		a.next = a.on(runcopy.Abandoned)
		return a.keepFailure(head, res), true
	}
	f.suspicions.succeeded(a.lease.server.ID)
	f.service(j.service).engines.succeeded(a.lease.server.ID)
	f.Metrics.Counter(metrics.Continuations).Inc(1)
	event.RunContinued.Log(f.Log).Str("request", j.meta.ID).Str("copy", string(c.kind)).Str("from", old.server.ID).
		Str("to", a.lease.server.ID).Str("after", a.r.lastEvent).Int("generated", j.generated).Msg("")
	return a.relay(ctx, head, res), true
}

// needsRetry reports whether the continuation takes a retry from the budget, as one after a loss does. A move has taken one
// before it stopped the run, also for its return to the source.
func (a *streamAttempt) needsRetry() bool {
	return a.next == runcopy.ContinueAtBackup || !a.move.retryTaken
}

// openContinuation sends the request to the engine of the lease and reads the head of the answer.
func (a *streamAttempt) openContinuation(runCtx, ctx context.Context, o Send) (AnswerHead, *upstream.Response, outcome.Reason, error) {
	f, j := a.r.f, a.r.j
	if a.needsRetry() && !f.takeRetry(j) {
		return AnswerHead{}, nil, outcome.RetryBudgetSpent, errors.Join(upstream.ErrNotSent, errRetryBudget)
	}
	kept := a.backup
	a.backup = a.chooseBackup(j.route.Attempts - j.sends)
	head, res, err := a.open(runCtx, o)
	if err == nil {
		a.r.dropCopy(kept)
		return head, res, "", nil
	}
	if errors.Is(err, errNotRun) || errors.Is(err, upstream.ErrNotSent) {
		a.r.dropCopy(a.backup)
		a.backup = kept
	} else {
		a.r.dropCopy(kept)
	}
	reason := f.reasonFor(ctx, err)
	f.attemptLost(j, a.lease.server, reason, err)
	return head, nil, reason, err
}

// errRetryBudget means that the retry budget allows no continuation.
var errRetryBudget = errors.New("the retry budget is spent")

// accepted records that the engine of the lease may run the request: it is the only one now.
func (a *streamAttempt) accepted(c continuation, old *lease) {
	if c.to != nil {
		a.r.f.service(a.r.j.service).engines.continueAt(c.to.server.ID, old)
	}
	if !slices.Contains(a.r.tried, a.lease.server.ID) {
		a.r.tried = append(a.r.tried, a.lease.server.ID)
	}
	if c.kind == copyOfMove && c.to != nil {
		a.move.dropped = true // The copy's memory is that of the run now.
		a.move.moved(a.r.j.generated)
	}
	a.dropMove()
	a.on(runcopy.Accepted)
	a.state.setBackup(a.backup != nil && a.backup.sent)
	a.move = nil
}

// notContinued records that the engine of the lease did not run the request, and chooses another copy.
func (a *streamAttempt) notContinued(c continuation, old *lease) {
	if c.to != nil {
		if c.kind == copyOfBackup {
			a.r.dropCopy(c.to)
		}
		a.lease = old
	}
	a.next = a.on(runcopy.NotRun)
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
