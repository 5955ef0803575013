package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// stream is a request of a model service over all its attempts. Memory for the whole run is reserved at a decode
// engine first; then another engine prefills the prompt, and tokens are generated. So no prompt is prefilled without
// memory to decode it.
type stream struct {
	baseRequest
	// lastEvent is the ID of the last event delivered to the client.
	lastEvent string
	// waiter is the request's entry in the wait queue for memory; nil before it is first queued.
	waiter *waitqueue.Waiter
	// run is the request's memory forecast for placement; nil while waiter is.
	run *kvmemory.Run
	// spareExport is the KV cache of an attempt whose run was refused or not sent, for the next attempt.
	spareExport *kvSource
	// yieldCount is how often the request left an engine that had granted its memory.
	yieldCount int
	// lastEventAt is when the last event arrived.
	lastEventAt time.Time
	// movable is set if the run may move to another engine. moveCheckedAt is when that was last considered, movesBegun how
	// often it was begun, and moveBegunAt when it last was.
	movable       bool
	moveCheckedAt time.Time
	movesBegun    int
	moveBegunAt   time.Time
}

// memoryNeed is the expected memory of the run at its end, in tokens.
func (j *job) memoryNeed() int { return j.meta.PromptTokens + j.expectedOutput() }

// expectedOutput is the expected number of generated tokens.
func (j *job) expectedOutput() int {
	if j.meta.LengthHint <= 0 {
		return j.meta.MaxTokens
	}
	return min(j.meta.LengthHint, j.meta.MaxTokens)
}

// fitsAnEngine reports whether the request may ever find enough memory.
func (j *job) fitsAnEngine() bool {
	return j.memoryNeed() <= j.table.Services[j.service].Engine.KVTokens
}

// streamAttempt is one attempt of a stream at one decode engine. It implements lifecycle.Attempt.
type streamAttempt struct {
	r *stream
	// lease is the memory at the engine; nil if the engine did not grant it.
	lease *lease
	// export is where the KV cache of the prompt is; nil if the decode engine prefills the prompt.
	export *kvSource
	// backup is the copy of the run at another engine; nil if there is none.
	backup *runCopy
	// state is the state of the run and its copies, next what to do once its stream has ended, and move the latest move
	// of the run; nil if there is none.
	state *runState
	next  runcopy.Action
	move  *move
	// mayStillRun is set if the attempt was broken off, so that its engine may go on with the run.
	mayStillRun bool
	// stream is the answer of the engine.
	stream io.Closer
	// received counts the events that arrived from engines.
	received atomic.Int64
	// events counts the events that came from the engine.
	events int
}

// Ended implements lifecycle.Request. An engine that grants no memory costs no retry, since nothing of the request was
// sent to it. After an interrupted run the stream waits for memory again.
func (r *stream) Ended(ctx context.Context, a *streamAttempt, o outcome.Outcome) (outcome.Outcome, bool) {
	r.j.prefills.attemptEnded(o.Reason, r.j.generated > r.j.generatedBefore, r.spareExport != nil)
	if a.lease == nil && ctx.Err() == nil {
		return outcome.Outcome{}, true
	}
	final, again := r.afterAttempt(ctx, o)
	if again {
		if a.mayStillRun && r.movable {
			a.stopLostRun()
		}
		policy := r.f.service(r.j.service).engines.policy
		r.waiter.GiveUpAt = policy.GiveUpAfterFailure(r.waiter.GiveUpAt, time.Now(), r.j.deadline)
	}
	return final, again
}

// Prefill implements lifecycle.Attempt.
func (a *streamAttempt) Prefill(ctx context.Context) (outcome.Outcome, bool) {
	f, j := a.r.f, a.r.j
	if a.export = a.r.takeSpareExport(); a.export != nil {
		return outcome.Outcome{}, true
	}
	var retryDue bool
	a.export, retryDue = f.prefill(ctx, j, a.lease)
	if ctx.Err() != nil {
		f.freeExport(j, a.export)
		return j.unanswered(reasonOf(ctx)), false
	}
	if a.export == nil && f.prefillTooLate(j) {
		return j.unanswered(outcome.DeadlineExceeded), false
	}
	if retryDue && !f.takeRetry(j) {
		return j.unanswered(outcome.RetryBudgetSpent), false
	}
	return outcome.Outcome{}, true
}

// Answer implements lifecycle.Attempt: the engine of the lease generates the tokens. If it is lost and another engine
// has a copy of the run, the run continues there.
func (a *streamAttempt) Answer(ctx context.Context) outcome.Outcome {
	a.state = &runState{}
	a.r.movable = a.r.mayMove()
	return a.continueRun(ctx, a.firstRun(ctx))
}

