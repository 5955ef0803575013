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

// attempt is one try at a request on one placement, through the sidecars of its servers.
// It implements lifecycle.Attempt; only the start of the decode counts as a run.
type attempt struct {
	s   *Service
	r   *request
	key wire.Key
	sv  servers

	decode *flow
	// incarnation is that of the decode sidecar when the attempt began.
	incarnation string
	// kv is the exported KV cache; nil when the decode server reads the prompt.
	kv      *wire.Prefilled
	started bool
	// acked is the position last acknowledged.
	acked int
	// worked tells that a prefill was done or begun.
	worked bool
	// fault is the server that ended the attempt; nil stands for the decode server.
	fault *peer
}

// newAttempt returns an attempt that receives from its decode sidecar.
func newAttempt(s *Service, r *request, n uint32, sv servers) *attempt {
	a := &attempt{s: s, r: r, key: wire.Key{RequestID: r.id, Attempt: n}, sv: sv}
	a.decode = sv.decode.open(a.key)
	a.incarnation = sv.decode.incarnation()
	return a
}

// Reserve implements lifecycle.Attempt. A baseline reserves only once the prompt was read.
func (a *attempt) Reserve(ctx context.Context) (outcome.Outcome, bool) {
	if !a.s.set.Policy.Reserve {
		return outcome.Outcome{}, true
	}
	return a.reserve(ctx)
}

// Answer implements lifecycle.Attempt.
func (a *attempt) Answer(ctx context.Context) outcome.Outcome {
	if !a.s.set.Policy.Reserve {
		if o, ok := a.reserve(ctx); !ok {
			return o
		}
	}
	return a.answer(ctx)
}

// ending describes the end of the attempt to the retry policy.
func (a *attempt) ending(o outcome.Outcome) retry.Attempt {
	at := a.fault
	if at == nil {
		at = a.sv.decode
	}
	return endingAt(o, at, a.worked || a.started)
}

// Release implements lifecycle.Attempt: it tells both sidecars that the attempt is over. What
// they still hold for it is given up, and nothing of it needs to be kept or sent again.
func (a *attempt) Release() {
	defer a.decode.close()
	_ = a.decode.send(cancelFrame(a.key))
	if a.sv.prefill != nil {
		_ = a.sv.prefill.send(cancelFrame(a.key))
	}
}

func cancelFrame(key wire.Key) *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Ref: key.Ref()}}}
}

func (a *attempt) reserve(ctx context.Context) (outcome.Outcome, bool) {
	terms := a.r.terms()
	a.r.allow.fill(terms, a.key.Attempt)
	err := a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: &wire.Reserve{
		Ref:          a.key.Ref(),
		Terms:        terms,
		Model:        a.r.model,
		PromptTokens: uint32(a.r.tokens),
		MaxTokens:    uint32(a.r.max),
		PrefillMs:    uint32(a.sv.prefilled.Milliseconds()),
	}}})
	if err != nil {
		return outcome.Refuse(outcome.LinkDown, 0), false
	}
	ctx, cancel := context.WithTimeoutCause(ctx, a.s.set.Timing.Answer+a.placeWait(), errNoAnswer)
	defer cancel()
	f, err := a.decode.recv(ctx)
	if err != nil {
		return notStarted(err), false
	}
	if ref := f.GetRefused(); ref != nil {
		return refused(ref), false
	}
	return outcome.Refuse(outcome.LinkDown, 0), f.GetGranted() != nil
}

// placeWait bounds how long the sidecar may keep the reservation waiting for a
// place: what is left of the target, since it refuses what would come later.
func (a *attempt) placeWait() time.Duration {
	if left := a.r.class.TTFT - time.Since(a.r.begun); left > 0 {
		return left
	}
	return admission.DefaultMaxWait
}

