package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/admission"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// worker makes the engine calls of one run without holding the server's lock.
type worker struct {
	s   *Server
	r   *run
	ctx context.Context
}

// begin starts a worker for r. The caller holds mu.
func (s *Server) begin(r *run, f func(*worker)) {
	ctx, cancel := context.WithCancel(s.ctx)
	r.cancel = cancel
	w := &worker{s: s, r: r, ctx: ctx}
	s.work.Go(func() {
		defer cancel()
		f(w)
	})
}

// locked calls f under the server's lock unless the run has ended.
func (w *worker) locked(f func()) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	if w.r.phase < phaseEnded {
		f()
	}
}

// refuse ends the run with o. lost is set if the engine or service terminated while it worked on the run.
func (w *worker) refuse(stage wire.Stage, o outcome.Outcome, lost bool) {
	w.locked(func() {
		w.s.met.Refused(o.Reason)
		final := refusal(w.r.key, stage, o, w.s.state.Head())
		if lost {
			final.GetRefused().EngineLosses = w.s.losses.lost()
		}
		w.s.finish(w.r, final)
	})
	w.s.triggerSweep()
}

// enginePriority converts an urgency, where the lowest goes first, into an engine
// priority, where the highest goes first.
func enginePriority(t *wire.Terms) int {
	return int(contract.Deferred) - int(t.GetUrgency())
}

// prefill computes the KV cache and reports it to the entry.
func (w *worker) prefill(m *wire.Prefill) {
	kv, err := w.s.eng.Prefill(w.ctx, engine.PrefillRequest{
		RunID:    w.r.engineID,
		Owner:    w.s.incarnation,
		Model:    m.GetModel(),
		Prompt:   m.GetPrompt(),
		Priority: enginePriority(m.GetTerms()),
	})
	if err != nil {
		w.fail(wire.Stage_STAGE_PREFILL, outcome.Refuse(prefillFailure(err), refusalRetryAfter), err)
		return
	}
	w.locked(func() {
		w.s.losses.workBegan()
		w.s.adm.prefill.Completed(time.Now(), admission.Key(w.r.key))
		w.s.adm.wake()
		w.r.phase = phaseExported
		w.r.handle = kv.Handle
		w.r.expires = time.Now().Add(kv.TTL)
		w.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Prefilled{Prefilled: &wire.Prefilled{
			Ref:          m.GetRef(),
			Handle:       kv.Handle,
			Source:       kv.Source,
			KvBytes:      uint64(kv.Bytes),
			PromptTokens: uint32(kv.PromptTokens),
			CachedTokens: uint32(kv.CachedTokens),
			ExpiresMs:    uint32(kv.TTL.Milliseconds()),
		}}})
	})
}

// prefillFailure returns the reason for an error of Prefill.
func prefillFailure(err error) outcome.Reason {
	if errors.Is(err, engine.ErrIndeterminate) {
		return outcome.EngineLost
	}
	return outcome.EngineError
}

func (w *worker) send(f *wire.SidecarFrame) {
	if w.r.sess != nil {
		w.r.sess.send(f)
	}
}

// fail logs err and ends the run with o.
func (w *worker) fail(stage wire.Stage, o outcome.Outcome, err error) {
	if w.ctx.Err() != nil {
		return
	}
	event.EngineFailed.Log(w.s.log).Str("request", w.r.key.RequestID).Err(err).Msg("")
	o.Detail = err.Error()
	w.refuse(stage, o, w.lost(stage, o))
}
