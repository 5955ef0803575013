package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/admission"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// admitter holds the policies of the engine's places and prefills, guarded by
// Server.mu. The server acts on their decisions in advance.
type admitter struct {
	places  *admission.Decode
	prefill *admission.Prefill
	// reserve is false for the baseline without reservations.
	reserve bool
	// mixed engines prefill the prompts that they decode.
	mixed           bool
	kvBytesPerToken int64
	// kick wakes the loop that calls advance.
	kick chan struct{}
}

func newAdmitter(set Settings, info engine.Info) *admitter {
	places := admission.DefaultDecodeConfig(max(info.DecodeSlots, 1))
	places.StepBase, places.StepPerRun = info.StepBase, info.StepPerRun
	places.LinkBytesPerSecond = info.LinkBytesPerSecond
	places.Grace = set.Timing.Hold
	places.MaxQueued = set.Bounds.Queue
	places.FIFO = set.Policy.Admission == AdmissionFIFO
	prefill := admission.DefaultPrefillConfig(info.PrefillTokensPerSecond)
	prefill.Window = set.Bounds.Prefills
	prefill.MaxQueued = set.Bounds.Queue
	prefill.FIFO = places.FIFO
	mixed := info.Role == engine.RoleMixed
	if mixed {
		prefill.Window = places.Slots // runs that have a place begin their prefill at once
	}
	return &admitter{
		places:          admission.NewDecode(places),
		prefill:         admission.NewPrefill(prefill),
		reserve:         set.Policy.Reserve,
		mixed:           mixed,
		kvBytesPerToken: info.KVBytesPerToken,
		kick:            make(chan struct{}, 1),
	}
}

// wake makes the loop call advance soon.
func (a *admitter) wake() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// request is what a reservation asks of the places.
func (a *admitter) request(now time.Time, m *wire.Reserve) admission.DecodeRequest {
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
		r.TTFT = a.beforePrefill(now, r.TTFT, work(m.GetRef(), t, m.GetPromptTokens()))
		return r
	}
	if r.KVBytes == 0 {
		r.KVBytes = int64(m.GetPromptTokens()) * a.kvBytesPerToken
	}
	return r
}

// beforePrefill returns what is left of a target when the prefill is done here,
// once the place is free; at least a little, since 0 means no target.
func (a *admitter) beforePrefill(now time.Time, ttft time.Duration, w admission.PrefillRequest) time.Duration {
	if ttft == 0 {
		return 0
	}
	return max(ttft-a.prefill.Cost(w)-a.prefill.Backlog(now), time.Millisecond)
}

func work(ref *wire.Ref, t *wire.Terms, tokens uint32) admission.PrefillRequest {
	return admission.PrefillRequest{
		Key:      admission.Key(ref.Key()),
		Customer: t.GetCustomer(),
		Class:    t.GetClass(),
		Share:    share(t),
		Urgency:  contract.Urgency(t.GetUrgency()),
		Tokens:   int(tokens),
	}
}

// prefillWork is what a prefill for export asks of the queue. It is to be done
// within the target, and to begin within the wait that the entry allows.
func (a *admitter) prefillWork(m *wire.Prefill) admission.PrefillRequest {
	w := work(m.GetRef(), m.GetTerms(), m.GetPromptTokens())
	w.Budget = millis(m.GetMaxWaitMs()) + a.prefill.Cost(w)
	if ttft := millis(m.GetTerms().GetTtftMs()); ttft > 0 {
		w.Budget = min(w.Budget, ttft)
	}
	return w
}

// load is the server's own view of its promises.
func (a *admitter) load(now time.Time) *wire.Load {
	l := a.places.Load(now)
	return &wire.Load{
		Places:           uint32(l.Slots),
		PlacesUsed:       uint32(l.UsedSlots),
		Queued:           uint32(l.Queued + a.prefill.Queued()),
		PrefillBacklogMs: uint32(a.prefill.Backlog(now).Milliseconds()),
		LinkBacklogMs:    uint32(l.LinkBacklog.Milliseconds()),
		StepUs:           uint32(l.Step.Microseconds()),
	}
}

// release gives back all that an attempt holds. tokens is the length of a whole
// answer, or -1 of a run that was not completed.
func (a *admitter) release(now time.Time, key wire.Key, tokens int) {
	k := admission.Key(key)
	a.prefill.Cancel(now, k)
	if tokens >= 0 {
		a.places.Completed(now, k, tokens)
	} else {
		a.places.Cancel(k)
	}
	a.wake()
}

