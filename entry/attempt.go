package entry

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/admission"
	"github.com/hibiscusspur/hibiscusspur/policy/retry"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// attempt is one attempt at a request on one placement, through the sidecars of its servers. It implements
// lifecycle.Attempt; only the start of the decode counts as a run.
type attempt struct {
	s       *Service
	r       *request
	key     wire.Key
	servers servers

	decode *flow
	// incarnation is the decode sidecar's incarnation when the attempt began.
	incarnation string
	// kv is the exported KV cache; nil when the decode server prefills the prompt.
	kv      *wire.Prefilled
	started bool
	// ackedPosition is the output position last acknowledged.
	ackedPosition int
	// workDone is set when a prefill was done or begun.
	workDone bool
	// receivedBefore is the number of tokens from earlier attempts, engineLosses that of the loss of an engine that
	// ended the attempt.
	receivedBefore int
	engineLosses   uint32
	// endedBy is the server that ended the attempt; nil stands for the decode server.
	endedBy *peer
}

// newAttempt returns an attempt that receives from its decode sidecar.
func newAttempt(s *Service, r *request, n uint32, sv servers) *attempt {
	a := &attempt{s: s, r: r, key: wire.Key{RequestID: r.id, Attempt: n}, servers: sv, receivedBefore: r.received}
	a.decode = sv.decode.openFlow(a.key)
	a.incarnation = sv.decode.incarnation()
	return a
}

// Reserve implements lifecycle.Attempt. The baseline reserves only after the prefill.
func (a *attempt) Reserve(ctx context.Context) (outcome.Outcome, bool) {
	if !a.s.settings.Policy.Reserve {
		return outcome.Outcome{}, true
	}
	return a.reserve(ctx)
}

// Answer implements lifecycle.Attempt.
func (a *attempt) Answer(ctx context.Context) outcome.Outcome {
	if !a.s.settings.Policy.Reserve {
		if o, ok := a.reserve(ctx); !ok {
			return o
		}
	}
	return a.answer(ctx)
}

// retryAttempt describes the ended attempt to the retry policy.
func (a *attempt) retryAttempt(o outcome.Outcome) retry.Attempt {
	return retryAttemptAt(o, a.endedAt(), a.workDone || a.started)
}

// endedAt is the server that ended the attempt.
func (a *attempt) endedAt() *peer {
	if a.endedBy != nil {
		return a.endedBy
	}
	return a.servers.decode
}

// end describes the ended attempt to the quarantine.
func (a *attempt) end(o outcome.Outcome) end {
	at := a.endedAt()
	e := end{outcome: o, backend: at.backend.ID, incarnation: a.incarnation, engineLosses: a.engineLosses, generated: a.r.received - a.receivedBefore, decoding: at == a.servers.decode}
	if at != a.servers.decode {
		e.incarnation = at.incarnation()
	}
	return e
}

// refused returns the outcome in m and keeps whether an engine was lost.
func (a *attempt) refused(m *wire.Refused) outcome.Outcome {
	a.engineLosses = m.GetEngineLosses()
	return refusedOutcome(m)
}

// Release implements lifecycle.Attempt: it notifies both sidecars that the attempt is over. They release what
// they still hold for it, and nothing of it has to be kept or sent again.
func (a *attempt) Release() {
	defer a.decode.close()
	_ = a.decode.send(cancelFrame(a.key))
	if a.servers.prefill != nil {
		_ = a.servers.prefill.send(cancelFrame(a.key))
	}
}

func cancelFrame(key wire.Key) *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Ref: key.Ref()}}}
}

