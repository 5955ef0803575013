package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// stream is a request of a model service over all its attempts. Memory for the whole run is
// reserved at a decode engine first, then the prompt is read elsewhere, then tokens are
// generated. So no prompt is read for which there is no room.
type stream struct {
	course
	// lastEvent is the last event that the client has.
	lastEvent string
	// waiter is the request's turn in the line for memory; nil before it first waits.
	waiter *waitqueue.Waiter
	// run is what placement knows of it; nil as long.
	run *kvmemory.Run
	// kept is the KV cache of an attempt whose run was refused or not sent, for the next one.
	kept *source
	// yielded is how often it left an engine that had granted its memory.
	yielded int
	// eventAt is when the last event came.
	eventAt time.Time
}

// need is the memory that the run is thought to take at its end, in tokens.
func (j *job) need() int { return j.meta.PromptTokens + j.generates() }

// generates is the number of tokens that the run is thought to generate.
func (j *job) generates() int {
	if j.meta.LengthHint <= 0 {
		return j.meta.MaxTokens
	}
	return min(j.meta.LengthHint, j.meta.MaxTokens)
}

// streamAttempt is one try of a stream at one decode engine. It implements lifecycle.Attempt.
type streamAttempt struct {
	r *stream
	// lease is the room at the engine; nil when the engine did not grant it.
	lease *lease
	// export is where the KV cache of the prompt is; nil if the engine reads the prompt.
	export *source
}

// Ended implements lifecycle.Request. An engine that grants nothing costs no repeat, since
// nothing of the request was sent to it. After a run that broke the stream waits for room
// anew.
func (r *stream) Ended(ctx context.Context, a *streamAttempt, o outcome.Outcome) (outcome.Outcome, bool) {
	if a.lease == nil && ctx.Err() == nil {
		return outcome.Outcome{}, true
	}
	final, again := r.ended(ctx, o)
	if again {
		terms := r.f.service(r.j.service).engines.terms
		r.waiter.GiveUpAt = terms.GiveUpAfterFailure(r.waiter.GiveUpAt, time.Now(), r.j.deadline)
	}
	return final, again
}

// Prefill implements lifecycle.Attempt.
func (a *streamAttempt) Prefill(ctx context.Context) (outcome.Outcome, bool) {
	f, j := a.r.f, a.r.j
	if a.export = a.r.takeKept(); a.export != nil {
		return outcome.Outcome{}, true
	}
	var owed bool
	a.export, owed = f.prefill(ctx, j, a.lease)
	if ctx.Err() != nil {
		f.freeExport(j, a.export)
		return j.unanswered(reasonOf(ctx)), false
	}
	if owed && !f.mayRepeat(j) {
		return j.unanswered(outcome.RetryBudgetSpent), false
	}
	return outcome.Outcome{}, true
}

// Answer implements lifecycle.Attempt: the engine of the lease generates the tokens.
func (a *streamAttempt) Answer(ctx context.Context) outcome.Outcome {
	f, j := a.r.f, a.r.j
	run, end := f.attempts.begin(ctx, a.lease.server.ID)
	defer end()
	head, res, err := a.start(run)
	if err != nil {
		reason := f.explain(ctx, err)
		a.lease.refused = ctx.Err() == nil && !barred(reason) && !isHeldBack(err)
		if isHeldBack(err) || errors.Is(err, errNotRun) && f.closed(a.lease.server.ID) {
			a.r.keep(a.export)
		}
		f.attemptLost(j, a.lease.server, reason, err)
		return j.unanswered(reason)
	}
	defer func() { _ = res.Body.Close() }()
	f.service(j.service).engines.worked(a.lease.server.ID)
	if head.Status != http.StatusOK {
		return a.failed(head, res)
	}
	f.doubts.succeeded(a.lease.server.ID)
	return a.relay(ctx, head, res)
}

// start has the engine begin the run. With its memory reserved, an engine that says nothing else refuses only
// because it could not fetch the KV cache; it can read the prompt itself.
func (a *streamAttempt) start(ctx context.Context) (AnswerHead, *upstream.Response, error) {
	f, j := a.r.f, a.r.j
	o := Send{Reservation: a.lease.reservation, LastEventID: a.r.lastEvent}
	if a.export != nil && f.attempts.hasEnded(a.export.server.ID) {
		a.export = nil
	}
	if a.export != nil {
		o.KVFrom = f.Codec.ExportSource(a.export.server, a.export.Handle)
	}
	a.lease.reservation = ""
	head, res, err := a.open(ctx, o)
	if !errors.Is(err, errNotRun) || a.export == nil || head.Replaced || f.closed(a.lease.server.ID) {
		return head, res, err
	}
	f.shun(j, a.export.server)
	f.attemptFailed(j, a.export.server, outcome.KVLost, err)
	if !f.mayRepeat(j) {
		return head, res, err
	}
	o.KVFrom = ""
	o.Reservation = a.reserveAgain(ctx)
	return a.open(ctx, o)
}

// reserveAgain reserves at the same engine after a reservation was used up by a request
// that was refused. Without one the request waits in the engine's own queue.
func (a *streamAttempt) reserveAgain(ctx context.Context) string {
	f, j := a.r.f, a.r.j
	life := j.table.Services[j.service].Engine.MaxHold
	reservation, err := f.Engines.Reserve(ctx, a.lease.server, j.reserves(), life)
	if err != nil {
		f.attemptFailed(j, a.lease.server, outcome.NoPlace, err)
	}
	return reservation
}

// open sends the request to the decode engine and reads the head of the answer.
func (a *streamAttempt) open(ctx context.Context, o Send) (AnswerHead, *upstream.Response, error) {
	res, err := a.r.f.send(ctx, a.r.j, a.lease.server, o)
	if err != nil {
		return AnswerHead{}, nil, err
	}
	head := a.r.f.Codec.Answer(res.Status, res.Header)
	if head.NotRun {
		discard(res)
		return head, nil, fmt.Errorf("%w: status %d", errNotRun, head.Status)
	}
	if head.Status == http.StatusOK && (!head.Stamped || head.Encoded) {
		_ = res.Body.Close()
		return head, nil, errNoStamp
	}
	return head, res, nil
}

// discard reads a short body to its end so that the connection can be used again.
func discard(res *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer))
	_ = res.Body.Close()
}

// failed keeps a failure of an engine, to be passed on unless another engine does better.
func (a *streamAttempt) failed(head AnswerHead, res *upstream.Response) outcome.Outcome {
	j := a.r.j
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err == nil && !j.started {
		a.r.failure = &answer{head: head, body: body}
	}
	a.r.f.attemptFailed(j, a.lease.server, outcome.EngineError, fmt.Errorf("status %d", head.Status))
	return j.unanswered(outcome.EngineError)
}

// Release implements lifecycle.Attempt.
func (a *streamAttempt) Release() {
	if a.lease != nil {
		a.r.f.giveBack(a.r.j, a.lease)
	}
}
