package sidecar

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/admission"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

var errProtocol = merry.Sentinel("unknown protocol version or missing incarnation")

// refusalRetry is the retry-after of refusals that another server may lift.
const refusalRetry = 250 * time.Millisecond

// handle takes one frame of an entry. It does not block on the engine.
func (s *Server) handle(sess *session, f *wire.EntryFrame) {
	if b, ok := f.GetBody().(*wire.EntryFrame_Records); ok {
		s.applyRecords(sess, b.Records)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease(sess).heard = time.Now()
	switch b := f.GetBody().(type) {
	case *wire.EntryFrame_Beat:
		s.onBeat(sess, b.Beat)
	case *wire.EntryFrame_Reserve:
		s.onReserve(sess, b.Reserve)
	case *wire.EntryFrame_Prefill:
		s.onPrefill(sess, b.Prefill)
	case *wire.EntryFrame_Start:
		s.onStart(sess, b.Start)
	case *wire.EntryFrame_Call:
		s.onCall(sess, b.Call)
	case *wire.EntryFrame_Cancel:
		s.onCancel(b.Cancel.GetRef().Key())
	case *wire.EntryFrame_Fence:
		s.onFence(sess, b.Fence.GetRef().Key())
	case *wire.EntryFrame_Ack:
		s.onAck(b.Ack)
	case *wire.EntryFrame_Attach:
		s.onAttach(sess, b.Attach)
	case *wire.EntryFrame_Claim:
		s.onClaim(sess, b.Claim)
	}
}

func (s *Server) applyRecords(sess *session, m *wire.Records) {
	applied, err := s.state.Apply(dissemination.FromWire(m))
	if applied {
		sess.link.SendHeartbeat()
	}
	if err != nil {
		event.RecordInvalid.Log(s.log).Err(err).Str("entry", sess.entry.GetEntryId()).Msg("")
	}
}

func (s *Server) onBeat(sess *session, b *wire.EntryBeat) {
	interval := time.Duration(b.GetIntervalMs()) * time.Millisecond
	sess.link.ReceiveHeartbeat(interval)
	s.lease(sess).interval = max(interval, s.set.Timing.Beat)
	s.hearLeaving(func(now time.Time) { s.leaving.Listed(now, sess.entry.GetEntryId(), b.GetListedLeaving()) })
	sess.has = max(sess.has, b.GetHeadRevision())
	s.offered(sess)
	s.heal(sess, sess.has)
}

// admit makes the checks common to all new work and opens a ledger entry. It
// returns nil after refusing. The caller holds mu.
func (s *Server) admit(sess *session, key wire.Key, t *wire.Terms, stage wire.Stage) *run {
	refuse := func(reason outcome.Reason, after time.Duration) *run {
		s.refuse(sess, key, stage, outcome.Refuse(reason, after))
		return nil
	}
	if old, ok := s.runs[key]; ok {
		if old.phase == phaseFenced {
			return refuse(outcome.FencedOff, refusalRetry)
		}
		s.refuse(sess, key, stage, outcome.Unsure(outcome.Duplicate, "attempt known already"))
		return nil
	}
	if s.leaving.Leaving() {
		return refuse(outcome.Leaving, refusalRetry)
	}
	if t.GetContractRevision() < s.state.Revision(dissemination.ContractPrefix+t.GetCustomer()) {
		s.heal(sess, 0)
		return refuse(outcome.StaleRevision, 0)
	}
	if len(s.runs) >= s.set.Bounds.Runs {
		return refuse(outcome.NoPlace, refusalRetry)
	}
	r := &run{
		key:      key,
		engineID: fmt.Sprintf("%s.%d.%s", key.RequestID, key.Attempt, s.incarnation),
		owner:    sess.entry.GetIncarnation(),
		terms:    t,
		sess:     sess,
	}
	s.runs[key] = r
	sess.active.Store(true)
	return r
}

func (s *Server) onReserve(sess *session, m *wire.Reserve) {
	s.meter(m.GetTerms())
	key := m.GetRef().Key()
	if s.eng == nil || !s.serves(m.GetModel()) {
		s.refuse(sess, key, wire.Stage_STAGE_RESERVE, outcome.Refuse(outcome.NoBackend, refusalRetry))
		return
	}
	r := s.admit(sess, key, m.GetTerms(), wire.Stage_STAGE_RESERVE)
	if r == nil {
		return
	}
	now := time.Now()
	if !s.adm.reserve {
		s.grantUnreserved(now, r, m)
		return
	}
	r.phase = phaseWaiting
	d := s.adm.places.Reserve(now, s.adm.request(now, m))
	if d.Verdict == admission.Rejected {
		delete(s.runs, key)
		s.refuse(sess, key, wire.Stage_STAGE_RESERVE, outcome.Refuse(d.Reason, d.RetryAfter))
		return
	}
	s.advance(now)
	s.adm.wake()
}

// grantUnreserved is the baseline that says yes to every reservation and looks
// for a place only when the KV cache is there. The caller holds mu.
func (s *Server) grantUnreserved(now time.Time, r *run, m *wire.Reserve) {
	hold := s.set.Timing.Hold + 2*millis(m.GetPrefillMs())
	r.phase = phaseReserved
	r.expires = now.Add(hold)
	s.grant(r, admission.Decision{ExpiresIn: hold})
}

func (s *Server) onPrefill(sess *session, m *wire.Prefill) {
	if s.eng == nil || !s.serves(m.GetModel()) {
		s.refuse(sess, m.GetRef().Key(), wire.Stage_STAGE_PREFILL, outcome.Refuse(outcome.NoBackend, refusalRetry))
		return
	}
	r := s.admit(sess, m.GetRef().Key(), m.GetTerms(), wire.Stage_STAGE_PREFILL)
	if r == nil {
		return
	}
	now := time.Now()
	d := s.adm.prefill.Submit(now, s.adm.prefillWork(m))
	if d.Verdict == admission.Rejected {
		delete(s.runs, r.key)
		s.refuse(sess, r.key, wire.Stage_STAGE_PREFILL, outcome.Refuse(d.Reason, d.RetryAfter))
		return
	}
	r.phase = phasePrefill
	r.prefill = m
	s.advance(now)
	s.adm.wake()
}

func (s *Server) onStart(sess *session, m *wire.Start) {
	key := m.GetRef().Key()
	r, ok := s.runs[key]
	switch {
	case !ok:
		s.refuse(sess, key, wire.Stage_STAGE_START, outcome.Refuse(outcome.ReservationLapsed, refusalRetry))
	case r.phase == phaseFenced:
		s.refuse(sess, key, wire.Stage_STAGE_START, outcome.Refuse(outcome.FencedOff, refusalRetry))
	case r.phase == phaseReserved && r.start == nil:
		r.sess = sess
		r.start = m
		s.startReserved(time.Now(), r)
	default:
		// A repeated start of the same attempt changes nothing.
	}
}

// startReserved starts a run on its place, or lets it wait for one. The caller holds mu.
func (s *Server) startReserved(now time.Time, r *run) {
	if s.adm.reserve {
		s.decided(now, r, s.adm.places.Start(now, admission.Key(r.key)))
		s.adm.wake()
		return
	}
	m := r.start
	r.phase = phaseWaiting
	r.expires = time.Time{}
	d := s.adm.places.Reserve(now, s.adm.request(now, &wire.Reserve{
		Ref: m.GetRef(), Terms: m.GetTerms(), PromptTokens: m.GetPromptTokens(), MaxTokens: m.GetMaxTokens(), KvBytes: m.GetKvBytes(),
	}))
	s.decided(now, r, d)
	s.advance(now)
	s.adm.wake()
}

func (s *Server) onCall(sess *session, m *wire.Call) {
	s.meter(m.GetTerms())
	key := m.GetRef().Key()
	if s.caller == nil {
		s.refuse(sess, key, wire.Stage_STAGE_CALL, outcome.Refuse(outcome.NoBackend, 0))
		return
	}
	r := s.admit(sess, key, m.GetTerms(), wire.Stage_STAGE_CALL)
	if r == nil {
		return
	}
	r.phase = phaseRunning
	r.ran = true
	s.begin(r, func(w *worker) { w.call(m) })
}

// onCancel is the entry's last word on an attempt, ended or not.
func (s *Server) onCancel(key wire.Key) {
	if r, ok := s.runs[key]; ok {
		s.abandon(r, endOutcome(r, outcome.CallerGone))
		r.out.tokens, r.out.final = nil, nil
		r.closed = true
	}
}

// onFence makes sure that an attempt never runs from now on, and says whether it had.
func (s *Server) onFence(sess *session, key wire.Key) {
	r, ok := s.runs[key]
	if !ok {
		r = &run{key: key, owner: sess.entry.GetIncarnation()}
		s.runs[key] = r
	}
	if r.phase < phaseRunning {
		s.stopUnstarted(r)
	}
	sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Fenced{Fenced: &wire.Fenced{Ref: key.Ref(), Ran: r.ran}}})
}