func (a *attempt) reserve(ctx context.Context) (outcome.Outcome, bool) {
	terms := a.r.terms()
	a.r.allowance.addTo(terms, a.key.Attempt)
	err := a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: &wire.Reserve{
		Ref:          a.key.Ref(),
		Terms:        terms,
		Model:        a.r.model,
		PromptTokens: uint32(a.r.promptTokens),
		MaxTokens:    uint32(a.r.maxTokens),
		PrefillMs:    uint32(a.servers.expectedPrefill.Milliseconds()),
	}}})
	if err != nil {
		return outcome.Refuse(outcome.LinkDown, 0), false
	}
	ctx, cancel := context.WithTimeoutCause(ctx, a.s.settings.Timing.Answer+a.slotWait(), errNoAnswer)
	defer cancel()
	f, err := a.decode.recv(ctx)
	if err != nil {
		return notStarted(err), false
	}
	if ref := f.GetRefused(); ref != nil {
		return refusedOutcome(ref), false
	}
	return outcome.Refuse(outcome.LinkDown, 0), f.GetGranted() != nil
}

// slotWait bounds how long the sidecar may queue the reservation for a decode slot: for the time left of the
// latency objective, since the sidecar rejects a request that would be later.
func (a *attempt) slotWait() time.Duration {
	if left := a.r.class.TTFT - time.Since(a.r.start); left > 0 {
		return left
	}
	return admission.DefaultMaxWait
}

// Prefill implements lifecycle.Attempt. The KV cache is exported, unless the decode server prefills the
// prompt.
func (a *attempt) Prefill(ctx context.Context) (outcome.Outcome, bool) {
	if a.servers.prefill == nil {
		return outcome.Outcome{}, true
	}
	fl := a.servers.prefill.openFlow(a.key)
	defer fl.close()
	wait := a.s.settings.Timing.Answer + 2*a.servers.expectedPrefill
	a.endedBy = a.servers.prefill
	if err := fl.send(a.prefillFrame(wait)); err != nil {
		return outcome.Refuse(outcome.LinkDown, 0), false
	}
	a.workDone = true
	ctx, cancel := context.WithTimeoutCause(ctx, 2*wait, errNoAnswer)
	defer cancel()
	f, err := fl.recv(ctx)
	if err != nil {
		return notStarted(err), false
	}
	if ref := f.GetRefused(); ref != nil {
		a.workDone = false
		return a.refused(ref), false
	}
	a.endedBy = nil
	a.kv = f.GetPrefilled()
	a.s.placer.recordPrefillResult(a.servers.prefill, a.r, int(a.kv.GetCachedTokens()))
	return outcome.Refuse(outcome.LinkDown, 0), a.kv != nil
}

// prefillFrame requests a prefill that may wait in the queue for at most wait.
func (a *attempt) prefillFrame(wait time.Duration) *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Prefill{Prefill: &wire.Prefill{
		Ref:          a.key.Ref(),
		Terms:        a.r.terms(),
		Model:        a.r.model,
		Prompt:       a.r.prompt + string(a.r.text),
		PromptTokens: uint32(a.r.promptTokens),
		MaxWaitMs:    uint32(wait.Milliseconds()),
	}}}
}

// answer starts the decode and receives until the attempt has ended.
func (a *attempt) answer(ctx context.Context) outcome.Outcome {
	if err := a.start(); err != nil {
		return outcome.Refuse(outcome.LinkDown, 0)
	}
	a.started = true
	for {
		f, err := a.decode.recv(ctx)
		if errors.Is(err, errLinkDown) {
			if out, ok := a.reattach(ctx); !ok {
				return out
			}
			continue
		}
		if err != nil {
			return a.giveUp(err)
		}
		if out, ended := a.handle(f); ended {
			return out
		}
	}
}

// start sends the start over the current link. A link that broke before does not matter: a sidecar that has
// been restarted since then refuses the start.
func (a *attempt) start() error {
	a.decode.discardLinkDown()
	a.incarnation = a.servers.decode.incarnation()
	return a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{
		Ref:          a.key.Ref(),
		Terms:        a.r.terms(),
		Model:        a.r.model,
		Handle:       a.kv.GetHandle(),
		Source:       a.kv.GetSource(),
		Prompt:       a.r.prompt,
		PromptTokens: uint32(a.r.promptTokens),
		MaxTokens:    uint32(a.r.maxTokens),
		Position:     uint32(a.r.received),
		Prior:        string(a.r.text),
		KvBytes:      a.kv.GetKvBytes(),
	}}})
}