// admitLoop calls advance whenever something was given back or has become due.
func (s *Server) admitLoop() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.adm.kick:
		case <-t.C:
		}
		if next, ok := s.admitDue(); ok {
			t.Reset(time.Until(next))
		}
	}
}

// admitDue acts on what is due and returns when something will be next.
func (s *Server) admitDue() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advance(now)
	next, ok := s.adm.places.NextWake(now)
	if due, more := s.adm.prefill.NextWake(); more && (!ok || due.Before(next)) {
		return due, true
	}
	return next, ok
}

// advance acts on all decisions that are due. The caller holds mu.
func (s *Server) advance(now time.Time) {
	for _, d := range s.adm.places.Advance(now) {
		if r := s.runs[wire.Key(d.Key)]; r != nil {
			s.decided(now, r, d)
		}
	}
	for _, d := range s.adm.prefill.Advance(now) {
		if r := s.runs[wire.Key(d.Key)]; r != nil && r.prefill != nil {
			s.prefillDecided(r, d)
		}
	}
}

// decided acts on a decision on the place of r. The caller holds mu.
func (s *Server) decided(now time.Time, r *run, d admission.Decision) {
	switch d.Verdict {
	case admission.Granted:
		r.phase = phaseReserved
		if r.start != nil { // the baseline without reservations
			s.decided(now, r, s.adm.places.Start(now, d.Key))
			return
		}
		s.grant(r, d)
	case admission.Started:
		s.beginDecode(now, r, d)
	case admission.Rejected:
		s.turnAway(r, d)
	}
}

func (s *Server) grant(r *run, d admission.Decision) {
	if r.sess == nil {
		return
	}
	s.sendLoaded(r.sess, &wire.SidecarFrame{Body: &wire.SidecarFrame_Granted{Granted: &wire.Granted{
		Ref:       r.key.Ref(),
		WaitMs:    uint32(d.Wait.Milliseconds()),
		LinkMs:    uint32(d.LinkTime.Milliseconds()),
		ExpiresMs: uint32(d.ExpiresIn.Milliseconds()),
	}}})
}

// turnAway ends an attempt that was not begun. The caller holds mu.
func (s *Server) turnAway(r *run, d admission.Decision) {
	stage := wire.Stage_STAGE_RESERVE
	switch {
	case r.prefill != nil:
		stage = wire.Stage_STAGE_PREFILL
	case r.start != nil:
		stage = wire.Stage_STAGE_START
	}
	if d.Reason == outcome.ReservationLapsed {
		event.ReservationEnd.Log(s.log).Str("request", r.key.RequestID).Msg("")
	}
	s.met.Refused(d.Reason)
	s.finish(r, refusal(r.key, stage, outcome.Refuse(d.Reason, d.RetryAfter), s.state.Head()))
}

// beginDecode starts the worker of a run whose place is free. The caller holds mu.
func (s *Server) beginDecode(now time.Time, r *run, d admission.Decision) {
	m := r.start
	r.phase = phaseRunning
	r.out = output{base: int(m.GetPosition()), next: int(m.GetPosition()), acked: int(m.GetPosition())}
	if m.GetHandle() == "" {
		s.adm.prefill.Submit(now, work(m.GetRef(), m.GetTerms(), m.GetPromptTokens()))
		s.adm.wake()
	}
	s.begin(r, func(w *worker) {
		if w.pause(d.Wait) {
			w.decode(m)
		}
	})
}

// progress tells the policies of the token at a position. The caller holds mu.
func (s *Server) progress(now time.Time, r *run, position int) {
	k := admission.Key(r.key)
	if r.tokenAt.IsZero() {
		s.adm.places.FirstToken(k, now.Sub(r.begunAt))
		s.adm.prefill.Completed(now, k)
	} else {
		s.adm.places.ObserveStep(now.Sub(r.tokenAt))
	}
	r.tokenAt = now
	s.adm.places.Progress(now, k, position+1)
}

func (s *Server) prefillDecided(r *run, d admission.Decision) {
	if d.Verdict == admission.Rejected {
		s.turnAway(r, d)
		return
	}
	m := r.prefill
	s.begin(r, func(w *worker) { w.prefill(m) })
}

// share returns the customer's part of the capacity. A request without one, from
// a contract that leaves it open, counts as the smallest.
func share(t *wire.Terms) float64 {
	const thousandths = 1000
	return max(float64(t.GetShareMilli())/thousandths, 1.0/thousandths)
}

// maxStated bounds every duration that a peer states, so that none holds a place
// for long.
const maxStated = 10 * time.Minute

func millis(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxStated)
}