// firstRun has the engine of the lease generate the tokens until the answer is whole or the run is lost.
func (a *streamAttempt) firstRun(ctx context.Context) outcome.Outcome {
	f, j := a.r.f, a.r.j
	runCtx, end := f.attempts.begin(ctx, a.lease.server.ID)
	defer end()
	sent := time.Now()
	head, res, err := a.start(runCtx)
	a.state.setBackup(a.backup != nil && a.backup.sent)
	if err != nil {
		reason := f.reasonFor(ctx, err)
		a.lease.refused = ctx.Err() == nil && !noEvidence(err)
		if withheldReason(err) != eligibility.None || errors.Is(err, errNotRun) && f.unavailable(a.lease.server.ID) {
			a.r.keepExport(a.export)
		}
		f.attemptLost(j, a.lease.server, reason, err)
		a.mayStillRun = reason == outcome.EngineLost && !errors.Is(err, upstream.ErrNotSent)
		a.next = a.streamEnded(ctx, err)
		return j.unanswered(reason)
	}
	defer func() { _ = res.Body.Close() }()
	f.service(j.service).engines.succeeded(a.lease.server.ID)
	if head.Status != http.StatusOK {
		return a.keepFailure(head, res)
	}
	f.engineSucceeded(a.lease.server, sent)
	if a.export == nil {
		j.prefills.prefilled(j.meta.PromptTokens)
	} else {
		a.export.release()
		f.observeHandOver(j, time.Since(sent))
	}
	return a.relay(ctx, head, res)
}

// start sends the run to the engine. With its memory reserved, an engine that signals nothing else refuses a run only
// because it could not fetch the KV cache; it can prefill the prompt itself.
func (a *streamAttempt) start(ctx context.Context) (AnswerHead, *upstream.Response, error) {
	f, j := a.r.f, a.r.j
	a.backup = a.chooseBackup(j.route.Attempts - j.sends - 1)
	o := Send{Reservation: a.lease.reservation, LastEventID: a.r.lastEvent}
	if a.export != nil && f.attempts.hasTerminated(a.export.server.ID) {
		a.export = nil
	}
	if a.export != nil {
		o.KVFrom = f.Codec.ExportSource(a.export.server, a.export.Handle)
	}
	a.lease.reservation = ""
	head, res, err := a.open(ctx, o)
	if !errors.Is(err, errNotRun) || a.export == nil || head.Replaced || f.unavailable(a.lease.server.ID) {
		return head, res, err
	}
	f.avoidPrefillEngine(j, a.export.server)
	f.attemptFailed(j, a.export.server, outcome.KVLost, err)
	a.export = nil
	j.prefills.discard(wasteNoMemory)
	if !f.takeRetry(j) {
		return head, res, err
	}
	o.KVFrom = ""
	o.Reservation = a.reserveAgain(ctx)
	return a.open(ctx, o)
}

// reserveAgain reserves at the same engine after a refused request has used up its reservation. Without a reservation
// the request waits in the engine's own queue.
func (a *streamAttempt) reserveAgain(ctx context.Context) string {
	f, j := a.r.f, a.r.j
	lifetime := j.table.Services[j.service].Engine.MaxReservationTTL
	reservation, err := f.Engines.Reserve(ctx, a.lease.server, j.reservedTokens(), lifetime)
	if err != nil {
		f.attemptFailed(j, a.lease.server, outcome.NoDecodeSlot, err)
	}
	return reservation
}

// open sends the request to the decode engine and reads the head of the answer.
func (a *streamAttempt) open(ctx context.Context, o Send) (AnswerHead, *upstream.Response, error) {
	if a.backup != nil {
		o.BackupTo = a.backup.server.Addr
	}
	res, err := a.r.f.send(ctx, a.r.j, a.lease.server, o)
	if err != nil {
		a.markBackupSent(!errors.Is(err, upstream.ErrNotSent))
		return AnswerHead{}, nil, err
	}
	head := a.r.f.Codec.ParseAnswer(res.Status, res.Header)
	a.markBackupSent(!head.NotRun)
	if head.NotRun {
		discard(res)
		return head, nil, refusal(head)
	}
	if head.Status == http.StatusOK && (!head.Stamped || head.Encoded) {
		_ = res.Body.Close()
		return head, nil, errNoStamp
	}
	return head, res, nil
}

// discard reads a short body to its end so that the connection can be reused.
func discard(res *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscarded))
	_ = res.Body.Close()
}

// keepFailure keeps an engine's error answer, passed on if no other engine does better.
func (a *streamAttempt) keepFailure(head AnswerHead, res *upstream.Response) outcome.Outcome {
	j := a.r.j
	body, err := a.r.f.receiveBody(j, res, maxFailure)
	if err == nil && !j.started && !j.promisesFalsely(head) {
		a.r.failure = &answer{head: head, body: body}
	}
	a.r.f.attemptFailed(j, a.lease.server, outcome.EngineError, statusError(head.Status))
	return j.unanswered(outcome.EngineError)
}

// statusError is the error of an answer with a status that is not a success.
func statusError(status int) error {
	err := fmt.Errorf("status %d", status)
	if status < http.StatusInternalServerError {
		return errors.Join(err, errRequestInvalid)
	}
	return err
}

// Release implements lifecycle.Attempt.
func (a *streamAttempt) Release() {
	a.r.dropCopy(a.backup)
	a.dropMove()
	if a.lease != nil {
		a.r.f.releaseLease(a.r.j, a.lease)
	}
}