// reattach waits for the link and resumes receiving the run at the received position.
func (a *attempt) reattach(ctx context.Context) (outcome.Outcome, bool) {
	wait, cancel := context.WithTimeoutCause(ctx, a.reattachTimeout(), errNoAnswer)
	defer cancel()
	if err := a.servers.decode.waitUp(wait); err != nil {
		if ctx.Err() != nil {
			return a.giveUp(context.Cause(ctx)), false
		}
		return a.refine(outcome.Indeterminate(outcome.LinkDown, "")), false
	}
	if a.servers.decode.incarnation() != a.incarnation {
		return a.refine(outcome.Indeterminate(outcome.SidecarRestarted, "")), false
	}
	a.attach()
	return outcome.Outcome{}, true
}

// reattachTimeout is how long to wait for a broken link. A run that may be repeated elsewhere waits half as
// long, by when its lease has expired; an unrepeatable one waits for the sidecar's report.
func (a *attempt) reattachTimeout() time.Duration {
	if a.r.class.Unrepeatable {
		return a.s.settings.Timing.Reattach
	}
	return a.s.settings.Timing.Reattach / 2
}

// giveUp ends a started attempt whose context ended.
func (a *attempt) giveUp(err error) outcome.Outcome {
	reason := causeReason(err)
	if a.r.received > 0 || reason == outcome.CallerGone {
		return a.refine(outcome.Indeterminate(reason, ""))
	}
	return a.fence(reason)
}

// fence has the sidecar refuse the run from now on, and returns whether the run had begun. Without an answer
// that stays unknown.
func (a *attempt) fence(reason outcome.Reason) outcome.Outcome {
	ctx, cancel := context.WithTimeoutCause(context.Background(), a.s.settings.Timing.Answer, errNoAnswer)
	defer cancel()
	_ = a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Ref: a.key.Ref()}}})
	for {
		f, err := a.decode.recv(ctx)
		if err != nil {
			return outcome.Indeterminate(reason, "fence not confirmed")
		}
		if fenced := f.GetFenced(); fenced != nil {
			return fencedOutcome(reason, fenced.GetRan())
		}
	}
}

func fencedOutcome(reason outcome.Reason, ran bool) outcome.Outcome {
	if ran {
		return outcome.Fail(reason, "")
	}
	return outcome.Refuse(reason, defaultRetryAfter)
}

// refine makes an unknown outcome a failed one when tokens were received, since a token proves a run.
func (a *attempt) refine(o outcome.Outcome) outcome.Outcome {
	if o.Kind == outcome.Unknown && a.r.received > 0 {
		o.Kind = outcome.Failed
	}
	return o
}

func causeReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, httpserver.ErrCallerGone):
		return outcome.CallerGone
	case errors.Is(err, httpserver.ErrDeadline):
		return outcome.DeadlineExceeded
	default:
		return outcome.LinkDown
	}
}

// notStarted is the outcome of an attempt that ended before its start was sent.
func notStarted(err error) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.NotRun, Reason: causeReason(err), RetryAfter: defaultRetryAfter}
}

// refusedOutcome returns the outcome in m. A kind that this build does not know counts as unknown.
func refusedOutcome(m *wire.Refused) outcome.Outcome {
	kind := outcome.Kind(m.GetKind())
	if kind != outcome.NotRun && kind != outcome.Failed {
		kind = outcome.Unknown
	}
	return outcome.Outcome{
		Kind:       kind,
		Reason:     outcome.Reason(m.GetReason()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Detail:     m.GetDetail(),
	}
}
