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

// refusalRetryAfter is the retry-after of refusals when another server may accept the
// request.
const refusalRetryAfter = 250 * time.Millisecond

// handle processes one frame from an entry. It does not block on the engine.
func (s *Server) handle(sess *session, f *wire.EntryFrame) {
	if b, ok := f.GetBody().(*wire.EntryFrame_Records); ok {
		s.applyRecords(sess, b.Records)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease(sess).lastFrame = time.Now()
	switch b := f.GetBody().(type) {
	case *wire.EntryFrame_Beat:
		s.onHeartbeat(sess, b.Beat)
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
	case *wire.EntryFrame_Suspects:
		s.onSuspects(sess, b.Suspects)
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

func (s *Server) onHeartbeat(sess *session, b *wire.EntryBeat) {
	interval := time.Duration(b.GetIntervalMs()) * time.Millisecond
	sess.link.ReceiveHeartbeat(interval)
	s.lease(sess).interval = max(interval, s.set.Timing.Heartbeat)
	s.updateLeaving(func(now time.Time) { s.leaving.Listed(now, sess.entry.GetEntryId(), b.GetListedLeaving()) })
	sess.peerRevision = max(sess.peerRevision, b.GetHeadRevision())
	s.pullIfBehind(sess)
	s.sendRecords(sess, sess.peerRevision)
}

// admit makes the checks common to all new work and creates a ledger entry. It
// returns nil after a refusal. The caller holds mu.
func (s *Server) admit(sess *session, key wire.Key, t *wire.Terms, stage wire.Stage) *run {
	refuse := func(reason outcome.Reason, after time.Duration) *run {
		s.refuse(sess, key, stage, outcome.Refuse(reason, after))
		return nil
	}
	if old, ok := s.runs[key]; ok {
		if old.phase == phaseFenced {
			return refuse(outcome.Fenced, refusalRetryAfter)
		}
		s.refuse(sess, key, stage, outcome.Indeterminate(outcome.Duplicate, "attempt known already"))
		return nil
	}
	if s.leaving.Leaving() {
		return refuse(outcome.Leaving, refusalRetryAfter)
	}
	if t.GetContractRevision() < s.state.Revision(dissemination.ContractPrefix+t.GetCustomer()) {
		s.sendRecords(sess, 0)
		return refuse(outcome.StaleRevision, 0)
	}
	if len(s.runs) >= s.set.Bounds.Runs {
		return refuse(outcome.NoDecodeSlot, refusalRetryAfter)
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
	s.recordDemand(m.GetTerms())
	key := m.GetRef().Key()
	if s.eng == nil || !s.serves(m.GetModel()) {
		s.refuse(sess, key, wire.Stage_STAGE_RESERVE, outcome.Refuse(outcome.NoBackend, refusalRetryAfter))
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
	d := s.adm.decode.Reserve(now, s.adm.decodeRequest(now, m))
	if d.Verdict == admission.Rejected {
		delete(s.runs, key)
		s.refuse(sess, key, wire.Stage_STAGE_RESERVE, outcome.Refuse(d.Reason, d.RetryAfter))
		return
	}
	s.advance(now)
	s.adm.wake()
}

// grantUnreserved implements the baseline that grants every reservation and requests
// a decode slot only after the KV cache has been computed. The caller holds mu.
func (s *Server) grantUnreserved(now time.Time, r *run, m *wire.Reserve) {
	validFor := s.set.Timing.Hold + 2*millis(m.GetPrefillMs())
	r.phase = phaseReserved
	r.expires = now.Add(validFor)
	s.grant(r, admission.Decision{ExpiresIn: validFor})
}

func (s *Server) onPrefill(sess *session, m *wire.Prefill) {
	if s.eng == nil || !s.serves(m.GetModel()) {
		s.refuse(sess, m.GetRef().Key(), wire.Stage_STAGE_PREFILL, outcome.Refuse(outcome.NoBackend, refusalRetryAfter))
		return
	}
	r := s.admit(sess, m.GetRef().Key(), m.GetTerms(), wire.Stage_STAGE_PREFILL)
	if r == nil {
		return
	}
	now := time.Now()
	d := s.adm.prefill.Submit(now, s.adm.exportRequest(m))
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
		s.refuse(sess, key, wire.Stage_STAGE_START, outcome.Refuse(outcome.ReservationLapsed, refusalRetryAfter))
	case r.phase == phaseFenced:
		s.refuse(sess, key, wire.Stage_STAGE_START, outcome.Refuse(outcome.Fenced, refusalRetryAfter))
	case r.phase == phaseReserved && r.start == nil:
		r.sess = sess
		r.start = m
		s.startReserved(time.Now(), r)
	default:
		// A repeated start of the same attempt has no effect.
	}
}

// startReserved starts a run in its decode slot, or queues it for one. The caller
// holds mu.
func (s *Server) startReserved(now time.Time, r *run) {
	if s.adm.reserve {
		s.applyDecodeDecision(now, r, s.adm.decode.Start(now, admission.Key(r.key)))
		s.adm.wake()
		return
	}
	m := r.start
	r.phase = phaseWaiting
	r.expires = time.Time{}
	d := s.adm.decode.Reserve(now, s.adm.decodeRequest(now, &wire.Reserve{
		Ref: m.GetRef(), Terms: m.GetTerms(), PromptTokens: m.GetPromptTokens(), MaxTokens: m.GetMaxTokens(), KvBytes: m.GetKvBytes(),
	}))
	s.applyDecodeDecision(now, r, d)
	s.advance(now)
	s.adm.wake()
}

func (s *Server) onCall(sess *session, m *wire.Call) {
	s.recordDemand(m.GetTerms())
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

// onCancel closes an attempt, ended or not. A Cancel is the last frame that an entry
// sends about it.
func (s *Server) onCancel(key wire.Key) {
	if r, ok := s.runs[key]; ok {
		s.abandon(r, abandonOutcome(r, outcome.CallerGone))
		r.out.tokens, r.out.final = nil, nil
		r.closed = true
	}
}

// onFence ensures that an attempt that has not run never will, and reports whether
// it has run.
func (s *Server) onFence(sess *session, key wire.Key) {
	r, ok := s.runs[key]
	if !ok {
		r = &run{key: key, owner: sess.entry.GetIncarnation()}
		s.runs[key] = r
	}
	if r.phase < phaseRunning {
		s.fenceUnstarted(r)
	}
	sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Fenced{Fenced: &wire.Fenced{Ref: key.Ref(), Ran: r.ran}}})
}

// fenceUnstarted fences an attempt that has not run. The caller holds mu.
func (s *Server) fenceUnstarted(r *run) {
	if r.cancel != nil {
		r.cancel()
	}
	s.release(r)
	r.phase = phaseFenced
	r.expires = time.Now().Add(s.set.Timing.Retain)
	s.triggerSweep()
}

func (s *Server) onAck(m *wire.Ack) {
	if r, ok := s.runs[m.GetRef().Key()]; ok {
		r.out.ack(int(m.GetPosition()))
		r.sendOutput(s.set.Bounds.Window)
	}
}

// onAttach reattaches a run to its entry. An unknown attempt was never started here
// and is fenced so that it never will be; if runs of the entry were abandoned before,
// it may also have been deleted from the ledger.
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
		s.fenceUnstarted(r)
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Refuse(outcome.LinkDown, 0))
	case r.phase == phaseFenced:
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Refuse(outcome.Fenced, 0))
	case r.closed:
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Fail(outcome.CallerGone, ""))
	case r.abandoned:
		sess.send(r.out.final)
	case !r.out.rewind(int(m.GetPosition())):
		s.refuse(sess, key, wire.Stage_STAGE_ATTACH, outcome.Fail(outcome.AnswerIncomplete, "position no longer held"))
	default:
		r.sendOutput(s.set.Bounds.Window)
	}
}

func (s *Server) unknownAttempt(sess *session) outcome.Outcome {
	if s.lapsedOwners[sess.entry.GetIncarnation()] {
		return outcome.Indeterminate(outcome.LeaseLapsed, "attempt not known any more")
	}
	return outcome.Refuse(outcome.LinkDown, 0)
}
