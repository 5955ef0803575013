package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/admission"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// admitter holds the admission policies of the engine's decode slots and prefills,
// guarded by Server.mu. Server.advance applies their decisions.
type admitter struct {
	decode  *admission.Decode
	prefill *admission.Prefill
	// reserve is false for the baseline without reservations.
	reserve bool
	// mixed is true for an engine that prefills the prompts that it decodes.
	mixed           bool
	kvBytesPerToken int64
	// wakeup wakes admitLoop, which calls advance.
	wakeup chan struct{}
}

func newAdmitter(set Settings, info engine.Info) *admitter {
	decodeConfig := admission.DefaultDecodeConfig(max(info.DecodeSlots, 1))
	decodeConfig.StepBase, decodeConfig.StepPerRun = info.StepBase, info.StepPerRun
	decodeConfig.LinkBytesPerSecond = info.LinkBytesPerSecond
	decodeConfig.Grace = set.Timing.Hold
	decodeConfig.MaxQueued = set.Bounds.Queue
	decodeConfig.FIFO = set.Policy.Admission == AdmissionFIFO
	prefillConfig := admission.DefaultPrefillConfig(info.PrefillTokensPerSecond)
	prefillConfig.Window = set.Bounds.Prefills
	prefillConfig.MaxQueued = set.Bounds.Queue
	prefillConfig.FIFO = decodeConfig.FIFO
	mixed := info.Role == engine.RoleMixed
	if mixed {
		prefillConfig.Window = decodeConfig.Slots // a run with a slot starts its prefill at once
	}
	return &admitter{
		decode:          admission.NewDecode(decodeConfig),
		prefill:         admission.NewPrefill(prefillConfig),
		reserve:         set.Policy.Reserve,
		mixed:           mixed,
		kvBytesPerToken: info.KVBytesPerToken,
		wakeup:          make(chan struct{}, 1),
	}
}

// wake makes the loop call advance soon.
func (a *admitter) wake() {
	notify.Send(a.wakeup)
}

// decodeRequest returns the admission request for the decode slot of a reservation.
func (a *admitter) decodeRequest(now time.Time, m *wire.Reserve) admission.DecodeRequest {
	t := m.GetTerms()
	r := admission.DecodeRequest{
		Key:         admission.Key(m.GetRef().Key()),
		Customer:    t.GetCustomer(),
		Class:       t.GetClass(),
		Share:       share(t),
		Urgency:     contract.Urgency(t.GetUrgency()),
		TTFT:        millis(t.GetTtftMs()),
		TBT:         millis(t.GetTbtMs()),
		MaxTokens:   int(m.GetMaxTokens()),
		KVBytes:     int64(m.GetKvBytes()),
		PrefillTime: millis(m.GetPrefillMs()),
	}
	if a.mixed {
		r.PrefillTime, r.KVBytes = 0, 0
		r.TTFT = a.remainingTTFT(now, r.TTFT, prefillRequest(m.GetRef(), t, m.GetPromptTokens()))
		return r
	}
	if r.KVBytes == 0 {
		r.KVBytes = int64(m.GetPromptTokens()) * a.kvBytesPerToken
	}
	return r
}

// remainingTTFT returns the part of the target ttft that is left for the slot queue
// when the prefill is done here after the slot is granted. It is at least a
// millisecond, since 0 means no target.
func (a *admitter) remainingTTFT(now time.Time, ttft time.Duration, r admission.PrefillRequest) time.Duration {
	if ttft == 0 {
		return 0
	}
	return max(ttft-a.prefill.Cost(r)-a.prefill.Backlog(now), time.Millisecond)
}

func prefillRequest(ref *wire.Ref, t *wire.Terms, tokens uint32) admission.PrefillRequest {
	return admission.PrefillRequest{
		Key:      admission.Key(ref.Key()),
		Customer: t.GetCustomer(),
		Class:    t.GetClass(),
		Share:    share(t),
		Urgency:  contract.Urgency(t.GetUrgency()),
		Tokens:   int(tokens),
	}
}

// exportRequest returns the admission request of a prefill for export, which must
// start within the wait that the entry allows and complete within the TTFT target.
func (a *admitter) exportRequest(m *wire.Prefill) admission.PrefillRequest {
	r := prefillRequest(m.GetRef(), m.GetTerms(), m.GetPromptTokens())
	r.Budget = millis(m.GetMaxWaitMs()) + a.prefill.Cost(r)
	if ttft := millis(m.GetTerms().GetTtftMs()); ttft > 0 {
		r.Budget = min(r.Budget, ttft)
	}
	return r
}

// load returns the server's load as seen by its admission policies.
func (a *admitter) load(now time.Time) *wire.Load {
	l := a.decode.Load(now)
	return &wire.Load{
		Places:           uint32(l.Slots),
		PlacesUsed:       uint32(l.UsedSlots),
		Queued:           uint32(l.Queued + a.prefill.Queued()),
		PrefillBacklogMs: uint32(a.prefill.Backlog(now).Milliseconds()),
		LinkBacklogMs:    uint32(l.LinkBacklog.Milliseconds()),
		StepUs:           uint32(l.Step.Microseconds()),
	}
}

