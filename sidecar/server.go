package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/claim"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/admission"
	"github.com/hibiscusspur/hibiscusspur/policy/drain"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// Server is the sidecar's logic without its listeners. One mutex guards its state;
// the engine is called without holding it.
type Server struct {
	set         Settings
	log         *log.Logger
	met         *metrics.Set
	eng         engine.Engine
	info        engine.Info
	caller      *serviceCaller
	incarnation string
	state       *dissemination.State

	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	sweepNow chan struct{}

	mu     sync.Mutex
	runs   map[wire.Key]*run
	leases map[string]*lease
	// lapsedOwners are the entry incarnations whose runs were abandoned when the lease
	// lapsed, and may have been deleted since.
	lapsedOwners map[string]bool
	sessions     map[*session]struct{}
	adm          *admitter
	leaving      *drain.Tracker
	demand       *limit.Meter
	tickets      *claim.Ledger
	target       target
	pull         dissemination.Pull[*session]
	losses       losses

	newTarget chan struct{}
}

// listedTTL is how long the last report of an entry that stopped sending is valid.
const listedTTL = time.Minute

// NewServer returns a server for the engine or, if eng is nil, for the plain service
// of the settings. incarnation is unique to this process.
func NewServer(set Settings, eng engine.Engine, info engine.Info, incarnation string, l *log.Logger, m *metrics.Set) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		set:          set,
		log:          l,
		met:          m,
		eng:          eng,
		info:         info,
		incarnation:  incarnation,
		state:        dissemination.NewState(),
		ctx:          ctx,
		stop:         stop,
		sweepNow:     make(chan struct{}, 1),
		runs:         make(map[wire.Key]*run),
		leases:       make(map[string]*lease),
		lapsedOwners: make(map[string]bool),
		sessions:     make(map[*session]struct{}),
		adm:          newAdmitter(set, info),
		leaving:      drain.New(listedTTL),
		tickets:      claim.NewLedger(set.Bounds.Tickets),
		newTarget:    make(chan struct{}, 1),
		demand:       limit.NewMeter(),
	}
	if eng == nil {
		s.caller = newServiceCaller(set.Service, set.Bounds.ReplyBytes)
	}
	s.state.Watch(s.onDelta)
	return s
}

// Loops starts the background loops, which run until Close.
func (s *Server) Loops() {
	s.work.Go(s.sweepLoop)
	s.work.Go(s.leaseLoop)
	if s.eng != nil {
		s.work.Go(s.orderLoop)
		s.work.Go(s.admitLoop)
	}
}

// Close stops all loops and work. It does not wait for runs; see Drain.
func (s *Server) Close() {
	s.stop()
	s.work.Wait()
}

// onDelta applies changes of this server's own record: whether it is retired and what
// its engine is to serve.
func (s *Server) onDelta(d dissemination.Delta) {
	event.RevisionApplied.Log(s.log).Uint64("revision", d.Head).Msg("")
	key := dissemination.BackendPrefix + s.set.ID
	for _, r := range d.Records {
		if r.Key != key {
			continue
		}
		s.onOwnRecord(r)
	}
	s.announce()
}

func (s *Server) onOwnRecord(r dissemination.Record) {
	retired := r.Deleted || recordRetired(r.Value)
	s.mu.Lock()
	s.updateLeaving(func(now time.Time) { s.leaving.Retired(now, r.Revision, retired) })
	s.mu.Unlock()
	if retired || s.eng == nil {
		return
	}
	t, err := targetOf(r.Revision, r.Value)
	if err != nil {
		event.RecordInvalid.Log(s.log).Str("key", r.Key).Err(err).Msg("")
		return
	}
	s.setTarget(t)
}

// updateLeaving updates the tracker and logs a change of the result. When the server
// begins to leave, requests that are queued for a decode slot are rejected. The caller
// holds mu.
func (s *Server) updateLeaving(update func(now time.Time)) {
	was := s.leaving.Leaving()
	update(time.Now())
	leaving := s.leaving.Leaving()
	if leaving == was {
		return
	}
	event.ServerLeaving.Log(s.log).Bool("leaving", leaving).Msg("")
	if !leaving {
		return
	}
	for _, r := range s.runs {
		if r.phase == phaseWaiting {
			s.reject(r, admission.Decision{Reason: outcome.Leaving, RetryAfter: refusalRetryAfter})
		}
	}
}

// Leave signals that the server itself is shutting down.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLeaving(s.leaving.Signalled)
}

// Leaving reports whether new work is refused.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.Leaving()
}

// slotsUsed returns the number of decode slots that are reserved or in use.
func (s *Server) slotsUsed() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.adm.decode.Load(time.Now()).UsedSlots)
}

// Active returns the number of attempts that are in progress or hold memory, or whose
// end an entry with a valid lease has not acknowledged yet.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runs {
		if r.phase < phaseEnded || (r.phase == phaseEnded && !r.closed && s.leases[r.owner] != nil) {
			n++
		}
	}
	return n
}

// Drain refuses new work and waits until no attempt is active or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	t := time.NewTicker(s.set.Timing.Heartbeat / 5)
	defer t.Stop()
	for s.Active() > 0 {
		select {
		case <-ctx.Done():
			event.DrainIncomplete.Log(s.log).Int("active", s.Active()).Msg("")
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// refuse counts and sends a refusal. The caller holds mu.
func (s *Server) refuse(sess *session, key wire.Key, stage wire.Stage, o outcome.Outcome) {
	s.met.Refused(o.Reason)
	s.sendWithLoad(sess, refusal(key, stage, o, s.state.Head()))
}

// finish ends a run with its final frame. The caller holds mu.
func (s *Server) finish(r *run, final *wire.SidecarFrame) {
	if r.phase == phaseEnded {
		return
	}
	r.out.final = final
	s.release(r)
	r.phase = phaseEnded
	r.expires = time.Now().Add(s.set.Timing.Retain)
	if r.sess != nil {
		s.addLoad(r.sess, final)
	}
	r.sendOutput(s.set.Bounds.Window)
}

// release frees what r holds of the decode slots, the link and the prefill queue.
// The caller holds mu.
func (s *Server) release(r *run) {
	tokens := -1
	if d := r.out.final.GetDone(); d != nil {
		tokens = int(d.GetTotal())
	}
	s.adm.release(time.Now(), r.key, tokens)
}

// abandon cancels a run whose output is no longer needed. The caller holds mu.
func (s *Server) abandon(r *run, o outcome.Outcome) {
	if r.phase >= phaseEnded {
		return
	}
	event.RunCancelled.Log(s.log).Str("request", r.key.RequestID).Uint32("attempt", r.key.Attempt).Str("reason", string(o.Reason)).Msg("")
	if r.cancel != nil {
		r.cancel()
	}
	s.finish(r, refusal(r.key, wire.Stage_STAGE_DECODE, o, s.state.Head()))
	r.abandoned = true
	r.out.tokens = nil
	r.out.base, r.out.next = r.out.end(), r.out.end()
	s.triggerSweep()
}

func (s *Server) triggerSweep() {
	notify.Send(s.sweepNow)
}

// Configure applies a delta of the configuration like one received from an entry. It
// is for processes that embed a Server.
func (s *Server) Configure(d dissemination.Delta) error {
	_, err := s.state.Apply(d)
	return err
}

// Head returns the revision of the configuration that is in effect here.
func (s *Server) Head() uint64 { return s.state.Head() }