// Prefill implements lifecycle.Attempt. The KV cache is exported, unless the decode server
// reads the prompt.
func (a *attempt) Prefill(ctx context.Context) (outcome.Outcome, bool) {
	if a.sv.prefill == nil {
		return outcome.Outcome{}, true
	}
	fl := a.sv.prefill.open(a.key)
	defer fl.close()
	wait := a.s.set.Timing.Answer + 2*a.sv.prefilled
	a.fault = a.sv.prefill
	if err := fl.send(a.prefillFrame(wait)); err != nil {
		return outcome.Refuse(outcome.LinkDown, 0), false
	}
	a.worked = true
	ctx, cancel := context.WithTimeoutCause(ctx, 2*wait, errNoAnswer)
	defer cancel()
	f, err := fl.recv(ctx)
	if err != nil {
		return notStarted(err), false
	}
	if ref := f.GetRefused(); ref != nil {
		a.worked = false
		return refused(ref), false
	}
	a.fault = nil
	a.kv = f.GetPrefilled()
	a.s.placer.prefilled(a.sv.prefill, a.r, int(a.kv.GetCachedTokens()))
	return outcome.Refuse(outcome.LinkDown, 0), a.kv != nil
}

// prefillFrame asks for the prompt to be read, with wait as the most that it may queue.
func (a *attempt) prefillFrame(wait time.Duration) *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Prefill{Prefill: &wire.Prefill{
		Ref:          a.key.Ref(),
		Terms:        a.r.terms(),
		Model:        a.r.model,
		Prompt:       a.r.prompt + string(a.r.text),
		PromptTokens: uint32(a.r.tokens),
		MaxWaitMs:    uint32(wait.Milliseconds()),
	}}}
}

// answer starts the decode and receives until the end.
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
		if out, ended := a.take(f); ended {
			return out
		}
	}
}

// start sends the start over the present link. One that broke before is of no
// account: a sidecar that was restarted since refuses the start.
func (a *attempt) start() error {
	a.decode.forgetDown()
	a.incarnation = a.sv.decode.incarnation()
	return a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{
		Ref:          a.key.Ref(),
		Terms:        a.r.terms(),
		Model:        a.r.model,
		Handle:       a.kv.GetHandle(),
		Source:       a.kv.GetSource(),
		Prompt:       a.r.prompt,
		PromptTokens: uint32(a.r.tokens),
		MaxTokens:    uint32(a.r.max),
		Position:     uint32(a.r.received),
		Prior:        string(a.r.text),
		KvBytes:      a.kv.GetKvBytes(),
	}}})
}

// reattach waits for the link and re-joins the run at the received position.
func (a *attempt) reattach(ctx context.Context) (outcome.Outcome, bool) {
	wait, cancel := context.WithTimeoutCause(ctx, a.patience(), errNoAnswer)
	defer cancel()
	if err := a.sv.decode.waitUp(wait); err != nil {
		if ctx.Err() != nil {
			return a.giveUp(context.Cause(ctx)), false
		}
		return a.ended(outcome.Unsure(outcome.LinkDown, "")), false
	}
	if a.sv.decode.incarnation() != a.incarnation {
		return a.ended(outcome.Unsure(outcome.SidecarRestarted, "")), false
	}
	a.attach()
	return outcome.Outcome{}, true
}

// patience is how long a broken link is waited for. A run that may be repeated
// elsewhere waits half as long, by when its lease is over; one that may not waits
// for the sidecar's word.
func (a *attempt) patience() time.Duration {
	if a.r.class.Unrepeatable {
		return a.s.set.Timing.Reattach
	}
	return a.s.set.Timing.Reattach / 2
}

// giveUp ends a started attempt whose context ended.
func (a *attempt) giveUp(err error) outcome.Outcome {
	reason := causeReason(err)
	if a.r.received > 0 || reason == outcome.CallerGone {
		return a.ended(outcome.Unsure(reason, ""))
	}
	return a.fence(reason)
}

// fence has the sidecar refuse the run from now on, and learns whether it had
// begun. Without an answer that stays unknown.
func (a *attempt) fence(reason outcome.Reason) outcome.Outcome {
	ctx, cancel := context.WithTimeoutCause(context.Background(), a.s.set.Timing.Answer, errNoAnswer)
	defer cancel()
	_ = a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Ref: a.key.Ref()}}})
	for {
		f, err := a.decode.recv(ctx)
		if err != nil {
			return outcome.Unsure(reason, "fence not confirmed")
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
	return outcome.Refuse(reason, noAnswerRetry)
}

// ended sharpens an outcome by what was received: a token proves a run.
func (a *attempt) ended(o outcome.Outcome) outcome.Outcome {
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
	return outcome.Outcome{Kind: outcome.NotRun, Reason: causeReason(err), RetryAfter: noAnswerRetry}
}

// refused is the outcome in m. A kind that this build does not know proves nothing.
func refused(m *wire.Refused) outcome.Outcome {
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