// release frees everything that an attempt holds. tokens is the length of a complete
// answer, or -1 if the run did not complete.
func (a *admitter) release(now time.Time, key wire.Key, tokens int) {
	k := admission.Key(key)
	a.prefill.Cancel(now, k)
	if tokens >= 0 {
		a.decode.Completed(now, k, tokens)
	} else {
		a.decode.Cancel(k)
	}
	a.wake()
}

// admitLoop calls advance whenever capacity was released or a decision is due.
func (s *Server) admitLoop() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.adm.wakeup:
		case <-t.C:
		}
		if next, ok := s.admitDue(); ok {
			t.Reset(time.Until(next))
		}
	}
}

// admitDue applies the decisions that are due and returns when the next one will be.
func (s *Server) admitDue() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advance(now)
	next, ok := s.adm.decode.NextWake(now)
	if due, more := s.adm.prefill.NextWake(); more && (!ok || due.Before(next)) {
		return due, true
	}
	return next, ok
}

// advance applies all decisions that are due. The caller holds mu.
func (s *Server) advance(now time.Time) {
	for _, d := range s.adm.decode.Advance(now) {
		if r := s.runs[wire.Key(d.Key)]; r != nil {
			s.applyDecodeDecision(now, r, d)
		}
	}
	for _, d := range s.adm.prefill.Advance(now) {
		if r := s.runs[wire.Key(d.Key)]; r != nil && r.prefill != nil {
			s.applyPrefillDecision(r, d)
		}
	}
}

// applyDecodeDecision applies a decision on the decode slot of r. The caller holds mu.
func (s *Server) applyDecodeDecision(now time.Time, r *run, d admission.Decision) {
	switch d.Verdict {
	case admission.Granted:
		r.phase = phaseReserved
		if r.start != nil { // the baseline without reservations
			s.applyDecodeDecision(now, r, s.adm.decode.Start(now, d.Key))
			return
		}
		s.grant(r, d)
	case admission.Started:
		s.beginDecode(now, r, d)
	case admission.Rejected:
		s.reject(r, d)
	}
}

func (s *Server) grant(r *run, d admission.Decision) {
	if r.sess == nil {
		return
	}
	s.sendWithLoad(r.sess, &wire.SidecarFrame{Body: &wire.SidecarFrame_Granted{Granted: &wire.Granted{
		Ref:       r.key.Ref(),
		WaitMs:    uint32(d.Wait.Milliseconds()),
		LinkMs:    uint32(d.LinkTime.Milliseconds()),
		ExpiresMs: uint32(d.ExpiresIn.Milliseconds()),
	}}})
}

// reject ends an attempt that was not started. The caller holds mu.
func (s *Server) reject(r *run, d admission.Decision) {
	stage := wire.Stage_STAGE_RESERVE
	switch {
	case r.prefill != nil:
		stage = wire.Stage_STAGE_PREFILL
	case r.start != nil:
		stage = wire.Stage_STAGE_START
	}
	if d.Reason == outcome.ReservationLapsed {
		event.ReservationExpired.Log(s.log).Str("request", r.key.RequestID).Msg("")
	}
	s.met.Refused(d.Reason)
	s.finish(r, refusal(r.key, stage, outcome.Refuse(d.Reason, d.RetryAfter), s.state.Head()))
}

// beginDecode starts the worker of a run that has its decode slot. The caller holds mu.
func (s *Server) beginDecode(now time.Time, r *run, d admission.Decision) {
	m := r.start
	r.phase = phaseRunning
	r.out = output{base: int(m.GetPosition()), next: int(m.GetPosition()), acked: int(m.GetPosition())}
	if m.GetHandle() == "" {
		s.adm.prefill.Submit(now, prefillRequest(m.GetRef(), m.GetTerms(), m.GetPromptTokens()))
		s.adm.wake()
	}
	s.begin(r, func(w *worker) {
		if sleep.For(w.ctx, d.Wait) {
			w.decode(m)
		}
	})
}

// progress reports the token at a position to the policies. The caller holds mu.
func (s *Server) progress(now time.Time, r *run, position int) {
	k := admission.Key(r.key)
	if r.lastTokenAt.IsZero() {
		s.adm.decode.FirstToken(k, now.Sub(r.startedAt))
		s.adm.prefill.Completed(now, k)
	} else {
		s.adm.decode.ObserveStep(now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	s.adm.decode.Progress(now, k, position+1)
}

func (s *Server) applyPrefillDecision(r *run, d admission.Decision) {
	if d.Verdict == admission.Rejected {
		s.reject(r, d)
		return
	}
	m := r.prefill
	s.begin(r, func(w *worker) { w.prefill(m) })
}

// share returns the customer's share of the capacity. A request without a share,
// from a contract that does not set one, gets the smallest.
func share(t *wire.Terms) float64 {
	const thousandths = 1000
	return max(float64(t.GetShareMilli())/thousandths, 1.0/thousandths)
}

// maxPeerDuration bounds every duration received from a peer, so that none can occupy
// a decode slot for long.
const maxPeerDuration = 10 * time.Minute

func millis(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxPeerDuration)
}