// stopUnstarted turns an attempt that has not run into a fence. The caller holds mu.
func (s *Server) stopUnstarted(r *run) {
	if r.cancel != nil {
		r.cancel()
	}
	s.release(r)
	r.phase = phaseFenced
	r.expires = time.Now().Add(s.set.Timing.Retain)
	s.kickSweep()
}

func (s *Server) onAck(m *wire.Ack) {
	if r, ok := s.runs[m.GetRef().Key()]; ok {
		r.out.ack(int(m.GetPosition()))
		r.pump(s.set.Bounds.Window)
	}
}

// onAttach re-joins a run. An attempt that is not known here was never started
// here, and is fenced so that this stays true; of an entry whose runs were once
// given up it may also have been forgotten.
func (s *Server) onAttach(sess *session, m *wire.Attach) {
	key := m.GetRef().Key()
	r, ok := s.runs[key]
	if !ok {
		s.runs[key] = &run{key: key, owner: sess.entry.GetIncarnation(), phase: phaseFenced, expires: time.Now().Add(s.set.Timing.Retain)}
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, s.unknownAttempt(sess))
		return
	}
	r.sess = sess
	r.owner = sess.entry.GetIncarnation()
	switch {
	case r.phase <= phaseReserved:
		s.stopUnstarted(r)
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Refuse(outcome.LinkDown, 0))
	case r.phase == phaseFenced:
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Refuse(outcome.FencedOff, 0))
	case r.closed:
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Fail(outcome.CallerGone, ""))
	case r.abandoned:
		sess.send(r.out.final)
	case !r.out.rewind(int(m.GetPosition())):
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Fail(outcome.AnswerIncomplete, "position no longer held"))
	default:
		r.pump(s.set.Bounds.Window)
	}
}

func (s *Server) unknownAttempt(sess *session) outcome.Outcome {
	if s.lapsed[sess.entry.GetIncarnation()] {
		return outcome.Unsure(outcome.LeaseLapsed, "attempt not known any more")
	}
	return outcome.Refuse(outcome.LinkDown, 0)
}
